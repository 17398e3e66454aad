package throttle

import (
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Bounds are the limits that hold for all VMs together.
type Bounds struct {
	RetryRatio     float64       // largest ratio of a service's retries to its requests
	RetryWindow    time.Duration // time over which RetryRatio applies
	RetrySlack     float64       // number of retries allowed in addition to the ratio
	RateWindow     time.Duration // time over which a workspace's requests are counted
	ColdRateFactor float64       // factor on the rate that a cold upstream may get
	ColdSlack      float64       // number of requests allowed in addition to that rate
}

// window counts events in a sliding time span, which it divides into buckets.
type window struct {
	buckets [10]float64
	newest  int64 // number of the newest bucket since the Unix epoch
}

// advance clears the buckets that are older than the span.
func (w *window) advance(now time.Time, span time.Duration) {
	current := now.UnixNano() / int64(span/time.Duration(len(w.buckets)))
	if current-w.newest >= int64(len(w.buckets)) {
		w.buckets = [10]float64{}
		w.newest = current
		return
	}
	for w.newest < current {
		w.newest++
		w.buckets[w.newest%int64(len(w.buckets))] = 0
	}
}

// add counts n events now.
func (w *window) add(now time.Time, span time.Duration, n float64) {
	w.advance(now, span)
	w.buckets[w.newest%int64(len(w.buckets))] += n
}

// remove takes back n events that were counted at a time.
func (w *window) remove(at time.Time, span time.Duration, n float64) {
	bucket := at.UnixNano() / int64(span/time.Duration(len(w.buckets)))
	if w.newest-bucket < int64(len(w.buckets)) {
		i := bucket % int64(len(w.buckets))
		w.buckets[i] = max(0, w.buckets[i]-n)
	}
}

// total returns the number of events in the span that ends now.
func (w *window) total(now time.Time, span time.Duration) float64 {
	w.advance(now, span)
	sum := 0.0
	for _, n := range w.buckets {
		sum += n
	}
	return sum
}

// Meter measures a rate over the last 2 s. The zero value is ready for use.
type Meter struct{ window window }

// Add counts n events now.
func (m *Meter) Add(now time.Time, n float64) { m.window.add(now, DemandWindow, n) }

// PerSecond returns the mean number of events per second.
func (m *Meter) PerSecond(now time.Time) float64 {
	return m.window.total(now, DemandWindow) / DemandWindow.Seconds()
}

// RetryBudget limits the retries of each service. The zero value allows none.
type RetryBudget struct {
	Bounds   Bounds
	VMs      int // number of VMs that share Bounds.RetrySlack
	requests map[ident.Service]*window
	retries  map[ident.Service]*window
}

// AddRequest counts a request of a service.
func (r *RetryBudget) AddRequest(now time.Time, s ident.Service) {
	if r.Bounds.RetryWindow <= 0 {
		return
	}
	windowOf(&r.requests, s).add(now, r.Bounds.RetryWindow, 1)
}

// safetyFactor reduces the retry bound, because the VMs and the deployment count over slightly different windows.
const safetyFactor = 0.8

// Take counts one more retry and returns true if the bound allows it.
func (r *RetryBudget) Take(now time.Time, s ident.Service) bool {
	if r.Bounds.RetryWindow <= 0 {
		return false
	}
	maxRetries := r.Bounds.RetryRatio*windowOf(&r.requests, s).total(now, r.Bounds.RetryWindow)*safetyFactor + r.Bounds.RetrySlack*safetyFactor/float64(max(r.VMs, 1))
	retries := windowOf(&r.retries, s)
	if retries.total(now, r.Bounds.RetryWindow)+1 > maxRetries {
		return false
	}
	retries.add(now, r.Bounds.RetryWindow, 1)
	return true
}

// Renew counts a retry that was taken at a time as taken now. It returns false, and no longer counts the retry, if the
// bound does not allow it any more.
func (r *RetryBudget) Renew(now, takenAt time.Time, s ident.Service) bool {
	if r.Bounds.RetryWindow <= 0 {
		return false
	}
	windowOf(&r.retries, s).remove(takenAt, r.Bounds.RetryWindow, 1)
	return r.Take(now, s)
}

// windowOf returns the window of a service and creates it if there is none.
func windowOf(windows *map[ident.Service]*window, s ident.Service) *window {
	if *windows == nil {
		*windows = map[ident.Service]*window{}
	}
	w := (*windows)[s]
	if w == nil {
		w = &window{}
		(*windows)[s] = w
	}
	return w
}

// coldStartWindow is the time over which the requests to a cold upstream are counted.
const coldStartWindow = time.Second

// ColdStartLimiter limits the requests to each cold upstream.
type ColdStartLimiter struct {
	Bounds Bounds
	sends  map[registry.UpstreamID]*[]time.Time
}

// Admits reports whether a cold upstream may get one more request from this VM. The rate is what the upstream can serve
// per second, and sharers is the number of VMs that share it.
func (c *ColdStartLimiter) Admits(now time.Time, id registry.UpstreamID, rate ident.RequestRate, sharers int) bool {
	maxRequests := (float64(rate)*c.Bounds.ColdRateFactor + c.Bounds.ColdSlack) / float64(max(sharers, 1))
	return float64(len(c.recentSends(now, id)))+1 <= maxRequests
}

// RecordSend counts a request that is sent to a cold upstream now.
func (c *ColdStartLimiter) RecordSend(now time.Time, id registry.UpstreamID) {
	sends := append(c.recentSends(now, id), now)
	c.sends[id] = &sends
}

// Refund takes back a request that RecordSend counted at a time.
func (c *ColdStartLimiter) Refund(at time.Time, id registry.UpstreamID) {
	if sends := c.sends[id]; sends != nil {
		if i := slices.IndexFunc(*sends, at.Equal); i >= 0 {
			*sends = slices.Delete(*sends, i, i+1)
		}
	}
}

// recentSends returns the times of the requests that may arrive within the same coldStartWindow as one that is sent
// now. Their age is up to a fifth longer than coldStartWindow, because requests take different times to arrive.
func (c *ColdStartLimiter) recentSends(now time.Time, id registry.UpstreamID) []time.Time {
	if c.sends == nil {
		c.sends = map[registry.UpstreamID]*[]time.Time{}
	}
	sends := c.sends[id]
	if sends == nil {
		return nil
	}
	recent := (*sends)[:0]
	for _, t := range *sends {
		if now.Sub(t) < coldStartWindow+coldStartWindow/5 {
			recent = append(recent, t)
		}
	}
	if len(recent) == 0 {
		delete(c.sends, id)
	} else {
		*sends = recent
	}
	return recent
}
