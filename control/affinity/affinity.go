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
	// memory is how long it takes until a past request counts a third.
	memory = 8 * time.Second
	// leastAge is the least time over which the first requests are counted.
	leastAge = 2 * time.Second
	// forget is how long an object without requests keeps its place, which outlives the caches of upstreams.
	forget = 30 * time.Second
	// settling is how long a new leader only takes over the places that VMs hold: the reports of all VMs, and one more.
	settling = 3 * time.Second
	// full is the part of an upstream's slots from which objects leave it. Requests need more than the time of those whose
	// object is known (balancer.Balancer.ServiceTime), so that queues are short at that.
	full = 0.6
	// above is how much fuller than its region's mean an upstream must be, where all are full.
	above = 1.15
	// better is the part of a full upstream's load that the next one may have after a move: each move costs a request at
	// an upstream that does not know the object.
	better = 0.9
	// merge is the part of what one upstream less could do from which an object leaves its last one.
	merge = 0.5
	// movePart bounds the objects of one region that one plan moves.
	movePart = 0.1
	// mostUpstreams bounds the upstreams of one object.
	mostUpstreams = 6
	// maxObjects bounds the objects that are counted, ten times those of the known deployments: callers choose their
	// names. Others stay at the first upstream of their order.
	maxObjects = 16384
)

// UsableUpstreams is the upstreams of a service that may be used, by region.
type UsableUpstreams map[ident.Service]map[ident.Region][]registry.Upstream

// Planner is the leader's view of objects; its zero value is ready for use.
type Planner struct {
	began  time.Time
	asked  map[asked]*count
	places map[place]*home
	work   map[ident.Service]time.Duration
	plan   map[ident.Region]protocol.Assignments // the plan, by the region of the callers
	seeds  map[registry.UpstreamID]object.Seed
}

// CallerGroup are those of a region, or the ones among them whose requests one region alone may serve.
type CallerGroup struct {
	Region       ident.Region
	PinnedRegion ident.Region // empty where any region may serve them
}

// asked names an object and its callers.
type asked struct {
	service ident.Service
	callers CallerGroup
	object  object.ID
}

// place names an object and the region that serves it.
type place struct {
	service ident.Service
	region  ident.Region
	object  object.ID
}

// count is the requests for an object, fading.
type count struct {
	n     float64
	began time.Time
	last  time.Time
}

// home is where an object belongs.
type home struct {
	list []registry.UpstreamID
	last time.Time // of the last request
}

// Report takes over what one VM's callers asked for, and how long a request for a known object keeps a slot busy.
func (p *Planner) Report(now time.Time, callers CallerGroup, counts protocol.ObjectRequests, work map[ident.Service]time.Duration) {
	if p.asked == nil {
		p.asked, p.places, p.work = map[asked]*count{}, map[place]*home{}, map[ident.Service]time.Duration{}
	}
	for name, by := range counts {
		for id, n := range by {
			k := asked{name, callers, id}
			c := p.asked[k]
			if c == nil && len(p.asked) >= maxObjects {
				continue
			}
			if c == nil {
				c = &count{began: now, last: now}
				p.asked[k] = c
			}
			c.n = c.at(now) + float64(n)
			c.last = now
		}
	}
	for name, w := range work {
		const weight = 0.05 // of one VM's word
		if was := p.work[name]; was > 0 {
			w = was + time.Duration(weight*float64(w-was))
		}
		p.work[name] = w
	}
}

// Adopt takes over the places that a VM holds, as long as this leader is new.
func (p *Planner) Adopt(now time.Time, region ident.Region, held protocol.Assignments, regionOf func(registry.UpstreamID) ident.Region) {
	if p.began.IsZero() {
		p.began = now
	}
	if p.places == nil {
		p.places = map[place]*home{}
	}
	if now.Sub(p.began) >= settling {
		return
	}
	next := protocol.Assignments{} // VMs were told the former one, which must not change
	maps.Copy(next, p.plan[region])
	for name, by := range held {
		places := map[object.ID][]registry.UpstreamID{}
		maps.Copy(places, next[name])
		for id, list := range by {
			if len(list) == 0 {
				continue
			}
			if k := (place{name, regionOf(list[0]), id}); p.places[k] == nil && k.region != "" {
				p.places[k] = &home{list: list, last: now}
				places[id] = list
			}
		}
		next[name] = places
	}
	if p.plan == nil {
		p.plan = map[ident.Region]protocol.Assignments{}
	}
	p.plan[region] = next
}

// Assignments returns the plan for the callers of a region: the objects that do not belong to the first upstream of their
// order alone. The result must not be changed.
func (p *Planner) Assignments(region ident.Region) protocol.Assignments { return p.plan[region] }

