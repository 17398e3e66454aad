package allocator

import (
	"math"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

func held(a ledger.Amount) float64 { return float64(a.Count) }

// region plans the requests that may run in a region.
func (p *planner) region(r document.Region) {
	id := limit.OfRegion(r.Name)
	total, ok := p.in.Total(id)
	if !ok {
		return
	}
	now := p.amounts(id)
	free, open := p.unreported(total, now, nil)
	p.emitCounts(id, total, p.targets(free.Count, p.weights(id, open, held), now, open))
}

// connections splits the connections of an upstream evenly.
func (p *planner) connections(u *rpc.Upstream) {
	id := limit.OfConnections(ident.Address(u.GetAddress()))
	total, ok := p.in.Total(id)
	if !ok || len(p.in.Holders) == 0 {
		return
	}
	n := uint32(len(p.in.Holders))
	targets := make([]uint32, n)
	for i := range targets {
		targets[i] = total.Count / n
		if uint32(i) < total.Count%n {
			targets[i]++
		}
	}
	p.emitCounts(id, total, targets)
}

func (p *planner) emitCounts(id ident.Limit, total ledger.Amount, counts []uint32) {
	wish := make([]ledger.Amount, len(counts))
	for i, n := range counts {
		wish[i].Count = n
	}
	p.emit(id, total, wish)
}

// targets divides a count among the open holders by weight above a floor, and keeps
// what a holder has where the difference is small. The others keep all that they have.
func (p *planner) targets(total uint32, weights []float64, now []ledger.Amount, open []bool) []uint32 {
	kept := make([]uint32, len(now))
	var ideal []float64
	var at []int // positions of the open holders
	for i := range now {
		kept[i] = now[i].Count
		if open[i] {
			at = append(at, i)
			ideal = append(ideal, weights[i])
		}
	}
	if len(at) == 0 {
		return kept
	}
	ideal = quotas(float64(total), ideal)
	have := make([]uint32, len(at))
	for k, i := range at {
		have[k] = now[i].Count
	}
	for k, n := range settled(total, ideal, have) {
		kept[at[k]] = n
	}
	return kept
}

// settled rounds the ideal parts to whole numbers with the given sum, near to what is held.
func settled(total uint32, ideal []float64, held []uint32) []uint32 {
	parts := largestRemainder(total, ideal, 0)
	kept := make([]uint32, len(ideal))
	sum := uint32(0)
	for i := range parts {
		kept[i] = parts[i]
		if have := held[i]; math.Abs(ideal[i]-float64(have)) < math.Max(1, hysteresis*float64(have)) && have > 0 {
			kept[i] = have
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

// quotas returns the exact part of each holder: at least one unit for a demand where
// that many exist, a floor for all, the rest by weight.
func quotas(total float64, weights []float64) []float64 {
	sum, wanting := 0.0, 0.0
	for _, w := range weights {
		sum += w
		if w > 0 {
			wanting++
		}
	}
	n := float64(len(weights))
	parts := make([]float64, len(weights))
	floor := total / n
	if sum > 0 {
		floor *= floorPart
	}
	least := 0.0
	if wanting > 0 && wanting <= total {
		least = 1
	}
	rest := 0.0
	for i, w := range weights {
		parts[i] = floor
		if w > 0 {
			parts[i] = math.Max(floor, least)
		}
		rest += parts[i]
	}
	rest = total - rest
	if rest < 0 { // the floors of idle holders give way
		for i, w := range weights {
			if w <= 0 {
				parts[i] = math.Max(0, parts[i]+rest/(n-wanting))
			}
		}
		return parts
	}
	for i, w := range weights {
		if sum > 0 {
			parts[i] += rest * w / sum
		}
	}
	return parts
}
