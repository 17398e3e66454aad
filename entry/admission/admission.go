package admission

import "time"

const (
	// leastWait is what any request may wait: shorter queues would leave slots idle between two answers.
	leastWait = 100 * time.Millisecond
	// unhurried is what a request without a goal may wait, as a part of its time.
	unhurried = 0.5
	// leastAfter and mostAfter bound when refused callers are asked to return. Sooner, the queue is the same;
	// later, their time is up.
	leastAfter = 250 * time.Millisecond
	mostAfter  = 1500 * time.Millisecond
)

// roomPatience is how much longer requests may queue at one upstream while others of the service are free: all of them
// can be served, and refusing some saves the others nothing.
const roomPatience = 2

// rankParts are the parts of the full wait by rank; the last one holds for all further ranks.
var rankParts = []float64{1.3, 1.15, 1, 0.9}

// Request is what is known of a request and of the best upstream for it.
type Request struct {
	TargetLatency   time.Duration // response time that the caller expects; 0 for none
	Remaining       time.Duration // until nobody waits for the answer any more
	Elapsed         time.Duration // since the request arrived
	Priority        int           // 0 is the most important
	ExpectedWait    time.Duration // expected before the upstream begins
	ExpectedLatency time.Duration // until the answer
	BestLatency     time.Duration // until the answer of an upstream that is free and knows the object
	HasFreeSlots    bool          // the service has free slots, though not at the best upstream for this request
}

// Decision is the decision on a request.
type Decision struct {
	Admit      bool
	Reason     string
	RetryAfter time.Duration // when a refused caller should return
}

// Decide returns whether a request should go to its best upstream.
func Decide(r Request) Decision {
	// A free upstream gets a request that an answer could reach in time, even if it does not know the object:
	// it would never come to know it otherwise.
	if r.ExpectedWait+r.BestLatency > r.Remaining || r.ExpectedWait > 0 && r.ExpectedLatency > r.Remaining {
		return refuse(r, "no upstream would answer in time")
	}
	if r.ExpectedWait > MaxWait(r) {
		return refuse(r, "the queue is longer than the route's goal allows")
	}
	return Decision{Admit: true}
}

// MaxWait is the longest wait with which a request is worth a place in the queue.
func MaxWait(r Request) time.Duration {
	wait := r.TargetLatency - r.Elapsed - r.BestLatency
	if r.TargetLatency <= 0 {
		wait = time.Duration(unhurried * float64(r.Remaining))
	}
	if r.HasFreeSlots {
		// A free upstream that does not know the object would answer later still.
		wait *= roomPatience
	}
	part := rankParts[min(max(r.Priority, 0), len(rankParts)-1)]
	return max(time.Duration(part*float64(wait)), leastWait)
}

func refuse(r Request, why string) Decision {
	return Decision{Reason: why, RetryAfter: min(max(r.ExpectedWait, leastAfter), mostAfter)}
}
