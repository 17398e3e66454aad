package throttle

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Bounds are the bounds that hold for all VMs together.
type Bounds struct {
	RetryRatio  float64       // second sends, as a part of a service's requests
	RetryWindow time.Duration // over which they count
	RetrySlack  float64       // on top of the part
	RateWindow  time.Duration // over which a workspace's requests count
	ColdExcess  float64       // factor on a cold upstream's rate
	ColdSlack   float64       // requests on top of that
}

// window counts events of a sliding time span in fixed parts.
type window struct {
	parts [10]float64
	at    int64 // number of the newest part
}

func (w *window) advance(now time.Time, span time.Duration) {
	at := now.UnixNano() / int64(span/time.Duration(len(w.parts)))
	if at-w.at >= int64(len(w.parts)) {
		w.parts = [10]float64{}
		w.at = at
		return
	}
	for w.at < at {
		w.at++
		w.parts[w.at%int64(len(w.parts))] = 0
	}
}

func (w *window) add(now time.Time, span time.Duration, n float64) {
	w.advance(now, span)
	w.parts[w.at%int64(len(w.parts))] += n
}

func (w *window) sum(now time.Time, span time.Duration) float64 {
	w.advance(now, span)
	total := 0.0
	for _, p := range w.parts {
		total += p
	}
	return total
}

// Meter measures a rate over the last seconds; its zero value is ready for use.
type Meter struct{ window window }

// Add counts n now.
func (m *Meter) Add(now time.Time, n float64) { m.window.add(now, demandSpan, n) }

// PerSecond returns the mean of what was added.
func (m *Meter) PerSecond(now time.Time) float64 {
	return m.window.sum(now, demandSpan) / demandSpan.Seconds()
}

// RetryBudget bounds second sends by service; its zero value allows none.
type RetryBudget struct {
	Bounds   Bounds
	VMs      int // that share the slack
	requests map[ident.Service]*window
	sends    map[ident.Service]*window
}

// AddRequest counts a request of a service.
func (r *RetryBudget) AddRequest(now time.Time, s ident.Service) {
	if r.Bounds.RetryWindow <= 0 {
		return
	}
	at(&r.requests, s).add(now, r.Bounds.RetryWindow, 1)
}

// safety keeps a part of the bound for what the windows of the VMs and of the deployment cut differently.
const safety = 0.8

// Take counts one more second send if the bound allows it.
func (r *RetryBudget) Take(now time.Time, s ident.Service) bool {
	if r.Bounds.RetryWindow <= 0 {
		return false
	}
	most := r.Bounds.RetryRatio*at(&r.requests, s).sum(now, r.Bounds.RetryWindow)*safety + r.Bounds.RetrySlack*safety/float64(max(r.VMs, 1))
	sent := at(&r.sends, s)
	if sent.sum(now, r.Bounds.RetryWindow)+1 > most {
		return false
	}
	sent.add(now, r.Bounds.RetryWindow, 1)
	return true
}

func at(m *map[ident.Service]*window, s ident.Service) *window {
	if *m == nil {
		*m = map[ident.Service]*window{}
	}
	w := (*m)[s]
	if w == nil {
		w = &window{}
		(*m)[s] = w
	}
	return w
}

// coldSpan is the time over which a cold upstream's requests count.
const coldSpan = time.Second

// ColdStartLimiter bounds the requests to cold upstreams.
type ColdStartLimiter struct {
	Bounds Bounds
	sends  map[registry.UpstreamID]*[]time.Time
}

// Admits reports whether a cold upstream may get one more request from this VM, which is one of sharers.
func (c *ColdStartLimiter) Admits(now time.Time, id registry.UpstreamID, rate ident.RequestRate, sharers int) bool {
	most := (float64(rate)*c.Bounds.ColdExcess + c.Bounds.ColdSlack) / float64(max(sharers, 1))
	return float64(len(c.recent(now, id)))+1 <= most
}

// RecordSend counts a request to a cold upstream.
func (c *ColdStartLimiter) RecordSend(now time.Time, id registry.UpstreamID) {
	list := append(c.recent(now, id), now)
	c.sends[id] = &list
}

// recent returns the sends that may arrive within the same span as one that is sent now.
func (c *ColdStartLimiter) recent(now time.Time, id registry.UpstreamID) []time.Time {
	if c.sends == nil {
		c.sends = map[registry.UpstreamID]*[]time.Time{}
	}
	list := c.sends[id]
	if list == nil {
		return nil
	}
	kept := (*list)[:0]
	for _, t := range *list {
		if now.Sub(t) < coldSpan+coldSpan/5 {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		delete(c.sends, id)
	} else {
		*list = kept
	}
	return kept
}
