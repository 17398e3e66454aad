package allocator

import (
	"sort"
	"time"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// endpoint is an upstream of a service and how many of its slots may be granted.
type endpoint struct {
	id        ident.Limit
	domain    ident.Domain
	region    ident.Region
	grantable uint32 // limited by the ramp, zero if unusable
	slots     uint32
	free      uint32
}

// Distances from a holder to an endpoint, nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	distances // number of distances
)

// planServices divides the slots of each service over its endpoints and the holders.
func (p *planner) planServices() {
	byService := make(map[string][]*endpoint)
	var names []string
	for _, u := range p.input.Upstreams {
		name := u.GetService()
		if byService[name] == nil {
			names = append(names, name)
		}
		domain := ident.Domain(u.GetDomain())
		e := &endpoint{
			id: limit.OfSlots(ident.Address(u.GetAddress())), domain: domain,
			region: p.input.Document.Topology.RegionOf(domain), slots: u.GetSlots(), grantable: rampedSlots(u, p.input.LogTime),
		}
		if p.isUnusable(u, e) {
			e.grantable = 0
		}
		e.free = e.grantable
		byService[name] = append(byService[name], e)
	}
	sort.Strings(names)
	for _, name := range names {
		p.planService(ident.Service(name), byService[name])
	}
}

// isUnusable reports whether an endpoint gets no new requests. Its slots must not count towards the shares of
// holders, which would then lack usable slots.
func (p *planner) isUnusable(u *rpc.Upstream, e *endpoint) bool {
	return p.unusable[target{document.EndpointKind, u.GetAddress()}] ||
		p.unusable[target{document.DomainKind, string(e.domain)}] || p.unusable[target{document.RegionKind, string(e.region)}]
}

// rampedSlots returns how many slots of an upstream may be granted at a log time.
func rampedSlots(u *rpc.Upstream, logTime time.Duration) uint32 {
	if u.GetLeaving() {
		return 0
	}
	age := logTime - time.Duration(u.GetAnnouncedMs())*time.Millisecond
	rampedPart := initialRampPart + (1-initialRampPart)*float64(age)/float64(RampDuration)
	return max(1, uint32(min(1, max(initialRampPart, rampedPart))*float64(u.GetSlots())))
}

// planService divides the slots of one service over the holders and then over its endpoints.
func (p *planner) planService(name ident.Service, endpoints []*endpoint) {
	total := uint32(0)
	for _, e := range endpoints {
		total += e.grantable
	}
	current := make([]ledger.Amount, len(p.input.Holders))
	for i := range current {
		for _, e := range endpoints {
			current[i].Count += min(e.grantable, p.input.Holders[i].Current[e.id].Share.Count)
		}
	}
	free, included := p.withoutUnreported(ledger.Amount{Count: total}, current, nil)
	targets := p.targetCounts(free.Count, p.serviceWeights(name, endpoints), current, included)
	planned := p.keepHeldSlots(endpoints, targets)
	p.fillFreeSlots(endpoints, targets, planned)
	for j, e := range endpoints {
		counts := make([]uint32, len(p.input.Holders))
		for i := range counts {
			counts[i] = planned[i][j]
		}
		p.addCountChanges(e.id, ledger.Amount{Count: e.slots}, counts)
	}
}

// serviceWeights returns the demand of each holder for a service and its endpoints. The weight of a holder that has
// not reported is the number of slots it holds.
func (p *planner) serviceWeights(name ident.Service, endpoints []*endpoint) []float64 {
	weights := make([]float64, len(p.input.Holders))
	for i := range p.input.Holders {
		h := &p.input.Holders[i]
		if h.HasReported {
			weights[i] = h.Demands[ident.Limit(ServiceDemand+string(name))].weight()
		}
		for _, e := range endpoints {
			if h.HasReported {
				weights[i] += h.Demands[e.id].weight()
			} else {
				weights[i] += float64(h.Current[e.id].Share.Count)
			}
		}
	}
	return weights
}

// distance returns how far a holder is from an endpoint.
func (p *planner) distance(holder int, e *endpoint) int {
	switch {
	case p.input.Holders[holder].Domain == e.domain:
		return sameDomain
	case p.regions[holder] == e.region:
		return sameRegion
	}
	return otherRegion
}

// keepHeldSlots returns the slots that holders keep, by holder and endpoint. Holders above their targets give up the
// most distant slots first, and no endpoint grants more than its grantable slots.
func (p *planner) keepHeldSlots(endpoints []*endpoint, targets []uint32) [][]uint32 {
	kept := make([][]uint32, len(p.input.Holders))
	remaining := append([]uint32(nil), targets...)
	for i := range kept {
		kept[i] = make([]uint32, len(endpoints))
	}
	for d := range distances {
		for j, e := range endpoints {
			for i := range p.input.Holders {
				if p.distance(i, e) != d {
					continue
				}
				n := min(p.input.Holders[i].Current[e.id].Share.Count, remaining[i], e.free)
				kept[i][j] = n
				remaining[i] -= n
				e.free -= n
			}
		}
	}
	return kept
}

// fillFreeSlots grants free slots to holders below their targets, nearest endpoints first. It grants one slot at a
// time, so that holders share near endpoints and each uses many of them.
func (p *planner) fillFreeSlots(endpoints []*endpoint, targets []uint32, planned [][]uint32) {
	remaining := append([]uint32(nil), targets...)
	for i := range planned {
		for _, n := range planned[i] {
			remaining[i] -= n
		}
	}
	for d := range distances {
		for progress := true; progress; {
			progress = false
			for i := range remaining {
				if remaining[i] == 0 {
					continue
				}
				if j := p.mostFreeEndpoint(i, d, endpoints); j >= 0 {
					planned[i][j]++
					endpoints[j].free--
					remaining[i]--
					progress = true
				}
			}
		}
	}
}

// mostFreeEndpoint returns the index of the endpoint at a distance with the most free slots, or -1 if none has any.
func (p *planner) mostFreeEndpoint(holder, d int, endpoints []*endpoint) int {
	best := -1
	for j, e := range endpoints {
		if e.free > 0 && p.distance(holder, e) == d && (best < 0 || e.free > endpoints[best].free) {
			best = j
		}
	}
	return best
}
