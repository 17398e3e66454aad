package coordinator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cuminfall.example/control/affinity"
	"cuminfall.example/control/regionbalance"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// planPeriod is how often the plan of objects, and the upstreams that it may use, are made anew: as often as VMs report.
const planPeriod = 500 * time.Millisecond

// told is what a VM knows of its region's flows and objects.
type told struct {
	known, last plan   // by its reports, and as answered last
	at          uint64 // the report whose answer said last
}

// plan is what the callers of one region follow.
type plan struct {
	flows  protocol.RegionWeightsByService
	places protocol.Assignments
}

// answerDemand takes over a VM's demand and answers with what changed for it; h.mu is held.
func (h *Coordinator) answerDemand(now time.Time, region ident.Region, q *protocol.Report, reply *protocol.ReportReply) {
	fresh := now.Sub(h.pooled) >= planPeriod
	if fresh {
		h.takePool(now)
	}
	if q.Full {
		h.plans.Adopt(now, region, q.Assignments, h.regionOf)
	}
	h.spread.Report(now, q.VM.Name, region, q.BusySlots, tiedBusy(q.Pinned))
	h.plans.Report(now, affinity.CallerGroup{Region: region}, q.ObjectRequests, q.ServiceTimes)
	for home, d := range q.Pinned {
		h.plans.Report(now, affinity.CallerGroup{Region: region, PinnedRegion: home}, d.ObjectRequests, nil)
	}
	h.loads.Report(now, q.VM.Name, q.InFlight)
	flows := h.spread.Weights(now, region, h.room, q.RegionWeights)
	if fresh {
		h.plans.Plan(now, h.pool, h.spread.AllWeights())
	}
	reply.Saturated, reply.Utilization = h.loads.Sum(now, h.pool)
	reply.RegionWeights, reply.Assignments = h.news(q, plan{roundedFlows(flows), h.plans.Assignments(region)})
}

func tiedBusy(tied map[ident.Region]protocol.Demand) map[ident.Region]map[ident.Service]float64 {
	busy := make(map[ident.Region]map[ident.Service]float64, len(tied))
	for home, d := range tied {
		busy[home] = d.BusySlots
	}
	return busy
}

// takePool notes the upstreams that may be used, and their slots; h.mu is held.
func (h *Coordinator) takePool(now time.Time) {
	h.pool, h.room, h.pooled = affinity.UsableUpstreams{}, regionbalance.SlotCapacity{}, now
	h.opts.StateMachine.view(func(r *registry.Registry) {
		for _, u := range r.Upstreams {
			if h.pool[u.Service] == nil {
				h.pool[u.Service], h.room[u.Service] = map[ident.Region][]registry.Upstream{}, map[ident.Region]float64{}
			}
			region := h.opts.Regions[u.Domain]
			list, slots := h.pool[u.Service][region], h.room[u.Service][region]
			if u.State == registry.Ready && !r.Drained[u.Domain] {
				list, slots = append(list, u), slots+float64(u.Slots)
			}
			h.pool[u.Service][region], h.room[u.Service][region] = list, slots // known also where none may be used
		}
	})
	for _, by := range h.pool {
		for _, list := range by {
			slices.SortFunc(list, func(a, b registry.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
}

// regionOf returns an upstream's region; empty where it may not be used.
func (h *Coordinator) regionOf(id registry.UpstreamID) ident.Region {
	var region ident.Region
	h.opts.StateMachine.view(func(r *registry.Registry) {
		if u, known := r.Upstreams[id]; known {
			region = h.opts.Regions[u.Domain]
		}
	})
	return region
}

// news returns what a VM does not follow yet; h.mu is held.
func (h *Coordinator) news(q *protocol.Report, now plan) (protocol.RegionWeightsByService, protocol.Assignments) {
	t := h.told[q.VM.Name]
	if t == nil {
		t = &told{}
		h.told[q.VM.Name] = t
	}
	if q.Full {
		t.known = plan{q.RegionWeights, q.Assignments}
	} else if q.AppliedSequence >= t.at {
		t.known = t.last
	}
	t.last = now
	flows, places := newFlows(t.known.flows, now.flows), newPlaces(t.known.places, now.places)
	if len(flows)+len(places) > 0 {
		t.at = q.Sequence
	}
	return flows, places
}

func newFlows(known, now protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	changed := protocol.RegionWeightsByService{}
	for name, flow := range now {
		if !maps.Equal(flow, known[name]) {
			changed[name] = flow
		}
	}
	return changed
}

// newPlaces returns the objects whose upstreams changed; an empty list is for those back at the first of their order.
func newPlaces(known, now protocol.Assignments) protocol.Assignments {
	changed := protocol.Assignments{}
	note := func(name ident.Service, id object.ID, list []registry.UpstreamID) {
		if changed[name] == nil {
			changed[name] = map[object.ID][]registry.UpstreamID{}
		}
		changed[name][id] = list
	}
	for name, by := range now {
		for id, list := range by {
			if !slices.Equal(list, known[name][id]) {
				note(name, id, list)
			}
		}
	}
	for name, by := range known {
		for id := range by {
			if _, still := now[name][id]; !still {
				note(name, id, nil)
			}
		}
	}
	return changed
}

// roundedFlows leaves out the digits of flows that move no request, which would cost VMs on slow links more than the
// flows themselves.
func roundedFlows(flows protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	const digits = 1000
	all := make(protocol.RegionWeightsByService, len(flows))
	for name, f := range flows {
		r := make(protocol.RegionWeights, len(f))
		for region, part := range f {
			if part = math.Round(part*digits) / digits; part > 0 {
				r[region] = part
			}
		}
		all[name] = r
	}
	return all
}
