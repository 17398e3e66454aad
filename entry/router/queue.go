package router

import (
	"math"
	"time"

	"cuminfall.example/fleet/fault"
)

// requestList is a first-in, first-out list of requests.
type requestList struct {
	head, tail *request
	count      int
}

func (l *requestList) push(q *request) {
	q.prev, q.next = l.tail, nil
	if l.tail == nil {
		l.head = q
	} else {
		l.tail.next = q
	}
	l.tail = q
	l.count++
}

func (l *requestList) remove(q *request) {
	if q.prev == nil {
		l.head = q.next
	} else {
		q.prev.next = q.next
	}
	if q.next == nil {
		l.tail = q.prev
	} else {
		q.next.prev = q.prev
	}
	q.prev, q.next = nil, nil
	l.count--
}

// queue holds the waiting requests of one workspace for one service.
type queue struct {
	workspace *workspace
	service   *service
	expedited requestList // claimed requests and retries; served before the regular ones
	regular   requestList // first attempts without a claim
	deficit   float64     // requests that the queue may start in its turn (deficit round robin)
}

func (u *queue) head() *request {
	if u.expedited.head != nil {
		return u.expedited.head
	}
	return u.regular.head
}

func (u *queue) count() int { return u.expedited.count + u.regular.count }

func (w *workspace) queue(s *service) *queue {
	u := w.queues[s]
	if u == nil {
		u = &queue{workspace: w, service: s}
		w.queues[s] = u
	}
	return u
}

// enqueue adds a request to its queue.
func (r *Router) enqueue(q *request) {
	u := q.workspace.queue(q.service)
	if u.count() == 0 {
		u.deficit = 0
		u.service.activeQueues = append(u.service.activeQueues, u)
	}
	if q.claimed || q.attempt > 0 {
		u.expedited.push(q)
	} else {
		u.regular.push(q)
	}
	if q.claimed {
		u.workspace.claimedWaiting++
	}
	q.queue, q.state = u, queued
	u.service.waiting++
	u.workspace.waiting++
	r.waiting++
	r.stats.Queued++
	r.timers.add(q)
}

// dequeue removes a request from its queue, if it is in one.
func (r *Router) dequeue(q *request) {
	u := q.queue
	if u == nil {
		return
	}
	if q.claimed || q.attempt > 0 {
		u.expedited.remove(q)
	} else {
		u.regular.remove(q)
	}
	if q.claimed {
		u.workspace.claimedWaiting--
	}
	q.queue = nil
	u.service.waiting--
	u.workspace.waiting--
	r.waiting--
	if u.count() == 0 {
		u.service.deactivate(u)
	}
}

// deactivate removes an empty queue from the round robin.
func (s *service) deactivate(u *queue) {
	for i, other := range s.activeQueues {
		if other != u {
			continue
		}
		s.activeQueues = append(s.activeQueues[:i], s.activeQueues[i+1:]...)
		if i < s.cursor {
			s.cursor--
		} else if i == s.cursor {
			s.credited = false
		}
		break
	}
	if s.cursor >= len(s.activeQueues) {
		s.cursor = 0
	}
}

// nextQueue gives the turn to the next queue.
func (s *service) nextQueue() {
	s.credited = false
	s.cursor++
	if s.cursor >= len(s.activeQueues) {
		s.cursor = 0
	}
}

// startResult says whether tryStart started a request, or what the request lacks.
type startResult uint8

const (
	started       startResult = iota + 1 // sent, claimed or refused
	noToken                              // the workspace has too few tokens
	noSlot                               // no candidate of the service has free capacity
	noUntriedSlot                        // no candidate that earlier attempts did not exclude has free capacity
)

// dispatchService starts waiting requests of a service by deficit round robin over its queues.
func (r *Router) dispatchService(s *service, out []Effect) []Effect {
	blocked := 0 // consecutive queues that cannot start a request
	for len(s.activeQueues) > 0 && blocked < len(s.activeQueues) {
		u := s.activeQueues[s.cursor]
		if !s.credited {
			u.deficit = math.Min(u.deficit+u.workspace.quantum, 1+u.workspace.quantum)
			s.credited = true
		}
		var result startResult
		for result = started; result == started && u.deficit >= 1 && u.count() > 0; {
			if result, out = r.startNext(u, out); result == started {
				u.deficit--
			}
		}
		if result == noSlot {
			return r.claimAhead(s, out)
		}
		if u.count() == 0 {
			continue // deactivate has already made the next queue the current one
		}
		if result == started {
			blocked = 0 // it started requests, or needs further rounds until its deficit reaches 1
		} else {
			blocked++
		}
		s.nextQueue()
	}
	return out
}

// startNext starts the first request of a queue that can start. A retry whose
// remaining endpoints are full does not block the requests behind it.
func (r *Router) startNext(u *queue, out []Effect) (startResult, []Effect) {
	for q := u.expedited.head; q != nil; q = q.next {
		var result startResult
		if result, out = r.tryStart(q, out); result != noUntriedSlot {
			return result, out
		}
	}
	if u.regular.head == nil {
		return noUntriedSlot, out
	}
	return r.tryStart(u.regular.head, out)
}

// maxClaimsAhead limits the granted claims that a queue holds while no slot is free.
// A few hide the latency of claiming; more would only be left pending in control if
// this VM crashed.
const maxClaimsAhead = 4

