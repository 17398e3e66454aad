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

// preference holds the region and the upstreams that a request should go to. The region follows from the region
// weights. Its upstreams are ranked for the request's object: first those that the leader assigned, then the others in
// rendezvous order, which take over if the first are saturated. All VMs of a region compute the same ranking.
type preference struct {
	region         ident.Region
	ranking        [maxRanked]rankedUpstream
	preferredCount int                      // length of the start of ranking that should have the object in cache
	scarcity       map[ident.Region]float64 // extra cost of using a slot for a second, in seconds, by region
}

// maxRanked bounds the upstreams in an object's ranking.
const maxRanked = 12

// rankedUpstream is an upstream with its score for an object. A higher score ranks first.
type rankedUpstream struct {
	*upstream
	score uint64
}

// insert adds an upstream to the ranking if its score is high enough.
func (p *preference) insert(u *upstream, score uint64) {
	for i := range p.ranking {
		if entry := &p.ranking[i]; entry.upstream == nil || score > entry.score {
			entry.upstream, u = u, entry.upstream
			entry.score, score = score, entry.score
			if u == nil {
				return
			}
		}
	}
}

// rank returns an upstream's position in the ranking, or maxRanked if it is not ranked.
func (p *preference) rank(u *upstream) int {
	for i := range p.ranking {
		if p.ranking[i].upstream == u {
			return i
		}
	}
	return maxRanked
}

// largeBodyBytes is the size from which a body stays in its failure domain if that has upstreams: transferring it to
// another domain costs more than caching the object in both.
const largeBodyBytes = 16 << 10

// UsesAssignment reports whether the leader assigns the upstreams of the query's object. If so, the request must be
// counted in the reports to the leader.
func (q *Query) UsesAssignment() bool { return q.Object != "" && q.Bytes < largeBodyBytes }

// PinnedRegion returns the only region that may serve the query, or "" if several may.
func (q *Query) PinnedRegion() ident.Region {
	var pinned ident.Region
	for _, r := range q.AllowedRegions {
		switch {
		case r == "" || r == pinned:
		case pinned != "":
			return ""
		default:
			pinned = r
		}
	}
	return pinned
}

// preference returns the region for a request and the ranking of its upstreams.
func (b *Balancer) preference(now time.Time, s *service, q *Query) preference {
	pref := preference{region: b.targetRegion(s, q), scarcity: b.scarcity(now, s, q), preferredCount: 1}
	if q.Object == "" {
		return pref
	}
	sameDomainOnly := false
	if q.Bytes >= largeBodyBytes && pref.region == b.Regions[b.Domain] {
		for _, u := range s.upstreams {
			sameDomainOnly = sameDomainOnly || u.distance == SameDomain && u.mayServe(b, q)
		}
	}
	id := q.objectID()
	var assigned []registry.UpstreamID
	if q.UsesAssignment() {
		assigned = b.assignments[s.name][id]
	}
	assignedCount := 0
	for _, u := range s.upstreams {
		if !u.mayServe(b, q) || b.Regions[u.Domain] != pref.region || sameDomainOnly && u.distance != SameDomain {
			continue
		}
		score := id.Score(u.seed)
		if i := slices.Index(assigned, u.ID); i >= 0 {
			score = ^uint64(i) // above all rendezvous scores, in the order of the assignment
			assignedCount++
		}
		pref.insert(u, score)
	}
	pref.preferredCount = max(assignedCount, 1)
	return pref
}

// mayServe reports whether an upstream's state, domain and region allow it to get the request.
func (u *upstream) mayServe(b *Balancer, q *Query) bool {
	return u.State == registry.Ready && !u.leaving && !q.DrainedDomains[u.Domain] && regionAllowed(q.AllowedRegions, b.Regions[u.Domain])
}

// targetRegion returns the region for a request by the region weights. A small change of the weights moves few objects
// to other regions.
func (b *Balancer) targetRegion(s *service, q *Query) ident.Region {
	serving := map[ident.Region]bool{}
	for _, u := range s.upstreams {
		if u.mayServe(b, q) {
			serving[b.Regions[u.Domain]] = true
		}
	}
	return q.objectID().Region(b.Regions[b.Domain], q.RegionWeights, serving)
}

// SetAssignments updates the assignments with those that the leader changed. An empty list of upstreams removes an
// object's assignment.
func (b *Balancer) SetAssignments(changed protocol.Assignments) {
	updated := maps.Clone(b.assignments)
	if updated == nil {
		updated = protocol.Assignments{}
	}
	for name, byObject := range changed {
		objects := maps.Clone(updated[name])
		if objects == nil {
			objects = map[object.ID][]registry.UpstreamID{}
		}
		for id, upstreams := range byObject {
			if objects[id] = upstreams; len(upstreams) == 0 {
				delete(objects, id)
			}
		}
		updated[name] = objects
	}
	b.assignments = updated
}

// Assignments returns the leader's assignments. The caller must not modify the result.
func (b *Balancer) Assignments() protocol.Assignments { return b.assignments }

// InFlight returns the number of requests by upstream that this VM sent and that have no response yet.
func (b *Balancer) InFlight() protocol.Loads {
	inFlight := protocol.Loads{}
	for id, u := range b.upstreams {
		if u.inFlight > 0 {
			inFlight[id] = u.inFlight
		}
	}
	return inFlight
}

// SetReportedLoads updates the loads from the leader, which adds up the reports of all VMs. The map saturated has the
// loads of upstreams without free slots, and inFlight has this VM's own requests in its report at reportedAt. Loads that
// an upstream reported after that time are kept.
func (b *Balancer) SetReportedLoads(reportedAt time.Time, saturated protocol.Loads, utilization protocol.Utilization, inFlight protocol.Loads) {
	b.utilization, b.utilizationAt = utilization, reportedAt
	for id, u := range b.upstreams {
		if u.loadReportedAt.After(reportedAt) {
			continue
		}
		otherLoad := float64(max(0, saturated[id]-inFlight[id]))
		if _, isSaturated := saturated[id]; !isSaturated {
			// The leader lists saturated upstreams only, so this one has a free slot.
			otherLoad = min(u.meanOtherLoad, float64(max(0, int(u.Slots)-1-inFlight[id])))
		}
		u.otherLoad, u.meanOtherLoad, u.loadReportedAt = otherLoad, otherLoad, reportedAt
	}
}
