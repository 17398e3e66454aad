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
	// objectWarmTTL is how long an object is assumed to stay in the cache of an upstream that handled it.
	objectWarmTTL = 20 * time.Second
	// maxObjectsPerService bounds the objects that are tracked for one service. Callers choose their names, which may be
	// long, so that only hashes of them are kept.
	maxObjectsPerService = 4096
	// maxWarmUpstreams bounds the upstreams that are tracked for one object.
	maxWarmUpstreams = 4
	// otherLoadSmoothing is the weight of a new sample in the mean load that other VMs put on an upstream.
	otherLoadSmoothing = 0.25
	// reportedLoadMaxAge is the age above which an upstream's reported load is ignored.
	reportedLoadMaxAge = 15 * time.Second
	// initialColdTime is the service time assumed for a request with a cold cache before the first response.
	initialColdTime = time.Second
	// initialWarmRatio is the service time assumed for a warm cache, relative to initialColdTime.
	initialWarmRatio = 0.35
	// serviceTimeSmoothing is the weight of a new sample in a service's mean times.
	serviceTimeSmoothing = 0.1
	// slownessSmoothing is the weight of a new sample in an upstream's slowness. It is larger than
	// serviceTimeSmoothing so that a slow upstream is detected within a few responses.
	slownessSmoothing = 0.25
	// failureBackoff is the base of the time for which an upstream is avoided after a failed connection. The time
	// doubles with each further failure.
	failureBackoff = 400 * time.Millisecond
	// maxFailureBackoff bounds the backoff so that an upstream that has recovered is tried again soon.
	maxFailureBackoff = 4 * time.Second
	// failurePenalty is added to an upstream's cost for each of its failures, weighted by age.
	failurePenalty = 150 * time.Millisecond
	// outOfRegionPenalty is added to the cost of upstreams outside the request's region. Load must not move many
	// requests between regions at once: the region weights do this gradually.
	outOfRegionPenalty = 400 * time.Millisecond
	// failureHalfLife is the time after which the weight of a failure is halved.
	failureHalfLife = 3 * time.Second
)

// Distance is how far an upstream is from this VM.
type Distance int

// Distances of upstreams, nearest first.
const (
	SameDomain  Distance = iota // in the same failure domain
	SameRegion                  // in another domain of the region
	OtherRegion                 // in another region
)

// Costs are the costs of a deployment's network links, as the latency that a caller would accept to avoid them. They are
// added to expected latencies.
type Costs struct {
	RoundTrip [3]time.Duration // round trip time, by Distance
	PerKiB    [3]time.Duration // cost of transferring one KiB, by Distance
}

// Balancer tracks the upstreams and chooses one for each request. It is not safe for concurrent use.
type Balancer struct {
	VM      ident.VM     // this VM
	Domain  ident.Domain // the failure domain of this VM
	Regions map[ident.Domain]ident.Region
	Costs   Costs

	services      map[ident.Service]*service
	upstreams     map[registry.UpstreamID]*upstream
	assignments   protocol.Assignments // from the leader
	utilization   protocol.Utilization // last reported by the leader
	utilizationAt time.Time
	departed      map[registry.UpstreamID]*departedNotice
}

// service holds the upstreams of one service and the mean service times of its requests.
type service struct {
	name               ident.Service
	upstreams          []*upstream
	coldTime           time.Duration // mean service time where the upstream did not have the object in its cache
	warmTime           time.Duration // mean service time where the upstream had the object in its cache
	noObjectTime       time.Duration // mean service time of requests without an object
	meanTime           time.Duration // mean service time of all requests
	objectMeasuredAt   time.Time     // last response to a request with an object
	noObjectMeasuredAt time.Time     // last response to a request without an object
	objects            map[object.ID]*warmObject
}

// warmObject records the upstreams that handled an object most recently.
type warmObject struct {
	lastUsed  time.Time
	upstreams [maxWarmUpstreams]warmUpstream
}

// warmUpstream is an upstream with an object in its cache, and when it last handled the object.
type warmUpstream struct {
	id       registry.UpstreamID
	lastUsed time.Time
}

// upstream is a registered upstream with what this VM has learned about it.
type upstream struct {
	registry.Upstream
	notice
	distance          Distance
	seed              object.Seed // for rendezvous hashing
	inFlight          int         // requests of this VM without a response
	otherLoad         float64     // requests of other VMs at the upstream, from the last reported load
	meanOtherLoad     float64     // exponential moving average of otherLoad
	loadReportedAt    time.Time
	slowness          float64 // mean ratio of its service times to the service's mean; initially 1
	failures          float64 // weighted number of failures at failuresUpdatedAt
	failuresUpdatedAt time.Time
	backoffExpiry     time.Time // until then it is chosen only if no other upstream may be
	coldExpiry        time.Time // until then it counts as just started
}

