package router

import (
	"math"
	"time"
)

// Parameters of the response time that a dispatch leaves room for.
const (
	paceQuantile = 0.9              // of recent response times
	paceStep     = 0.05             // relative step per sample; 45 slow answers in a row raise the value 7 times
	paceHalf     = 10 * time.Second // the value halves in this time without samples, so that it cannot refuse all that would renew it
	pacePart     = 4                // at most this fraction of a caller's own time-out, which may be shorter than any answer
)

// pace is a decaying quantile of response times.
type pace struct {
	value float64 // seconds
	at    time.Time
}

// observe adds a sample.
func (p *pace) observe(now time.Time, elapsed time.Duration) {
	x, v := elapsed.Seconds(), p.recent(now)
	switch {
	case v == 0:
		v = x
	case x > v:
		v *= 1 + paceStep*paceQuantile
	default:
		v *= 1 - paceStep*(1-paceQuantile)
	}
	p.value, p.at = v, now
}

// exceed adds a sample of which only a lower bound is known.
func (p *pace) exceed(now time.Time, atLeast time.Duration) {
	if atLeast.Seconds() > p.recent(now) {
		p.observe(now, atLeast)
	}
}

// recent returns the quantile in seconds, or 0 before the first sample.
func (p *pace) recent(now time.Time) float64 {
	if p.value == 0 {
		return 0
	}
	return p.value * math.Exp2(-float64(now.Sub(p.at))/float64(paceHalf))
}

// latestStart returns when a request must be sent at the latest, so that its
// service can answer before the deadline by its recent response time.
func (r *Router) latestStart(q *request) time.Time {
	need := time.Duration(q.service.pace.recent(r.now) * float64(time.Second))
	return q.deadline.Add(-min(need, q.timeout/pacePart))
}

// overdue reports whether the request can no longer be answered in time.
func (r *Router) overdue(q *request) bool { return !r.now.Before(r.latestStart(q)) }

// endOverdue refuses what is overdue, and moves the timers of requests whose
// service has become faster since they arrived.
func (r *Router) endOverdue(out []Effect) []Effect {
	for q := r.timers.first(); q != nil && !r.now.Before(q.latest); q = r.timers.first() {
		if r.overdue(q) {
			out = r.refuse(q, r.expired(q), out)
			continue
		}
		r.timers.remove(q)
		q.latest = r.latestStart(q)
		r.timers.add(q)
	}
	return out
}

// hopeless reports whether the tokens of a request's workspace certainly do not
// suffice for it and those ahead of it, even if this VM had the whole rate.
func (r *Router) hopeless(q *request) bool {
	w := q.workspace
	tokens := w.bucket.Tokens(r.now) + w.rate*q.latest.Sub(r.now).Seconds()
	return float64(w.queue(q.service).count()+1) > tokens
}

// sample notes the response time of an ended attempt.
func (r *Router) sample(q *request, at *endpoint, e *AttemptEnded) {
	p := &q.service.pace
	switch e.Outcome {
	case Answered, Truncated:
		if e.Elapsed > 0 {
			p.observe(r.now, e.Elapsed)
			at.observe(r.now, q.service, e.Elapsed)
		}
	case Broken, Abandoned:
		took := r.now.Sub(q.sentAt)
		p.exceed(r.now, took)
		if s := &q.service.speed; s.known && math.Log(took.Seconds()) > s.log {
			at.observe(r.now, q.service, took)
		}
	}
}
