package balancer

import (
	"math"
	"slices"
	"strings"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

const (
	// warmMemory is how long an object is taken to stay warm at an upstream that handled it.
	warmMemory = 20 * time.Second
	// maxObjects bounds the remembered objects of one service.
	maxObjects = 4096
	// maxWarm is how many upstreams are remembered for one object.
	maxWarm = 4
	// toldWeight is the weight of a new word in the mean load that other VMs put on an upstream.
	toldWeight = 0.25
	// toldStale is the age from which what an upstream told counts no longer.
	toldStale = 15 * time.Second
	// firstWork is the assumed time of a cold request before any answer was seen.
	firstWork = time.Second
	// firstWarm is the assumed part of that for a warm one.
	firstWarm = 0.35
	// smoothing is the weight of a new answer in the mean times.
	smoothing = 0.1
	// slowSmoothing is the weight of a new answer in an upstream's own slowness, which must show within a few.
	slowSmoothing = 0.25
	// failureHold is how long an upstream is avoided after a failure; it doubles with each further one.
	failureHold = 400 * time.Millisecond
	// maxHold bounds failureHold's growth, because an upstream that is back must be found again.
	maxHold = 4 * time.Second
	// failurePenalty is added to the expected time for each failure that is remembered.
	failurePenalty = 150 * time.Millisecond
	// strayPenalty is added for a region that is not the request's: load must not make requests change
	// regions in numbers, which the flows do slowly.
	strayPenalty = 400 * time.Millisecond
	// failureFade is how long it takes until half of the failures are forgotten.
	failureFade = 3 * time.Second
)

// Distance says where an upstream is, as seen from this VM.
type Distance int

// Distances from this VM.
const (
	SameDomain  Distance = iota // in the same failure domain
	SameRegion                  // in another domain of the region
	OtherRegion                 // in another region
)

// Costs are what a deployment's links cost, in time that a caller would trade for them.
type Costs struct {
	RoundTrip [3]time.Duration // there and back, by Distance
	PerKiB    [3]time.Duration // for each KiB that is moved, by Distance
}

// Balancer keeps what this VM knows of the upstreams; it is not safe for concurrent use.
type Balancer struct {
	Domain  ident.Domain
	Regions map[ident.Domain]ident.Region
	Costs   Costs

	services  map[ident.Service]*service
	upstreams map[registry.UpstreamID]*upstream
	planned   protocol.Assignments // by the leader
	uses      protocol.Utilization // as the leader told last
	usesAt    time.Time
}

// service is the upstreams of one service and its mean times.
type service struct {
	name    ident.Service
	list    []*upstream
	cold    time.Duration // mean of requests whose object was new to the upstream
	warm    time.Duration
	plain   time.Duration // mean of requests without an object
	mean    time.Duration // of all requests
	seen    bool          // cold and warm are of answers, no longer assumed
	objects map[string]*known

	plainSeen bool // the same for plain
}

// known is where one object was handled last.
type known struct {
	used time.Time
	at   [maxWarm]place
}

type place struct {
	id   registry.UpstreamID
	used time.Time
}

type upstream struct {
	registry.Upstream
	distance Distance
	seed     object.Seed
	inflight int
	others   float64 // requests of other VMs at the upstream, by what it or the leader told last
	usual    float64 // the mean of that
	toldAt   time.Time
	slow     float64 // its mean time in parts of the service's; 1 at first
	failures float64
	failedAt time.Time
	until    time.Time // not used before, except where nothing else is left
	cold     time.Time // cold until then
}

// SetUpstreams replaces the known upstreams and keeps what was learned of those that stay.
func (p *Balancer) SetUpstreams(now time.Time, all map[registry.UpstreamID]registry.Upstream) {
	old := p.upstreams
	p.upstreams = make(map[registry.UpstreamID]*upstream, len(all))
	services := map[ident.Service]*service{}
	for id, a := range all {
		u := old[id]
		if u == nil || u.StartedAt != a.StartedAt || u.Address != a.Address {
			u = &upstream{slow: 1, seed: object.SeedOf(string(id)), cold: now.Add(a.ColdRemaining)}
		} else if a.Sequence != u.Sequence {
			u.cold = now.Add(a.ColdRemaining)
			if a.ColdRemaining == 0 && u.failures > 0 && now.Sub(u.failedAt) > failureHold {
				u.until = now // it announced itself after the failure
			}
		}
		u.Upstream, u.distance = a, p.distance(a.Domain)
		p.upstreams[id] = u
		s := services[a.Service]
		if s == nil {
			s = &service{name: a.Service, cold: firstWork, warm: time.Duration(float64(firstWork) * firstWarm), plain: firstWork / 2, mean: firstWork / 2, objects: map[string]*known{}}
			if was := p.services[a.Service]; was != nil {
				s.cold, s.warm, s.plain, s.mean, s.seen, s.plainSeen, s.objects = was.cold, was.warm, was.plain, was.mean, was.seen, was.plainSeen, was.objects
			}
			services[a.Service] = s
		}
		s.list = append(s.list, u)
	}
	for _, s := range services {
		slices.SortFunc(s.list, func(a, b *upstream) int { return strings.Compare(string(a.ID), string(b.ID)) }) // all VMs break ties alike
	}
	p.services = services
}

func (p *Balancer) distance(d ident.Domain) Distance {
	switch {
	case d == p.Domain:
		return SameDomain
	case p.Regions[d] == p.Regions[p.Domain]:
		return SameRegion
	}
	return OtherRegion
}

// Query is a request that needs an upstream.
type Query struct {
	Service          ident.Service
	Object           string // empty where the request concerns none, or its route gains nothing from it
	Bytes            ident.Bytes
	RegionWeights    protocol.RegionWeights // parts of this region's requests by the region that serves them; empty for own
	SpreadKey        string                 // sets requests without an object apart
	AllowOutOfRegion bool                   // load may send it to a region that is not its own
	MaxWait          time.Duration          // longest wait for an upstream while others have room; 0 for any
	AllowedRegions   []ident.Region         // allowed regions; none means all
	DrainedDomains   map[ident.Domain]bool
	Tried            []registry.UpstreamID // by earlier attempts
	// AdmitsCold says whether a cold upstream may get one more request now; nil admits all.
	AdmitsCold func(registry.Upstream) bool
	// MayBeCold says whether the upstreams of a domain may be cold though they did not say so; nil means none.
	MayBeCold func(ident.Domain) bool
}

// object is what decides where the request belongs. All requests for one object share it.
func (q *Query) object() object.ID {
	if q.Object != "" {
		return object.IDOf(q.Object)
	}
	return object.IDOf(q.SpreadKey)
}

// Choice is an upstream with what is expected of it.
type Choice struct {
	Upstream        registry.Upstream
	Distance        Distance
	ObjectWarm      bool
	UpstreamCold    bool          // the upstream itself has just started, and counts as cold
	OutOfRegion     bool          // not in the region where the request belongs
	HasFreeSlots    bool          // its region has free slots
	ExpectedWait    time.Duration // before the upstream begins with the request
	ExpectedLatency time.Duration // until its answer is here
	BestLatency     time.Duration // the same for an upstream there that is free and knows the object
	Load            int           // requests at the upstream, as far as known
	Rank            int           // place of the upstream in the object's order
}

// Choose returns the upstream with the earliest expected answer, or false where none may be used.
func (p *Balancer) Choose(now time.Time, q *Query) (Choice, bool) {
	s := p.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	home := p.homes(now, s, q)
	var best Choice
	var bestCost time.Duration
	for _, u := range s.list {
		if !p.usable(now, u, q) {
			continue
		}
		c, cost := p.estimate(now, s, u, q, home)
		if now.Before(u.until) {
			cost += lastResort
		}
		if c.OutOfRegion && !q.AllowOutOfRegion {
			cost += lastResort / 2
		}
		if best.Upstream.ID == "" || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, best.Upstream.ID != ""
}

// lastResort is added for upstreams that get a request only where all others may not.
const lastResort = time.Hour

func (p *Balancer) usable(now time.Time, u *upstream, q *Query) bool {
	if !u.serves(p, q) {
		return false
	}
	for _, t := range q.Tried {
		if t == u.ID {
			return false
		}
	}
	return !u.isCold(now, q) || q.AdmitsCold == nil || q.AdmitsCold(u.Upstream)
}

func (u *upstream) isCold(now time.Time, q *Query) bool {
	return now.Before(u.cold) || q.MayBeCold != nil && q.MayBeCold(u.Domain)
}

func allowed(homes []ident.Region, r ident.Region) bool {
	if len(homes) == 0 {
		return true
	}
	for _, h := range homes {
		if h == r {
			return true
		}
	}
	return false
}

const (
	// scarceFrom is the part of a region's slots in use from which a slot's time is scarce.
	scarceFrom = 0.5
	// scarceGrowth is how much dearer it gets until all slots are in use. A request at an upstream that does not
	// know its object takes three times the slot's time, so that a full service that spreads its requests
	// gets fuller still.
	scarceGrowth = 10
	// usesStale is the age from which this VM's own view of a region is better than the leader's: two reports.
	usesStale = 1500 * time.Millisecond
	// spreadScarcity is the scarcity from which hot objects no longer spread to further upstreams: their first
	// requests there would take the slots that others need.
	spreadScarcity = 2.5
)

// scarcity says how dear slots are in each region, by the part of them that is in use.
func (p *Balancer) scarcity(now time.Time, s *service, q *Query) map[ident.Region]float64 {
	type use struct{ used, slots int }
	uses := map[ident.Region]use{}
	for _, u := range s.list {
		if u.serves(p, q) {
			n := uses[p.Regions[u.Domain]]
			uses[p.Regions[u.Domain]] = use{n.used + min(u.load(now, s), int(u.Slots)), n.slots + int(u.Slots)}
		}
	}
	scarce := make(map[ident.Region]float64, len(uses))
	for r, n := range uses {
		part := float64(n.used) / float64(max(n.slots, 1))
		if told, known := p.uses[s.name][r]; known && now.Sub(p.usesAt) < usesStale {
			part = told
		}
		scarce[r] = max(0, part-scarceFrom) * scarceGrowth
	}
	return scarce
}

// estimate returns what is expected of an upstream, and its cost for comparison with others.
func (p *Balancer) estimate(now time.Time, s *service, u *upstream, q *Query, h home) (Choice, time.Duration) {
	warm := s.isWarm(now, q.Object, u.ID)
	work := s.cold
	cost := s.cold
	rank := h.rank(u)
	switch {
	case warm:
		work, cost = s.warm, s.warm
	case rank < h.main:
		cost = s.warm // it will be warm for the requests that follow
	default:
		cost -= (s.cold - s.warm) / 10 * time.Duration(homesKept-rank) / homesKept // so that all choose the same one where the first is full
	}
	if q.Object == "" {
		work, cost = s.plain, s.plain
	}
	load := u.load(now, s)
	wait := time.Duration(0)
	if slots := max(int(u.Slots), 1); load >= slots {
		wait = time.Duration(float64(load-slots+1) / float64(slots) * float64(s.mean) * u.slow)
	}
	trip := p.Costs.RoundTrip[u.distance]
	slow := u.slow
	if !warm && rank >= h.main {
		// Of many upstreams the one that seems fastest is mostly one whose few answers were lucky, and a different one
		// for each VM: the object would be new to all of them.
		slow = max(slow, 1)
	}
	cold := u.isCold(now, q)
	if cold {
		slow *= 2
	}
	c := Choice{Upstream: u.Upstream, Distance: u.distance, ObjectWarm: warm, UpstreamCold: cold, Rank: rank, Load: load, ExpectedWait: wait,
		ExpectedLatency: wait + trip + time.Duration(float64(work)*slow), BestLatency: trip + s.fastest(q.Object != "")}
	total := wait + trip + time.Duration(float64(cost)*slow*(1+h.scarce[p.Regions[u.Domain]]))
	total += time.Duration(int64(q.Bytes) * int64(p.Costs.PerKiB[u.distance]) / 1024)
	if c.OutOfRegion = p.Regions[u.Domain] != h.region; c.OutOfRegion {
		total += strayPenalty
	}
	c.HasFreeSlots = h.scarce[p.Regions[u.Domain]] < spreadScarcity
	if q.MaxWait > 0 && wait > q.MaxWait && c.HasFreeSlots {
		// The object is asked for more than this upstream can serve in time. Another one that is free serves this
		// request late, and those that follow in time.
		total += lastResort / 4
	}
	total += time.Duration(u.faded(now) * float64(failurePenalty))
	return c, total
}

// load estimates the requests at an upstream: this VM's own, and those of others by what it told. What it told last
// holds for about as long as a request takes; each of many VMs hears of an upstream once in some seconds, and one
// word about a full queue would keep its requests away until the next. Its mean holds on. One that told nothing
// lately is taken to have none: all VMs send objects to the same homes, so that one that this VM does not use is
// seldom used by others, while a mean over the answers counts the busy ones most.
func (u *upstream) load(now time.Time, s *service) int {
	age := now.Sub(u.toldAt)
	if age > toldStale {
		return u.inflight
	}
	kept := math.Exp(-float64(age) / float64(s.mean))
	return u.inflight + int(u.usual+(u.others-u.usual)*kept+0.5)
}

// tell takes over a load that an upstream told.
func (u *upstream) tell(now time.Time, told int) {
	u.others = float64(max(0, told-u.inflight))
	if now.Sub(u.toldAt) > toldStale {
		u.usual = u.others
	}
	u.usual += toldWeight * (u.others - u.usual)
	u.toldAt = now
}

func (u *upstream) faded(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	age := now.Sub(u.failedAt)
	f := u.failures
	for ; age >= failureFade && f > 0.1; age -= failureFade {
		f /= 2
	}
	if f <= 0.1 {
		return 0
	}
	return f
}

func (s *service) isWarm(now time.Time, key string, id registry.UpstreamID) bool {
	o := s.objects[key]
	if o == nil || key == "" {
		return false
	}
	for _, w := range o.at {
		if w.id == id {
			return now.Sub(w.used) < warmMemory
		}
	}
	return false
}
