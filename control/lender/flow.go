package lender

import (
	"math"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/ident"
)

// flow plans a rate and its burst for the marked holders; nil marks all.
func (p *planner) flow(id ident.Limit, marks []bool) {
	total, ok := p.in.Total(id)
	if !ok {
		return
	}
	weights := p.weights(id, marks, func(a ledger.Amount) float64 { return a.Rate })
	ideal := spread(total.Rate, weights, marks)
	wish := make([]ledger.Amount, len(ideal))
	for i, rate := range steady(total.Rate, ideal, p.rates(id)) {
		wish[i].Rate = rate
	}
	bursts(total.Burst, ideal, wish, p.in.Holders, id)
	p.emit(id, total, wish)
}

// weights returns the demand of each holder; one that has not reported weighs as much as it has.
func (p *planner) weights(id ident.Limit, marks []bool, held func(ledger.Amount) float64) []float64 {
	weights := make([]float64, len(p.in.Holders))
	for i := range p.in.Holders {
		h := &p.in.Holders[i]
		switch {
		case marks != nil && !marks[i]:
		case h.Known:
			weights[i] = h.Demands[id].weight()
		default:
			weights[i] = held(h.Current[id].Share)
		}
	}
	return weights
}

func (p *planner) rates(id ident.Limit) []float64 {
	now := make([]float64, len(p.in.Holders))
	for i := range p.in.Holders {
		now[i] = p.in.Holders[i].Current[id].Share.Rate
	}
	return now
}

// spread divides total: a floor for each marked holder, the rest by weight.
func spread(total float64, weights []float64, marks []bool) []float64 {
	shares := make([]float64, len(weights))
	n, sum := 0, 0.0
	for i, w := range weights {
		if marks == nil || marks[i] {
			n++
			sum += w
		}
	}
	if n == 0 {
		return shares
	}
	floor := total / float64(n)
	if sum > 0 {
		floor *= floorPart
	}
	rest := total - floor*float64(n)
	for i, w := range weights {
		if marks != nil && !marks[i] {
			continue
		}
		shares[i] = floor
		if sum > 0 {
			shares[i] += rest * w / sum
		}
		shares[i] = math.Floor(shares[i]/grain) * grain
	}
	return shares
}

// steady keeps shares that are within the hysteresis of the ideal, as long as
// that neither exceeds the total nor leaves much of it unused.
func steady(total float64, ideal, now []float64) []float64 {
	const unused = 0.02 // an idle part of the total that refuses requests within the rate
	kept := make([]float64, len(ideal))
	sum := 0.0
	for i, want := range ideal {
		kept[i] = want
		if math.Abs(want-now[i]) < hysteresis*now[i] {
			kept[i] = now[i]
		}
		sum += kept[i]
	}
	if sum > total || sum < total*(1-unused) {
		return ideal
	}
	return kept
}

// bursts divides the burst in whole tokens: one for each holder as far as they
// last, then by rate. A bucket of less than one token could never admit a request.
func bursts(total float64, rates []float64, wish []ledger.Amount, holders []Holder, id ident.Limit) {
	eligible := make([]float64, len(rates))
	copy(eligible, rates)
	parts := largestRemainder(uint32(math.Min(total, math.MaxUint32)), eligible, 1)
	sum := 0.0
	for i := range parts {
		now := holders[i].Current[id].Share.Burst
		wish[i].Burst = float64(parts[i])
		if now >= 1 && math.Abs(wish[i].Burst-now) < hysteresis*now {
			wish[i].Burst = now
		}
		sum += wish[i].Burst
	}
	if sum > total || sum < math.Floor(total)*(1-hysteresis) {
		for i := range parts {
			wish[i].Burst = float64(parts[i])
		}
	}
}

// largestRemainder divides total whole units by weight. Holders of any weight get
// at least the given minimum where total suffices, those of the largest weight first.
func largestRemainder(total uint32, weights []float64, least uint32) []uint32 {
	parts := make([]uint32, len(weights))
	order := byWeight(weights)
	left := total
	for _, i := range order {
		give := min(least, left)
		parts[i] = give
		left -= give
	}
	sum := 0.0
	for _, i := range order {
		sum += weights[i]
	}
	if sum <= 0 || left == 0 {
		return parts
	}
	// Each part is its quota of the whole, or the minimum where that is more.
	fractions := make([]float64, len(weights))
	for i := range fractions {
		fractions[i] = -1
	}
	pool := left
	for _, i := range order {
		quota := float64(total) * weights[i] / sum
		whole := uint32(math.Floor(quota))
		extra := min(whole-min(whole, parts[i]), pool)
		parts[i] += extra
		pool -= extra
		fractions[i] = quota - float64(parts[i])
	}
	for pool > 0 && len(order) > 0 {
		best := order[0]
		for _, i := range order {
			if fractions[i] > fractions[best] {
				best = i
			}
		}
		parts[best]++
		fractions[best]--
		pool--
	}
	return parts
}

// byWeight returns the positions of positive weights, largest first and otherwise in order.
func byWeight(weights []float64) []int {
	var order []int
	for i, w := range weights {
		if w > 0 {
			order = append(order, i)
		}
	}
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && weights[order[j]] > weights[order[j-1]]; j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}
