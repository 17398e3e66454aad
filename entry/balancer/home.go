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

// Planned reports whether the leader plans the upstreams of the query's object, and so needs to know of the request.
func (q *Query) Planned() bool { return q.Object != "" && q.Bytes < nearBytes }

// Tied returns the region that alone may serve the query, or nothing where there are several.
func (q *Query) Tied() ident.Region {
	var only ident.Region
	for _, r := range q.Homes {
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

func (p *Placer) homes(now time.Time, s *service, q *Query) home {
	h := home{region: p.homeRegion(s, q), scarce: p.scarcity(now, s, q), main: 1}
	if q.Object == "" {
		return h
	}
	near := false
	if q.Bytes >= nearBytes && h.region == p.Regions[p.Domain] {
		for _, u := range s.list {
			near = near || u.distance == Near && u.serves(p, q)
		}
	}
	id := q.object()
	var planned []registry.UpstreamID
	if q.Planned() {
		planned = p.planned[s.name][id]
	}
	first := 0
	for _, u := range s.list {
		if !u.serves(p, q) || p.Regions[u.Domain] != h.region || near && u.distance != Near {
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
func (u *upstream) serves(p *Placer, q *Query) bool {
	return u.State == registry.Ready && !q.Drained[u.Domain] && allowed(q.Homes, p.Regions[u.Domain])
}

// homeRegion chooses the region by the flow. A small change of the flow moves few objects.
func (p *Placer) homeRegion(s *service, q *Query) ident.Region {
	serving := map[ident.Region]bool{}
	for _, u := range s.list {
		if u.serves(p, q) {
			serving[p.Regions[u.Domain]] = true
		}
	}
	return q.object().Region(p.Regions[p.Domain], q.Flow, serving)
}

// SetPlaces takes over what the leader planned anew.
func (p *Placer) SetPlaces(changed protocol.Places) {
	next := maps.Clone(p.planned)
	if next == nil {
		next = protocol.Places{}
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

// Places returns what the leader planned; the result must not be changed.
func (p *Placer) Places() protocol.Places { return p.planned }

// Inflight returns the requests that this VM sent and that are not answered yet.
func (p *Placer) Inflight() protocol.Loads {
	sent := protocol.Loads{}
	for id, u := range p.upstreams {
		if u.inflight > 0 {
			sent[id] = u.inflight
		}
	}
	return sent
}

// Told takes over the leader's word on the loads of upstreams, which sums what all VMs reported. Sent is what this
// VM reported itself; at is when. What an upstream told later counts more.
func (p *Placer) Told(at time.Time, full protocol.Loads, uses protocol.Uses, sent protocol.Loads) {
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
