package router

import (
	"math"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// distance says how far an endpoint is from this VM.
type distance uint8

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// endpoint is an upstream with this VM's shares of it.
type endpoint struct {
	latestDeadline time.Time // of all requests sent there so far
	address        ident.Address
	slotsID        ident.Limit
	connsID        ident.Limit
	announced      bool // in the registry
	service        ident.Service
	domain         ident.Domain
	incarnation    ident.Incarnation
	leaving        bool // control says so
	notice         notice
	suspected      bool
	connLimited    bool // the number of connections is limited

	region       *region
	distance     distance
	baseSortKey  uint64        // part of the sort key that changes only with the view
	slots        limit.Counter // used and allotted slots
	conns        limit.Counter // used and allotted connections
	failures     failureScore
	responseMean logMean
	slowness     slowness
	usedPeak     float64 // maximum of used slots at usedPeakAt, for demands
	usedPeakAt   time.Time
}

func (v *view) endpoint(a ident.Address) *endpoint {
	e := v.endpoints[a]
	if e == nil {
		e = &endpoint{address: a, slotsID: limit.OfSlots(a), connsID: limit.OfConnections(a), distance: otherRegion}
		v.endpoints[a] = e
		v.endpointList = append(v.endpointList, e)
	}
	return e
}

// hasCapacity reports whether one more request may run at the endpoint. It does
// not check the lease of the shares.
func (e *endpoint) hasCapacity() bool {
	return e.slots.Used() < e.slots.Share() &&
		(!e.connLimited || e.conns.Used() < e.conns.Share()) &&
		(!e.region.limited || e.region.counter.Used() < e.region.counter.Share())
}

// acquire uses a slot and a connection of the endpoint and a unit of the region's
// capacity. All three are counted even if they are not limited, because a limit may
// be set before they are released.
func (e *endpoint) acquire(now, deadline time.Time) {
	e.latestDeadline = later(e.latestDeadline, deadline)
	e.region.latestDeadline = later(e.region.latestDeadline, deadline)
	e.slots.Use()
	e.conns.Use()
	e.region.counter.Use()
	e.usedPeak = math.Max(e.decayedUsedPeak(now), float64(e.slots.Used()))
	e.usedPeakAt = now
}

// decayedUsedPeak returns the maximum of used slots, which decays to the number of
// slots in use now.
func (e *endpoint) decayedUsedPeak(now time.Time) float64 {
	used := float64(e.slots.Used())
	if e.usedPeak <= used {
		return used
	}
	return used + (e.usedPeak-used)*math.Exp(-float64(now.Sub(e.usedPeakAt))/float64(meterTimeConstant))
}

// Bit positions of the parts of a sort key, the most significant first. The load is
// counted in steps of 1/loadSteps of the share.
const (
	suspectedShift = 40
	failuresShift  = 32
	distanceShift  = 24
	loadShift      = 8
	loadSteps      = 1 << 10
)

// sortKey returns the key by which candidates are ordered, the best having the
// lowest. It compares, in this order: whether the endpoint is suspected, recent
// failures, distance, and the load of its share. The load includes the request to
// be sent and is multiplied by how much slower than its service the endpoint
// answered. Loads that upstreams report are not used, because they lag or mislead.
// The load is not computed if the rest of the key is already worse than that of
// the best candidate so far.
func (e *endpoint) sortKey(now time.Time, best uint64) uint64 {
	key := e.baseSortKey
	if e.failures.score > 0 {
		key |= e.failures.class(now) << failuresShift
	}
	if key>>distanceShift > best>>distanceShift {
		return key
	}
	load := uint64(e.slots.Used()+1) * loadSteps / uint64(e.slots.Share())
	if e.slowness.ratio > minSlowness {
		load = uint64(float64(load) * e.slowness.loadFactor(now))
	}
	return key | load<<loadShift
}

// setBaseSortKey sets the part of the sort key that changes only with the view.
func (e *endpoint) setBaseSortKey() {
	e.baseSortKey = uint64(e.distance) << distanceShift
	if e.suspected {
		e.baseSortKey |= 1 << suspectedShift
	}
}

// Parameters of the failure score. A failure adds 1. The score halves every
// failureHalfLife and with each success, so that a single failure does not send
// traffic to distant endpoints for long.
const (
	failureHalfLife   = 5 * time.Second
	shedFailureWeight = 0.5  // added instead of 1, because the upstream is alive but overloaded
	unreliableScore   = 0.75 // endpoints with this score or more come after those with lower ones
	failingScore      = 3    // endpoints with this score or more come last
	negligibleScore   = 0.05 // after a success, a lower score is set to 0
)

// failureScore is a decaying count of an endpoint's failures.
type failureScore struct {
	score float64
	at    time.Time
}

func (f *failureScore) add(now time.Time, weight float64) {
	f.score = f.current(now) + weight
	f.at = now
}

func (f *failureScore) recordSuccess() {
	f.score /= 2
	if f.score < negligibleScore {
		f.score = 0
	}
}

func (f *failureScore) current(now time.Time) float64 {
	if f.score == 0 {
		return 0
	}
	return f.score * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// class returns 0 for a reliable endpoint, 1 for an unreliable and 2 for a failing one.
func (f *failureScore) class(now time.Time) uint64 {
	switch s := f.current(now); {
	case s >= failingScore:
		return 2
	case s >= unreliableScore:
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
