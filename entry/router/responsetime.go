package router

import (
	"math"
	"time"
)

// Parameters of the estimated response time that must remain before the deadline
// when a request is sent.
const (
	targetQuantile   = 0.9              // the estimate is this quantile of recent response times
	quantileStep     = 0.05             // relative change per sample; 45 slow responses in a row raise the estimate 7 times
	quantileHalfLife = 10 * time.Second // without samples the estimate halves in this time, so that a high one does not refuse all requests that could correct it
	timeoutDivisor   = 4                // at most 1/4 of the caller's timeout is reserved, because that may be shorter than any response time
)

// decayingQuantile estimates a quantile of response times. The estimate decays without samples.
type decayingQuantile struct {
	value float64 // seconds
	at    time.Time
}

// observe adds a sample.
func (p *decayingQuantile) observe(now time.Time, elapsed time.Duration) {
	sample, value := elapsed.Seconds(), p.current(now)
	switch {
	case value == 0:
		value = sample
	case sample > value:
		value *= 1 + quantileStep*targetQuantile
	default:
		value *= 1 - quantileStep*(1-targetQuantile)
	}
	p.value, p.at = value, now
}

// observeAtLeast adds a sample of which only a lower bound is known.
func (p *decayingQuantile) observeAtLeast(now time.Time, atLeast time.Duration) {
	if atLeast.Seconds() > p.current(now) {
		p.observe(now, atLeast)
	}
}

// current returns the estimate in seconds, or 0 before the first sample.
func (p *decayingQuantile) current(now time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(now.Sub(p.at))/float64(quantileHalfLife))
}

// latestStart returns when a request must be sent at the latest, so that its
// service, at its recent response time, can answer before the deadline.
func (r *Router) latestStart(q *request) time.Time {
	reserved := time.Duration(q.service.responseQuantile.current(r.now) * float64(time.Second))
	return q.deadline.Add(-min(reserved, q.timeout/timeoutDivisor))
}

// overdue reports whether it is too late to send the request.
func (r *Router) overdue(q *request) bool { return !r.now.Before(r.latestStart(q)) }

// refuseOverdue refuses overdue requests, and extends the timers of requests
// whose service has become faster since they arrived.
func (r *Router) refuseOverdue(out []Effect) []Effect {
	for q := r.timers.first(); q != nil && !r.now.Before(q.latestStart); q = r.timers.first() {
		if r.overdue(q) {
			out = r.refuse(q, r.overdueRefusal(q), out)
			continue
		}
		r.timers.remove(q)
		q.latestStart = r.latestStart(q)
		r.timers.add(q)
	}
	return out
}

// exceedsRate reports whether the workspace certainly gets too few tokens for the
// request and those queued before it, even if this VM had the workspace's full rate.
func (r *Router) exceedsRate(q *request) bool {
	w := q.workspace
	tokens := w.bucket.Tokens(r.now) + w.rate*q.latestStart.Sub(r.now).Seconds()
	return float64(w.queue(q.service).count()+1) > tokens
}

// recordResponseTime adds the response time of an ended attempt to the estimates.
// The time of a failed attempt is only a lower bound.
func (r *Router) recordResponseTime(q *request, upstream *endpoint, e *AttemptEnded) {
	quantile := &q.service.responseQuantile
	switch e.Outcome {
	case Answered, Truncated:
		if e.Elapsed > 0 {
			quantile.observe(r.now, e.Elapsed)
			upstream.observeResponseTime(r.now, q.service, e.Elapsed)
		}
	case Broken, Abandoned:
		elapsed := r.now.Sub(q.sentAt)
		quantile.observeAtLeast(r.now, elapsed)
		if mean := &q.service.responseMean; mean.hasSample && math.Log(elapsed.Seconds()) > mean.value {
			upstream.observeResponseTime(r.now, q.service, elapsed)
		}
	}
}
