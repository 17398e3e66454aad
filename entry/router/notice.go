package router

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// notice is what an upstream said about itself in its responses to this VM. It holds for one incarnation.
type notice struct {
	leaving    bool      // it wants no new requests, whatever control says
	quietUntil time.Time // until then it wants no requests of this VM
}

// restricts reports whether the upstream gets no request now.
func (n *notice) restricts(now time.Time) bool { return n.leaving || now.Before(n.quietUntil) }

// handleNotice records what an upstream said about itself. A quiet span never ends an earlier one that lasts longer.
func (r *Router) handleNotice(e *NoticeReceived, out []Effect) []Effect {
	endpoint := r.view.endpoints[e.Endpoint]
	if endpoint == nil || endpoint.incarnation != e.Incarnation {
		return out
	}
	n := &endpoint.notice
	news := false
	if e.Leaving && !n.leaving {
		n.leaving, news = true, true
		r.stats.Leaving++
	}
	if until := r.now.Add(e.QuietFor); e.QuietFor > 0 && until.After(n.quietUntil) {
		n.quietUntil, news = until, true
		r.stats.Quiet++
	}
	if !news {
		return out
	}
	return r.dispatchAll(out) // requests that waited for the upstream must be refused if no other can serve them
}

// Restricted reports whether an incarnation of an upstream must not get a request now. A request that was chosen for it
// asks again right before it is sent.
func (r *Router) Restricted(at time.Time, a ident.Address, incarnation ident.Incarnation) bool {
	e := r.view.endpoints[a]
	return e == nil || !e.announced || e.incarnation != incarnation || e.leaving || e.notice.restricts(at)
}

// earliestReturn returns when the first quiet upstream of a service returns, or false if one of them may get requests
// now or none will.
func (s *service) earliestReturn(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, e := range s.endpoints {
		switch n := &e.notice; {
		case !n.restricts(now):
			return time.Time{}, false
		case n.leaving:
		case earliest.IsZero() || n.quietUntil.Before(earliest):
			earliest = n.quietUntil
		}
	}
	return earliest, !earliest.IsZero()
}

// pauseRefusal returns the error for a request whose upstreams are all quiet until it is too late to start it, or nil.
func (r *Router) pauseRefusal(q *request) *fault.Error {
	earliest, paused := q.service.earliestReturn(r.now)
	if !paused || earliest.Before(r.latestStart(q)) {
		return nil
	}
	f := notExecuted(fault.Busy, "dispatch", string(q.service.Name), "all upstreams asked for a pause")
	f.RetryAfter = earliest.Sub(r.now) + returnSpread(q.id, earliest.Sub(r.now))
	return f
}

// Refused callers return within a part of their wait, at most maxReturnSpread, after the first upstream has returned.
const (
	returnSpreadPart = 0.25
	maxReturnSpread  = time.Second
)

// returnSpread returns a time up to that limit which is different for consecutive requests.
func returnSpread(id RequestID, wait time.Duration) time.Duration {
	const goldenRatio = 0x9E3779B97F4A7C15 // of 2^64; its multiples are spread evenly
	longest := min(time.Duration(returnSpreadPart*float64(wait)), maxReturnSpread)
	return time.Duration(float64(longest) * (float64(uint64(id)*goldenRatio>>11) / (1 << 53)))
}

// nextReturn returns when the first upstream ends its quiet span, of services with waiting requests.
func (r *Router) nextReturn() time.Time {
	next := r.now.Add(time.Hour)
	for _, s := range r.view.serviceList {
		if s.waiting == 0 {
			continue
		}
		for _, e := range s.endpoints {
			if until := e.notice.quietUntil; until.After(r.now) && !e.notice.leaving {
				next = earlier(next, until)
			}
		}
	}
	return next
}
