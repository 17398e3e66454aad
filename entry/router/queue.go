package router

import (
	"math"
	"time"

	"cuminfall.example/fleet/fault"
)

// list is a FIFO of requests.
type list struct {
	head, tail *request
	count      int
}

func (l *list) push(q *request) {
	q.prev, q.next = l.tail, nil
	if l.tail == nil {
		l.head = q
	} else {
		l.tail.next = q
	}
	l.tail = q
	l.count++
}

func (l *list) remove(q *request) {
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
	ahead     list // claimed or to be retried; these go first
	waiting   list
	deficit   float64
}

func (u *queue) head() *request {
	if u.ahead.head != nil {
		return u.ahead.head
	}
	return u.waiting.head
}

func (u *queue) count() int { return u.ahead.count + u.waiting.count }

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
		u.service.active = append(u.service.active, u)
	}
	if q.claimed || q.attempt > 0 {
		u.ahead.push(q)
	} else {
		u.waiting.push(q)
	}
	if q.claimed {
		u.workspace.promised++
	}
	q.queue, q.state = u, queued
	u.service.waiting++
	u.workspace.waiting++
	r.waiting++
	r.stats.Queued++
	r.timers.add(q)
}

// unqueue takes a request out of its queue, if it is in one.
func (r *Router) unqueue(q *request) {
	u := q.queue
	if u == nil {
		return
	}
	if q.claimed || q.attempt > 0 {
		u.ahead.remove(q)
	} else {
		u.waiting.remove(q)
	}
	if q.claimed {
		u.workspace.promised--
	}
	q.queue = nil
	u.service.waiting--
	u.workspace.waiting--
	r.waiting--
	if u.count() == 0 {
		u.service.deactivate(u)
	}
}

// deactivate removes an empty queue from the round.
func (s *service) deactivate(u *queue) {
	for i, other := range s.active {
		if other != u {
			continue
		}
		s.active = append(s.active[:i], s.active[i+1:]...)
		if i < s.cursor {
			s.cursor--
		} else if i == s.cursor {
			s.credited = false
		}
		break
	}
	if s.cursor >= len(s.active) {
		s.cursor = 0
	}
}

// pass moves the turn to the next queue.
func (s *service) pass() {
	s.credited = false
	s.cursor++
	if s.cursor >= len(s.active) {
		s.cursor = 0
	}
}

// progress is what became of an attempt to start a request.
type progress uint8

const (
	started progress = iota + 1 // sent, claiming or refused
	noToken                     // its workspace has no token
	noSlot                      // no candidate of the service has room
	noOther                     // candidates have room, but not one that was not tried
)

// pump serves the waiting requests of a service by deficit round robin.
func (r *Router) pump(s *service, out []Effect) []Effect {
	blocked := 0 // queues in a row that cannot go on
	for len(s.active) > 0 && blocked < len(s.active) {
		u := s.active[s.cursor]
		if !s.credited {
			u.deficit = math.Min(u.deficit+u.workspace.quantum, 1+u.workspace.quantum)
			s.credited = true
		}
		var p progress
		for p = started; p == started && u.deficit >= 1 && u.count() > 0; {
			if p, out = r.startNext(u, out); p == started {
				u.deficit--
			}
		}
		if p == noSlot {
			return r.claimAhead(s, out)
		}
		if u.count() == 0 {
			continue // deactivate moved the turn on
		}
		if p == started {
			blocked = 0 // it went on, or it needs further rounds to earn a request
		} else {
			blocked++
		}
		s.pass()
	}
	return out
}

// startNext starts the first request of a queue that can go on. A retry whose
// other endpoints are full does not hold up the requests behind it.
func (r *Router) startNext(u *queue, out []Effect) (progress, []Effect) {
	for q := u.ahead.head; q != nil; q = q.next {
		var p progress
		if p, out = r.start(q, out); p != noOther {
			return p, out
		}
	}
	if u.waiting.head == nil {
		return noOther, out
	}
	return r.start(u.waiting.head, out)
}

// mostAhead bounds the claims that a queue holds while it waits for slots. A
// few hide the time of a claim; more would only be left pending if this VM died.
const mostAhead = 4

