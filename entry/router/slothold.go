package router

import "time"

// slotHoldTime is how long a slot stays in use after this VM aborted an attempt. The
// upstream continues until it sees the connection close, which takes the network
// latency and its own processing.
const slotHoldTime = 250 * time.Millisecond

// slotHold is the slot of an aborted attempt that may still run at its upstream.
type slotHold struct {
	endpoint *endpoint
	region   *region
	expiry   time.Time
}

// releaseAttempt releases the capacity that an attempt used: now, or after slotHoldTime
// if this VM aborted the attempt.
func (r *Router) releaseAttempt(e *endpoint, g *region, aborted bool) {
	if aborted {
		r.slotHolds = append(r.slotHolds, slotHold{e, g, r.now.Add(slotHoldTime)})
		return
	}
	e.release(g)
}

// release releases one slot and one connection of the endpoint and one unit of
// the region's capacity.
func (e *endpoint) release(g *region) {
	e.slots.Release()
	e.conns.Release()
	g.counter.Release()
}

// releaseExpiredHolds releases the slots whose hold time has ended.
func (r *Router) releaseExpiredHolds() {
	released := 0
	for released < len(r.slotHolds) && !r.now.Before(r.slotHolds[released].expiry) {
		r.slotHolds[released].endpoint.release(r.slotHolds[released].region)
		released++
	}
	if released > 0 {
		r.slotHolds = append(r.slotHolds[:0], r.slotHolds[released:]...)
	}
}
