package router

import (
	"math"

	"cuminfall.example/fleet/fault"
)

// Retries are bounded by a share of the requests, so that a failing service
// is not loaded further by its callers' retries.
const (
	retryShare   = 0.1
	retryReserve = 10 // retries that a quiet VM may make at once
)

// start takes a request as far as it can go: to its claim, or to an upstream.
// The view is checked again, because it may have changed while the request waited.
func (r *Router) start(q *request, out []Effect) (progress, []Effect) {
	if f := r.recheck(q); f != nil {
		return started, r.refuse(q, f, out)
	}
	if !r.Fresh(r.now) {
		return started, r.refuse(q, r.stale(), out)
	}
	if r.overdue(q) {
		return started, r.refuse(q, r.expired(q), out)
	}
	w := q.workspace
	if w.bucket.Tokens(r.now) < q.tokens() {
		return noToken, out
	}
	if q.service.NonIdempotent && !q.claimed {
		return started, r.beginClaim(q, out)
	}
	e, s := r.choose(q)
	if e == nil {
		if q.attempt > 0 {
			return noOther, out
		}
		return noSlot, out
	}
	if !w.bucket.Take(r.now, 1) {
		return noToken, out
	}
	if s != nil {
		s.acc--
		r.stats.Shifted++
	}
	return started, r.dispatch(q, e, out)
}

// tokens returns how many tokens must be there for the request to go on. One
// token is kept for each claim under way, so that claims do not outrun the rate
// and so that idempotent requests, which need no claim, do not take the tokens
// in the time that a claim takes.
func (q *request) tokens() float64 {
	w := q.workspace
	kept := float64(w.claiming + w.promised)
	switch {
	case q.claimed:
		return 1
	case q.service.NonIdempotent:
		return 1 + kept
	}
	return math.Max(1, math.Min(1+kept, math.Floor(w.share.GetBurst())))
}

func (r *Router) beginClaim(q *request, out []Effect) []Effect {
	r.unqueue(q)
	q.state = claiming
	q.workspace.claiming++
	r.timers.add(q)
	r.stats.Claims++
	q.claim = Claim{ID: q.id, Workspace: q.workspace.name, Service: q.service.Name}
	return append(out, &q.claim)
}

// dispatch sends a request, whose token is taken, to an endpoint with room.
func (r *Router) dispatch(q *request, e *endpoint, out []Effect) []Effect {
	r.unqueue(q)
	r.timers.remove(q)
	e.take(r.now, q.deadline)
	q.state, q.endpoint, q.region = sent, e, e.region
	q.sentAt = r.now
	again := q.again && q.triedAt(e)
	q.tried[q.attempt], q.again = e, false
	q.attempt++
	if q.attempt == 1 {
		r.stats.Sent++
		r.budget = min(r.budget+retryShare, retryReserve)
	} else {
		r.stats.Retried++
	}
	if e.distance == far {
		r.stats.Spilled++
	}
	q.send = Send{
		ID:            q.id,
		Attempt:       q.attempt,
		Endpoint:      e.address,
		Incarnation:   e.incarnation,
		Workspace:     q.workspace.name,
		Service:       q.service.Name,
		NonIdempotent: q.service.NonIdempotent,
		MaxBody:       q.service.MaxBody,
		ThrottleBody:  e.region.out != nil || e.region.back != nil,
		NewConnection: again,
		Deadline:      q.deadline,
	}
	return append(out, &q.send)
}

// pick returns the best candidate with room that was not tried, or nil. A
// shift limits the choice to its target.
func (r *Router) pick(q *request, to *shift) *endpoint {
	if !r.now.Before(r.view.until) {
		return nil
	}
	s := q.service
	var best *endpoint
	lowest := uint64(math.MaxUint64)
	start := min(s.start, len(s.endpoints))
	for _, part := range [2][]*endpoint{s.endpoints[start:], s.endpoints[:start]} {
		for _, e := range part {
			if !e.free() || q.excludes(e) || to != nil && !to.to(e) {
				continue
			}
			if k := e.rank(r.now, lowest); k < lowest {
				best, lowest = e, k
			}
		}
	}
	return best
}

