package lender

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
	targets := p.targets(total.Count, p.weights(id, nil, held), func(i int) uint32 { return p.in.Holders[i].Current[id].Share.Count })
	p.emitCounts(id, total, targets)
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

// targets divides a count by weight above a floor, and keeps what a holder has where the difference is small.
func (p *planner) targets(total uint32, weights []float64, now func(int) uint32) []uint32 {
	n := len(p.in.Holders)
	if n == 0 {
		return nil
	}
	ideal := quotas(float64(total), weights)
	parts := largestRemainder(total, ideal, 0)
	kept := make([]uint32, n)
	sum := uint32(0)
	for i := range parts {
		kept[i] = parts[i]
		if have := now(i); math.Abs(ideal[i]-float64(have)) < math.Max(1, hysteresis*float64(have)) && have > 0 {
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
