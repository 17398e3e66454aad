package balancer

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered      Outcome = iota // with an answer of the upstream
	Shed                         // the upstream said that it did not run the request
	Failed                       // the upstream's own failure
	Broken                       // no answer, or a broken one
	ConnectFailed                // no connection could be had
	Abandoned                    // this side gave up for a reason of its own or the caller's
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "shed", "failed", "broken", "unreached", "abandoned"}[o]
}

// AttemptResult is what an attempt showed.
type AttemptResult struct {
	Service    ident.Service
	UpstreamID registry.UpstreamID
	Object     string
	ObjectWarm bool // the choice said so
	Outcome    Outcome
	Elapsed    time.Duration // from the send to the answer, less the trip and the expected wait
	Load       int           // running and waiting requests that the answer told; -1 where it did not
}

// coldPart is how much longer than a warm request the mean one takes once flows have settled.
const coldPart = 1.6

// ServiceTime returns how long a request of a service keeps a slot busy where objects stay at their homes, for one with or
// without an object. What they take while they move is no reason to move more of them.
func (p *Balancer) ServiceTime(name ident.Service, object bool) time.Duration {
	s := p.services[name]
	switch {
	case s == nil:
		return 0
	case !object:
		return s.plain
	}
	return time.Duration(coldPart * float64(s.warm))
}

// BestServiceTime returns how long a request takes at an upstream that is free and knows its object, or 0 before that is known.
func (p *Balancer) BestServiceTime(name ident.Service, object bool) time.Duration {
	if s := p.services[name]; s != nil {
		return s.fastest(object)
	}
	return 0
}

func (s *service) fastest(object bool) time.Duration {
	switch {
	case object && s.seen:
		return s.warm
	case !object && s.plainSeen:
		return s.plain
	}
	return 0
}

// RequestSent notes an attempt that begins.
func (p *Balancer) RequestSent(id registry.UpstreamID) {
	if u := p.upstreams[id]; u != nil {
		u.inflight++
	}
}

// RequestEnded notes how an attempt ended.
func (p *Balancer) RequestEnded(now time.Time, r AttemptResult) {
	u := p.upstreams[r.UpstreamID]
	if u == nil {
		return
	}
	u.inflight = max(0, u.inflight-1)
	if r.Load >= 0 {
		u.tell(now, r.Load)
	}
	switch r.Outcome {
	case Answered:
		p.learn(now, u, r)
	case Shed:
		if r.Load < 0 {
			u.tell(now, max(u.load(now, p.services[u.Service]), int(u.Slots)))
		}
		u.fail(now, 0.5, 0)
	case Failed:
		u.fail(now, 1, 0)
	case Broken:
		u.fail(now, 1, failureHold/2)
	case ConnectFailed:
		u.fail(now, 2, failureHold)
		if now.After(u.cold) {
			// It may have restarted, and be cold before it announces itself again.
			u.cold = now.Add(failureHold)
		}
	case Abandoned:
	}
}

// fail notes a failure with its weight and the time for which the upstream is not used.
func (u *upstream) fail(now time.Time, weight float64, hold time.Duration) {
	u.failures = u.faded(now) + weight
	u.failedAt = now
	if hold > 0 {
		hold = time.Duration(float64(hold) * math.Pow(2, math.Min(u.failures, 8)-1))
		u.until = now.Add(min(hold, maxHold))
	}
}

// learn updates the mean times and where the object is warm.
func (p *Balancer) learn(now time.Time, u *upstream, r AttemptResult) {
	s := p.services[u.Service]
	elapsed := max(r.Elapsed, time.Millisecond)
	mean, ratio := s.classify(r, elapsed)
	u.slow += slowSmoothing * (math.Min(math.Max(ratio, 0.3), 10) - u.slow)
	// One slow upstream must not make the whole service look slow.
	if mean != nil {
		*mean += time.Duration(smoothing * float64(min(elapsed, 3**mean)-*mean))
	}
	if r.Object != "" || !s.seen { // where requests have objects, those without one are tests of routes
		s.mean += time.Duration(smoothing * float64(min(elapsed, 2*s.cold)-s.mean))
	}
	u.failures = math.Max(0, u.faded(now)-0.2)
	u.failedAt = now
	if r.Object != "" {
		s.remember(now, r.Object, r.UpstreamID)
	}
}

// forgottenPart is how much longer than the mean request for a new object one may take that is taken for such. What
// takes longer still tells of the upstream.
const forgottenPart = 1.3

// classify returns the mean that an answer counts towards, or none where that is not clear, and how much longer than
// usual it took. An upstream may have learned the object from another VM, or forgotten it meanwhile: taken for
// slow answers of known objects, those would let the two means meet, so that objects spread as if that cost nothing.
func (s *service) classify(r AttemptResult, elapsed time.Duration) (mean *time.Duration, ratio float64) {
	if r.Object == "" {
		s.plainSeen = true
		return &s.plain, float64(elapsed) / float64(s.plain)
	}
	s.seen = true
	switch fast := elapsed < (s.cold+s.warm)/2; {
	case fast:
		return &s.warm, float64(elapsed) / float64(s.warm)
	case !r.ObjectWarm:
		return &s.cold, float64(elapsed) / float64(s.cold)
	case float64(elapsed) < forgottenPart*float64(s.cold):
		return nil, float64(elapsed) / float64(s.cold)
	}
	return nil, float64(elapsed) / float64(s.warm)
}

func (s *service) remember(now time.Time, key string, id registry.UpstreamID) {
	o := s.objects[key]
	if o == nil {
		if len(s.objects) >= maxObjects {
			s.forget(now)
		}
		o = &known{}
		s.objects[key] = o
	}
	o.used = now
	oldest := 0
	for i, w := range o.at {
		if w.id == id {
			oldest = i
			break
		}
		if w.used.Before(o.at[oldest].used) {
			oldest = i
		}
	}
	o.at[oldest] = place{id, now}
}

// forget drops objects that are no longer warm, or all where that frees nothing.
func (s *service) forget(now time.Time) {
	for k, o := range s.objects {
		if now.Sub(o.used) > warmMemory {
			delete(s.objects, k)
		}
	}
	if len(s.objects) >= maxObjects {
		clear(s.objects)
	}
}