// Plan makes the plan anew.
func (p *Planner) Plan(now time.Time, pool UsableUpstreams, flows map[ident.Service]map[ident.Region]protocol.RegionWeights) {
	if p.began.IsZero() {
		p.began = now
	}
	if now.Sub(p.began) < settling || len(p.asked) == 0 {
		return
	}
	demand := p.demand(now, pool, flows)
	for _, g := range demand {
		p.balance(now, g, pool[g.service][g.region])
	}
	for k, h := range p.places {
		if now.Sub(h.last) > forget {
			delete(p.places, k)
		}
	}
	p.describe(demand)
}

// group is the objects of a service that one region serves.
type group struct {
	service ident.Service
	region  ident.Region
	objects []*want
}

// want is what one object needs.
type want struct {
	id      object.ID
	slots   float64
	callers []ident.Region
	first   registry.UpstreamID
	list    []registry.UpstreamID
}

// unplanned reports whether an object belongs to the first upstream of its order alone.
func (w *want) unplanned() bool { return len(w.list) == 1 && w.list[0] == w.first }

// demand returns the objects in use by where they are served, in a fixed order.
func (p *Planner) demand(now time.Time, pool UsableUpstreams, flows map[ident.Service]map[ident.Region]protocol.RegionWeights) []*group {
	wants := map[place]*want{}
	groups := map[place]*group{}
	var list []*group
	for k, c := range p.asked {
		if now.Sub(c.last) > forget {
			delete(p.asked, k)
			continue
		}
		serving := map[ident.Region]bool{}
		for r, all := range pool[k.service] {
			serving[r] = len(all) > 0
		}
		region := k.callers.PinnedRegion
		if region == "" {
			region = k.object.Region(k.callers.Region, flows[k.service][k.callers.Region], serving)
		}
		if !serving[region] {
			continue
		}
		at := place{k.service, region, k.object}
		w := wants[at]
		if w == nil {
			w = &want{id: k.object}
			wants[at] = w
			of := place{service: k.service, region: region}
			g := groups[of]
			if g == nil {
				g = &group{service: k.service, region: region}
				groups[of] = g
				list = append(list, g)
			}
			g.objects = append(g.objects, w)
		}
		w.slots += c.rate(now) * p.work[k.service].Seconds()
		w.callers = append(w.callers, k.callers.Region)
	}
	for _, g := range list {
		slices.SortFunc(g.objects, func(a, b *want) int { return cmp.Compare(a.id, b.id) })
	}
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	return list
}

func (c *count) at(now time.Time) float64 {
	return c.n * math.Exp(-float64(now.Sub(c.last))/float64(memory))
}

// rate returns the requests in a second.
func (c *count) rate(now time.Time) float64 {
	age := max(now.Sub(c.began), leastAge)
	span := memory.Seconds() * (1 - math.Exp(-age.Seconds()/memory.Seconds()))
	return c.at(now) / span
}

// loads is what the objects of a group need of each upstream.
type loads struct {
	list  []registry.Upstream
	slots map[registry.UpstreamID]float64
	used  map[registry.UpstreamID]float64
	seeds []object.Seed // of the list
	level float64       // from which an upstream is full, as a part of its slots
}

func (l *loads) fill(id registry.UpstreamID) float64 { return l.used[id] / max(l.slots[id], 1) }

// emptiest returns the upstream that is least full with so much more, beside those that have the object already.
func (l *loads) emptiest(w *want, more float64) (best registry.UpstreamID, fill float64) {
	score := uint64(0)
	for i, u := range l.list {
		if slices.Contains(w.list, u.ID) {
			continue
		}
		f := (l.used[u.ID] + more) / max(l.slots[u.ID], 1)
		s := w.id.Score(l.seeds[i])
		if best == "" || f < fill || f == fill && s > score {
			best, fill, score = u.ID, f, s
		}
	}
	return best, fill
}

// balance places the objects of a group: each keeps its upstreams where these are not too full.
func (p *Planner) balance(now time.Time, g *group, pool []registry.Upstream) {
	l := &loads{list: pool, slots: map[registry.UpstreamID]float64{}, used: map[registry.UpstreamID]float64{}}
	total, slots := 0.0, 0.0
	for _, u := range pool {
		l.slots[u.ID] = float64(u.Slots)
		l.seeds = append(l.seeds, p.seed(u.ID))
		slots += float64(u.Slots)
	}
	for _, w := range g.objects {
		p.start(w, g, l)
		total += w.slots
		for _, id := range w.list {
			l.used[id] += w.slots / float64(len(w.list))
		}
	}
	l.level = max(full, above*total/max(slots, 1))
	moves := max(1, int(movePart*float64(len(g.objects))))
	for _, w := range g.objects {
		if moves > 0 && l.resize(w, slots/float64(len(pool))) {
			moves--
		}
	}
	l.relieve(g, moves)
	for _, w := range g.objects {
		k := place{g.service, g.region, w.id}
		if w.unplanned() {
			delete(p.places, k)
			continue
		}
		p.places[k] = &home{list: w.list, last: now}
	}
}

