package affinity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

const (
	// demandDecay is the time after which a past request counts 1/e, about a third.
	demandDecay = 8 * time.Second
	// minCountAge is the minimum time over which a rate is computed from an object's first requests.
	minCountAge = 2 * time.Second
	// assignmentTTL is how long an object without requests keeps its assignment. It exceeds the time that upstreams
	// cache objects.
	assignmentTTL = 30 * time.Second
	// adoptPeriod is how long a new leader only adopts the assignments that VMs hold: long enough for every VM to
	// report, with one report to spare.
	adoptPeriod = 3 * time.Second
	// maxUtilization is the part of an upstream's slots above which objects move away from it. Requests need more
	// than the service time of a cached object (balancer.Balancer.ServiceTime), so queues stay short at this value.
	maxUtilization = 0.6
	// imbalanceFactor is how much more utilized than its region's mean an upstream must be for objects to move away
	// where the whole region is above maxUtilization.
	imbalanceFactor = 1.15
	// maxMoveRatio is the highest utilization that a move may lead to, relative to the overloaded upstream's present
	// one. Each move costs a request at an upstream that has not cached the object.
	maxMoveRatio = 0.9
	// shrinkThreshold is the part of what the remaining upstreams could serve below which an object gives up one of
	// its upstreams.
	shrinkThreshold = 0.5
	// maxMovedFraction limits the part of a region's objects that one plan moves.
	maxMovedFraction = 0.1
	// maxUpstreamsPerObject limits the upstreams assigned to one object.
	maxUpstreamsPerObject = 6
	// maxTrackedObjects limits the objects whose requests are counted, because callers choose object names. It is ten
	// times the number of objects in the known deployments. Further objects stay at their preferred upstream.
	maxTrackedObjects = 16384
)

// UsableUpstreams holds the upstreams that may be used, by service and region.
type UsableUpstreams map[ident.Service]map[ident.Region][]registry.Upstream

// Planner holds the leader's demand counts and assignments of objects. The zero value is ready for use.
type Planner struct {
	startedAt    time.Time
	requests     map[requestKey]*decayingCount
	assignments  map[assignmentKey]*assignment
	serviceTimes map[ident.Service]time.Duration
	published    map[ident.Region]protocol.Assignments // by the region of the callers
	seeds        map[registry.UpstreamID]object.Seed
}

// CallerGroup identifies the callers of one region, or those of its callers whose requests are pinned to one region.
type CallerGroup struct {
	Region       ident.Region
	PinnedRegion ident.Region // empty if any region may serve the requests
}

// requestKey identifies an object and the callers that request it.
type requestKey struct {
	service ident.Service
	callers CallerGroup
	object  object.ID
}

// assignmentKey identifies an object and the region that serves it.
type assignmentKey struct {
	service ident.Service
	region  ident.Region
	object  object.ID
}

// decayingCount counts the requests for an object, with past ones decaying exponentially.
type decayingCount struct {
	value        float64
	firstRequest time.Time
	lastRequest  time.Time
}

// assignment holds the upstreams that an object is assigned to.
type assignment struct {
	upstreams   []registry.UpstreamID
	lastRequest time.Time
}

// Report records how often one VM's callers requested each object, and the service times of cached objects.
func (p *Planner) Report(now time.Time, callers CallerGroup, counts protocol.ObjectRequests, serviceTimes map[ident.Service]time.Duration) {
	if p.requests == nil {
		p.requests, p.assignments, p.serviceTimes = map[requestKey]*decayingCount{}, map[assignmentKey]*assignment{}, map[ident.Service]time.Duration{}
	}
	for name, byObject := range counts {
		for id, n := range byObject {
			key := requestKey{name, callers, id}
			c := p.requests[key]
			if c == nil && len(p.requests) >= maxTrackedObjects {
				continue
			}
			if c == nil {
				c = &decayingCount{firstRequest: now, lastRequest: now}
				p.requests[key] = c
			}
			c.value = c.valueAt(now) + float64(n)
			c.lastRequest = now
		}
	}
	for name, serviceTime := range serviceTimes {
		const sampleWeight = 0.05 // of one VM's report
		if old := p.serviceTimes[name]; old > 0 {
			serviceTime = old + time.Duration(sampleWeight*float64(serviceTime-old))
		}
		p.serviceTimes[name] = serviceTime
	}
}

