package router

import (
	"time"

	"cuminfall.example/fleet/ident"
)

// requestState says what a request waits for, or that it is at an upstream.
type requestState uint8

const (
	queued      requestState = iota + 1 // waits for a token or a slot
	claiming                            // waits for control's reply to a claim
	sent                                // an attempt is at an upstream
	awaitingKey                         // waits for a session exchange, because its key is unknown
)

// maxAttempts allows the first attempt and two retries.
const maxAttempts = 3

// request is the state of a request from RequestArrived to its last effect.
type request struct {
	id          RequestID
	service     *service
	workspace   *workspace
	keyID       ident.KeyID
	keyHash     KeyHash
	deadline    time.Time
	arrivedAt   time.Time
	timeout     time.Duration // given by the caller
	latestStart time.Time     // when it must be sent at the latest, as last computed
	sentAt      time.Time     // start of the running attempt
	state       requestState
	claimed     bool // control granted the claim to run this non-idempotent request

	attempt              uint8
	lapsed               uint8                  // further attempts, of which no byte was sent in time
	tried                [maxAttempts]*endpoint // endpoints of the attempts so far
	endpoint             *endpoint              // of the running attempt, which uses a slot there
	region               *region                // of the running attempt, which counts against the region's capacity
	mayHaveRun           bool                   // an earlier attempt may have run
	mayRetrySameEndpoint bool                   // the endpoint of the last attempt may be tried again
	reserved             bool                   // the running attempt has tokens that are not spent yet
	shift                *shift                 // against whose cap the running attempt counts, or nil
	spillDemanded        bool                   // counted in the demand for a shift's cap that holds it back

	queue      *queue
	prev, next *request
	timerIndex int // position in the heap of startTimers, or -1

	// Memory of the effects that Step returns for this request.
	send  Send
	claim Claim
	done  Done
	lapse Lapse
	pause PauseTransfer
}

// excludes reports whether earlier attempts rule out another one at the endpoint.
func (q *request) excludes(e *endpoint) bool {
	return q.attempt > 0 && q.triedAt(e) && !(q.mayRetrySameEndpoint && e == q.tried[q.attempt-1])
}

func (q *request) triedAt(e *endpoint) bool {
	for i := range q.attempt {
		if q.tried[i] == e {
			return true
		}
	}
	return false
}

// minFreeRequests is how many records stay in the free list before one is
// reused, so that a Done that Step just returned is not overwritten at once.
const minFreeRequests = 64

// freeList keeps unused request records and returns the one that was freed first.
type freeList struct {
	head, tail *request
	count      int
}

func (f *freeList) get() *request {
	if f.count <= minFreeRequests {
		return &request{timerIndex: -1}
	}
	q := f.head
	f.head = q.next
	f.count--
	*q = request{timerIndex: -1}
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

// release removes a request from all lists and timers and frees its record.
func (r *Router) release(q *request) {
	r.dequeue(q)
	r.endClaim(q)
	r.endAwaitingKey(q)
	r.timers.remove(q)
	delete(r.requests, q.id)
	r.freeRequests.put(q)
}

// endClaim leaves the state claiming, if the request is in it.
func (r *Router) endClaim(q *request) {
	if q.state == claiming {
		q.workspace.claiming--
		q.state = 0
	}
}

// startTimers is a binary heap of the requests that are not at an upstream,
// ordered by the time at which they must be sent at the latest.
type startTimers struct {
	heap []*request
}

func (d *startTimers) add(q *request) {
	if q.timerIndex >= 0 {
		return
	}
	q.timerIndex = len(d.heap)
	d.heap = append(d.heap, q)
	d.siftUp(q.timerIndex)
}

func (d *startTimers) remove(q *request) {
	i := q.timerIndex
	if i < 0 {
		return
	}
	last := len(d.heap) - 1
	d.swap(i, last)
	d.heap[last] = nil
	d.heap = d.heap[:last]
	q.timerIndex = -1
	if i < last {
		d.siftDown(i)
		d.siftUp(i)
	}
}

func (d *startTimers) first() *request {
	if len(d.heap) == 0 {
		return nil
	}
	return d.heap[0]
}

func (d *startTimers) swap(i, j int) {
	d.heap[i], d.heap[j] = d.heap[j], d.heap[i]
	d.heap[i].timerIndex, d.heap[j].timerIndex = i, j
}

func (d *startTimers) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !d.heap[i].latestStart.Before(d.heap[parent].latestStart) {
			return
		}
		d.swap(i, parent)
		i = parent
	}
}

func (d *startTimers) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(d.heap); child++ {
			if d.heap[child].latestStart.Before(d.heap[smallest].latestStart) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		d.swap(i, smallest)
		i = smallest
	}
}
