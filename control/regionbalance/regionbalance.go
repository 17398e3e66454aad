package regionbalance

import (
	"maps"
	"math"
	"sort"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

const (
	// fill is the part of its upstreams' slots that a region's own requests may keep busy on average before
	// some go elsewhere. Requests come in clumps, and more of them would wait longer than a far region takes.
	fill = 0.65
	// step bounds how much of a region's requests moves in one second. Operators bound what may move in 2 s,
	// 0.15 of a region's requests in the known deployments, and VMs hear of steps at different times.
	step = 0.03
	// worthwhile is the least part of a region's requests for which a flow leaves a crowded region: each object
	// that moves is new to its next upstream, so noise in the demand must not move any.
	worthwhile = 0.12
	// lasting is the same where no region is crowded. A request that crosses regions for nothing takes a sixth of the
	// time that an object costs that is new to its upstream, so a wave of demand must not move objects to and fro.
	lasting = 0.4
	// crowded is the part of a region's slots in use from which requests queue there in numbers.
	crowded = 0.85
	// settling is how long a new leader leaves flows as they are, until it has heard the demand of all VMs.
	settling = 3 * time.Second
	// peakMemory is how long it takes the height of a past demand to count half, which flows are planned for.
	peakMemory = 60 * time.Second
	// memory is how long it takes a past demand to count half.
	memory = 6 * time.Second
)

// SlotCapacity is the slots of a service's upstreams by region.
type SlotCapacity map[ident.Service]map[ident.Region]float64

// Balancer is the leader's view of where requests come from and go; its zero value is ready for use.
type Balancer struct {
	vms   map[ident.VM]load
	flows map[ident.Service]map[ident.Region]protocol.RegionWeights // by the region of the callers
	at    time.Time
	began time.Time         // of the first report
	slots map[key]float64   // of each region, as of the last change
	lost  map[key]time.Time // when a region last lost many of its slots
	// moving are the flows on their way to a target.
	moving map[key]bool
	peaks  map[key]float64 // the most demand, fading
}

// key names one flow.
type key struct {
	service ident.Service
	region  ident.Region
}

// load is what one VM reported.
type load struct {
	region ident.Region
	at     time.Time
	busy   map[ident.Service]float64                  // slots that its requests keep busy
	tied   map[ident.Region]map[ident.Service]float64 // the same for those that one region alone may serve
}

// Report takes over a VM's demand: the slots that its requests keep busy, and those of requests that one region alone
// may serve.
func (s *Balancer) Report(now time.Time, vm ident.VM, region ident.Region, busy map[ident.Service]float64, tied map[ident.Region]map[ident.Service]float64) {
	if s.vms == nil {
		s.vms = map[ident.VM]load{}
	}
	old := s.vms[vm]
	next := load{region: region, at: now, tied: map[ident.Region]map[ident.Service]float64{}}
	keep := 0.0
	if age := now.Sub(old.at); age < 4*memory {
		keep = 1 - age.Seconds()/(age.Seconds()+memory.Seconds())
	}
	next.busy = smooth(old.busy, busy, keep)
	for home, busy := range tied {
		next.tied[home] = smooth(old.tied[home], busy, keep)
	}
	s.vms[vm] = next
}

func smooth(old, busy map[ident.Service]float64, keep float64) map[ident.Service]float64 {
	next := make(map[ident.Service]float64, len(busy))
	for name, n := range busy {
		next[name] = keep*old[name] + (1-keep)*n
	}
	return next
}

// leastRoom is the part of a region's slots that flows may count on however many requests are tied to it: without it
// a flow would leave the region at once.
const leastRoom = 0.05

// left returns the slots that requests leave which one region alone may serve.
func (s *Balancer) left(now time.Time, name ident.Service, slots map[ident.Region]float64) map[ident.Region]float64 {
	left := maps.Clone(slots)
	for _, l := range s.vms {
		if now.Sub(l.at) >= 4*memory {
			continue
		}
		for r, busy := range l.tied {
			if n, serves := left[r]; serves {
				left[r] = max(n-busy[name], leastRoom*slots[r])
			}
		}
	}
	return left
}

// Weights returns where the requests of a region should go. Held is what a VM of the region follows now, which
// a new leader continues from.
func (s *Balancer) Weights(now time.Time, region ident.Region, room SlotCapacity, held protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	s.advance(now, room, region, held)
	flows := protocol.RegionWeightsByService{}
	for name, by := range s.flows {
		if f := by[region]; len(f) > 0 {
			flows[name] = f
		}
	}
	return flows
}

// All returns the flows of all regions, by the region of the callers. The result must not be changed.
func (s *Balancer) All() map[ident.Service]map[ident.Region]protocol.RegionWeights { return s.flows }

// advance moves all flows towards what demand and room ask for, as far as the time since allows.
func (s *Balancer) advance(now time.Time, room SlotCapacity, region ident.Region, held protocol.RegionWeightsByService) {
	if s.began.IsZero() {
		s.began = now
	}
	most := step * min(now.Sub(s.at).Seconds(), 1)
	fade := math.Exp2(-now.Sub(s.at).Seconds() / peakMemory.Seconds())
	s.at = now
	if s.flows == nil {
		s.flows = map[ident.Service]map[ident.Region]protocol.RegionWeights{}
	}
	for name, slots := range room {
		if s.flows[name] == nil {
			s.flows[name] = map[ident.Region]protocol.RegionWeights{}
		}
		if s.flows[name][region] == nil && len(held[name]) > 0 {
			s.flows[name][region] = held[name]
		}
		s.noteLoss(now, name, slots)
		slots = s.left(now, name, slots)
		demand := s.demand(now, name)
		// What moves no request need not move slowly: upstreams announce themselves one after the other.
		if idle(demand, slots) {
			s.flows[name] = Targets(demand, slots)
			continue
		}
		if now.Sub(s.began) < settling {
			if s.flows[name][region] == nil {
				s.flows[name][region] = Targets(map[ident.Region]float64{region: 0}, slots)[region]
			}
			continue
		}
		full := full(s.flows[name], demand, slots)
		for r, target := range Targets(s.peak(name, demand, fade), slots) {
			s.flows[name][r] = s.move(key{name, r}, s.flows[name][r], target, slots, full, most*s.haste(now, key{name, r}))
		}
	}
}

// demand returns the busy slots that each region's callers need.
func (s *Balancer) demand(now time.Time, name ident.Service) map[ident.Region]float64 {
	d := map[ident.Region]float64{}
	for _, l := range s.vms {
		if now.Sub(l.at) < 4*memory {
			d[l.region] += l.busy[name]
		}
	}
	return d
}

// Targets returns, for each region with demand, the parts of it that other regions should serve. Where there
// is more demand than all have room for, all become equally full.
func Targets(demand, slots map[ident.Region]float64) map[ident.Region]protocol.RegionWeights {
	if sum(slots) <= 0 {
		return nil // nobody serves
	}
	demand = assume(demand, slots)
	level := max(fill, sum(demand)/max(sum(slots), 1))
	spare := map[ident.Region]float64{}
	for r, n := range slots {
		if left := n*level - demand[r]; left > 0 {
			spare[r] = left
		}
	}
	if sum(spare) <= 0 {
		spare = slots // all are equally full, and what has no upstreams must go somewhere
	}
	targets := map[ident.Region]protocol.RegionWeights{}
	for r, d := range demand {
		keep := 0.0
		if most := slots[r] * level; most > 0 {
			keep = min(1, most/max(d, most))
		}
		elsewhere := sum(spare) - spare[r]
		if elsewhere <= 0 {
			keep = 1 // no other region has upstreams
		}
		flow := protocol.RegionWeights{r: keep}
		for o, n := range spare {
			if o != r && elsewhere > 0 {
				flow[o] = (1 - keep) * n / elsewhere
			}
		}
		targets[r] = flow
	}
	return targets
}

func sum(parts map[ident.Region]float64) float64 {
	total := 0.0
	for _, n := range parts {
		total += n
	}
	return total
}

// assume returns the demand to plan for. Before there is any, all regions are taken to be alike, and as busy
// as the slots allow, since caches are cold then.
func assume(demand, slots map[ident.Region]float64) map[ident.Region]float64 {
	all := sum(slots)
	if !idle(demand, slots) || len(demand) == 0 {
		return demand
	}
	even := make(map[ident.Region]float64, len(demand))
	for r := range demand {
		even[r] = all * fill / float64(len(slots))
	}
	return even
}

const (
	// lossPart is the part of a region's slots whose loss makes its flow change in haste.
	lossPart = 0.3
	// lossTime is how long it does.
	lossTime = 5 * time.Second
	// lossHaste is how much faster a flow changes then.
	lossHaste = 6
)

// noteLoss notes regions that lost many of their slots, as by a drain or a failure.
func (s *Balancer) noteLoss(now time.Time, name ident.Service, slots map[ident.Region]float64) {
	if s.slots == nil {
		s.slots, s.lost = map[key]float64{}, map[key]time.Time{}
	}
	for r, n := range slots {
		k := key{name, r}
		if n < s.slots[k]*(1-lossPart) {
			s.lost[k] = now
		}
		if n > s.slots[k] || n < s.slots[k]*(1-lossPart) {
			s.slots[k] = n
		}
	}
}

func (s *Balancer) haste(now time.Time, k key) float64 {
	if at, lost := s.lost[k]; lost && now.Sub(at) < lossTime {
		return lossHaste
	}
	return 1
}

// idle reports whether there is no demand yet that is worth a plan.
func idle(demand, slots map[ident.Region]float64) bool {
	const some = 0.02 // of all slots
	return sum(demand) <= some*sum(slots)
}

// peak returns the demand that flows are planned for: what a wave takes back it brings again.
func (s *Balancer) peak(name ident.Service, demand map[ident.Region]float64, fade float64) map[ident.Region]float64 {
	if s.peaks == nil {
		s.peaks = map[key]float64{}
	}
	most := make(map[ident.Region]float64, len(demand))
	for r, d := range demand {
		k := key{name, r}
		s.peaks[k] = max(d, s.peaks[k]*fade)
		most[r] = s.peaks[k]
	}
	return most
}

// full returns the regions that are crowded by the requests that the flows send there, and by more than all are.
func full(flows map[ident.Region]protocol.RegionWeights, demand, slots map[ident.Region]float64) map[ident.Region]bool {
	used := map[ident.Region]float64{}
	for r, d := range demand {
		for to, part := range flows[r] {
			used[to] += d * part
		}
	}
	const more = 1.15 // than all on average
	level := max(crowded, more*sum(demand)/max(sum(slots), 1))
	full := map[ident.Region]bool{}
	for r, n := range used {
		full[r] = n > level*slots[r]
	}
	return full
}

// move lets a flow begin to change where that is worthwhile, and change until it is where it should be.
func (s *Balancer) move(k key, from, target protocol.RegionWeights, slots map[ident.Region]float64, full map[ident.Region]bool, most float64) protocol.RegionWeights {
	if s.moving == nil {
		s.moving = map[key]bool{}
	}
	off := distance(from, target)
	least := lasting
	for r, part := range from {
		if full[r] && part > target[r] {
			least = worthwhile
		}
	}
	if from != nil && !s.moving[k] && off < least && covered(from, slots) {
		return from
	}
	s.moving[k] = off > most
	return approach(from, target, slots, most)
}

// distance is the part of the requests that go to other regions in one flow than in the other.
func distance(from, target protocol.RegionWeights) float64 {
	moved := 0.0
	for r, want := range target {
		moved += max(0, want-from[r])
	}
	return moved
}

// covered reports whether all regions of a flow have upstreams.
func covered(f protocol.RegionWeights, slots map[ident.Region]float64) bool {
	for r, part := range f {
		if part > 0 && slots[r] <= 0 {
			return false
		}
	}
	return true
}

// approach moves a flow towards a target by at most a part of all requests. Regions without room are left
// at once.
func approach(from, target protocol.RegionWeights, slots map[ident.Region]float64, most float64) protocol.RegionWeights {
	if from == nil || !covered(from, slots) {
		return target
	}
	moved := distance(from, target)
	if moved <= most {
		return target
	}
	next := protocol.RegionWeights{}
	for _, r := range regions(from, target) {
		next[r] = from[r] + (target[r]-from[r])*most/moved
	}
	return next
}

func regions(flows ...protocol.RegionWeights) []ident.Region {
	known := map[ident.Region]bool{}
	var list []ident.Region
	for _, f := range flows {
		for r := range f {
			if !known[r] {
				known[r] = true
				list = append(list, r)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
