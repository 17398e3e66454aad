package router

import (
	"crypto/subtle"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// arrived admits a request, or refuses it.
func (r *Router) arrived(e *RequestArrived, out []Effect) []Effect {
	if r.requests[e.ID] != nil {
		return out // reported twice
	}
	r.stats.Arrived++
	s, f := r.admit(e)
	if f == nil {
		return r.enter(r.newRequest(e, s), out)
	}
	if f.Code == fault.Key {
		var held bool
		if held, out = r.hold(e, out); held {
			return out
		}
	}
	return r.refuseID(e.ID, f, out)
}

func (r *Router) newRequest(e *RequestArrived, s *service) *request {
	q := r.idle.get()
	q.id, q.service = e.ID, s
	q.key, q.hash, q.deadline = e.KeyID, e.KeyHash, e.Deadline
	q.arrivedAt, q.timeout = r.now, e.Deadline.Sub(e.At)
	q.latest = r.latestStart(q)
	r.requests[q.id] = q
	return q
}

// enter starts an admitted request or lets it wait.
func (r *Router) enter(q *request, out []Effect) []Effect {
	s, w := q.service, r.view.keys[q.key].workspace
	q.workspace = w
	w.arrivals.add(r.now, 1)
	if s.waiting == 0 && (w.waiting == 0 || w.bucket.Tokens(r.now) >= float64(w.waiting+1)) {
		var p progress
		if p, out = r.start(q, out); p == started {
			return out
		}
	}
	if r.hopeless(q) {
		return r.refuse(q, notRun(fault.Rate, "share", string(w.name), "more requests wait than the rate serves before the deadline"), out)
	}
	if w.queue(s).count() >= r.config.MaxQueue {
		return r.refuse(q, r.short(q), out)
	}
	r.enqueue(q)
	return r.pumpAll(out)
}

// admit checks what the request says of itself.
func (r *Router) admit(e *RequestArrived) (*service, *fault.Error) {
	if r.view.config == 0 {
		return nil, r.stale()
	}
	s := r.view.route(e.Path)
	if s == nil {
		return nil, notRun(fault.NotFound, "route", "caller", "no service has this path")
	}
	if e.Deadline.IsZero() {
		return nil, notRun(fault.Deadline, "deadline", "caller", "Request-Timeout is missing")
	}
	left := e.Deadline.Sub(r.now)
	if left <= 0 {
		return nil, notRun(fault.Deadline, "deadline", "caller", "time-out has passed")
	}
	if e.Deadline.Sub(e.At) > s.MaxTimeout {
		return nil, notRun(fault.Deadline, "deadline", "caller", "time-out is over the longest of the service, %s", s.MaxTimeout)
	}
	if e.Size > s.MaxBody {
		return nil, notRun(fault.TooLarge, "size", "caller", "body of %d bytes is over the largest of the service, %d", e.Size, s.MaxBody)
	}
	if s.NonIdempotent && e.IdempotencyKey == "" {
		return nil, notRun(fault.Invalid, "idempotency", "caller", "Idempotency-Key is required by this service")
	}
	if f := r.authorize(e.KeyID, e.KeyHash); f != nil {
		return nil, f
	}
	if !r.Fresh(r.now) {
		return nil, r.stale()
	}
	return s, nil
}

// stale returns the refusal of a VM that does not know the current configuration.
func (r *Router) stale() *fault.Error {
	age, ok := r.Age(r.now)
	if !ok {
		return notRun(fault.Stale, "freshness", "control", "no configuration yet")
	}
	return notRun(fault.Stale, "freshness", "control", "configuration is %s old; VMs of other regions: %s",
		age.Round(time.Millisecond), r.view.elsewhere)
}

// claimed goes on with a non-idempotent request once control has answered.
func (r *Router) claimed(e *ClaimResult, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != claiming {
		return out
	}
	r.unclaim(q)
	return r.pumpAll(r.afterClaim(q, e, out))
}

func (r *Router) afterClaim(q *request, e *ClaimResult, out []Effect) []Effect {
	if e.Failure != nil {
		f := *e.Failure
		if f.Execution == "" {
			f.Execution = fault.NotExecuted
		}
		return r.refuse(q, &f, out)
	}
	switch e.State {
	case rpc.ClaimState_CLAIM_STATE_GRANTED:
		q.claimed = true
		r.enqueue(q)
		return out
	case rpc.ClaimState_CLAIM_STATE_COMPLETED:
		return r.finish(q, false, out)
	case rpc.ClaimState_CLAIM_STATE_PENDING:
		f := fault.New(fault.Pending, "claim", "control", "an earlier run of this request has no known outcome")
		f.Execution = fault.ExecutionUnknown
		return r.refuse(q, f, out)
	case rpc.ClaimState_CLAIM_STATE_MISMATCH:
		return r.refuse(q, notRun(fault.Mismatch, "claim", "control", "Idempotency-Key was used for another request"), out)
	}
	return r.refuse(q, notRun(fault.Internal, "claim", "control", "unknown claim state %d", e.State), out)
}

// cancelled ends a waiting request whose caller went away. An attempt at an
// upstream ends with AttemptEnded instead.
func (r *Router) cancelled(e *RequestCancelled, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state == sent {
		return out
	}
	return r.pumpAll(r.finish(q, false, out))
}

// sweep refuses the waiting requests that a new view no longer admits.
func (r *Router) sweep(out []Effect) []Effect {
	r.rejected = r.rejected[:0]
	for _, q := range r.timers.heap {
		if q.state == unproven {
			continue // decided by prove
		}
		if f := r.recheck(q); f != nil {
			r.rejected = append(r.rejected, rejection{q, f})
		}
	}
	for _, j := range r.rejected {
		out = r.refuse(j.request, j.fault, out)
	}
	clear(r.rejected)
	return out
}

type rejection struct {
	request *request
	fault   *fault.Error
}

// recheck applies the current view to a request that was admitted under an earlier one.
func (r *Router) recheck(q *request) *fault.Error {
	if f := r.authorize(q.key, q.hash); f != nil {
		return f
	}
	if r.view.keys[q.key].workspace != q.workspace {
		return notRun(fault.Key, "key", "caller", "key belongs to another workspace now")
	}
	if !q.service.known {
		return notRun(fault.NotFound, "route", "caller", "service was removed")
	}
	return nil
}

var noHash KeyHash

// authorize checks a key. An unknown one takes as long as a wrong one.
func (r *Router) authorize(id ident.KeyID, hash KeyHash) *fault.Error {
	k := r.view.keys[id]
	known, want := k != nil, &noHash
	if known {
		want = &k.hash
	}
	equal := subtle.ConstantTimeCompare(want[:], hash[:]) == 1
	switch {
	case !known || !equal:
		return notRun(fault.Key, "key", "caller", "key is missing or unknown")
	case k.withdrawn:
		return notRun(fault.Key, "key", "caller", "key is withdrawn")
	}
	return nil
}
