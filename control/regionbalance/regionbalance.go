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
	// maxLocalUtilization is the part of its upstreams' slots that a region's own requests may use on average before
	// some go to other regions. Requests arrive in bursts, and above this value more of them would wait longer than a
	// request to a distant region takes.
	maxLocalUtilization = 0.65
	// maxMovePerSecond limits the part of a region's requests that moves to other regions in one second. Operators
	// limit what may move in 2 s, to 0.15 of a region's requests in the known deployments, and VMs learn of changes
	// at different times.
	maxMovePerSecond = 0.03
	// minMoveOverloaded is the smallest part of a region's requests that is moved away from an overloaded region.
	// Each object that moves is not cached at its next upstream, so noise in the demand must not move any.
	minMoveOverloaded = 0.12
	// minMoveNormal is the smallest part of a region's requests that is moved where no region is overloaded. An
	// unnecessary request to another region takes a sixth of the time that serving an uncached object takes, so a
	// short rise of demand must not move objects back and forth.
	minMoveNormal = 0.4
	// overloadUtilization is the part of a region's slots in use above which many requests queue there.
	overloadUtilization = 0.85
	// collectPeriod is how long a new leader keeps the present weights while it collects the demand of all VMs.
	collectPeriod = 3 * time.Second
	// peakHalfLife is how long it takes a past peak of demand, for which weights are planned, to count half.
	peakHalfLife = 60 * time.Second
	// demandHalfLife is how long it takes a past demand to count half.
	demandHalfLife = 6 * time.Second
)

// SlotCapacity holds the number of slots of usable upstreams, by service and region.
type SlotCapacity map[ident.Service]map[ident.Region]float64

// Balancer holds the leader's view of each region's demand and weights. The zero value is ready for use.
type Balancer struct {
	demands     map[ident.VM]vmDemand
	weights     map[ident.Service]map[ident.Region]protocol.RegionWeights // by the region of the callers
	lastAdvance time.Time
	startedAt   time.Time                   // when this leader began to compute weights
	lastSlots   map[serviceRegion]float64   // as of the last large loss or growth
	lastLoss    map[serviceRegion]time.Time // when a region last lost a large part of its slots
	// moving marks weights that are changing towards their targets.
	moving     map[serviceRegion]bool
	peakDemand map[serviceRegion]float64 // decays with peakHalfLife
}

// serviceRegion identifies the weights of one service for the callers of one region.
type serviceRegion struct {
	service ident.Service
	region  ident.Region
}

// vmDemand is the smoothed demand that one VM reported.
type vmDemand struct {
	region      ident.Region
	reportedAt  time.Time
	busySlots   map[ident.Service]float64                  // slots that its requests keep busy
	pinnedSlots map[ident.Region]map[ident.Service]float64 // the same for pinned requests, by the region that serves them
}

// Report records a VM's demand: the slots that its requests keep busy, and those of requests pinned to a region.
func (b *Balancer) Report(now time.Time, vm ident.VM, region ident.Region, busySlots map[ident.Service]float64, pinned map[ident.Region]map[ident.Service]float64) {
	if b.demands == nil {
		b.demands = map[ident.VM]vmDemand{}
	}
	old := b.demands[vm]
	updated := vmDemand{region: region, reportedAt: now, pinnedSlots: map[ident.Region]map[ident.Service]float64{}}
	oldWeight := 0.0
	if age := now.Sub(old.reportedAt); age < 4*demandHalfLife {
		oldWeight = 1 - age.Seconds()/(age.Seconds()+demandHalfLife.Seconds())
	}
	updated.busySlots = smoothDemand(old.busySlots, busySlots, oldWeight)
	for servingRegion, slots := range pinned {
		updated.pinnedSlots[servingRegion] = smoothDemand(old.pinnedSlots[servingRegion], slots, oldWeight)
	}
	b.demands[vm] = updated
}

// smoothDemand returns the weighted mean of the old and current demand of each service.
func smoothDemand(old, current map[ident.Service]float64, oldWeight float64) map[ident.Service]float64 {
	next := make(map[ident.Service]float64, len(current))
	for name, n := range current {
		next[name] = oldWeight*old[name] + (1-oldWeight)*n
	}
	return next
}

// minFreeFraction is the part of a region's slots that weights may count on, however many requests are pinned to the
// region. With no capacity at all, the weights would drop the region at once.
const minFreeFraction = 0.05

// unpinnedCapacity returns the slots of each region that pinned requests leave free.
func (b *Balancer) unpinnedCapacity(now time.Time, name ident.Service, slots map[ident.Region]float64) map[ident.Region]float64 {
	capacity := maps.Clone(slots)
	for _, l := range b.demands {
		if now.Sub(l.reportedAt) >= 4*demandHalfLife {
			continue
		}
		for r, busy := range l.pinnedSlots {
			if n, serves := capacity[r]; serves {
				capacity[r] = max(n-busy[name], minFreeFraction*slots[r])
			}
		}
	}
	return capacity
}

