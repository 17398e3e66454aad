package allocator

import (
	"math"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/ident"
)

// flow plans a rate and its burst for the marked holders; nil marks all.
// Holders that have not reported to this leader keep what they have, and the
// others divide the rest.
func (p *planner) flow(id ident.Limit, marks []bool) {
	total, ok := p.in.Total(id)
	if !ok {
		return
	}
	now := p.amounts(id)
	free, open := p.unreported(total, now, marks)
	weights := p.weights(id, open, func(a ledger.Amount) float64 { return a.Rate })
	ideal := spread(free.Rate, weights, open)
	wish := make([]ledger.Amount, len(ideal))
	bursts(free.Burst, ideal, wish, now)
	for i, rate := range steady(free.Rate, ideal, now) {
		if marks == nil || marks[i] {
			wish[i].Rate = rate
		}
		if !open[i] && (marks == nil || marks[i]) {
			wish[i] = now[i]
		}
	}
	p.emit(id, total, wish)
}

// amounts returns the shares of a limit by holder.
func (p *planner) amounts(id ident.Limit) []ledger.Amount {
	now := make([]ledger.Amount, len(p.in.Holders))
	for i := range p.in.Holders {
		now[i] = p.in.Holders[i].Current[id].Share
	}
	return now
}

// unreported returns what is left of a total beside the shares of holders that have
// not reported, and marks the others. Where those shares exceed the total, nobody is left out.
func (p *planner) unreported(total ledger.Amount, now []ledger.Amount, marks []bool) (ledger.Amount, []bool) {
	open := make([]bool, len(now))
	var fixed ledger.Amount
	for i := range now {
		switch {
		case marks != nil && !marks[i]:
		case p.in.Holders[i].HasReported:
			open[i] = true
		default:
			fixed = fixed.Add(now[i])
		}
	}
	if fixed.Within(total) {
		return ledger.Amount{Rate: total.Rate - fixed.Rate, Burst: total.Burst - fixed.Burst, Count: total.Count - fixed.Count}, open
	}
	for i := range open {
		open[i] = marks == nil || marks[i]
	}
	return total, open
}

// weights returns the demand of each marked holder; one that has not reported weighs as much as it has.
func (p *planner) weights(id ident.Limit, marks []bool, held func(ledger.Amount) float64) []float64 {
	weights := make([]float64, len(p.in.Holders))
	for i := range p.in.Holders {
		h := &p.in.Holders[i]
		switch {
		case !marks[i]:
		case h.HasReported:
			weights[i] = h.Demands[id].weight()
		default:
			weights[i] = held(h.Current[id].Share)
		}
	}
	return weights
}

// spread divides total: a floor for each marked holder, the rest by weight.
func spread(total float64, weights []float64, marks []bool) []float64 {
	shares := make([]float64, len(weights))
	n, sum := 0, 0.0
	for i, w := range weights {
		if marks[i] {
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
		if !marks[i] {
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
func steady(total float64, ideal []float64, now []ledger.Amount) []float64 {
	const unused = 0.02 // an idle part of the total that refuses requests within the rate
	kept := make([]float64, len(ideal))
	sum := 0.0
	for i, want := range ideal {
		kept[i] = want
		if math.Abs(want-now[i].Rate) < hysteresis*now[i].Rate {
			kept[i] = now[i].Rate
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
func bursts(total float64, rates []float64, wish, held []ledger.Amount) {
	parts := largestRemainder(uint32(math.Min(total, math.MaxUint32)), rates, 1)
	sum := 0.0
	for i := range parts {
		now := held[i].Burst
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
