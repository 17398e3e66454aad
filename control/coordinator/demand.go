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
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// planInterval is how often the object assignments and the set of usable upstreams are recomputed: as often as VMs
// report.
const planInterval = 500 * time.Millisecond

// vmPlan tracks which region weights and object assignments one VM has applied.
type vmPlan struct {
	applied, sent callerPlan // as of the VM's reports, and of the last reply
	sentSequence  uint64     // sequence of the report whose reply last contained a change
}

// callerPlan holds the region weights and object assignments for the callers of one region.
type callerPlan struct {
	weights     protocol.RegionWeightsByService
	assignments protocol.Assignments
}

// handleDemand records a VM's demand and adds the changes that it has to apply to the reply. The caller holds c.mu.
func (c *Coordinator) handleDemand(now time.Time, region ident.Region, q *protocol.Report, reply *protocol.ReportReply) {
	replan := now.Sub(c.usableUpdated) >= planInterval
	if replan {
		c.refreshUsable(now)
	}
	if q.Full {
		c.objectPlanner.Adopt(now, region, q.Assignments, c.regionOf)
	}
	c.regionBalancer.Report(now, q.VM.Name, region, q.BusySlots, pinnedBusySlots(q.Pinned))
	c.objectPlanner.Report(now, affinity.CallerGroup{Region: region}, q.ObjectRequests, q.ServiceTimes)
	for pinnedRegion, d := range q.Pinned {
		c.objectPlanner.Report(now, affinity.CallerGroup{Region: region, PinnedRegion: pinnedRegion}, d.ObjectRequests, nil)
	}
	c.loadTracker.Report(now, q.VM.Name, q.InFlight)
	weights := c.regionBalancer.Weights(now, region, c.slotCapacity, q.RegionWeights)
	if replan {
		c.objectPlanner.Plan(now, c.usable, c.regionBalancer.AllWeights())
	}
	reply.Saturated, reply.Utilization = c.loadTracker.Sum(now, c.usable)
	reply.RegionWeights, reply.Assignments = c.planChanges(q, callerPlan{roundedWeights(weights), c.objectPlanner.Assignments(region)})
}

// pinnedBusySlots returns the busy slots of pinned requests by region and service.
func pinnedBusySlots(pinned map[ident.Region]protocol.Demand) map[ident.Region]map[ident.Service]float64 {
	busy := make(map[ident.Region]map[ident.Service]float64, len(pinned))
	for pinnedRegion, d := range pinned {
		busy[pinnedRegion] = d.BusySlots
	}
	return busy
}

// refreshUsable updates the usable upstreams and their slot capacity from the registry, without those that told a VM that
// they leave. The caller holds c.mu.
func (c *Coordinator) refreshUsable(now time.Time) {
	c.usable, c.slotCapacity, c.usableUpdated = affinity.UsableUpstreams{}, regionbalance.SlotCapacity{}, now
	c.opts.StateMachine.view(func(r *registry.Registry) {
		for _, u := range r.Upstreams {
			if c.usable[u.Service] == nil {
				c.usable[u.Service], c.slotCapacity[u.Service] = map[ident.Region][]registry.Upstream{}, map[ident.Region]float64{}
			}
			region := c.opts.Regions[u.Domain]
			list, slots := c.usable[u.Service][region], c.slotCapacity[u.Service][region]
			if u.State == registry.Ready && !r.Drained[u.Domain] && !c.observations.Has(now, observation.LeavingFact(u)) {
				list, slots = append(list, u), slots+float64(u.Slots)
			}
			c.usable[u.Service][region], c.slotCapacity[u.Service][region] = list, slots // a region without usable upstreams has an entry too
		}
	})
	for _, byRegion := range c.usable {
		for _, list := range byRegion {
			slices.SortFunc(list, func(a, b registry.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
}

// regionOf returns the region of an upstream, or nothing if the registry does not contain it.
func (c *Coordinator) regionOf(id registry.UpstreamID) ident.Region {
	var region ident.Region
	c.opts.StateMachine.view(func(r *registry.Registry) {
		if u, known := r.Upstreams[id]; known {
			region = c.opts.Regions[u.Domain]
		}
	})
	return region
}

// planChanges returns the weights and assignments that a VM has not applied yet. The caller holds c.mu.
func (c *Coordinator) planChanges(q *protocol.Report, current callerPlan) (protocol.RegionWeightsByService, protocol.Assignments) {
	plan := c.vmPlans[q.VM.Name]
	if plan == nil {
		plan = &vmPlan{}
		c.vmPlans[q.VM.Name] = plan
	}
	if q.Full {
		plan.applied = callerPlan{q.RegionWeights, q.Assignments}
	} else if q.AppliedSequence >= plan.sentSequence {
		plan.applied = plan.sent
	}
	plan.sent = current
	weights, assignments := changedWeights(plan.applied.weights, current.weights), changedAssignments(plan.applied.assignments, current.assignments)
	if len(weights)+len(assignments) > 0 {
		plan.sentSequence = q.Sequence
	}
	return weights, assignments
}

// changedWeights returns the weights of services where they differ from the applied ones.
func changedWeights(applied, current protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	changed := protocol.RegionWeightsByService{}
	for name, weights := range current {
		if !maps.Equal(weights, applied[name]) {
			changed[name] = weights
		}
	}
	return changed
}

// changedAssignments returns the objects whose assigned upstreams changed. An empty list resets an object to its
// preferred upstream.
func changedAssignments(applied, current protocol.Assignments) protocol.Assignments {
	changed := protocol.Assignments{}
	add := func(name ident.Service, id object.ID, list []registry.UpstreamID) {
		if changed[name] == nil {
			changed[name] = map[object.ID][]registry.UpstreamID{}
		}
		changed[name][id] = list
	}
	for name, byObject := range current {
		for id, list := range byObject {
			if !slices.Equal(list, applied[name][id]) {
				add(name, id, list)
			}
		}
	}
	for name, byObject := range applied {
		for id := range byObject {
			if _, assigned := current[name][id]; !assigned {
				add(name, id, nil)
			}
		}
	}
	return changed
}

// roundedWeights rounds weights to three decimals. Finer changes move no request, but sending them would cost VMs on
// slow links more than the weights themselves.
func roundedWeights(weights protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	const precision = 1000
	result := make(protocol.RegionWeightsByService, len(weights))
	for name, regionWeights := range weights {
		rounded := make(protocol.RegionWeights, len(regionWeights))
		for region, part := range regionWeights {
			if part = math.Round(part*precision) / precision; part > 0 {
				rounded[region] = part
			}
		}
		result[name] = rounded
	}
	return result
}