// Weights returns where the requests of a region should go. The weights that a VM of the region uses at present are
// passed as current; a new leader continues from them.
func (b *Balancer) Weights(now time.Time, region ident.Region, capacity SlotCapacity, current protocol.RegionWeightsByService) protocol.RegionWeightsByService {
	b.advance(now, capacity, region, current)
	weights := protocol.RegionWeightsByService{}
	for name, byRegion := range b.weights {
		if w := byRegion[region]; len(w) > 0 {
			weights[name] = w
		}
	}
	return weights
}

// AllWeights returns the weights of all services by the region of the callers. The result must not be changed.
func (b *Balancer) AllWeights() map[ident.Service]map[ident.Region]protocol.RegionWeights {
	return b.weights
}

// advance moves all weights towards the targets given by demand and capacity, as far as the elapsed time allows.
func (b *Balancer) advance(now time.Time, capacity SlotCapacity, region ident.Region, current protocol.RegionWeightsByService) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	maxMove := maxMovePerSecond * min(now.Sub(b.lastAdvance).Seconds(), 1)
	peakDecay := math.Exp2(-now.Sub(b.lastAdvance).Seconds() / peakHalfLife.Seconds())
	b.lastAdvance = now
	if b.weights == nil {
		b.weights = map[ident.Service]map[ident.Region]protocol.RegionWeights{}
	}
	for name, slots := range capacity {
		if b.weights[name] == nil {
			b.weights[name] = map[ident.Region]protocol.RegionWeights{}
		}
		if b.weights[name][region] == nil && len(current[name]) > 0 {
			b.weights[name][region] = current[name]
		}
		b.recordLoss(now, name, slots)
		slots = b.unpinnedCapacity(now, name, slots)
		demand := b.demand(now, name)
		// Without demand no request moves, so the weights may change at once. Upstreams announce themselves one after
		// the other.
		if idle(demand, slots) {
			b.weights[name] = Targets(demand, slots)
			continue
		}
		if now.Sub(b.startedAt) < collectPeriod {
			if b.weights[name][region] == nil {
				b.weights[name][region] = Targets(map[ident.Region]float64{region: 0}, slots)[region]
			}
			continue
		}
		overloaded := overloadedRegions(b.weights[name], demand, slots)
		for r, target := range Targets(b.updatePeaks(name, demand, peakDecay), slots) {
			b.weights[name][r] = b.moveWeights(serviceRegion{name, r}, b.weights[name][r], target, slots, overloaded, maxMove*b.speedFactor(now, serviceRegion{name, r}))
		}
	}
}

// demand returns the busy slots that the callers of each region need.
func (b *Balancer) demand(now time.Time, name ident.Service) map[ident.Region]float64 {
	demand := map[ident.Region]float64{}
	for _, l := range b.demands {
		if now.Sub(l.reportedAt) < 4*demandHalfLife {
			demand[l.region] += l.busySlots[name]
		}
	}
	return demand
}

// Targets returns, for each region with demand, the part of it that each region should serve. If the total demand
// exceeds maxLocalUtilization of all slots, all regions are equally utilized.
func Targets(demand, slots map[ident.Region]float64) map[ident.Region]protocol.RegionWeights {
	if sum(slots) <= 0 {
		return nil // no region has upstreams
	}
	demand = assumedDemand(demand, slots)
	utilization := max(maxLocalUtilization, sum(demand)/max(sum(slots), 1))
	spare := map[ident.Region]float64{}
	for r, n := range slots {
		if free := n*utilization - demand[r]; free > 0 {
			spare[r] = free
		}
	}
	if sum(spare) <= 0 {
		spare = slots // all regions are equally utilized, and requests of regions without upstreams must go somewhere
	}
	targets := map[ident.Region]protocol.RegionWeights{}
	for r, d := range demand {
		localPart := 0.0
		if localCapacity := slots[r] * utilization; localCapacity > 0 {
			localPart = min(1, localCapacity/max(d, localCapacity))
		}
		spareElsewhere := sum(spare) - spare[r]
		if spareElsewhere <= 0 {
			localPart = 1 // no other region has upstreams
		}
		weights := protocol.RegionWeights{r: localPart}
		for o, n := range spare {
			if o != r && spareElsewhere > 0 {
				weights[o] = (1 - localPart) * n / spareElsewhere
			}
		}
		targets[r] = weights
	}
	return targets
}

// sum returns the sum over all regions.
func sum(parts map[ident.Region]float64) float64 {
	total := 0.0
	for _, n := range parts {
		total += n
	}
	return total
}

// assumedDemand returns the demand to plan for. While there is none, it assumes that all regions have the same demand
// and that together they use maxLocalUtilization of all slots, since caches are cold at first.
func assumedDemand(demand, slots map[ident.Region]float64) map[ident.Region]float64 {
	totalSlots := sum(slots)
	if !idle(demand, slots) || len(demand) == 0 {
		return demand
	}
	even := make(map[ident.Region]float64, len(demand))
	for r := range demand {
		even[r] = totalSlots * maxLocalUtilization / float64(len(slots))
	}
	return even
}

