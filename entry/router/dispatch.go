package router

import (
	"math"

	"cuminfall.example/fleet/fault"
)

// The number of retries is limited to a fraction of the requests, so that
// retries do not add much load to a failing service.
const (
	retryRatio     = 0.1 // retries that each first attempt adds to the budget
	maxRetryBudget = 10  // initial and maximum budget, which also lets a VM with little traffic retry
)

// tryStart claims a request that needs a claim, or sends it to an upstream. The
// request is checked again first, because the view may have changed while it waited.
func (r *Router) tryStart(q *request, out []Effect) (startResult, []Effect) {
	if f := r.recheck(q); f != nil {
		return started, r.refuse(q, f, out)
	}
	if !r.Fresh(r.now) {
		return started, r.refuse(q, r.staleRefusal(), out)
	}
	if r.overdue(q) {
		return started, r.refuse(q, r.overdueRefusal(q), out)
	}
	w := q.workspace
	if w.bucket.Tokens(r.now) < q.requiredTokens() {
		return noToken, out
	}
	if q.service.NonIdempotent && !q.claimed {
		return started, r.beginClaim(q, out)
	}
	e, moved := r.chooseEndpoint(q)
	if e == nil {
		if f := r.pauseRefusal(q); f != nil {
			return started, r.refuse(q, f, out)
		}
		if q.attempt > 0 {
			return noUntriedSlot, out
		}
		return noSlot, out
	}
	if !w.bucket.Reserve(r.now) {
		return noToken, out
	}
	if moved != nil {
		r.stats.Shifted++
	}
	q.reserved, q.shift = true, moved
	return started, r.beginAttempt(q, e, out)
}

// requiredTokens returns how many tokens the workspace's bucket must hold before
// the request may start. One token is reserved for each pending or granted claim,
// so that claims do not exceed the rate, and so that idempotent requests, which
// need no claim, do not take all tokens while claims are pending.
func (q *request) requiredTokens() float64 {
	w := q.workspace
	reserved := float64(w.claiming + w.claimedWaiting)
	switch {
	case q.claimed:
		return 1
	case q.service.NonIdempotent:
		return 1 + reserved
	}
	return math.Max(1, math.Min(1+reserved, math.Floor(sendableBurst(w.share))))
}

func (r *Router) beginClaim(q *request, out []Effect) []Effect {
	r.dequeue(q)
	q.state = claiming
	q.workspace.claiming++
	r.timers.add(q)
	r.stats.Claims++
	q.claim = Claim{ID: q.id, Workspace: q.workspace.name, Service: q.service.Name}
	return append(out, &q.claim)
}

// beginAttempt sends a request to an endpoint with free capacity. The caller has
// already taken the request's token.
func (r *Router) beginAttempt(q *request, e *endpoint, out []Effect) []Effect {
	r.dequeue(q)
	r.timers.remove(q)
	e.acquire(r.now, q.deadline)
	q.state, q.endpoint, q.region = sent, e, e.region
	q.sentAt = r.now
	newConnection := q.mayRetrySameEndpoint && q.triedAt(e)
	q.tried[q.attempt], q.mayRetrySameEndpoint = e, false
	q.attempt++
	if q.attempt == 1 {
		r.stats.Sent++
		r.retryBudget = min(r.retryBudget+retryRatio, maxRetryBudget)
	} else {
		r.stats.Retried++
	}
	if e.distance == otherRegion {
		r.stats.Spilled++
	}
	q.send = Send{
		ID:            q.id,
		Attempt:       q.attempt + q.lapsed,
		Endpoint:      e.address,
		Incarnation:   e.incarnation,
		Workspace:     q.workspace.name,
		Service:       q.service.Name,
		NonIdempotent: q.service.NonIdempotent,
		MaxBody:       q.service.MaxBody,
		ThrottleBody:  e.region.outboundLink != nil || e.region.inboundLink != nil,
		NewConnection: newConnection,
		Deadline:      q.deadline,
		StartBy:       earlier(r.view.leaseExpiry, r.view.confirmedAt.Add(r.config.MaxViewAge)),
	}
	return append(out, &q.send)
}