// Adopt takes over the assignments that a VM holds, during the first adoptPeriod of this leader.
func (p *Planner) Adopt(now time.Time, region ident.Region, held protocol.Assignments, regionOf func(registry.UpstreamID) ident.Region) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if p.assignments == nil {
		p.assignments = map[assignmentKey]*assignment{}
	}
	if now.Sub(p.startedAt) >= adoptPeriod {
		return
	}
	updated := protocol.Assignments{} // a copy, because earlier replies to VMs still refer to the published map
	maps.Copy(updated, p.published[region])
	for name, byObject := range held {
		objects := map[object.ID][]registry.UpstreamID{}
		maps.Copy(objects, updated[name])
		for id, upstreams := range byObject {
			if len(upstreams) == 0 {
				continue
			}
			if key := (assignmentKey{name, regionOf(upstreams[0]), id}); p.assignments[key] == nil && key.region != "" {
				p.assignments[key] = &assignment{upstreams: upstreams, lastRequest: now}
				objects[id] = upstreams
			}
		}
		updated[name] = objects
	}
	if p.published == nil {
		p.published = map[ident.Region]protocol.Assignments{}
	}
	p.published[region] = updated
}

// Assignments returns the plan for the callers of a region: all objects that are assigned to more than their
// preferred upstream or to another one. The result must not be changed.
func (p *Planner) Assignments(region ident.Region) protocol.Assignments { return p.published[region] }

// Plan recomputes and publishes the assignments.
func (p *Planner) Plan(now time.Time, usable UsableUpstreams, weights map[ident.Service]map[ident.Region]protocol.RegionWeights) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if now.Sub(p.startedAt) < adoptPeriod || len(p.requests) == 0 {
		return
	}
	groups := p.groupDemand(now, usable, weights)
	for _, g := range groups {
		p.balance(now, g, usable[g.service][g.region])
	}
	for k, a := range p.assignments {
		if now.Sub(a.lastRequest) > assignmentTTL {
			delete(p.assignments, k)
		}
	}
	p.publish(groups)
}

// objectGroup is the objects of a service that one region serves.
type objectGroup struct {
	service ident.Service
	region  ident.Region
	objects []*objectDemand
}

// objectDemand is the demand for one object and its assigned upstreams.
type objectDemand struct {
	id            object.ID
	slots         float64 // mean number of busy slots
	callerRegions []ident.Region
	preferred     registry.UpstreamID
	upstreams     []registry.UpstreamID
}

// usesOnlyPreferred reports whether the preferred upstream is the only one assigned, so that no plan entry is needed.
func (w *objectDemand) usesOnlyPreferred() bool {
	return len(w.upstreams) == 1 && w.upstreams[0] == w.preferred
}

