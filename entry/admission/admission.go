package admission

import "time"

const (
	// minWait is the wait that every request may have. Shorter queues would leave slots idle between two requests.
	minWait = 100 * time.Millisecond
	// noTargetWaitRatio is the longest wait of a request without a latency target, relative to its remaining time.
	noTargetWaitRatio = 0.5
	// minRetryAfter and maxRetryAfter bound the delay after which refused callers should retry. After a shorter delay
	// the queue is still the same, after a longer one the caller's deadline has passed.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// freeSlotsWaitFactor is the factor on the longest wait at one upstream while the service has free slots elsewhere. All
// requests can be served then, and refusing some would not speed up the others.
const freeSlotsWaitFactor = 2

// priorityWaitFactors are the factors on the longest wait by priority. The last one applies to all lower priorities.
var priorityWaitFactors = []float64{1.3, 1.15, 1, 0.9}

// Request describes a request and the best upstream for it.
type Request struct {
	LatencyTarget   time.Duration // response time that the route aims at; 0 for none
	Remaining       time.Duration // until the caller's deadline
	Elapsed         time.Duration // since the request arrived
	Priority        int           // 0 is the most important
	ExpectedWait    time.Duration // in the upstream's queue
	ExpectedLatency time.Duration // until the response, with ExpectedWait
	BestLatency     time.Duration // until the response of an idle upstream that has the object in its cache
	HasFreeSlots    bool          // the service has free slots, possibly at other upstreams only
}

// Decision says whether a request is admitted, and if not, why.
type Decision struct {
	Admit      bool
	Reason     string        // of the refusal, for the caller
	RetryAfter time.Duration // delay after which a refused caller should retry
}

// Decide decides whether a request is sent to its best upstream.
func Decide(r Request) Decision {
	// An idle upstream gets the request if a warm one could answer in time, even if its own cache is cold: otherwise
	// the object would never get into its cache.
	if r.ExpectedWait+r.BestLatency > r.Remaining || r.ExpectedWait > 0 && r.ExpectedLatency > r.Remaining {
		return refuse(r, "no upstream would answer in time")
	}
	if r.ExpectedWait > MaxWait(r) {
		return refuse(r, "the queue is longer than the route's goal allows")
	}
	return Decision{Admit: true}
}

// MaxWait returns the longest expected wait with which a request is admitted.
func MaxWait(r Request) time.Duration {
	wait := r.LatencyTarget - r.Elapsed - r.BestLatency
	if r.LatencyTarget <= 0 {
		wait = time.Duration(noTargetWaitRatio * float64(r.Remaining))
	}
	if r.HasFreeSlots {
		// An idle upstream without the object in its cache would answer even later.
		wait *= freeSlotsWaitFactor
	}
	factor := priorityWaitFactors[min(max(r.Priority, 0), len(priorityWaitFactors)-1)]
	return max(time.Duration(factor*float64(wait)), minWait)
}

// refuse returns the decision to refuse a request, to be retried after its expected wait.
func refuse(r Request, reason string) Decision {
	return Decision{Reason: reason, RetryAfter: min(max(r.ExpectedWait, minRetryAfter), maxRetryAfter)}
}
