package router

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// distance orders endpoints by how far they are from this VM.
type distance uint8

const (
	sameDomain distance = iota
	sameRegion
	far
)

// endpoint is an upstream with this VM's shares of it.
type endpoint struct {
	latest      time.Time // deadline among the requests sent there so far
	address     ident.Address
	slotsID     ident.Limit
	connsID     ident.Limit
	announced   bool
	service     ident.Service
	domain      ident.Domain
	incarnation ident.Incarnation
	leaving     bool
	suspected   bool
	connLimited bool

	region   *region
	distance distance
	base     uint64 // part of the rank that changes only with the view
	slots    limit.Counter
	conns    limit.Counter
	failures failures
	speed    speed
	slow     slowness
	peak     float64 // decaying maximum of used slots, for demands
	peakAt   time.Time
}

func (v *view) endpoint(a ident.Address) *endpoint {
	e := v.endpoints[a]
	if e == nil {
		e = &endpoint{address: a, slotsID: limit.OfSlots(a), connsID: limit.OfConnections(a), distance: far}
		v.endpoints[a] = e
		v.endpointList = append(v.endpointList, e)
	}
	return e
}

// free reports whether one more request may run at the endpoint while the lease of the shares lives.
func (e *endpoint) free() bool {
	return e.slots.Used() < e.slots.Share() &&
		(!e.connLimited || e.conns.Used() < e.conns.Share()) &&
		(!e.region.limited || e.region.counter.Used() < e.region.counter.Share())
}

// take uses a slot, a connection and a place in the region. All are counted
// even where they are not limited, because a limit may be set before they are released.
func (e *endpoint) take(now, deadline time.Time) {
	e.latest = later(e.latest, deadline)
	e.region.latest = later(e.region.latest, deadline)
	e.slots.Use()
	e.conns.Use()
	e.region.counter.Use()
	e.peak = math.Max(e.decayedPeak(now), float64(e.slots.Used()))
	e.peakAt = now
}

func (e *endpoint) decayedPeak(now time.Time) float64 {
	used := float64(e.slots.Used())
	if e.peak <= used {
		return used
	}
	return used + (e.peak-used)*math.Exp(-float64(now.Sub(e.peakAt))/float64(meterSpan))
}

// Shifts of the parts of a rank, the most significant first.
const (
	suspectedShift = 40
	failuresShift  = 32
	distanceShift  = 24
	loadShift      = 8
	loadSteps      = 1 << 10
)

// rank orders candidates, lowest first: active, few failures, near, lightly
// loaded share. The load counts the request to come, times how much slower the
// endpoint answered than its service; loads that upstreams report lag or mislead
// and are left out. The load is also left out where the rest of the rank is
// worse than that of the best candidate so far.
func (e *endpoint) rank(now time.Time, best uint64) uint64 {
	k := e.base
	if e.failures.score > 0 {
		k |= e.failures.class(now) << failuresShift
	}
	if k>>distanceShift > best>>distanceShift {
		return k
	}
	load := uint64(e.slots.Used()+1) * loadSteps / uint64(e.slots.Share())
	if e.slow.ratio > leastSlow {
		load = uint64(float64(load) * e.slow.factor(now))
	}
	return k | load<<loadShift
}

// setBase sets the part of the rank that changes only with the view.
func (e *endpoint) setBase() {
	e.base = uint64(e.distance) << distanceShift
	if e.suspected {
		e.base |= 1 << suspectedShift
	}
}

// Failure scores: one failure counts 1 and halves every failureHalf or with
// each success, so that a single failure does not send traffic far away for long.
const (
	failureHalf    = 5 * time.Second
	shedWeight     = 0.5 // the upstream is alive, only full
	doubtfulScore  = 0.75
	failingScore   = 3
	forgottenScore = 0.05
)

type failures struct {
	score float64
	at    time.Time
}

func (f *failures) add(now time.Time, n float64) {
	f.score = f.decayed(now) + n
	f.at = now
}

func (f *failures) succeeded() {
	f.score /= 2
	if f.score < forgottenScore {
		f.score = 0
	}
}

func (f *failures) decayed(now time.Time) float64 {
	if f.score == 0 {
		return 0
	}
	return f.score * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalf))
}

func (f *failures) class(now time.Time) uint64 {
	switch s := f.decayed(now); {
	case s >= failingScore:
		return 2
	case s >= doubtfulScore:
		return 1
	}
	return 0
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