// handleSendStart spends the tokens of an attempt, or lets it lapse. The limits hold for the times at which requests are
// sent, which can be long after their dispatch.
func (r *Router) handleSendStart(e *SendStarting, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != sent || !q.reserved || e.Attempt != q.attempt+q.lapsed {
		return out
	}
	if !r.spend(q) || !r.now.Before(q.send.StartBy) || !r.now.Before(q.deadline) {
		q.lapse = Lapse{ID: q.id}
		out = append(out, &q.lapse)
	}
	return r.dispatchAll(out)
}

// spend ends the reservations of an attempt's tokens, and reports whether the attempt may use them.
func (r *Router) spend(q *request) bool {
	if !q.reserved {
		return true
	}
	q.reserved = false
	ok := q.workspace.bucket.Spend(r.now)
	if q.shift != nil {
		ok = q.shift.bucket.Spend(r.now) && ok
		q.shift = nil
	}
	return ok
}

// pickEndpoint returns the best candidate that has free capacity and that earlier
// attempts do not exclude, or nil. If target is not nil, only endpoints to which
// this shift moves traffic are considered; otherwise none to which the cap of a
// shift lets no request spill.
func (r *Router) pickEndpoint(q *request, target *shift) *endpoint {
	if !r.now.Before(r.view.leaseExpiry) {
		return nil
	}
	s := q.service
	var best *endpoint
	lowestKey := uint64(math.MaxUint64)
	first := min(s.firstCandidate, len(s.endpoints))
	for _, candidates := range [2][]*endpoint{s.endpoints[first:], s.endpoints[:first]} {
		for _, e := range candidates {
			if !e.hasCapacity() || e.notice.restricts(r.now) || q.excludes(e) || target != nil && !target.movesTo(e) {
				continue
			}
			key := e.sortKey(r.now, lowestKey)
			if key >= lowestKey {
				continue
			}
			if _, allowed := s.spill(e, r.now); target != nil || allowed {
				best, lowestKey = e, key
			}
		}
	}
	return best
}

// chooseEndpoint picks an endpoint and applies the service's shifts. It also
// returns the shift whose cap the request counts against, or nil.
func (r *Router) chooseEndpoint(q *request) (*endpoint, *shift) {
	e := r.pickEndpoint(q, nil)
	s := q.service
	if s.firstCandidate++; s.firstCandidate >= len(s.endpoints) {
		s.firstCandidate = 0
	}
	if e == nil {
		s.demandSpill(q, r.now)
		return nil, nil
	}
	if shift, _ := s.spill(e, r.now); shift != nil {
		if !q.spillDemanded {
			shift.demand.add(r.now, 1)
		}
		shift.bucket.Reserve(r.now)
		return e, shift
	}
	if q.attempt > 0 {
		return e, nil
	}
	for _, shift := range s.shifts {
		if !shift.movesFrom(e) {
			continue
		}
		shift.demand.add(r.now, shift.Share)
		shift.credit = min(shift.credit+shift.Share, 1)
		if shift.credit < 1 {
			return e, nil
		}
		target := r.pickEndpoint(q, shift)
		if target == nil || !shift.bucket.Reserve(r.now) {
			return e, nil
		}
		shift.credit--
		return target, shift
	}
	return e, nil
}