// choose picks an endpoint and applies the shifts to it; the shift is returned if it moved the request.
func (r *Router) choose(q *request) (*endpoint, *shift) {
	e := r.pick(q, nil)
	s := q.service
	if s.start++; s.start >= len(s.endpoints) {
		s.start = 0
	}
	if e == nil || q.attempt > 0 {
		return e, nil
	}
	for _, h := range s.shifts {
		if !h.from(e) {
			continue
		}
		h.arrivals.add(r.now, h.Share)
		h.acc = min(h.acc+h.Share, 1)
		if h.acc < 1 {
			return e, nil
		}
		moved := r.pick(q, h)
		if moved == nil || !h.bucket.Take(r.now, 1) {
			return e, nil
		}
		return moved, h
	}
	return e, nil
}

// ended handles the end of an attempt.
func (r *Router) ended(e *AttemptEnded, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != sent || e.Attempt != 0 && e.Attempt != q.attempt {
		return out // reported twice, or of an earlier attempt
	}
	at := q.endpoint
	r.free(at, q.region, e.Aborted)
	q.endpoint, q.region, q.state = nil, nil, 0
	r.sample(q, at, e)
	switch e.Outcome {
	case Answered:
		at.failures.succeeded()
		out = r.finish(q, false, out)
	case Abandoned:
		out = r.finish(q, false, out)
	case Truncated:
		at.failures.add(r.now, 1)
		out = r.finish(q, true, out)
	case NotSent:
		at.failures.add(r.now, 1)
		out = r.afterUnrun(q, at, e, fault.Unreachable, out)
	case Shed:
		at.failures.add(r.now, shedWeight)
		out = r.afterUnrun(q, at, e, fault.Busy, out)
	default:
		at.failures.add(r.now, 1)
		out = r.afterBroken(q, at, e, out)
	}
	return r.pumpAll(out)
}

// afterUnrun retries a request that did not run, or refuses it. Its token is
// not given back: the bucket may have filled since, and the returned token would
// then exceed the burst. Each attempt therefore takes a token of its own.
func (r *Router) afterUnrun(q *request, at *endpoint, e *AttemptEnded, code fault.Code, out []Effect) []Effect {
	if r.mayRetry(q, e) {
		r.spend(e.Outcome)
		r.enqueue(q)
		return out
	}
	message := "upstream was not reached"
	if e.Outcome == Shed {
		message = "upstream sheds load"
	}
	return r.refuse(q, notRun(code, "upstream", string(at.address), "%s", message), out)
}

// afterBroken retries an idempotent request whose upstream failed. A
// non-idempotent one may have run and is never sent again.
func (r *Router) afterBroken(q *request, at *endpoint, e *AttemptEnded, out []Effect) []Effect {
	q.ran = true
	if !q.service.NonIdempotent && r.mayRetry(q, e) {
		r.spend(e.Outcome)
		r.enqueue(q)
		return out
	}
	return r.refuse(q, notRun(fault.Upstream, "upstream", string(at.address), "upstream failed before it answered"), out)
}

// spend takes a retry from the budget. One after an attempt of which no byte
// reached an upstream loads no upstream twice and is free, so that an endpoint
// that refuses connections does not use up the retries of all requests.
func (r *Router) spend(outcome Outcome) {
	if outcome != NotSent {
		r.budget--
	}
}

// mayRetry reports whether another endpoint, of which this VM has a share, may
// get the request. Where there is none, the same endpoint may get it again after
// a break of a reused connection, which an upstream that restarted causes.
func (r *Router) mayRetry(q *request, e *AttemptEnded) bool {
	if !e.Resendable || q.attempt >= mostAttempts || e.Outcome != NotSent && r.budget < 1 || !r.now.Before(r.latestStart(q)) {
		return false
	}
	for _, other := range q.service.endpoints {
		if other.slots.Share() > 0 && !q.triedAt(other) {
			return true
		}
	}
	q.again = e.Reused && (e.Outcome == NotSent || e.Outcome == Broken) && q.tried[q.attempt-1].slots.Share() > 0
	return q.again
}
