package router

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Demands appends what this VM would use of each limit.
//
//   - A workspace wants its decaying arrivals per second plus its waiting
//     requests, which are thus served within a second.
//   - A slots limit wants the decaying maximum of used slots plus a part of the
//     service's waiting requests. The waiting are spread evenly over the active
//     candidates at the least distance, held or not, because these are the
//     endpoints that would be used first; the first ones get the remainder.
//   - Connections want the same as slots, and a region the sum over its endpoints.
//   - A link wants the bytes moved and held back per second.
//   - A shift wants the requests per second that its fraction amounts to.
//
// Every count with units in use reports them, because control may lend a
// lowered share to others only beyond what is still in use here. Other limits of
// which nothing is wanted are left out.
func (r *Router) Demands(at time.Time, out []*rpc.Demand) []*rpc.Demand {
	r.advance(at)
	v := &r.view
	for _, w := range v.workspaceList {
		out = demand(out, limit.OfWorkspace(w.name), w.arrivals.rate(r.now)+float64(w.waiting+w.claiming), w.waiting, 0, 0)
	}
	waiting := v.spread()
	regions := make(map[*region]float64)
	queues := make(map[*region]int)
	for _, e := range v.endpointList {
		n := waiting[e]
		wanted := e.decayedPeak(r.now) + float64(n)
		left := e.latest.Sub(r.now)
		out = demand(out, e.slotsID, wanted, n, e.slots.Used(), left)
		if e.connLimited {
			out = demand(out, e.connsID, wanted, n, e.conns.Used(), left)
		}
		if e.region != nil {
			regions[e.region] += wanted
			queues[e.region] += n
		}
	}
	for _, g := range v.regionList {
		if g.limited {
			out = demand(out, limit.OfRegion(g.name), regions[g], queues[g], g.counter.Used(), g.latest.Sub(r.now))
		}
	}
	for _, l := range v.linkList {
		if l.known {
			out = demand(out, l.id, l.moved.rate(r.now)+l.delayed.rate(r.now), 0, 0, 0)
		}
	}
	for _, s := range v.shiftList {
		if s.known {
			out = demand(out, limit.OfShift(s.name), s.arrivals.rate(r.now), 0, 0, 0)
		}
	}
	return out
}

// leastDemand is below what matters to a plan of shares.
const leastDemand = 0.01

func demand(out []*rpc.Demand, id ident.Limit, wanted float64, waiting int, used uint32, left time.Duration) []*rpc.Demand {
	if wanted < leastDemand && used == 0 {
		return out
	}
	d := &rpc.Demand{Limit: string(id), Wanted: wanted, Waiting: uint32(waiting), Used: used}
	if used > 0 {
		d.UntilMs = max(0, left.Milliseconds()+1)
	}
	return append(out, d)
}

// spread divides the waiting requests of each service among its nearest active candidates.
func (v *view) spread() map[*endpoint]int {
	waiting := make(map[*endpoint]int)
	for _, s := range v.serviceList {
		if s.waiting == 0 {
			continue
		}
		var near []*endpoint
		for _, e := range s.endpoints {
			if e.suspected || len(near) > 0 && e.distance > near[0].distance {
				continue
			}
			if len(near) > 0 && e.distance < near[0].distance {
				near = near[:0]
			}
			near = append(near, e)
		}
		for i, e := range near {
			waiting[e] = s.waiting / len(near)
			if i < s.waiting%len(near) {
				waiting[e]++
			}
		}
	}
	return waiting
}