// handleAttemptEnd finishes, retries or refuses a request after an attempt.
func (r *Router) handleAttemptEnd(e *AttemptEnded, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != sent || e.Attempt != 0 && e.Attempt != q.attempt+q.lapsed {
		return out // reported twice, or for an earlier attempt
	}
	upstream := q.endpoint
	r.releaseAttempt(upstream, q.region, e.Aborted)
	q.endpoint, q.region, q.state = nil, nil, 0
	r.spend(q) // unless SendStarting was reported
	r.recordResponseTime(q, upstream, e)
	switch e.Outcome {
	case Answered:
		upstream.failures.recordSuccess()
		out = r.finish(q, false, out)
	case Abandoned:
		out = r.finish(q, false, out)
	case Truncated:
		upstream.failures.add(r.now, 1)
		out = r.finish(q, true, out)
	case Lapsed:
		// The upstream has no part in it, and the next dispatch checks the request again.
		q.attempt--
		q.lapsed++
		q.tried[q.attempt] = nil
		r.enqueue(q)
	case Withheld:
		r.stats.Withheld++
		out = r.handleNotExecuted(q, upstream, e, fault.Busy, out)
	case NotSent:
		upstream.failures.add(r.now, 1)
		out = r.handleNotExecuted(q, upstream, e, fault.Unreachable, out)
	case Shed:
		upstream.failures.add(r.now, shedFailureWeight)
		out = r.handleNotExecuted(q, upstream, e, fault.Busy, out)
	default:
		upstream.failures.add(r.now, 1)
		out = r.handleBroken(q, upstream, e, out)
	}
	return r.dispatchAll(out)
}

// handleNotExecuted retries a request that did not run, or refuses it. Its token
// is not refunded: the bucket may have filled meanwhile, and a refunded token
// would then exceed the burst. Each attempt therefore takes a new token.
func (r *Router) handleNotExecuted(q *request, upstream *endpoint, e *AttemptEnded, code fault.Code, out []Effect) []Effect {
	if r.mayRetry(q, e) {
		r.chargeRetry(e.Outcome)
		r.enqueue(q)
		return out
	}
	if f := r.pauseRefusal(q); f != nil {
		return r.refuse(q, f, out)
	}
	message := "upstream could not be reached"
	switch e.Outcome {
	case Shed:
		message = "upstream is overloaded and refused the request"
	case Withheld:
		message = "upstream leaves or asked for a pause"
	}
	return r.refuse(q, notExecuted(code, "upstream", string(upstream.address), "%s", message), out)
}

// handleBroken retries an idempotent request whose upstream failed, or refuses
// it. A non-idempotent request may have run and is never sent again.
func (r *Router) handleBroken(q *request, upstream *endpoint, e *AttemptEnded, out []Effect) []Effect {
	q.mayHaveRun = true
	if !q.service.NonIdempotent && r.mayRetry(q, e) {
		r.chargeRetry(e.Outcome)
		r.enqueue(q)
		return out
	}
	return r.refuse(q, notExecuted(fault.Upstream, "upstream", string(upstream.address), "upstream failed before it answered"), out)
}

// chargeRetry takes a retry from the budget. A retry is free if no byte of the
// attempt before reached an upstream: it adds no load, and an endpoint that refuses
// connections must not use up the retries of all requests.
func (r *Router) chargeRetry(outcome Outcome) {
	if outcome != NotSent && outcome != Withheld {
		r.retryBudget--
	}
}

// mayRetry reports whether the request may be sent again: to another endpoint of
// which this VM has a share, or, if there is none, to the same endpoint after a
// reused connection failed. An upstream that restarts breaks such connections.
func (r *Router) mayRetry(q *request, e *AttemptEnded) bool {
	if !e.Resendable || q.attempt >= maxAttempts || e.Outcome != NotSent && e.Outcome != Withheld && r.retryBudget < 1 || !r.now.Before(r.latestStart(q)) {
		return false
	}
	for _, other := range q.service.endpoints {
		if other.slots.Share() > 0 && !other.notice.restricts(r.now) && !q.triedAt(other) {
			return true
		}
	}
	q.mayRetrySameEndpoint = e.Reused && (e.Outcome == NotSent || e.Outcome == Broken) && q.tried[q.attempt-1].slots.Share() > 0
	return q.mayRetrySameEndpoint
}