// SetUpstreams replaces the registered upstreams and keeps what was learned about those that remain. The state of an
// upstream that restarted or changed its address is reset.
func (b *Balancer) SetUpstreams(now time.Time, registered map[registry.UpstreamID]registry.Upstream) {
	previous := b.upstreams
	b.upstreams = make(map[registry.UpstreamID]*upstream, len(registered))
	services := map[ident.Service]*service{}
	for id, latest := range registered {
		u := previous[id]
		if u == nil || u.StartedAt != latest.StartedAt || u.Address != latest.Address {
			next := &upstream{slowness: 1, seed: object.SeedOf(string(id)), coldExpiry: now.Add(latest.RemainingColdTime)}
			if u != nil && u.Address == latest.Address {
				next.notice = u.forNextRun()
			}
			u = next
		} else if latest.Sequence != u.Sequence {
			u.coldExpiry = now.Add(latest.RemainingColdTime)
			if latest.RemainingColdTime == 0 && u.failures > 0 && now.Sub(u.failuresUpdatedAt) > failureBackoff {
				u.backoffExpiry = now // it has announced itself since the failure
			}
		}
		u.Upstream, u.distance = latest, b.distance(latest.Domain)
		b.upstreams[id] = u
		s := services[latest.Service]
		if s == nil {
			s = &service{name: latest.Service, coldTime: initialColdTime, warmTime: time.Duration(float64(initialColdTime) * initialWarmRatio), noObjectTime: initialColdTime / 2, meanTime: initialColdTime / 2, objects: map[object.ID]*warmObject{}}
			if prev := b.services[latest.Service]; prev != nil {
				s.coldTime, s.warmTime, s.noObjectTime, s.meanTime, s.objectMeasuredAt, s.noObjectMeasuredAt, s.objects = prev.coldTime, prev.warmTime, prev.noObjectTime, prev.meanTime, prev.objectMeasuredAt, prev.noObjectMeasuredAt, prev.objects
			}
			services[latest.Service] = s
		}
		s.upstreams = append(s.upstreams, u)
	}
	for _, s := range services {
		slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(string(a.ID), string(b.ID)) }) // so that all VMs break ties the same way
	}
	b.services = services
	b.keepNotices(now, previous)
}

// distance returns the distance between this VM and a failure domain.
func (b *Balancer) distance(d ident.Domain) Distance {
	switch {
	case d == b.Domain:
		return SameDomain
	case b.Regions[d] == b.Regions[b.Domain]:
		return SameRegion
	}
	return OtherRegion
}

// Query describes a request that needs an upstream.
type Query struct {
	Service          ident.Service
	Object           string                 // empty if the request has no object or its route has no affinity
	Bytes            ident.Bytes            // size of the request body
	RegionWeights    protocol.RegionWeights // parts of this region's requests by the region that serves them; empty for own region only
	SpreadKey        string                 // hashed in place of Object if that is empty
	AllowOutOfRegion bool                   // high load may move the request out of the region that RegionWeights gives
	MaxWait          time.Duration          // longest acceptable wait at one upstream while its region has free slots; 0 for any
	LeaseNow         time.Time              // current time by a clock that counts suspensions of the VM, for quiet spans
	AllowedRegions   []ident.Region         // empty means all
	DrainedDomains   map[ident.Domain]bool
	Tried            []registry.UpstreamID // upstreams of earlier attempts, which are not chosen again
	// AdmitsCold reports whether a cold upstream may get one more request now. If nil, all may.
	AdmitsCold func(registry.Upstream) bool
	// MayBeCold reports whether a domain's upstreams may be cold without having announced it. If nil, none are.
	MayBeCold func(ident.Domain) bool
}

// objectID returns the hash that determines the request's region and its ranking of upstreams. It is the same for
// all requests for one object.
func (q *Query) objectID() object.ID {
	if q.Object != "" {
		return object.IDOf(q.Object)
	}
	return object.IDOf(q.SpreadKey)
}

// Choice is a chosen upstream with the expected wait and latency.
type Choice struct {
	Upstream        registry.Upstream
	Distance        Distance
	ObjectWarm      bool          // the upstream has recently handled the object
	UpstreamCold    bool          // the upstream has just started
	OutOfRegion     bool          // not in the region that the query's weights give
	HasFreeSlots    bool          // the service has free slots in the upstream's region
	ExpectedWait    time.Duration // in the upstream's queue
	ExpectedLatency time.Duration // from sending the request to its response, with ExpectedWait
	BestLatency     time.Duration // expected latency at an idle upstream at this distance that has the object in its cache
	Load            int           // estimated number of requests at the upstream
	Rank            int           // position of the upstream in the object's ranking, from 0; 12 if it is not ranked
}