// start finds where an object belongs so far.
func (p *Planner) start(w *want, g *group, l *loads) {
	best := uint64(0)
	for i, u := range l.list {
		if s := w.id.Score(l.seeds[i]); w.first == "" || s > best {
			w.first, best = u.ID, s
		}
	}
	if h := p.places[place{g.service, g.region, w.id}]; h != nil {
		for _, id := range h.list {
			if _, usable := l.slots[id]; usable {
				w.list = append(w.list, id)
			}
		}
	}
	if len(w.list) == 0 {
		w.list = []registry.UpstreamID{w.first}
	}
}

func (p *Planner) seed(id registry.UpstreamID) object.Seed {
	s, known := p.seeds[id]
	if !known {
		if p.seeds == nil || len(p.seeds) > maxSeeds {
			p.seeds = map[registry.UpstreamID]object.Seed{}
		}
		s = object.SeedOf(string(id))
		p.seeds[id] = s
	}
	return s
}

// maxSeeds bounds the remembered seeds, several times the upstreams of the known deployments.
const maxSeeds = 8192

// resize adds an upstream to an object that its upstreams cannot serve, or takes one back, and reports whether it did.
func (l *loads) resize(w *want, slots float64) bool {
	n := float64(len(w.list))
	one := l.level * slots
	switch {
	case w.slots > n*one && len(w.list) < min(mostUpstreams, len(l.list)):
		share := w.slots / (n + 1)
		id, fill := l.emptiest(w, share)
		if fill > l.level && fill > better*l.fill(w.list[0]) {
			return false // no other has room for it
		}
		for _, at := range w.list {
			l.used[at] += share - w.slots/n
		}
		l.used[id] += share
		w.list = append(slices.Clone(w.list), id)
	case n > 1 && w.slots < merge*(n-1)*one:
		for i, at := range w.list {
			l.used[at] -= w.slots / n
			if i < len(w.list)-1 {
				l.used[at] += w.slots / (n - 1)
			}
		}
		w.list = w.list[:len(w.list)-1]
	default:
		return false
	}
	return true
}

// relieve moves objects away from the fullest upstreams.
func (l *loads) relieve(g *group, moves int) {
	for ; moves > 0; moves-- {
		var from registry.UpstreamID
		for _, u := range l.list {
			if l.fill(u.ID) > l.level && (from == "" || l.fill(u.ID) > l.fill(from)) && l.others(g, u.ID) {
				from = u.ID
			}
		}
		if from == "" || !l.moveOne(g, from) {
			return
		}
	}
}

// others reports whether an upstream has more than one object.
func (l *loads) others(g *group, id registry.UpstreamID) bool {
	n := 0
	for _, w := range g.objects {
		if slices.Contains(w.list, id) {
			n++
		}
	}
	return n > 1
}

// moveOne moves the object whose move leaves the two upstreams least full, and reports whether one was worth it.
func (l *loads) moveOne(g *group, from registry.UpstreamID) bool {
	var best *want
	var to registry.UpstreamID
	worst := better * l.fill(from)
	for _, w := range g.objects {
		if !slices.Contains(w.list, from) {
			continue
		}
		share := w.slots / float64(len(w.list))
		id, fill := l.emptiest(w, share)
		if id == "" {
			continue
		}
		if left := (l.used[from] - share) / max(l.slots[from], 1); max(fill, left) < worst {
			best, to, worst = w, id, max(fill, left)
		}
	}
	if best == nil {
		return false
	}
	share := best.slots / float64(len(best.list))
	l.used[from] -= share
	l.used[to] += share
	list := slices.Clone(best.list)
	list[slices.Index(list, from)] = to
	best.list = list
	return true
}

// describe makes the plan that VMs are told, of the objects that are asked for and of those that were until lately.
func (p *Planner) describe(groups []*group) {
	next := map[ident.Region]protocol.Assignments{}
	for _, g := range groups {
		for _, w := range g.objects {
			if w.unplanned() {
				continue
			}
			for _, r := range w.callers {
				if next[r] == nil {
					next[r] = protocol.Assignments{}
				}
				if next[r][g.service] == nil {
					next[r][g.service] = map[object.ID][]registry.UpstreamID{}
				}
				next[r][g.service][w.id] = w.list
			}
		}
	}
	p.plan = next
}
