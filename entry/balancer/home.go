package balancer

import (
	"maps"
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// home is where a request belongs: the region by the flows of its callers' region, and in it the upstreams that the
// leader planned for its object, or the first of the object's order, with those that take over where these are
// full. All VMs of a region agree on them.
type home struct {
	region ident.Region
	order  [homesKept]ranked
	main   int                      // so many at the start of the order are to know the object
	scarce map[ident.Region]float64 // what a second of a slot is worth to the requests that follow, in seconds of this one
}

// homesKept is how many upstreams an object may spread to in an order that all VMs know.
const homesKept = 12

type ranked struct {
	*upstream
	score uint64
}

// insert takes an upstream into the order, by its score.
func (h *home) insert(u *upstream, score uint64) {
	for i := range h.order {
		if at := &h.order[i]; at.upstream == nil || score > at.score {
			at.upstream, u = u, at.upstream
			at.score, score = score, at.score
			if u == nil {
				return
			}
		}
	}
}

// rank returns an upstream's place in the order, or homesKept where it has none.
func (h *home) rank(u *upstream) int {
	for i := range h.order {
		if h.order[i].upstream == u {
			return i
		}
	}
	return homesKept
}

// nearBytes is the size from which a body stays in its failure domain, where that has upstreams: moving it
// between domains costs more than an object that is kept twice.
const nearBytes = 16 << 10

// UsesAssignment reports whether the leader plans the upstreams of the query's object, and so needs to know of the request.
func (q *Query) UsesAssignment() bool { return q.Object != "" && q.Bytes < nearBytes }

// PinnedRegion returns the region that alone may serve the query, or nothing where there are several.
func (q *Query) PinnedRegion() ident.Region {
	var only ident.Region
	for _, r := range q.AllowedRegions {
		switch {
		case r == "" || r == only:
		case only != "":
			return ""
		default:
			only = r
		}
	}
	return only
}

func (p *Balancer) homes(now time.Time, s *service, q *Query) home {
	h := home{region: p.homeRegion(s, q), scarce: p.scarcity(now, s, q), main: 1}
	if q.Object == "" {
		return h
	}
	near := false
	if q.Bytes >= nearBytes && h.region == p.Regions[p.Domain] {
		for _, u := range s.list {
			near = near || u.distance == SameDomain && u.serves(p, q)
		}
	}
	id := q.object()
	var planned []registry.UpstreamID
	if q.UsesAssignment() {
		planned = p.planned[s.name][id]
	}
	first := 0
	for _, u := range s.list {
		if !u.serves(p, q) || p.Regions[u.Domain] != h.region || near && u.distance != SameDomain {
			continue
		}
		score := id.Score(u.seed)
		if i := slices.Index(planned, u.ID); i >= 0 {
			score = ^uint64(i) // before all others, in the order of the plan
			first++
		}
		h.insert(u, score)
	}
	h.main = max(first, 1)
	return h
}

// serves reports whether an upstream may get the request at all.
func (u *upstream) serves(p *Balancer, q *Query) bool {
	return u.State == registry.Ready && !q.DrainedDomains[u.Domain] && allowed(q.AllowedRegions, p.Regions[u.Domain])
}

// homeRegion chooses the region by the flow. A small change of the flow moves few objects.
func (p *Balancer) homeRegion(s *service, q *Query) ident.Region {
	serving := map[ident.Region]bool{}
	for _, u := range s.list {
		if u.serves(p, q) {
			serving[p.Regions[u.Domain]] = true
		}
	}
	return q.object().Region(p.Regions[p.Domain], q.RegionWeights, serving)
}

// SetAssignments takes over what the leader planned anew.
func (p *Balancer) SetAssignments(changed protocol.Assignments) {
	next := maps.Clone(p.planned)
	if next == nil {
		next = protocol.Assignments{}
	}
	for name, by := range changed {
		all := maps.Clone(next[name])
		if all == nil {
			all = map[object.ID][]registry.UpstreamID{}
		}
		for id, list := range by {
			if all[id] = list; len(list) == 0 {
				delete(all, id)
			}
		}
		next[name] = all
	}
	p.planned = next
}

// Assignments returns what the leader planned; the result must not be changed.
func (p *Balancer) Assignments() protocol.Assignments { return p.planned }

// InFlight returns the requests that this VM sent and that are not answered yet.
func (p *Balancer) InFlight() protocol.Loads {
	sent := protocol.Loads{}
	for id, u := range p.upstreams {
		if u.inflight > 0 {
			sent[id] = u.inflight
		}
	}
	return sent
}

// SetReportedLoads takes over the leader's word on the loads of upstreams, which sums what all VMs reported. Sent is what this
// VM reported itself; at is when. What an upstream told later counts more.
func (p *Balancer) SetReportedLoads(at time.Time, full protocol.Loads, uses protocol.Utilization, sent protocol.Loads) {
	p.uses, p.usesAt = uses, at
	for id, u := range p.upstreams {
		if u.toldAt.After(at) {
			continue
		}
		others := float64(max(0, full[id]-sent[id]))
		if _, isFull := full[id]; !isFull {
			// It has free slots.
			others = min(u.usual, float64(max(0, int(u.Slots)-1-sent[id])))
		}
		u.others, u.usual, u.toldAt = others, others, at
	}
}