// Choose returns the upstream with the lowest cost, which is the expected latency with penalties. It returns false if
// no upstream may be used.
func (b *Balancer) Choose(now time.Time, q *Query) (Choice, bool) {
	s := b.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	pref := b.preference(now, s, q)
	var best Choice
	var bestCost time.Duration
	quietInRegion := false
	for _, u := range s.upstreams {
		if !b.usable(now, u, q) {
			quietInRegion = quietInRegion || u.isQuiet(q.LeaseNow) && u.mayServe(b, q) && b.Regions[u.Domain] == pref.region
			continue
		}
		c, cost := b.estimate(now, s, u, q, pref)
		if now.Before(u.backoffExpiry) {
			cost += lastResortPenalty
		}
		if c.OutOfRegion && !q.AllowOutOfRegion {
			cost += lastResortPenalty / 2
		}
		if best.Upstream.ID == "" || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if best.OutOfRegion && !q.AllowOutOfRegion && quietInRegion {
		return Choice{}, false // requests must not move to another region together whenever all upstreams of one are quiet
	}
	return best, best.Upstream.ID != ""
}

// lastResortPenalty is added to the cost of an upstream that is in backoff, so that it is chosen only if no other
// may be. Fractions of it are added for lesser conditions and still exceed all latencies.
const lastResortPenalty = time.Hour

// usable reports whether the request may be sent to an upstream in this attempt.
func (b *Balancer) usable(now time.Time, u *upstream, q *Query) bool {
	if !u.mayServe(b, q) || u.isQuiet(q.LeaseNow) {
		return false
	}
	for _, t := range q.Tried {
		if t == u.ID {
			return false
		}
	}
	return !u.isCold(now, q) || q.AdmitsCold == nil || q.AdmitsCold(u.Upstream)
}

// isCold reports whether an upstream counts as just started.
func (u *upstream) isCold(now time.Time, q *Query) bool {
	return now.Before(u.coldExpiry) || q.MayBeCold != nil && q.MayBeCold(u.Domain)
}

// regionAllowed reports whether a region is in a list of allowed regions, where an empty list allows all.
func regionAllowed(allowed []ident.Region, r ident.Region) bool {
	if len(allowed) == 0 {
		return true
	}
	for _, a := range allowed {
		if a == r {
			return true
		}
	}
	return false
}

const (
	// scarcityThreshold is the utilization of a region's slots above which using a slot costs extra.
	scarcityThreshold = 0.5
	// scarcitySlope is the growth of that extra cost per unit of utilization. The cost keeps requests at upstreams
	// with a warm cache: a request with a cold one occupies a slot three times as long, so a saturated service that
	// spreads its requests becomes more saturated.
	scarcitySlope = 10
	// utilizationMaxAge is the age, two report intervals, from which this VM's own estimate of a region's
	// utilization is better than the leader's.
	utilizationMaxAge = 1500 * time.Millisecond
	// maxSpreadScarcity is the scarcity from which hot objects no longer spread to further upstreams, because their
	// first requests there have a cold cache and would take slots that other requests need.
	maxSpreadScarcity = 2.5
)

// scarcity returns by region the extra cost of using a slot, relative to the time that it is used. It depends on the
// utilization of the region's slots.
func (b *Balancer) scarcity(now time.Time, s *service, q *Query) map[ident.Region]float64 {
	type slotUsage struct{ used, slots int }
	usage := map[ident.Region]slotUsage{}
	for _, u := range s.upstreams {
		if u.mayServe(b, q) {
			n := usage[b.Regions[u.Domain]]
			usage[b.Regions[u.Domain]] = slotUsage{n.used + min(u.estimatedLoad(now, s), int(u.Slots)), n.slots + int(u.Slots)}
		}
	}
	scarcity := make(map[ident.Region]float64, len(usage))
	for r, n := range usage {
		utilization := float64(n.used) / float64(max(n.slots, 1))
		if reported, known := b.utilization[s.name][r]; known && now.Sub(b.utilizationAt) < utilizationMaxAge {
			utilization = reported
		}
		scarcity[r] = max(0, utilization-scarcityThreshold) * scarcitySlope
	}
	return scarcity
}

// estimate returns the choice of an upstream with its expected latency, and its cost for comparison with others.
func (b *Balancer) estimate(now time.Time, s *service, u *upstream, q *Query, pref preference) (Choice, time.Duration) {
	objectWarm := q.Object != "" && s.isWarm(now, object.IDOf(q.Object), u.ID)
	serviceTime := s.coldTime
	cost := s.coldTime
	rank := pref.rank(u)
	switch {
	case objectWarm:
		serviceTime, cost = s.warmTime, s.warmTime
	case rank < pref.preferredCount:
		cost = s.warmTime // one cold request makes it warm for those that follow
	default:
		cost -= (s.coldTime - s.warmTime) / 10 * time.Duration(maxRanked-rank) / maxRanked // lets all VMs choose the same upstream if the preferred ones are saturated
	}
	if q.Object == "" {
		serviceTime, cost = s.noObjectTime, s.noObjectTime
	}
	load := u.estimatedLoad(now, s)
	wait := time.Duration(0)
	if slots := max(int(u.Slots), 1); load >= slots {
		wait = time.Duration(float64(load-slots+1) / float64(slots) * float64(s.meanTime) * u.slowness)
	}
	roundTrip := b.Costs.RoundTrip[u.distance]
	slowness := u.slowness
	if !objectWarm && rank >= pref.preferredCount {
		// The fastest of many upstreams is mostly one with few and by chance fast responses, and a different one
		// for each VM. Choosing by it would send the object to many upstreams with a cold cache.
		slowness = max(slowness, 1)
	}
	upstreamCold := u.isCold(now, q)
	if upstreamCold {
		slowness *= 2
	}
	c := Choice{Upstream: u.Upstream, Distance: u.distance, ObjectWarm: objectWarm, UpstreamCold: upstreamCold, Rank: rank, Load: load, ExpectedWait: wait,
		ExpectedLatency: wait + roundTrip + time.Duration(float64(serviceTime)*slowness), BestLatency: roundTrip + s.bestServiceTime(now, q.Object != "")}
	totalCost := wait + roundTrip + time.Duration(float64(cost)*slowness*(1+pref.scarcity[b.Regions[u.Domain]]))
	totalCost += time.Duration(int64(q.Bytes) * int64(b.Costs.PerKiB[u.distance]) / 1024)
	if c.OutOfRegion = b.Regions[u.Domain] != pref.region; c.OutOfRegion {
		totalCost += outOfRegionPenalty
	}
	c.HasFreeSlots = pref.scarcity[b.Regions[u.Domain]] < maxSpreadScarcity
	if q.MaxWait > 0 && wait > q.MaxWait && c.HasFreeSlots {
		// The object has more requests than this upstream can answer in time. An idle upstream answers this request
		// late because its cache is cold, but those that follow in time.
		totalCost += lastResortPenalty / 4
	}
	totalCost += time.Duration(u.decayedFailures(now) * float64(failurePenalty))
	return c, totalCost
}

// estimatedLoad returns the estimated number of requests at an upstream: those of this VM and, from reported loads,
// those of other VMs. The last reported load decays to the mean with the mean service time as time constant: each of
// many VMs gets a report only once in some seconds, and one report of a long queue would otherwise keep its requests
// away until the next report.
// Without a recent report the load of other VMs is assumed to be 0. All VMs prefer the same upstreams for an object, so
// an upstream that this VM does not use is seldom used by others, and a mean over all responses would overweight the
// busy upstreams.
func (u *upstream) estimatedLoad(now time.Time, s *service) int {
	age := now.Sub(u.loadReportedAt)
	if age > reportedLoadMaxAge {
		return u.inFlight
	}
	weight := math.Exp(-float64(age) / float64(s.meanTime))
	return u.inFlight + int(u.meanOtherLoad+(u.otherLoad-u.meanOtherLoad)*weight+0.5)
}

// recordReportedLoad updates the load of other VMs from the total load that an upstream reported.
func (u *upstream) recordReportedLoad(now time.Time, reported int) {
	u.otherLoad = float64(max(0, reported-u.inFlight))
	if now.Sub(u.loadReportedAt) > reportedLoadMaxAge {
		u.meanOtherLoad = u.otherLoad
	}
	u.meanOtherLoad += otherLoadSmoothing * (u.otherLoad - u.meanOtherLoad)
	u.loadReportedAt = now
}

// decayedFailures returns the weighted number of failures, halved for each half-life since the last update.
func (u *upstream) decayedFailures(now time.Time) float64 {
	if u.failures == 0 {
		return 0
	}
	age := now.Sub(u.failuresUpdatedAt)
	failures := u.failures
	for ; age >= failureHalfLife && failures > 0.1; age -= failureHalfLife {
		failures /= 2
	}
	if failures <= 0.1 {
		return 0
	}
	return failures
}

// isWarm reports whether an upstream has recently handled an object.
func (s *service) isWarm(now time.Time, name object.ID, id registry.UpstreamID) bool {
	o := s.objects[name]
	if o == nil {
		return false
	}
	for _, w := range o.upstreams {
		if w.id == id {
			return now.Sub(w.lastUsed) < objectWarmTTL
		}
	}
	return false
}
