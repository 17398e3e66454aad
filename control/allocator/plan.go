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

// Planning constants.
const (
	Ramp       = 10 * time.Second // from a quarter to all slots of a new upstream
	rampStart  = 0.25             // part of the slots lent at once
	hysteresis = 0.10             // smaller relative changes are not worth a log entry
	floorPart  = 0.25             // of an equal part of a flow or of a service's slots, lent without demand
	grain      = 1.0 / (1 << 16)  // rates are multiples of it, so that their sums are exact
)

// ServiceDemand is the prefix of the id under which a holder may report demand for a whole service.
const ServiceDemand = "service/"

// Demand is what a holder would use.
type Demand struct {
	Wanted  float64 // per second for flows, units for counts
	Waiting uint32  // requests
}

// weight is what is wanted, which includes the waiting requests where the holder counts them in.
func (d Demand) weight() float64 { return max(0, d.Wanted, float64(d.Waiting)) }

// Holder is a live holder.
type Holder struct {
	ID          ledger.Holder
	Domain      ident.Domain
	Leaving     bool
	HasReported bool // it has reported demand to this leader; otherwise its shares stay as they are
	Demands     map[ident.Limit]Demand
	Current     map[ident.Limit]ledger.Allotment
}

// Input is all that a plan depends on.
type Input struct {
	Document      *document.Document
	Upstreams     []*rpc.Upstream
	Verdicts      []*rpc.Verdict
	LogTime       time.Duration
	Holders       []Holder                      // live ones, in a fixed order
	OtherCeilings map[ident.Limit]ledger.Amount // ceilings of holders that are not live, by limit
	Total         func(ident.Limit) (ledger.Amount, bool)
}

// Change sets one holder's share of one limit.
type Change struct {
	Holder ledger.Holder
	Limit  ident.Limit
	Share  ledger.Amount
}

// planner holds the work of one Plan.
type planner struct {
	in      Input
	regions []ident.Region // by holder
	changes []Change
	closed  map[place]bool // drained or with a down verdict
}

// place is the target of a drain or verdict.
type place struct {
	kind document.TargetKind
	name string
}

// Plan returns the changes of shares, lowerings first.
func Plan(in Input) []Change {
	p := &planner{in: in, closed: make(map[place]bool)}
	for _, d := range in.Document.Drains.Drains {
		p.closed[place{d.Kind, d.Target}] = true
	}
	for _, v := range in.Verdicts {
		if v.GetDown() {
			p.closed[place{document.TargetKind(v.GetKind()), v.GetTarget()}] = true
		}
	}
	for i := range in.Holders {
		p.regions = append(p.regions, in.Document.Topology.RegionOf(in.Holders[i].Domain))
	}
	for i := range in.Document.Workspaces.Workspaces {
		p.flow(limit.OfWorkspace(in.Document.Workspaces.Workspaces[i].Name), nil)
	}
	for _, s := range in.Document.Shifts.Shifts {
		p.flow(limit.OfShift(s.Name), nil)
	}
	for _, k := range in.Document.Topology.Links {
		p.flow(limit.OfLink(k.From, k.To), p.within(k.From, k.To))
	}
	for _, r := range in.Document.Topology.Regions {
		if r.Capacity > 0 {
			p.region(r)
		}
	}
	p.services()
	for _, u := range in.Upstreams {
		p.connections(u)
	}
	p.unlimited()
	sort.SliceStable(p.changes, func(i, j int) bool { return p.lowers(p.changes[i]) && !p.lowers(p.changes[j]) })
	return p.changes
}

// within marks the holders of two regions.
func (p *planner) within(a, b ident.Region) []bool {
	marks := make([]bool, len(p.regions))
	for i, r := range p.regions {
		marks[i] = r == a || r == b
	}
	return marks
}

func (p *planner) lowers(c Change) bool {
	for i := range p.in.Holders {
		if p.in.Holders[i].ID == c.Holder {
			return c.Share.Within(p.in.Holders[i].Current[c.Limit].Share)
		}
	}
	return false
}

// room returns what a limit has left beside all ceilings; a component that is exceeded has none.
func (p *planner) room(id ident.Limit, total ledger.Amount) (free ledger.Amount, exceeded bool) {
	sum := p.in.OtherCeilings[id]
	for i := range p.in.Holders {
		sum = sum.Add(p.in.Holders[i].Current[id].Ceiling)
	}
	if !sum.Within(total) {
		return ledger.Amount{}, true
	}
	return ledger.Amount{Rate: total.Rate - sum.Rate, Burst: total.Burst - sum.Burst, Count: total.Count - sum.Count}, false
}

// emit turns the wished shares of a limit, by holder, into changes within the room.
func (p *planner) emit(id ident.Limit, total ledger.Amount, wish []ledger.Amount) {
	free, exceeded := p.room(id, total)
	for i := range p.in.Holders {
		now := p.in.Holders[i].Current[id]
		share := wish[i]
		if !share.Within(now.Share) {
			if exceeded {
				share = share.Min(now.Share)
			} else {
				share = share.Min(now.Ceiling.Add(free))
				grown := share.Max(now.Ceiling)
				free.Rate -= grown.Rate - now.Ceiling.Rate
				free.Burst -= grown.Burst - now.Ceiling.Burst
				free.Count -= grown.Count - now.Ceiling.Count
			}
		}
		if share != now.Share {
			p.changes = append(p.changes, Change{p.in.Holders[i].ID, id, share})
		}
	}
}

// unlimited takes back the shares of limits that no longer exist.
func (p *planner) unlimited() {
	for i := range p.in.Holders {
		h := &p.in.Holders[i]
		var gone []ident.Limit
		for id, a := range h.Current {
			if _, ok := p.in.Total(id); !ok && a.Share != (ledger.Amount{}) {
				gone = append(gone, id)
			}
		}
		sort.Slice(gone, func(a, b int) bool { return gone[a] < gone[b] })
		for _, id := range gone {
			p.changes = append(p.changes, Change{h.ID, id, ledger.Amount{}})
		}
	}
}
