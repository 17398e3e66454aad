package router

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Demands appends to out how much of each limit this VM could use.
//
//   - For a workspace: its decaying average of arrivals per second plus its
//     waiting requests, so that these are served within a second.
//   - For the slots of an endpoint: the decaying maximum of used slots plus a part
//     of the service's waiting requests. The waiting requests are divided evenly
//     among the nearest candidates that are not suspected, whether or not this VM
//     has a share of them, because these would be used first. The first ones get
//     the remainder.
//   - For the connections to an endpoint: the same as for its slots.
//   - For a region: the sum over its endpoints.
//   - For a link: the bytes per second that were sent or had to wait.
//   - For a shift: the requests per second that its fraction would move and that
//     would spill to its target.
//
// A count with units in use is always reported, because control may give other VMs
// only the part of a lowered share that is no longer in use here. Other limits
// without demand are left out.
func (r *Router) Demands(at time.Time, out []*rpc.Demand) []*rpc.Demand {
	r.advance(at)
	v := &r.view
	for _, w := range v.workspaceList {
		out = appendDemand(out, limit.OfWorkspace(w.name), w.arrivals.rate(r.now)+float64(w.waiting+w.claiming), w.waiting, 0, 0)
	}
	waitingByEndpoint := v.waitingByEndpoint()
	wantedByRegion := make(map[*region]float64)
	waitingByRegion := make(map[*region]int)
	for _, e := range v.endpointList {
		waiting := waitingByEndpoint[e]
		wanted := e.decayedUsedPeak(r.now) + float64(waiting)
		remaining := e.latestDeadline.Sub(r.now)
		out = appendDemand(out, e.slotsID, wanted, waiting, e.slots.Used(), remaining)
		if e.connLimited {
			out = appendDemand(out, e.connsID, wanted, waiting, e.conns.Used(), remaining)
		}
		if e.region != nil {
			wantedByRegion[e.region] += wanted
			waitingByRegion[e.region] += waiting
		}
	}
	for _, g := range v.regionList {
		if g.limited {
			out = appendDemand(out, limit.OfRegion(g.name), wantedByRegion[g], waitingByRegion[g], g.counter.Used(), g.latestDeadline.Sub(r.now))
		}
	}
	for _, l := range v.linkList {
		if l.configured {
			out = appendDemand(out, l.id, l.movedBytes.rate(r.now)+l.delayedBytes.rate(r.now), 0, 0, 0)
		}
	}
	for _, s := range v.shiftList {
		if s.configured {
			out = appendDemand(out, limit.OfShift(s.name), s.demand.rate(r.now), 0, 0, 0)
		}
	}
	return out
}

// minDemand is the demand below which a limit is left out, because so little does
// not change how shares are allocated.
const minDemand = 0.01

// appendDemand appends the demand for one limit. The remaining time is that until
// the latest deadline of the requests that use it.
func appendDemand(out []*rpc.Demand, id ident.Limit, wanted float64, waiting int, used uint32, remaining time.Duration) []*rpc.Demand {
	if wanted < minDemand && used == 0 {
		return out
	}
	d := &rpc.Demand{Limit: string(id), Wanted: wanted, Waiting: uint32(waiting), Used: used}
	if used > 0 {
		d.UntilMs = max(0, remaining.Milliseconds()+1)
	}
	return append(out, d)
}

// waitingByEndpoint divides the waiting requests of each service among its nearest
// candidates that are not suspected.
func (v *view) waitingByEndpoint() map[*endpoint]int {
	waiting := make(map[*endpoint]int)
	for _, s := range v.serviceList {
		if s.waiting == 0 {
			continue
		}
		var nearest []*endpoint
		for _, e := range s.endpoints {
			if e.suspected || len(nearest) > 0 && e.distance > nearest[0].distance {
				continue
			}
			if len(nearest) > 0 && e.distance < nearest[0].distance {
				nearest = nearest[:0]
			}
			nearest = append(nearest, e)
		}
		for i, e := range nearest {
			waiting[e] = s.waiting / len(nearest)
			if i < s.waiting%len(nearest) {
				waiting[e]++
			}
		}
	}
	return waiting
}
