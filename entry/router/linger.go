package router

import "time"

// linger is how long a slot stays taken after an attempt was given up: the upstream runs on
// until it sees the connection close, which takes the way there and its processing.
const linger = 250 * time.Millisecond

// lingering is the slot of an attempt that may still run at its upstream.
type lingering struct {
	endpoint *endpoint
	region   *region
	until    time.Time
}

// free gives back what an attempt used, at once where the upstream ended it.
func (r *Router) free(e *endpoint, g *region, givenUp bool) {
	if givenUp {
		r.lingering = append(r.lingering, lingering{e, g, r.now.Add(linger)})
		return
	}
	e.release(g)
}

// release gives back one slot, connection and place in the region.
func (e *endpoint) release(g *region) {
	e.slots.Release()
	e.conns.Release()
	g.counter.Release()
}

// settle frees the slots whose time is over.
func (r *Router) settle() {
	n := 0
	for n < len(r.lingering) && !r.now.Before(r.lingering[n].until) {
		r.lingering[n].endpoint.release(r.lingering[n].region)
		n++
	}
	if n > 0 {
		r.lingering = append(r.lingering[:0], r.lingering[n:]...)
	}
}