const (
	// lossThreshold is the part of a region's slots whose loss speeds up the change of its weights.
	lossThreshold = 0.3
	// lossPeriod is how long the weights change faster after a loss.
	lossPeriod = 5 * time.Second
	// lossSpeedFactor is how much faster the weights change during lossPeriod.
	lossSpeedFactor = 6
)

// recordLoss records regions that lost a large part of their slots, as in a drain or a failure.
func (b *Balancer) recordLoss(now time.Time, name ident.Service, slots map[ident.Region]float64) {
	if b.lastSlots == nil {
		b.lastSlots, b.lastLoss = map[serviceRegion]float64{}, map[serviceRegion]time.Time{}
	}
	for r, n := range slots {
		k := serviceRegion{name, r}
		if n < b.lastSlots[k]*(1-lossThreshold) {
			b.lastLoss[k] = now
		}
		if n > b.lastSlots[k] || n < b.lastSlots[k]*(1-lossThreshold) {
			b.lastSlots[k] = n
		}
	}
}

// speedFactor returns how much faster than usual the weights of a region's callers may change.
func (b *Balancer) speedFactor(now time.Time, k serviceRegion) float64 {
	if at, lost := b.lastLoss[k]; lost && now.Sub(at) < lossPeriod {
		return lossSpeedFactor
	}
	return 1
}

// idle reports whether the demand is still too small to plan for.
func idle(demand, slots map[ident.Region]float64) bool {
	const minDemandPart = 0.02 // of all slots
	return sum(demand) <= minDemandPart*sum(slots)
}

// updatePeaks returns the demand that weights are planned for: the decaying peak, because demand that falls after a
// peak usually rises again.
func (b *Balancer) updatePeaks(name ident.Service, demand map[ident.Region]float64, decay float64) map[ident.Region]float64 {
	if b.peakDemand == nil {
		b.peakDemand = map[serviceRegion]float64{}
	}
	peaks := make(map[ident.Region]float64, len(demand))
	for r, d := range demand {
		k := serviceRegion{name, r}
		b.peakDemand[k] = max(d, b.peakDemand[k]*decay)
		peaks[r] = b.peakDemand[k]
	}
	return peaks
}

// overloadedRegions returns the regions that the present weights overload and that are clearly more utilized than the
// mean.
func overloadedRegions(weights map[ident.Region]protocol.RegionWeights, demand, slots map[ident.Region]float64) map[ident.Region]bool {
	used := map[ident.Region]float64{}
	for r, d := range demand {
		for to, part := range weights[r] {
			used[to] += d * part
		}
	}
	const imbalanceFactor = 1.15 // relative to the mean utilization of all regions
	threshold := max(overloadUtilization, imbalanceFactor*sum(demand)/max(sum(slots), 1))
	overloaded := map[ident.Region]bool{}
	for r, n := range used {
		overloaded[r] = n > threshold*slots[r]
	}
	return overloaded
}

// moveWeights starts to change weights once the change is large enough, and then continues until they reach the
// target.
func (b *Balancer) moveWeights(key serviceRegion, from, target protocol.RegionWeights, slots map[ident.Region]float64, overloaded map[ident.Region]bool, maxMove float64) protocol.RegionWeights {
	if b.moving == nil {
		b.moving = map[serviceRegion]bool{}
	}
	change := distance(from, target)
	minMove := minMoveNormal
	for r, part := range from {
		if overloaded[r] && part > target[r] {
			minMove = minMoveOverloaded
		}
	}
	if from != nil && !b.moving[key] && change < minMove && allServed(from, slots) {
		return from
	}
	b.moving[key] = change > maxMove
	return approach(from, target, slots, maxMove)
}

// distance returns the part of the requests that two sets of weights send to different regions.
func distance(from, target protocol.RegionWeights) float64 {
	moved := 0.0
	for r, want := range target {
		moved += max(0, want-from[r])
	}
	return moved
}

// allServed reports whether all regions with a positive weight have upstreams.
func allServed(weights protocol.RegionWeights, slots map[ident.Region]float64) bool {
	for r, part := range weights {
		if part > 0 && slots[r] <= 0 {
			return false
		}
	}
	return true
}

// approach moves weights towards a target by at most maxMove of all requests. If a region has lost all its upstreams,
// it returns the target at once.
func approach(from, target protocol.RegionWeights, slots map[ident.Region]float64, maxMove float64) protocol.RegionWeights {
	if from == nil || !allServed(from, slots) {
		return target
	}
	moved := distance(from, target)
	if moved <= maxMove {
		return target
	}
	next := protocol.RegionWeights{}
	for _, r := range unionRegions(from, target) {
		next[r] = from[r] + (target[r]-from[r])*maxMove/moved
	}
	return next
}

// unionRegions returns all regions in any of the weights, sorted.
func unionRegions(lists ...protocol.RegionWeights) []ident.Region {
	known := map[ident.Region]bool{}
	var list []ident.Region
	for _, weights := range lists {
		for r := range weights {
			if !known[r] {
				known[r] = true
				list = append(list, r)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
