package balancer

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/registry"
)

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered      Outcome = iota // the upstream answered
	Shed                         // the upstream answered that it did not execute the request
	Failed                       // the upstream answered with a failure of its own
	Broken                       // no response or an incomplete one
	ConnectFailed                // no connection could be established
	Abandoned                    // aborted by this VM or the caller
	Withheld                     // not sent, because the upstream became restricted after it was chosen
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"answered", "shed", "failed", "broken", "unreached", "abandoned", "withheld"}[o]
}

// AttemptResult describes an attempt that has ended.
type AttemptResult struct {
	Service    ident.Service
	UpstreamID registry.UpstreamID
	Object     string
	ObjectWarm bool // as in the Choice
	Outcome    Outcome
	Elapsed    time.Duration // from sending to the response, less the round trip and the expected wait
	LeaseNow   time.Time     // as in the Query
	Load       int           // running and waiting requests that the upstream reported; -1 if it did not
}

// meanToWarmRatio is the ratio of the mean service time to that with a warm cache while objects do not move between
// upstreams.
const meanToWarmRatio = 1.6

// ServiceTime returns how long a request of a service, with or without an object, occupies a slot while objects do not
// move between upstreams. The longer times during moves are left out because they would cause further moves.
func (b *Balancer) ServiceTime(name ident.Service, object bool) time.Duration {
	s := b.services[name]
	switch {
	case s == nil:
		return 0
	case !object:
		return s.noObjectTime
	}
	return time.Duration(meanToWarmRatio * float64(s.warmTime))
}

// BestServiceTime returns the service time of a request, with or without an object, at an upstream that has the object
// in its cache. It returns 0 if there was no response for bestServiceTimeTTL.
func (b *Balancer) BestServiceTime(now time.Time, name ident.Service, object bool) time.Duration {
	if s := b.services[name]; s != nil {
		return s.bestServiceTime(now, object)
	}
	return 0
}

// bestServiceTimeTTL is how long a best service time is used after the last response. Requests that it does not leave
// enough time for are refused, so a time that was measured while this VM was suspended or overloaded would never be
// corrected.
const bestServiceTimeTTL = 2 * time.Second

// bestServiceTime is BestServiceTime for one service.
func (s *service) bestServiceTime(now time.Time, object bool) time.Duration {
	switch {
	case object && now.Sub(s.objectMeasuredAt) < bestServiceTimeTTL:
		return s.warmTime
	case !object && now.Sub(s.noObjectMeasuredAt) < bestServiceTimeTTL:
		return s.noObjectTime
	}
	return 0
}

// RequestSent records that an attempt has begun. RequestEnded must follow.
func (b *Balancer) RequestSent(leaseNow time.Time, id registry.UpstreamID) {
	if u := b.upstreams[id]; u != nil {
		u.inFlight++
		u.requestSent(leaseNow)
	}
}

// RequestEnded records the result of an attempt.
func (b *Balancer) RequestEnded(now time.Time, r AttemptResult) {
	u := b.upstreams[r.UpstreamID]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	u.requestEnded(r.LeaseNow, r.Outcome)
	if r.Load >= 0 {
		u.recordReportedLoad(now, r.Load)
	}
	switch r.Outcome {
	case Answered:
		b.recordResponse(now, u, r)
	case Shed:
		if r.Load < 0 {
			u.recordReportedLoad(now, max(u.estimatedLoad(now, b.services[u.Service]), int(u.Slots)))
		}
		u.recordFailure(now, 0.5, 0)
	case Failed:
		u.recordFailure(now, 1, 0)
	case Broken:
		u.recordFailure(now, 1, failureBackoff/2)
	case ConnectFailed:
		u.recordFailure(now, 2, failureBackoff)
		if now.After(u.coldExpiry) {
			// It may have restarted, and is then cold before it announces itself again.
			u.coldExpiry = now.Add(failureBackoff)
		}
	case Abandoned, Withheld:
	}
}

