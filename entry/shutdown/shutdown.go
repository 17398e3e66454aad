package shutdown

import "time"

const (
	// lateShare is the part of the grace period after which requests count as late, and maxLateAfter its longest time.
	// An earlier request that still runs at the end may get an error in place of its answer; a late one must be answered.
	lateShare    = 0.5
	maxLateAfter = 3 * time.Second
	// noticeTime is how long after the signal a busy VM may begin its shutdown, from which the time of requests counts.
	noticeTime = 100 * time.Millisecond
	// earlyLatencyFactor and lateLatencyFactor are how many times its expected latency a request must have left until
	// the final answers. Few requests take three times as long as expected.
	earlyLatencyFactor = 1.5
	lateLatencyFactor  = 3
	// FinalAnswerTime is the end of the grace period in which requests that are still running get a final answer.
	FinalAnswerTime = 200 * time.Millisecond
)

// Request describes a request, before it is sent to an upstream, during a graceful shutdown.
type Request struct {
	Elapsed         time.Duration // since the shutdown began
	ExpectedLatency time.Duration // until the upstream's response
	Streamed        bool          // its body is long and may still be arriving
}

// Decision says whether a request is accepted, and if not, why.
type Decision struct {
	Accept bool
	Reason string // of the refusal, for the caller
}

// FinalAnswers returns the time since the beginning of a shutdown at which all requests that are still running get a
// final answer.
func FinalAnswers(grace time.Duration) time.Duration { return max(grace-FinalAnswerTime, 0) }

// Decide decides whether a request is sent to an upstream during a shutdown with a grace period. A refused request has
// not run, and its caller can repeat it at another VM at once.
func Decide(grace time.Duration, r Request) Decision {
	factor := earlyLatencyFactor
	if r.Elapsed >= min(time.Duration(lateShare*float64(grace)), maxLateAfter-noticeTime) {
		if r.Streamed {
			return Decision{Reason: "this VM is shutting down and the request body may arrive too late"}
		}
		factor = lateLatencyFactor
	}
	if remaining := FinalAnswers(grace) - r.Elapsed; remaining <= 0 || time.Duration(factor*float64(r.ExpectedLatency)) > remaining {
		return Decision{Reason: "this VM is shutting down and the request may not be answered in time"}
	}
	return Decision{Accept: true}
}
