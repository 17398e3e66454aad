package allocator

import (
	"sort"
	"time"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Constants of the division.
const (
	RampDuration    = 10 * time.Second // from the initial part to all slots of a new upstream
	initialRampPart = 0.25             // of a new upstream's slots, granted at once
	hysteresis      = 0.10             // smaller relative changes do not justify a log entry
	floorFraction   = 0.25             // of an equal share of a rate or of a service's slots, granted without demand
	rateQuantum     = 1.0 / (1 << 16)  // rates are multiples of it, so that their sums are exact
)

// ServiceDemand prefixes a service name in the limit id under which a holder may report demand for the whole service.
const ServiceDemand = "service/"

// Demand is what a holder would use of a limit.
type Demand struct {
	Wanted  float64 // per second for rates, units for counts
	Waiting uint32  // number of waiting requests
}

// weight returns the demand as a weight for the division: the larger of the two figures, because holders may include
// waiting requests in Wanted.
func (d Demand) weight() float64 { return max(0, d.Wanted, float64(d.Waiting)) }

// Holder is a live holder with its demand and current shares.
type Holder struct {
	ID          ledger.Holder
	Domain      ident.Domain
	Leaving     bool
	HasReported bool // false if it has not reported demand to this leader; its shares then stay as they are
	Demands     map[ident.Limit]Demand
	Current     map[ident.Limit]ledger.Allotment
}

// Input holds everything that a plan depends on.
type Input struct {
	Document      *document.Document
	Upstreams     []*rpc.Upstream
	Verdicts      []*rpc.Verdict
	LogTime       time.Duration
	Holders       []Holder                      // live holders, in a fixed order
	OtherCeilings map[ident.Limit]ledger.Amount // sums of the ceilings of holders that are not live
	Total         func(ident.Limit) (ledger.Amount, bool)
}

// Change sets one holder's share of one limit.
type Change struct {
	Holder ledger.Holder
	Limit  ident.Limit
	Share  ledger.Amount
}

// planner holds the intermediate state of one call of Plan.
type planner struct {
	input    Input
	regions  []ident.Region // by holder
	changes  []Change
	unusable map[target]bool // drained or with a down verdict
}

// target identifies what a drain or verdict applies to.
type target struct {
	kind document.TargetKind
	name string
}

// Plan returns the changes of shares, with reductions first.
func Plan(in Input) []Change {
	p := &planner{input: in, unusable: make(map[target]bool)}
	for _, d := range in.Document.Drains.Drains {
		p.unusable[target{d.Kind, d.Target}] = true
	}
	for _, v := range in.Verdicts {
		if v.GetDown() {
			p.unusable[target{document.TargetKind(v.GetKind()), v.GetTarget()}] = true
		}
	}
	for i := range in.Holders {
		p.regions = append(p.regions, in.Document.Topology.RegionOf(in.Holders[i].Domain))
	}
	for i := range in.Document.Workspaces.Workspaces {
		p.planRate(limit.OfWorkspace(in.Document.Workspaces.Workspaces[i].Name), nil)
	}
	for _, s := range in.Document.Shifts.Shifts {
		p.planRate(limit.OfShift(s.Name), nil)
	}
	for _, k := range in.Document.Topology.Links {
		p.planRate(limit.OfLink(k.From, k.To), p.holdersIn(k.From, k.To))
	}
	for _, r := range in.Document.Topology.Regions {
		if r.Capacity > 0 {
			p.planRegion(r)
		}
	}
	p.planServices()
	for _, u := range in.Upstreams {
		p.planConnections(u)
	}
	p.releaseRemovedLimits()
	sort.SliceStable(p.changes, func(i, j int) bool { return p.isReduction(p.changes[i]) && !p.isReduction(p.changes[j]) })
	return p.changes
}

// holdersIn marks the holders of two regions.
func (p *planner) holdersIn(a, b ident.Region) []bool {
	selected := make([]bool, len(p.regions))
	for i, r := range p.regions {
		selected[i] = r == a || r == b
	}
	return selected
}

// isReduction reports whether a change raises no component of the holder's share.
func (p *planner) isReduction(c Change) bool {
	for i := range p.input.Holders {
		if p.input.Holders[i].ID == c.Holder {
			return c.Share.Within(p.input.Holders[i].Current[c.Limit].Share)
		}
	}
	return false
}

// freeAmount returns what the ceilings of all holders leave free of a limit. If they exceed the total in any
// component, nothing is free.
func (p *planner) freeAmount(id ident.Limit, total ledger.Amount) (free ledger.Amount, exceeded bool) {
	sum := p.input.OtherCeilings[id]
	for i := range p.input.Holders {
		sum = sum.Add(p.input.Holders[i].Current[id].Ceiling)
	}
	if !sum.Within(total) {
		return ledger.Amount{}, true
	}
	return ledger.Amount{Rate: total.Rate - sum.Rate, Burst: total.Burst - sum.Burst, Count: total.Count - sum.Count}, false
}

// addChanges turns the wanted shares of a limit, by holder, into changes that fit into the free amount.
func (p *planner) addChanges(id ident.Limit, total ledger.Amount, wanted []ledger.Amount) {
	free, exceeded := p.freeAmount(id, total)
	for i := range p.input.Holders {
		current := p.input.Holders[i].Current[id]
		share := wanted[i]
		if !share.Within(current.Share) {
			if exceeded {
				share = share.Min(current.Share)
			} else {
				share = share.Min(current.Ceiling.Add(free))
				grown := share.Max(current.Ceiling)
				free.Rate -= grown.Rate - current.Ceiling.Rate
				free.Burst -= grown.Burst - current.Ceiling.Burst
				free.Count -= grown.Count - current.Ceiling.Count
			}
		}
		if share != current.Share {
			p.changes = append(p.changes, Change{p.input.Holders[i].ID, id, share})
		}
	}
}

// releaseRemovedLimits sets the shares of limits that no longer exist to zero.
func (p *planner) releaseRemovedLimits() {
	for i := range p.input.Holders {
		h := &p.input.Holders[i]
		var removed []ident.Limit
		for id, a := range h.Current {
			if _, ok := p.input.Total(id); !ok && a.Share != (ledger.Amount{}) {
				removed = append(removed, id)
			}
		}
		sort.Slice(removed, func(a, b int) bool { return removed[a] < removed[b] })
		for _, id := range removed {
			p.changes = append(p.changes, Change{h.ID, id, ledger.Amount{}})
		}
	}
}