// claimAhead begins claims of requests while their service has no free slot.
func (r *Router) claimAhead(s *service, out []Effect) []Effect {
	if !s.NonIdempotent {
		return out
	}
	for i := len(s.activeQueues) - 1; i >= 0; i-- {
		u := s.activeQueues[i]
		for result := started; result == started && u.expedited.count < maxClaimsAhead && u.regular.head != nil; {
			result, out = r.tryStart(u.regular.head, out)
		}
	}
	return out
}

// dispatchAll refuses overdue requests and starts waiting ones of all services,
// beginning with a different service each time.
func (r *Router) dispatchAll(out []Effect) []Effect {
	if len(r.timers.heap) == 0 {
		return out
	}
	if !r.Fresh(r.now) {
		out = r.refuseStale(out)
	}
	out = r.refuseOverdue(out)
	if r.waiting == 0 {
		return out
	}
	services := r.view.serviceList
	r.serviceOffset++
	for i := range services {
		if s := services[(r.serviceOffset+i)%len(services)]; s.waiting > 0 {
			out = r.dispatchService(s, out)
		}
	}
	r.scheduleDispatch()
	return r.requestSyncIfShort(out)
}

// refuseStale refuses all queued requests and all that wait because their key is
// unknown. Requests in the state claiming are checked when their claim is answered.
func (r *Router) refuseStale(out []Effect) []Effect {
	for len(r.unknownKeyRequests) > 0 {
		out = r.refuse(r.unknownKeyRequests[0], r.staleRefusal(), out)
	}
	for _, s := range r.view.serviceList {
		for len(s.activeQueues) > 0 {
			out = r.refuse(s.activeQueues[0].head(), r.staleRefusal(), out)
		}
	}
	return out
}

// overdueRefusal returns the error for a request that did not start in time to be
// answered before its deadline.
func (r *Router) overdueRefusal(q *request) *fault.Error {
	if q.state == awaitingKey {
		return notExecuted(fault.InvalidKey, "key", "caller", "key is unknown, and control did not reply before the deadline")
	}
	if q.state == claiming {
		return notExecuted(fault.Deadline, "claim", "control", "too little time remains until the deadline after the wait for the claim")
	}
	return r.capacityRefusal(q)
}

// capacityRefusal returns the error for a request that lacks tokens or a slot.
func (r *Router) capacityRefusal(q *request) *fault.Error {
	w := q.workspace
	if w.share.GetRate() > 0 && r.now.Before(r.view.leaseExpiry) && w.bucket.Tokens(r.now) < 1 {
		return notExecuted(fault.RateExceeded, "share", string(w.name), "workspace is over its rate")
	}
	return notExecuted(fault.Busy, "dispatch", string(q.service.Name), "no capacity before the deadline")
}

// syncRequestInterval is the minimum time between two RequestSync effects.
const syncRequestInterval = 50 * time.Millisecond

// requestSyncIfShort requests a session exchange if requests wait that the present
// shares cannot serve before the next regular exchange.
func (r *Router) requestSyncIfShort(out []Effect) []Effect {
	if r.waiting == 0 || r.now.Sub(r.lastSyncRequest) < syncRequestInterval {
		return out
	}
	nextSync := r.view.confirmedAt.Add(r.config.SyncInterval)
	for _, s := range r.view.serviceList {
		for _, u := range s.activeQueues {
			delay, ok := u.workspace.bucket.WaitTime(r.now, 1)
			if ok && delay > 0 && r.now.Add(delay).Before(nextSync) {
				continue
			}
			return r.requestSync(out)
		}
	}
	return out
}

// requestSync requests a session exchange, unless one was requested just before.
func (r *Router) requestSync(out []Effect) []Effect {
	if r.now.Sub(r.lastSyncRequest) < syncRequestInterval {
		return out
	}
	r.lastSyncRequest = r.now
	r.stats.Asked++
	return append(out, &r.syncEffect)
}

// NextTick returns when the next Tick is due, or false if no request waits.
func (r *Router) NextTick() (time.Time, bool) {
	first := r.timers.first()
	if first == nil {
		return time.Time{}, false
	}
	if r.waiting == 0 {
		return first.latestStart, true
	}
	return earlier(first.latestStart, r.nextDispatch), true
}

// scheduleDispatch computes when waiting requests can start or must be refused as stale.
func (r *Router) scheduleDispatch() {
	if r.waiting > 0 {
		r.nextDispatch = earlier(earlier(r.view.confirmedAt.Add(r.config.MaxViewAge+1), r.nextTokenTime()), earlier(r.nextReturn(), r.nextSpill()))
		if len(r.slotHolds) > 0 {
			r.nextDispatch = earlier(r.nextDispatch, r.slotHolds[0].expiry)
		}
	}
}

// nextTokenTime returns when the first of the workspaces with waiting requests gets one more token.
func (r *Router) nextTokenTime() time.Time {
	next := r.now.Add(time.Hour)
	for _, w := range r.view.workspaceList {
		if w.waiting == 0 {
			continue
		}
		target := math.Floor(w.bucket.Tokens(r.now)) + 1
		if delay, ok := w.bucket.WaitTime(r.now, target); ok && delay > 0 {
			next = earlier(next, r.now.Add(delay))
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