// groupDemand returns the requested objects, grouped by service and serving region, in a fixed order.
func (p *Planner) groupDemand(now time.Time, usable UsableUpstreams, weights map[ident.Service]map[ident.Region]protocol.RegionWeights) []*objectGroup {
	demands := map[assignmentKey]*objectDemand{}
	groups := map[assignmentKey]*objectGroup{}
	var list []*objectGroup
	for k, c := range p.requests {
		if now.Sub(c.lastRequest) > assignmentTTL {
			delete(p.requests, k)
			continue
		}
		serving := map[ident.Region]bool{}
		for r, upstreams := range usable[k.service] {
			serving[r] = len(upstreams) > 0
		}
		region := k.callers.PinnedRegion
		if region == "" {
			region = k.object.Region(k.callers.Region, weights[k.service][k.callers.Region], serving)
		}
		if !serving[region] {
			continue
		}
		objectKey := assignmentKey{k.service, region, k.object}
		w := demands[objectKey]
		if w == nil {
			w = &objectDemand{id: k.object}
			demands[objectKey] = w
			groupKey := assignmentKey{service: k.service, region: region}
			g := groups[groupKey]
			if g == nil {
				g = &objectGroup{service: k.service, region: region}
				groups[groupKey] = g
				list = append(list, g)
			}
			g.objects = append(g.objects, w)
		}
		w.slots += c.requestsPerSecond(now) * p.serviceTimes[k.service].Seconds()
		w.callerRegions = append(w.callerRegions, k.callers.Region)
	}
	for _, g := range list {
		slices.SortFunc(g.objects, func(a, b *objectDemand) int { return cmp.Compare(a.id, b.id) })
	}
	slices.SortFunc(list, func(a, b *objectGroup) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	return list
}

// valueAt returns the count after decay up to now.
func (c *decayingCount) valueAt(now time.Time) float64 {
	return c.value * math.Exp(-float64(now.Sub(c.lastRequest))/float64(demandDecay))
}

// requestsPerSecond returns the mean request rate per second.
func (c *decayingCount) requestsPerSecond(now time.Time) float64 {
	age := max(now.Sub(c.firstRequest), minCountAge)
	effectiveWindow := demandDecay.Seconds() * (1 - math.Exp(-age.Seconds()/demandDecay.Seconds()))
	return c.valueAt(now) / effectiveWindow
}

// groupLoad is the load that the objects of a group put on each upstream.
type groupLoad struct {
	upstreams []registry.Upstream
	slots     map[registry.UpstreamID]float64
	usedSlots map[registry.UpstreamID]float64
	seeds     []object.Seed // in the order of upstreams
	threshold float64       // utilization above which an upstream is overloaded
}

// utilization returns the part of an upstream's slots that is in use.
func (l *groupLoad) utilization(id registry.UpstreamID) float64 {
	return l.usedSlots[id] / max(l.slots[id], 1)
}

// leastUtilized returns the upstream with the lowest utilization after taking on extraSlots, except for those already
// assigned to the object. The object's rendezvous order decides ties.
func (l *groupLoad) leastUtilized(w *objectDemand, extraSlots float64) (best registry.UpstreamID, utilization float64) {
	score := uint64(0)
	for i, u := range l.upstreams {
		if slices.Contains(w.upstreams, u.ID) {
			continue
		}
		f := (l.usedSlots[u.ID] + extraSlots) / max(l.slots[u.ID], 1)
		s := w.id.Score(l.seeds[i])
		if best == "" || f < utilization || f == utilization && s > score {
			best, utilization, score = u.ID, f, s
		}
	}
	return best, utilization
}

// balance assigns the objects of a group to upstreams. An object keeps its upstreams unless they are overloaded.
func (p *Planner) balance(now time.Time, g *objectGroup, upstreams []registry.Upstream) {
	l := &groupLoad{upstreams: upstreams, slots: map[registry.UpstreamID]float64{}, usedSlots: map[registry.UpstreamID]float64{}}
	demandSlots, totalSlots := 0.0, 0.0
	for _, u := range upstreams {
		l.slots[u.ID] = float64(u.Slots)
		l.seeds = append(l.seeds, p.seedOf(u.ID))
		totalSlots += float64(u.Slots)
	}
	for _, w := range g.objects {
		p.restoreAssignment(w, g, l)
		demandSlots += w.slots
		for _, id := range w.upstreams {
			l.usedSlots[id] += w.slots / float64(len(w.upstreams))
		}
	}
	l.threshold = max(maxUtilization, imbalanceFactor*demandSlots/max(totalSlots, 1))
	moves := max(1, int(maxMovedFraction*float64(len(g.objects))))
	for _, w := range g.objects {
		if moves > 0 && l.resizeAssignment(w, totalSlots/float64(len(upstreams))) {
			moves--
		}
	}
	l.relieveOverloaded(g, moves)
	for _, w := range g.objects {
		key := assignmentKey{g.service, g.region, w.id}
		if w.usesOnlyPreferred() {
			delete(p.assignments, key)
			continue
		}
		p.assignments[key] = &assignment{upstreams: w.upstreams, lastRequest: now}
	}
}

// restoreAssignment sets an object's preferred upstream and its present assignment, without upstreams that may no
// longer be used.
func (p *Planner) restoreAssignment(w *objectDemand, g *objectGroup, l *groupLoad) {
	best := uint64(0)
	for i, u := range l.upstreams {
		if s := w.id.Score(l.seeds[i]); w.preferred == "" || s > best {
			w.preferred, best = u.ID, s
		}
	}
	if current := p.assignments[assignmentKey{g.service, g.region, w.id}]; current != nil {
		for _, id := range current.upstreams {
			if _, usable := l.slots[id]; usable {
				w.upstreams = append(w.upstreams, id)
			}
		}
	}
	if len(w.upstreams) == 0 {
		w.upstreams = []registry.UpstreamID{w.preferred}
	}
}

// seedOf returns the hash seed of an upstream from a bounded cache.
func (p *Planner) seedOf(id registry.UpstreamID) object.Seed {
	s, known := p.seeds[id]
	if !known {
		if p.seeds == nil || len(p.seeds) > maxCachedSeeds {
			p.seeds = map[registry.UpstreamID]object.Seed{}
		}
		s = object.SeedOf(string(id))
		p.seeds[id] = s
	}
	return s
}

// maxCachedSeeds limits the cached seeds to several times the number of upstreams in the known deployments.
const maxCachedSeeds = 8192

// resizeAssignment adds an upstream to an object that needs more than its upstreams can serve, or removes one that it
// no longer needs, and reports whether it changed the assignment.
func (l *groupLoad) resizeAssignment(w *objectDemand, meanSlots float64) bool {
	n := float64(len(w.upstreams))
	perUpstream := l.threshold * meanSlots
	switch {
	case w.slots > n*perUpstream && len(w.upstreams) < min(maxUpstreamsPerObject, len(l.upstreams)):
		share := w.slots / (n + 1)
		id, utilization := l.leastUtilized(w, share)
		if utilization > l.threshold && utilization > maxMoveRatio*l.utilization(w.upstreams[0]) {
			return false // no other upstream has capacity left
		}
		for _, at := range w.upstreams {
			l.usedSlots[at] += share - w.slots/n
		}
		l.usedSlots[id] += share
		w.upstreams = append(slices.Clone(w.upstreams), id)
	case n > 1 && w.slots < shrinkThreshold*(n-1)*perUpstream:
		for i, at := range w.upstreams {
			l.usedSlots[at] -= w.slots / n
			if i < len(w.upstreams)-1 {
				l.usedSlots[at] += w.slots / (n - 1)
			}
		}
		w.upstreams = w.upstreams[:len(w.upstreams)-1]
	default:
		return false
	}
	return true
}

// relieveOverloaded moves up to moves objects away from the most utilized upstreams.
func (l *groupLoad) relieveOverloaded(g *objectGroup, moves int) {
	for ; moves > 0; moves-- {
		var from registry.UpstreamID
		for _, u := range l.upstreams {
			if l.utilization(u.ID) > l.threshold && (from == "" || l.utilization(u.ID) > l.utilization(from)) && l.hasSeveralObjects(g, u.ID) {
				from = u.ID
			}
		}
		if from == "" || !l.moveBestObject(g, from) {
			return
		}
	}
}

// hasSeveralObjects reports whether more than one object is assigned to an upstream.
func (l *groupLoad) hasSeveralObjects(g *objectGroup, id registry.UpstreamID) bool {
	n := 0
	for _, w := range g.objects {
		if slices.Contains(w.upstreams, id) {
			n++
		}
	}
	return n > 1
}

// moveBestObject moves the object whose move results in the lowest utilization of both upstreams, and reports whether
// any move reduces it enough.
func (l *groupLoad) moveBestObject(g *objectGroup, from registry.UpstreamID) bool {
	var best *objectDemand
	var to registry.UpstreamID
	lowest := maxMoveRatio * l.utilization(from)
	for _, w := range g.objects {
		if !slices.Contains(w.upstreams, from) {
			continue
		}
		share := w.slots / float64(len(w.upstreams))
		id, utilization := l.leastUtilized(w, share)
		if id == "" {
			continue
		}
		if remaining := (l.usedSlots[from] - share) / max(l.slots[from], 1); max(utilization, remaining) < lowest {
			best, to, lowest = w, id, max(utilization, remaining)
		}
	}
	if best == nil {
		return false
	}
	share := best.slots / float64(len(best.upstreams))
	l.usedSlots[from] -= share
	l.usedSlots[to] += share
	list := slices.Clone(best.upstreams)
	list[slices.Index(list, from)] = to
	best.upstreams = list
	return true
}

// publish builds the assignments that VMs receive, from the objects with recent requests.
func (p *Planner) publish(groups []*objectGroup) {
	next := map[ident.Region]protocol.Assignments{}
	for _, g := range groups {
		for _, w := range g.objects {
			if w.usesOnlyPreferred() {
				continue
			}
			for _, r := range w.callerRegions {
				if next[r] == nil {
					next[r] = protocol.Assignments{}
				}
				if next[r][g.service] == nil {
					next[r][g.service] = map[object.ID][]registry.UpstreamID{}
				}
				next[r][g.service][w.id] = w.upstreams
			}
		}
	}
	p.published = next
}
