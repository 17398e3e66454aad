package router

import (
	"slices"
	"time"

	"cuminfall.example/fleet/fault"
)

const (
	// mostUnproven bounds the requests held for an unknown key; further ones are
	// refused at once, so that guessed keys cannot fill memory.
	mostUnproven = 64
	// unprovenSpacing bounds the exchanges asked for by unknown keys to one for
	// five regular ones.
	unprovenSpacing = time.Second
)

// hold keeps a request whose key this VM does not know until an exchange that
// began after its arrival, because another VM may know the key already. It
// reports false where the request is to be refused at once.
func (r *Router) hold(e *RequestArrived, out []Effect) (bool, []Effect) {
	if e.KeyID == "" || r.view.keys[e.KeyID] != nil || !r.Fresh(r.now) || len(r.unproven) >= mostUnproven {
		return false, out
	}
	q := r.newRequest(e, r.view.route(e.Path))
	q.state = unproven
	r.unproven = append(r.unproven, q)
	r.timers.add(q)
	if r.now.Sub(r.askedKey) >= unprovenSpacing {
		r.askedKey = r.now
		out = r.askNow(out)
	}
	return true, out
}

// prove decides on the requests with unknown keys that arrived before the
// exchange which proved the configuration to be current.
func (r *Router) prove(out []Effect) []Effect {
	for len(r.unproven) > 0 && r.view.proven.After(r.unproven[0].arrivedAt) {
		q := r.unproven[0]
		f := r.authorize(q.key, q.hash)
		if f == nil && !q.service.known {
			f = notRun(fault.NotFound, "route", "caller", "service was removed")
		}
		if f != nil {
			out = r.refuse(q, f, out)
			continue
		}
		r.forget(q)
		out = r.enter(q, out)
	}
	return out
}

// forget ends the state unproven.
func (r *Router) forget(q *request) {
	if q.state == unproven {
		q.state = 0
		i := slices.Index(r.unproven, q)
		r.unproven = slices.Delete(r.unproven, i, i+1)
	}
}
