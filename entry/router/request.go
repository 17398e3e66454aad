package router

import (
	"time"

	"cuminfall.example/fleet/ident"
)

// state is where a request stands.
type state uint8

const (
	queued   state = iota + 1 // waits for a token or a slot
	claiming                  // waits for control's answer to Claim
	sent                      // an attempt is at an upstream
	unproven                  // waits for an exchange, because its key is unknown
)

// mostAttempts is the first attempt and two retries.
const mostAttempts = 3

// request is the record of a request from RequestArrived to its last effect.
type request struct {
	id        RequestID
	service   *service
	workspace *workspace
	key       ident.KeyID
	hash      KeyHash
	deadline  time.Time
	arrivedAt time.Time
	timeout   time.Duration // that the caller gave
	latest    time.Time     // when it must be sent, as last worked out
	sentAt    time.Time     // of the running attempt
	state     state
	claimed   bool // the right to run a non-idempotent request is held

	attempt  uint8
	tried    [mostAttempts]*endpoint
	endpoint *endpoint // holds a slot there while sent
	region   *region   // holds a place there while sent
	ran      bool      // an earlier attempt may have run
	again    bool      // the latest endpoint may be tried again

	queue      *queue
	prev, next *request
	timer      int // position in deadlines, or -1

	send  Send
	claim Claim
	done  Done
	wait  PauseTransfer
}

// excludes reports whether an attempt at the endpoint is ruled out by earlier ones.
func (q *request) excludes(e *endpoint) bool {
	return q.attempt > 0 && q.triedAt(e) && !(q.again && e == q.tried[q.attempt-1])
}

func (q *request) triedAt(e *endpoint) bool {
	for i := range q.attempt {
		if q.tried[i] == e {
			return true
		}
	}
	return false
}

// restBefore is how many records rest in the free list before one is reused,
// so that a Done that was just returned is not overwritten at once.
const restBefore = 64

// freeList hands out records in the order in which they were freed.
type freeList struct {
	head, tail *request
	count      int
}

func (f *freeList) get() *request {
	if f.count <= restBefore {
		return &request{timer: -1}
	}
	q := f.head
	f.head = q.next
	f.count--
	*q = request{timer: -1}
	return q
}

func (f *freeList) put(q *request) {
	q.next, q.prev = nil, nil
	if f.count == 0 {
		f.head = q
	} else {
		f.tail.next = q
	}
	f.tail = q
	f.count++
}

// release takes a request out of every structure and frees its record.
func (r *Router) release(q *request) {
	r.unqueue(q)
	r.unclaim(q)
	r.forget(q)
	r.timers.remove(q)
	delete(r.requests, q.id)
	r.idle.put(q)
}

// unclaim ends the state claiming.
func (r *Router) unclaim(q *request) {
	if q.state == claiming {
		q.workspace.claiming--
		q.state = 0
	}
}

// deadlines is a binary heap of the requests that are not at an upstream, earliest latest start first.
type deadlines struct {
	heap []*request
}

func (d *deadlines) add(q *request) {
	if q.timer >= 0 {
		return
	}
	q.timer = len(d.heap)
	d.heap = append(d.heap, q)
	d.up(q.timer)
}

func (d *deadlines) remove(q *request) {
	i := q.timer
	if i < 0 {
		return
	}
	last := len(d.heap) - 1
	d.swap(i, last)
	d.heap[last] = nil
	d.heap = d.heap[:last]
	q.timer = -1
	if i < last {
		d.down(i)
		d.up(i)
	}
}

func (d *deadlines) first() *request {
	if len(d.heap) == 0 {
		return nil
	}
	return d.heap[0]
}

func (d *deadlines) swap(i, j int) {
	d.heap[i], d.heap[j] = d.heap[j], d.heap[i]
	d.heap[i].timer, d.heap[j].timer = i, j
}

func (d *deadlines) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !d.heap[i].latest.Before(d.heap[parent].latest) {
			return
		}
		d.swap(i, parent)
		i = parent
	}
}

func (d *deadlines) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(d.heap); child++ {
			if d.heap[child].latest.Before(d.heap[least].latest) {
				least = child
			}
		}
		if least == i {
			return
		}
		d.swap(i, least)
		i = least
	}
}
