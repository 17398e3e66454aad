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

// endpoint is an upstream with the slots that may be lent now.
type endpoint struct {
	id     ident.Limit
	domain ident.Domain
	region ident.Region
	slots  uint32 // lent by the ramp
	total  uint32
	free   uint32
}

// Distances from a holder to an endpoint.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	distances
)

// services plans the slots of each service over its endpoints.
func (p *planner) services() {
	byService := make(map[string][]*endpoint)
	var names []string
	for _, u := range p.in.Upstreams {
		name := u.GetService()
		if byService[name] == nil {
			names = append(names, name)
		}
		domain := ident.Domain(u.GetDomain())
		e := &endpoint{
			id: limit.OfSlots(ident.Address(u.GetAddress())), domain: domain,
			region: p.in.Document.Topology.RegionOf(domain), total: u.GetSlots(), slots: ramped(u, p.in.LogTime),
		}
		if p.shut(u, e) {
			e.slots = 0
		}
		e.free = e.slots
		byService[name] = append(byService[name], e)
	}
	sort.Strings(names)
	for _, name := range names {
		p.service(ident.Service(name), byService[name])
	}
}

// shut reports whether an endpoint gets no new work; its slots would count
// towards what holders have, and leave them short of usable ones.
func (p *planner) shut(u *rpc.Upstream, e *endpoint) bool {
	return p.closed[place{document.EndpointKind, u.GetAddress()}] ||
		p.closed[place{document.DomainKind, string(e.domain)}] || p.closed[place{document.RegionKind, string(e.region)}]
}

// ramped returns the slots to lend of an upstream at a log time.
func ramped(u *rpc.Upstream, at time.Duration) uint32 {
	if u.GetLeaving() {
		return 0
	}
	age := at - time.Duration(u.GetAnnouncedMs())*time.Millisecond
	part := rampStart + (1-rampStart)*float64(age)/float64(Ramp)
	return max(1, uint32(min(1, max(rampStart, part))*float64(u.GetSlots())))
}

// service divides the slots of one service over the holders and then over its endpoints.
func (p *planner) service(name ident.Service, endpoints []*endpoint) {
	total := uint32(0)
	for _, e := range endpoints {
		total += e.slots
	}
	now := make([]ledger.Amount, len(p.in.Holders))
	for i := range now {
		for _, e := range endpoints {
			now[i].Count += min(e.slots, p.in.Holders[i].Current[e.id].Share.Count)
		}
	}
	free, open := p.unreported(ledger.Amount{Count: total}, now, nil)
	targets := p.targets(free.Count, p.serviceWeights(name, endpoints), now, open)
	wish := p.keep(endpoints, targets)
	p.fill(endpoints, targets, wish)
	for j, e := range endpoints {
		counts := make([]uint32, len(p.in.Holders))
		for i := range counts {
			counts[i] = wish[i][j]
		}
		p.emitCounts(e.id, ledger.Amount{Count: e.total}, counts)
	}
}

func (p *planner) serviceWeights(name ident.Service, endpoints []*endpoint) []float64 {
	weights := make([]float64, len(p.in.Holders))
	for i := range p.in.Holders {
		h := &p.in.Holders[i]
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

func (p *planner) distance(holder int, e *endpoint) int {
	switch {
	case p.in.Holders[holder].Domain == e.domain:
		return sameDomain
	case p.regions[holder] == e.region:
		return sameRegion
	}
	return otherRegion
}

// keep returns the present holdings by holder and endpoint, cut to the targets
// from the far end and to the slots of each endpoint.
func (p *planner) keep(endpoints []*endpoint, targets []uint32) [][]uint32 {
	wish := make([][]uint32, len(p.in.Holders))
	left := append([]uint32(nil), targets...)
	for i := range wish {
		wish[i] = make([]uint32, len(endpoints))
	}
	for d := range distances {
		for j, e := range endpoints {
			for i := range p.in.Holders {
				if p.distance(i, e) != d {
					continue
				}
				n := min(p.in.Holders[i].Current[e.id].Share.Count, left[i], e.free)
				wish[i][j] = n
				left[i] -= n
				e.free -= n
			}
		}
	}
	return wish
}

// fill gives free slots to holders below their targets, near endpoints first and
// one slot at a time, so that holders share what is near and use many endpoints.
func (p *planner) fill(endpoints []*endpoint, targets []uint32, wish [][]uint32) {
	left := append([]uint32(nil), targets...)
	for i := range wish {
		for _, n := range wish[i] {
			left[i] -= n
		}
	}
	for d := range distances {
		for progress := true; progress; {
			progress = false
			for i := range left {
				if left[i] == 0 {
					continue
				}
				if j := p.freest(i, d, endpoints); j >= 0 {
					wish[i][j]++
					endpoints[j].free--
					left[i]--
					progress = true
				}
			}
		}
	}
}

// freest returns the endpoint at a distance with the most free slots, or -1.
func (p *planner) freest(holder, d int, endpoints []*endpoint) int {
	best := -1
	for j, e := range endpoints {
		if e.free > 0 && p.distance(holder, e) == d && (best < 0 || e.free > endpoints[best].free) {
			best = j
		}
	}
	return best
}