// claimAhead claims for requests whose service has no free slot now.
func (r *Router) claimAhead(s *service, out []Effect) []Effect {
	if !s.NonIdempotent {
		return out
	}
	for i := len(s.active) - 1; i >= 0; i-- {
		u := s.active[i]
		for p := started; p == started && u.ahead.count < mostAhead && u.waiting.head != nil; {
			p, out = r.start(u.waiting.head, out)
		}
	}
	return out
}

// pumpAll ends what is overdue and serves all queues, each time beginning with another service.
func (r *Router) pumpAll(out []Effect) []Effect {
	if len(r.timers.heap) == 0 {
		return out
	}
	if !r.Fresh(r.now) {
		out = r.refuseStale(out)
	}
	out = r.endOverdue(out)
	if r.waiting == 0 {
		return out
	}
	services := r.view.serviceList
	r.turn++
	for i := range services {
		if s := services[(r.turn+i)%len(services)]; s.waiting > 0 {
			out = r.pump(s, out)
		}
	}
	r.schedule()
	return r.askIfShort(out)
}

// refuseStale ends every request that waits for a share or for proof of its key. Requests in the state
// claiming are checked when the answer comes.
func (r *Router) refuseStale(out []Effect) []Effect {
	for len(r.unproven) > 0 {
		out = r.refuse(r.unproven[0], r.stale(), out)
	}
	for _, s := range r.view.serviceList {
		for len(s.active) > 0 {
			out = r.refuse(s.active[0].head(), r.stale(), out)
		}
	}
	return out
}

// expired says why a request was not started in time to be answered before its deadline.
func (r *Router) expired(q *request) *fault.Error {
	if q.state == unproven {
		return notRun(fault.Key, "key", "caller", "key is unknown, and control was not heard before the deadline")
	}
	if q.state == claiming {
		return notRun(fault.Deadline, "claim", "control", "too little time is left after the wait for the claim")
	}
	return r.short(q)
}

// short says which capacity a request lacks.
func (r *Router) short(q *request) *fault.Error {
	w := q.workspace
	if w.share.GetRate() > 0 && r.now.Before(r.view.until) && w.bucket.Tokens(r.now) < 1 {
		return notRun(fault.Rate, "share", string(w.name), "workspace is over its rate")
	}
	return notRun(fault.Busy, "dispatch", string(q.service.Name), "no capacity before the deadline")
}

// askSpacing bounds how often an exchange is asked for.
const askSpacing = 50 * time.Millisecond

// askIfShort wants an exchange at once when requests wait that the shares
// cannot serve before the next one.
func (r *Router) askIfShort(out []Effect) []Effect {
	if r.waiting == 0 || r.now.Sub(r.asked) < askSpacing {
		return out
	}
	next := r.view.proven.Add(r.config.SyncInterval)
	for _, s := range r.view.serviceList {
		for _, u := range s.active {
			delay, ok := u.workspace.bucket.WaitTime(r.now, 1)
			if ok && delay > 0 && r.now.Add(delay).Before(next) {
				continue
			}
			return r.askNow(out)
		}
	}
	return out
}

// askNow wants an exchange at once, unless one was just asked for.
func (r *Router) askNow(out []Effect) []Effect {
	if r.now.Sub(r.asked) < askSpacing {
		return out
	}
	r.asked = r.now
	r.stats.Asked++
	return append(out, &r.ask)
}

// Next returns when the next Tick is due, or false when no request waits.
func (r *Router) Next() (time.Time, bool) {
	first := r.timers.first()
	if first == nil {
		return time.Time{}, false
	}
	if r.waiting == 0 {
		return first.latest, true
	}
	return earlier(first.latest, r.due), true
}

// schedule works out when waiting requests can go on.
func (r *Router) schedule() {
	if r.waiting > 0 {
		r.due = earlier(r.view.proven.Add(r.config.MaxViewAge+1), r.nextToken())
		if len(r.lingering) > 0 {
			r.due = earlier(r.due, r.lingering[0].until)
		}
	}
}

// nextToken returns when the first workspace with waiting requests gets one more token.
func (r *Router) nextToken() time.Time {
	due := r.now.Add(time.Hour)
	for _, w := range r.view.workspaceList {
		if w.waiting == 0 {
			continue
		}
		need := math.Floor(w.bucket.Tokens(r.now)) + 1
		if delay, ok := w.bucket.WaitTime(r.now, need); ok && delay > 0 {
			due = earlier(due, r.now.Add(delay))
		}
	}
	return due
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
