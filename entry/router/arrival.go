package router

import (
	"crypto/subtle"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// handleArrival admits a request, holds it until its key is known, or refuses it.
func (r *Router) handleArrival(e *RequestArrived, out []Effect) []Effect {
	if r.requests[e.ID] != nil {
		return out // the same arrival was reported twice
	}
	r.stats.Arrived++
	s, f := r.admit(e)
	if f == nil {
		return r.startOrQueue(r.newRequest(e, s), out)
	}
	if f.Code == fault.InvalidKey {
		var waits bool
		if waits, out = r.holdUnknownKey(e, out); waits {
			return out
		}
	}
	return r.refuseID(e.ID, f, out)
}

func (r *Router) newRequest(e *RequestArrived, s *service) *request {
	q := r.freeRequests.get()
	q.id, q.service = e.ID, s
	q.keyID, q.keyHash, q.deadline = e.KeyID, e.KeyHash, e.Deadline
	q.arrivedAt, q.timeout = r.now, e.Deadline.Sub(e.At)
	q.latestStart = r.latestStart(q)
	r.requests[q.id] = q
	return q
}

// startOrQueue starts an admitted request, queues it, or refuses it if the workspace's
// rate cannot serve it before its deadline or the queue is full. It starts directly only if no request waits for its
// service and the tokens also suffice for the workspace's waiting requests.
func (r *Router) startOrQueue(q *request, out []Effect) []Effect {
	s, w := q.service, r.view.keys[q.keyID].workspace
	q.workspace = w
	w.arrivals.add(r.now, 1)
	if s.waiting == 0 && (w.waiting == 0 || w.bucket.Tokens(r.now) >= float64(w.waiting+1)) {
		var result startResult
		if result, out = r.tryStart(q, out); result == started {
			return out
		}
	}
	if r.exceedsRate(q) {
		return r.refuse(q, notExecuted(fault.RateExceeded, "share", string(w.name), "more requests wait than the workspace's rate can serve before the deadline"), out)
	}
	if w.queue(s).count() >= r.config.MaxQueue {
		return r.refuse(q, r.capacityRefusal(q), out)
	}
	r.enqueue(q)
	return r.dispatchAll(out)
}

// admit checks the request's path, deadline, size and key, and returns its service.
func (r *Router) admit(e *RequestArrived) (*service, *fault.Error) {
	if r.view.configVersion == 0 {
		return nil, r.staleRefusal()
	}
	s := r.view.route(e.Path)
	if s == nil {
		return nil, notExecuted(fault.NotFound, "route", "caller", "no service has this path")
	}
	if e.Deadline.IsZero() {
		return nil, notExecuted(fault.Deadline, "deadline", "caller", "Request-Timeout is missing")
	}
	remaining := e.Deadline.Sub(r.now)
	if remaining <= 0 {
		return nil, notExecuted(fault.Deadline, "deadline", "caller", "timeout has expired")
	}
	if e.Deadline.Sub(e.At) > s.MaxTimeout {
		return nil, notExecuted(fault.Deadline, "deadline", "caller", "timeout exceeds the service's maximum of %s", s.MaxTimeout)
	}
	if e.Size > s.MaxBody {
		return nil, notExecuted(fault.TooLarge, "size", "caller", "body of %d bytes exceeds the service's maximum of %d bytes", e.Size, s.MaxBody)
	}
	if s.NonIdempotent && e.IdempotencyKey == "" {
		return nil, notExecuted(fault.Invalid, "idempotency", "caller", "Idempotency-Key is required by this service")
	}
	if f := r.authorize(e.KeyID, e.KeyHash); f != nil {
		return nil, f
	}
	if !r.Fresh(r.now) {
		return nil, r.staleRefusal()
	}
	if f := s.noUpstreamRefusal(); f != nil {
		return nil, f
	}
	return s, nil
}

// noUpstreamRefusal returns the error for requests of a service whose upstreams have all left or are unavailable, or
// nil if the service has an upstream.
func (s *service) noUpstreamRefusal() *fault.Error {
	if len(s.endpoints) > 0 {
		return nil
	}
	return notExecuted(fault.Busy, "dispatch", string(s.Name), "the service has no upstream that takes requests")
}

// staleRefusal returns the error for requests while the configuration is missing or too old.
func (r *Router) staleRefusal() *fault.Error {
	age, ok := r.ConfigAge(r.now)
	if !ok {
		return notExecuted(fault.Stale, "freshness", "control", "no configuration received yet")
	}
	return notExecuted(fault.Stale, "freshness", "control", "configuration is %s old; VMs of other regions: %s",
		age.Round(time.Millisecond), r.view.otherRegionAddresses)
}

// handleClaimResult continues a non-idempotent request after control has answered its claim.
func (r *Router) handleClaimResult(e *ClaimResult, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state != claiming {
		return out
	}
	r.endClaim(q)
	return r.dispatchAll(r.applyClaimResult(q, e, out))
}

func (r *Router) applyClaimResult(q *request, e *ClaimResult, out []Effect) []Effect {
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
		return r.refuse(q, notExecuted(fault.Mismatch, "claim", "control", "Idempotency-Key was used for another request"), out)
	}
	return r.refuse(q, notExecuted(fault.Internal, "claim", "control", "unknown claim state %d", e.State), out)
}

// handleCancel ends a waiting request whose caller disconnected. A request that
// is at an upstream ends with AttemptEnded instead.
func (r *Router) handleCancel(e *RequestCancelled, out []Effect) []Effect {
	q := r.requests[e.ID]
	if q == nil || q.state == sent {
		return out
	}
	return r.dispatchAll(r.finish(q, false, out))
}

// refuseInadmissible refuses the waiting requests that a new view no longer admits.
func (r *Router) refuseInadmissible(out []Effect) []Effect {
	r.rejections = r.rejections[:0]
	for _, q := range r.timers.heap {
		if q.state == awaitingKey {
			continue // resolveUnknownKeys decides on these
		}
		if f := r.recheck(q); f != nil {
			r.rejections = append(r.rejections, rejection{q, f})
		}
	}
	for _, rejected := range r.rejections {
		out = r.refuse(rejected.request, rejected.fault, out)
	}
	clear(r.rejections)
	return out
}

type rejection struct {
	request *request
	fault   *fault.Error
}

// recheck applies the current view to a request that was admitted under an earlier one.
func (r *Router) recheck(q *request) *fault.Error {
	if f := r.authorize(q.keyID, q.keyHash); f != nil {
		return f
	}
	if r.view.keys[q.keyID].workspace != q.workspace {
		return notExecuted(fault.InvalidKey, "key", "caller", "key now belongs to another workspace")
	}
	if !q.service.configured {
		return notExecuted(fault.NotFound, "route", "caller", "service was removed")
	}
	return q.service.noUpstreamRefusal()
}

// zeroHash stands in for the hash of an unknown key.
var zeroHash KeyHash

// authorize checks a key's hash. The check takes as long for an unknown key as for a
// wrong secret, so that its duration does not reveal which keys exist.
func (r *Router) authorize(id ident.KeyID, hash KeyHash) *fault.Error {
	k := r.view.keys[id]
	known, expected := k != nil, &zeroHash
	if known {
		expected = &k.hash
	}
	equal := subtle.ConstantTimeCompare(expected[:], hash[:]) == 1
	switch {
	case !known || !equal:
		return notExecuted(fault.InvalidKey, "key", "caller", "key is missing or unknown")
	case k.withdrawn:
		return notExecuted(fault.InvalidKey, "key", "caller", "key is withdrawn")
	}
	return nil
}