// recordFailure adds a failure with its weight. If backoff is positive, the upstream is avoided for that time, doubled
// for each failure beyond the first that still counts.
func (u *upstream) recordFailure(now time.Time, weight float64, backoff time.Duration) {
	u.failures = u.decayedFailures(now) + weight
	u.failuresUpdatedAt = now
	if backoff > 0 {
		backoff = time.Duration(float64(backoff) * math.Pow(2, math.Min(u.failures, 8)-1))
		u.backoffExpiry = now.Add(min(backoff, maxFailureBackoff))
	}
}

// recordResponse updates the mean times and marks the object as warm at the upstream.
func (b *Balancer) recordResponse(now time.Time, u *upstream, r AttemptResult) {
	s := b.services[u.Service]
	elapsed := max(r.Elapsed, time.Millisecond)
	if r.Object == "" {
		s.noObjectMeasuredAt = now
	} else {
		s.objectMeasuredAt = now
	}
	mean, ratio := s.classifyResponse(r, elapsed)
	u.slowness += slownessSmoothing * (math.Min(math.Max(ratio, 0.3), 10) - u.slowness)
	// Each sample is capped so that one slow upstream does not raise the service's means much.
	if mean != nil {
		*mean += time.Duration(serviceTimeSmoothing * float64(min(elapsed, 3**mean)-*mean))
	}
	if r.Object != "" || s.objectMeasuredAt.IsZero() { // if a service's requests have objects, those without one only test routes
		s.meanTime += time.Duration(serviceTimeSmoothing * float64(min(elapsed, 2*s.coldTime)-s.meanTime))
	}
	u.failures = math.Max(0, u.decayedFailures(now)-0.2)
	u.failuresUpdatedAt = now
	if r.Object != "" {
		s.markWarm(now, object.IDOf(r.Object), r.UpstreamID)
	}
}

// maxColdRatio bounds the time of a response, relative to coldTime, that is attributed to a cold cache although the
// object was assumed to be warm. A longer time is attributed to a slow upstream.
const maxColdRatio = 1.3

// classifyResponse returns the mean that a response is a sample of, or nil if that is not clear, and the ratio of its
// time to the expected time. An upstream may have cached the object for another VM, or evicted it. If such responses
// counted as samples of the wrong mean, warmTime and coldTime would converge, and objects would spread as if that cost
// nothing.
func (s *service) classifyResponse(r AttemptResult, elapsed time.Duration) (mean *time.Duration, ratio float64) {
	if r.Object == "" {
		return &s.noObjectTime, float64(elapsed) / float64(s.noObjectTime)
	}
	switch fast := elapsed < (s.coldTime+s.warmTime)/2; {
	case fast:
		return &s.warmTime, float64(elapsed) / float64(s.warmTime)
	case !r.ObjectWarm:
		return &s.coldTime, float64(elapsed) / float64(s.coldTime)
	case float64(elapsed) < maxColdRatio*float64(s.coldTime):
		return nil, float64(elapsed) / float64(s.coldTime)
	}
	return nil, float64(elapsed) / float64(s.warmTime)
}

// markWarm records that an upstream has handled an object. It replaces the least recently used of the object's
// upstreams.
func (s *service) markWarm(now time.Time, name object.ID, id registry.UpstreamID) {
	o := s.objects[name]
	if o == nil {
		if len(s.objects) >= maxObjectsPerService {
			s.evictObjects(now)
		}
		o = &warmObject{}
		s.objects[name] = o
	}
	o.lastUsed = now
	slot := 0
	for i, w := range o.upstreams {
		if w.id == id {
			slot = i
			break
		}
		if w.lastUsed.Before(o.upstreams[slot].lastUsed) {
			slot = i
		}
	}
	o.upstreams[slot] = warmUpstream{id, now}
}

// evictObjects drops objects that are no longer warm, or all objects if none of them expired.
func (s *service) evictObjects(now time.Time) {
	for k, o := range s.objects {
		if now.Sub(o.lastUsed) > objectWarmTTL {
			delete(s.objects, k)
		}
	}
	if len(s.objects) >= maxObjectsPerService {
		clear(s.objects)
	}
}
