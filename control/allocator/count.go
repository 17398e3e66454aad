package allocator

import (
	"math"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// countOf returns the count of an amount as a weight.
func countOf(a ledger.Amount) float64 { return float64(a.Count) }

// planRegion divides the number of requests that may run in a region at a time.
func (p *planner) planRegion(r document.Region) {
	id := limit.OfRegion(r.Name)
	total, ok := p.input.Total(id)
	if !ok {
		return
	}
	current := p.currentShares(id)
	free, included := p.withoutUnreported(total, current, nil)
	p.addCountChanges(id, total, p.targetCounts(free.Count, p.weights(id, included, countOf), current, included))
}

// planConnections divides the connections of an upstream evenly.
func (p *planner) planConnections(u *rpc.Upstream) {
	id := limit.OfConnections(ident.Address(u.GetAddress()))
	total, ok := p.input.Total(id)
	if !ok || len(p.input.Holders) == 0 {
		return
	}
	n := uint32(len(p.input.Holders))
	targets := make([]uint32, n)
	for i := range targets {
		targets[i] = total.Count / n
		if uint32(i) < total.Count%n {
			targets[i]++
		}
	}
	p.addCountChanges(id, total, targets)
}

// addCountChanges turns the wanted counts of a limit, by holder, into changes.
func (p *planner) addCountChanges(id ident.Limit, total ledger.Amount, counts []uint32) {
	planned := make([]ledger.Amount, len(counts))
	for i, n := range counts {
		planned[i].Count = n
	}
	p.addChanges(id, total, planned)
}

// targetCounts divides a count among the included holders by weight above a floor. They keep their current count
// where the difference is small; the other holders always keep theirs.
func (p *planner) targetCounts(total uint32, weights []float64, current []ledger.Amount, included []bool) []uint32 {
	kept := make([]uint32, len(current))
	var ideal []float64
	var positions []int // of the included holders
	for i := range current {
		kept[i] = current[i].Count
		if included[i] {
			positions = append(positions, i)
			ideal = append(ideal, weights[i])
		}
	}
	if len(positions) == 0 {
		return kept
	}
	ideal = exactShares(float64(total), ideal)
	counts := make([]uint32, len(positions))
	for k, i := range positions {
		counts[k] = current[i].Count
	}
	for k, n := range roundNearHeld(total, ideal, counts) {
		kept[positions[k]] = n
	}
	return kept
}

// roundNearHeld rounds the ideal shares to whole numbers that sum to total, keeping the held count where it is close.
func roundNearHeld(total uint32, ideal []float64, held []uint32) []uint32 {
	parts := largestRemainder(total, ideal, 0)
	kept := make([]uint32, len(ideal))
	sum := uint32(0)
	for i := range parts {
		kept[i] = parts[i]
		if count := held[i]; math.Abs(ideal[i]-float64(count)) < math.Max(1, hysteresis*float64(count)) && count > 0 {
			kept[i] = count
		}
		sum += kept[i]
	}
	for sum != total {
		best := 0
		for i := range kept {
			if sum < total && ideal[i]-float64(kept[i]) > ideal[best]-float64(kept[best]) ||
				sum > total && float64(kept[i])-ideal[i] > float64(kept[best])-ideal[best] {
				best = i
			}
		}
		if sum < total {
			kept[best]++
			sum++
		} else {
			kept[best]--
			sum--
		}
	}
	return kept
}

// exactShares returns the fractional share of each holder: a floor for all, at least one unit for each holder with
// demand if there are enough units, and the rest by weight.
func exactShares(total float64, weights []float64) []float64 {
	sum, withDemand := 0.0, 0.0
	for _, w := range weights {
		sum += w
		if w > 0 {
			withDemand++
		}
	}
	n := float64(len(weights))
	parts := make([]float64, len(weights))
	floor := total / n
	if sum > 0 {
		floor *= floorFraction
	}
	minShare := 0.0
	if withDemand > 0 && withDemand <= total {
		minShare = 1
	}
	remaining := 0.0
	for i, w := range weights {
		parts[i] = floor
		if w > 0 {
			parts[i] = math.Max(floor, minShare)
		}
		remaining += parts[i]
	}
	remaining = total - remaining
	if remaining < 0 { // the floors of holders without demand are reduced
		for i, w := range weights {
			if w <= 0 {
				parts[i] = math.Max(0, parts[i]+remaining/(n-withDemand))
			}
		}
		return parts
	}
	for i, w := range weights {
		if sum > 0 {
			parts[i] += remaining * w / sum
		}
	}
	return parts
}
