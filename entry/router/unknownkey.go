package router

import (
	"slices"
	"time"

	"cuminfall.example/fleet/fault"
)

const (
	// maxUnknownKeyRequests limits the requests that wait because their key is
	// unknown. Further ones are refused directly, so that guessed keys cannot fill
	// the memory.
	maxUnknownKeyRequests = 64
	// unknownKeySyncInterval is the minimum time between exchanges that unknown
	// keys request: one for five regular exchanges at the default interval.
	unknownKeySyncInterval = time.Second
)

// holdUnknownKey lets a request with an unknown key wait for a session exchange
// that begins after its arrival, because another VM may already know the key. It
// returns false if the request must be refused now.
func (r *Router) holdUnknownKey(e *RequestArrived, out []Effect) (bool, []Effect) {
	if e.KeyID == "" || r.view.keys[e.KeyID] != nil || !r.Fresh(r.now) || len(r.unknownKeyRequests) >= maxUnknownKeyRequests {
		return false, out
	}
	q := r.newRequest(e, r.view.route(e.Path))
	q.state = awaitingKey
	r.unknownKeyRequests = append(r.unknownKeyRequests, q)
	r.timers.add(q)
	if r.now.Sub(r.lastUnknownKeySync) >= unknownKeySyncInterval {
		r.lastUnknownKeySync = r.now
		out = r.requestSync(out)
	}
	return true, out
}

// resolveUnknownKeys starts or refuses the requests with unknown keys that arrived
// before the exchange that last confirmed the configuration.
func (r *Router) resolveUnknownKeys(out []Effect) []Effect {
	for len(r.unknownKeyRequests) > 0 && r.view.confirmedAt.After(r.unknownKeyRequests[0].arrivedAt) {
		q := r.unknownKeyRequests[0]
		f := r.authorize(q.keyID, q.keyHash)
		if f == nil && !q.service.configured {
			f = notExecuted(fault.NotFound, "route", "caller", "service was removed")
		}
		if f != nil {
			out = r.refuse(q, f, out)
			continue
		}
		r.endAwaitingKey(q)
		out = r.startOrQueue(q, out)
	}
	return out
}

// endAwaitingKey leaves the state awaitingKey, if the request is in it.
func (r *Router) endAwaitingKey(q *request) {
	if q.state == awaitingKey {
		q.state = 0
		i := slices.Index(r.unknownKeyRequests, q)
		r.unknownKeyRequests = slices.Delete(r.unknownKeyRequests, i, i+1)
	}
}
