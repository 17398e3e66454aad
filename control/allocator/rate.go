package allocator

import (
	"math"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/ident"
)

// planRate divides a rate and its burst among the eligible holders; nil means all. Holders that have not reported to
// this leader keep their shares, and the others divide the rest.
func (p *planner) planRate(id ident.Limit, eligible []bool) {
	total, ok := p.input.Total(id)
	if !ok {
		return
	}
	current := p.currentShares(id)
	free, included := p.withoutUnreported(total, current, eligible)
	weights := p.weights(id, included, func(a ledger.Amount) float64 { return a.Rate })
	ideal := divideByWeight(free.Rate, weights, included)
	planned := make([]ledger.Amount, len(ideal))
	planBursts(free.Burst, ideal, planned, current)
	for i, rate := range keepSimilarRates(free.Rate, ideal, current) {
		if eligible == nil || eligible[i] {
			planned[i].Rate = rate
		}
		if !included[i] && (eligible == nil || eligible[i]) {
			planned[i] = current[i]
		}
	}
	p.addChanges(id, total, planned)
}

// currentShares returns the shares of a limit by holder.
func (p *planner) currentShares(id ident.Limit) []ledger.Amount {
	shares := make([]ledger.Amount, len(p.input.Holders))
	for i := range p.input.Holders {
		shares[i] = p.input.Holders[i].Current[id].Share
	}
	return shares
}

// withoutUnreported returns what the shares of holders that have not reported leave of a total, and marks the other
// eligible holders as included in the division. If those shares exceed the total, all eligible holders are included.
func (p *planner) withoutUnreported(total ledger.Amount, current []ledger.Amount, eligible []bool) (ledger.Amount, []bool) {
	included := make([]bool, len(current))
	var fixed ledger.Amount
	for i := range current {
		switch {
		case eligible != nil && !eligible[i]:
		case p.input.Holders[i].HasReported:
			included[i] = true
		default:
			fixed = fixed.Add(current[i])
		}
	}
	if fixed.Within(total) {
		return ledger.Amount{Rate: total.Rate - fixed.Rate, Burst: total.Burst - fixed.Burst, Count: total.Count - fixed.Count}, included
	}
	for i := range included {
		included[i] = eligible == nil || eligible[i]
	}
	return total, included
}

// weights returns the demand of each included holder. The weight of one that has not reported is its current share.
func (p *planner) weights(id ident.Limit, included []bool, amount func(ledger.Amount) float64) []float64 {
	weights := make([]float64, len(p.input.Holders))
	for i := range p.input.Holders {
		h := &p.input.Holders[i]
		switch {
		case !included[i]:
		case h.HasReported:
			weights[i] = h.Demands[id].weight()
		default:
			weights[i] = amount(h.Current[id].Share)
		}
	}
	return weights
}

// divideByWeight divides the total among the included holders: a floor for each, the rest by weight.
func divideByWeight(total float64, weights []float64, included []bool) []float64 {
	shares := make([]float64, len(weights))
	n, sum := 0, 0.0
	for i, w := range weights {
		if included[i] {
			n++
			sum += w
		}
	}
	if n == 0 {
		return shares
	}
	floor := total / float64(n)
	if sum > 0 {
		floor *= floorFraction
	}
	remaining := total - floor*float64(n)
	for i, w := range weights {
		if !included[i] {
			continue
		}
		shares[i] = floor
		if sum > 0 {
			shares[i] += remaining * w / sum
		}
		shares[i] = math.Floor(shares[i]/rateQuantum) * rateQuantum
	}
	return shares
}

// keepSimilarRates keeps current rates that differ from the ideal by less than the hysteresis, unless the sum would
// exceed the total or leave much of it unused.
func keepSimilarRates(total float64, ideal []float64, current []ledger.Amount) []float64 {
	const maxUnusedPart = 0.02 // of the total; a larger unused part would refuse requests within the rate
	kept := make([]float64, len(ideal))
	sum := 0.0
	for i, want := range ideal {
		kept[i] = want
		if math.Abs(want-current[i].Rate) < hysteresis*current[i].Rate {
			kept[i] = current[i].Rate
		}
		sum += kept[i]
	}
	if sum > total || sum < total*(1-maxUnusedPart) {
		return ideal
	}
	return kept
}

// planBursts divides the burst into whole tokens: one for each holder while there are enough, the rest by rate. A
// bucket of less than one token could never admit a request.
func planBursts(total float64, rates []float64, planned, current []ledger.Amount) {
	parts := largestRemainder(uint32(math.Min(total, math.MaxUint32)), rates, 1)
	sum := 0.0
	for i := range parts {
		burst := current[i].Burst
		planned[i].Burst = float64(parts[i])
		if burst >= 1 && math.Abs(planned[i].Burst-burst) < hysteresis*burst {
			planned[i].Burst = burst
		}
		sum += planned[i].Burst
	}
	if sum > total || sum < math.Floor(total)*(1-hysteresis) {
		for i := range parts {
			planned[i].Burst = float64(parts[i])
		}
	}
}

// largestRemainder divides total whole units by weight with the largest remainder method. Each holder with a positive
// weight gets at least the minimum, those with the largest weights first if the total is too small.
func largestRemainder(total uint32, weights []float64, minimum uint32) []uint32 {
	parts := make([]uint32, len(weights))
	order := sortedByWeight(weights)
	remaining := total
	for _, i := range order {
		share := min(minimum, remaining)
		parts[i] = share
		remaining -= share
	}
	sum := 0.0
	for _, i := range order {
		sum += weights[i]
	}
	if sum <= 0 || remaining == 0 {
		return parts
	}
	// Each holder gets its proportional quota of the total, or the minimum if that is more.
	fractions := make([]float64, len(weights))
	for i := range fractions {
		fractions[i] = -1
	}
	pool := remaining
	for _, i := range order {
		quota := float64(total) * weights[i] / sum
		units := uint32(math.Floor(quota))
		extra := min(units-min(units, parts[i]), pool)
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

// sortedByWeight returns the positions of positive weights, largest first, with equal weights in their original
// order.
func sortedByWeight(weights []float64) []int {
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
