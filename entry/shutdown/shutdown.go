package shutdown

import "time"

// FinalAnswerTime is the end of the grace period in which requests that are still running get a final answer.
const FinalAnswerTime = 200 * time.Millisecond

// Request describes a request, before it is sent to an upstream, during a graceful shutdown.
type Request struct {
	Elapsed   time.Duration // since the shutdown began
	Remaining time.Duration // until the deadline of the request, which is the longest time that its upstream may take
}

// Decision says whether a request is accepted, and if not, why.
type Decision struct {
	Accept bool
	Reason string // of the refusal, for the caller
}

// FinalAnswers returns the time since the beginning of a shutdown at which all requests that are still running get a
// final answer.
func FinalAnswers(grace time.Duration) time.Duration { return max(grace-FinalAnswerTime, 0) }

// Decide decides whether a request is sent to an upstream during a shutdown with a grace period. It is accepted only if its
// deadline comes before the final answers: how long upstreams usually take does not tell how long they take this time, and a
// request that is broken off at work may be lost for good. A refused request has not run, and its caller can repeat it at
// another VM at once.
func Decide(grace time.Duration, r Request) Decision {
	if r.Elapsed+r.Remaining > FinalAnswers(grace) {
		return Decision{Reason: "this VM is shutting down and may end before the request does"}
	}
	return Decision{Accept: true}
}

// KeepsIdle reports whether callers' connections without a request are kept for a while, so that no request crosses their
// close. That holds as long as requests with the longest timeout are accepted on them.
func KeepsIdle(grace, elapsed, longestTimeout time.Duration) bool {
	return Decide(grace, Request{Elapsed: elapsed, Remaining: longestTimeout}).Accept
}
