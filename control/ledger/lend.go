package ledger

import (
	"math"
	"sort"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Holder borrows shares: one run of an entry VM.
type Holder struct {
	VM          ident.VM
	Incarnation ident.Incarnation
}

// Amount is a quantity of a limit: rate and burst for flows, count for counts.
type Amount struct {
	Rate  float64 // per second
	Burst float64
	Count uint32
}

// Allotment is what one holder has of one limit.
type Allotment struct {
	Share   Amount      // what the holder should use
	Ceiling Amount      // the most that it may still be using
	Lowered ident.Index // version of the last lowering; a holder at this version or later uses no more than Share
}

type holding struct {
	entered    ident.Index // when it was registered
	version    ident.Index // when a share last changed
	allotments map[ident.Limit]*Allotment
}

func newHolding(index ident.Index, uses []*wire.Use) *holding {
	h := &holding{entered: index, version: index, allotments: make(map[ident.Limit]*Allotment)}
	for _, u := range uses {
		if kind, _ := limit.Split(ident.Limit(u.GetLimit())); u.GetUsed() > 0 && !kind.IsRate() {
			h.allotments[ident.Limit(u.GetLimit())] = &Allotment{Ceiling: Amount{Count: u.GetUsed()}, Lowered: index}
		}
	}
	return h
}

// Max returns the larger of each component.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: math.Max(a.Rate, b.Rate), Burst: math.Max(a.Burst, b.Burst), Count: max(a.Count, b.Count)}
}

// Min returns the smaller of each component.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: math.Min(a.Rate, b.Rate), Burst: math.Min(a.Burst, b.Burst), Count: min(a.Count, b.Count)}
}

// Add returns the sum.
func (a Amount) Add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Count: a.Count + b.Count}
}

// Within reports whether no component is larger than b's.
func (a Amount) Within(b Amount) bool {
	return a.Rate <= b.Rate && a.Burst <= b.Burst && a.Count <= b.Count
}

// Confirmed returns the allotment after its holder reported that it applied
// the given version and, for a count, has used units in use.
func (a Allotment) Confirmed(version ident.Index, used uint32) Allotment {
	if version < a.Lowered {
		return a
	}
	still := a.Share
	still.Count = max(still.Count, used)
	a.Ceiling = a.Ceiling.Min(still)
	return a
}

// linkBurst is the time in which a link at its rate passes its burst.
const linkBurst = 10

// Total returns the whole of a limit by the current document and registry;
// false means that there is no such limit, so nothing of it may be lent.
func (l *Ledger) Total(id ident.Limit) (Amount, bool) {
	kind, name := limit.Split(id)
	switch kind {
	case limit.Workspace:
		for i := range l.doc.Workspaces.Workspaces {
			if w := &l.doc.Workspaces.Workspaces[i]; string(w.Name) == name {
				return Amount{Rate: float64(w.Rate), Burst: w.Burst}, true
			}
		}
	case limit.Slots, limit.Connections:
		if u := l.upstreams[ident.Address(name)]; u != nil {
			if kind == limit.Slots {
				return Amount{Count: u.GetSlots()}, true
			}
			return Amount{Count: u.GetConnections()}, true
		}
	case limit.Region:
		for _, r := range l.doc.Topology.Regions {
			if string(r.Name) == name {
				return Amount{Count: uint32(r.Capacity)}, r.Capacity > 0
			}
		}
	case limit.Link:
		for _, k := range l.doc.Topology.Links {
			if limit.OfLink(k.From, k.To) == id {
				rate := k.Rate.BytesPerSecond()
				return Amount{Rate: rate, Burst: rate / linkBurst}, k.Rate > 0
			}
		}
	case limit.Shift:
		for i := range l.doc.Shifts.Shifts {
			if s := &l.doc.Shifts.Shifts[i]; s.Name == name {
				return Amount{Rate: float64(s.Cap), Burst: math.Max(1, float64(s.Cap))}, s.Cap > 0
			}
		}
	}
	return Amount{}, false
}

// Holders returns all holders with a registration or shares, in a fixed order.
func (l *Ledger) Holders() []Holder {
	list := make([]Holder, 0, len(l.holders))
	for h := range l.holders {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	return list
}

func (h Holder) before(o Holder) bool {
	if h.VM != o.VM {
		return h.VM < o.VM
	}
	return h.Incarnation < o.Incarnation
}

// CurrentMember returns the registration of a holder if it is its VM's latest run and present.
func (l *Ledger) CurrentMember(h Holder) (*rpc.Member, bool) {
	v := l.vms[h.VM]
	if v == nil || v.absent || v.member.GetIncarnation() != uint64(h.Incarnation) {
		return nil, false
	}
	return v.member, true
}

// EachAllotment calls f for every allotment of a holder, in no fixed order.
func (l *Ledger) EachAllotment(h Holder, f func(ident.Limit, Allotment)) {
	if hold := l.holders[h]; hold != nil {
		for id, a := range hold.allotments {
			f(id, *a)
		}
	}
}

// Allotments returns a holder's shares by limit; shares of nothing are left out.
func (l *Ledger) Allotments(h Holder) []*rpc.Allotment {
	var list []*rpc.Allotment
	l.EachAllotment(h, func(id ident.Limit, a Allotment) {
		if a.Share != (Amount{}) {
			list = append(list, &rpc.Allotment{Limit: string(id), Rate: a.Share.Rate, Burst: a.Share.Burst, Count: a.Share.Count})
		}
	})
	sort.Slice(list, func(i, j int) bool { return list[i].GetLimit() < list[j].GetLimit() })
	return list
}

// Ceilings returns the sum of a limit's ceilings over all holders, and of what released ones may still use.
func (l *Ledger) Ceilings(id ident.Limit) Amount {
	var sum Amount
	for _, r := range l.residues {
		if r.limit == id {
			sum.Count += r.count
		}
	}
	for _, h := range l.Holders() { // fixed order, because float sums depend on it
		if a := l.holders[h].allotments[id]; a != nil {
			sum = sum.Add(a.Ceiling)
		}
	}
	return sum
}

// lend returns the number of allotments that were refused for want of room.
func (l *Ledger) lend(c SetShares) any {
	for _, h := range c.GetReleases() {
		l.release(h)
	}
	for _, k := range c.GetConfirms() {
		l.confirm(k)
	}
	refusals := 0
	for _, a := range c.GetAllots() {
		if !l.allot(a) {
			refusals++
		}
	}
	return refusals
}

func holderOf(h *wire.Holder) Holder {
	return Holder{ident.VM(h.GetVm()), ident.Incarnation(h.GetIncarnation())}
}

// RegisteredIndex returns the index at which a holder was registered, or 0.
func (l *Ledger) RegisteredIndex(h Holder) ident.Index {
	if hold := l.holders[h]; hold != nil {
		return hold.entered
	}
	return 0
}

// release drops a holder whose lease has lapsed. A copy that arrives after the
// holder registered again does nothing.
func (l *Ledger) release(c *wire.Lend_Release) {
	h, entered := holderOf(c.GetHolder()), ident.Index(c.GetEntered())
	hold := l.holders[h]
	if hold == nil || hold.entered != entered {
		return
	}
	switch {
	case l.ended(h):
	case c.GetReported():
		l.retainUses(h, c.GetUses())
	default:
		l.retain(h, hold)
	}
	delete(l.holders, h)
	if _, ok := l.CurrentMember(h); ok {
		l.vms[h.VM].absent = true
		l.versions.Members = uint64(l.index)
	}
}

func (l *Ledger) confirm(c *wire.Lend_Confirm) {
	hold := l.holders[holderOf(c.GetHolder())]
	if hold == nil {
		return
	}
	used := make(map[ident.Limit]uint32, len(c.GetUses()))
	for _, u := range c.GetUses() {
		used[ident.Limit(u.GetLimit())] = u.GetUsed()
	}
	for id, a := range hold.allotments {
		*a = a.Confirmed(ident.Index(c.GetVersion()), used[id])
		if a.Share == (Amount{}) && a.Ceiling == (Amount{}) {
			delete(hold.allotments, id)
		}
	}
}

// allot sets a share; a raise needs room under the limit.
func (l *Ledger) allot(c *wire.Lend_Allot) bool {
	h, id := holderOf(c.GetHolder()), ident.Limit(c.GetLimit())
	hold := l.holders[h]
	if hold == nil {
		return false
	}
	share := Amount{Rate: c.GetShare().GetRate(), Burst: c.GetShare().GetBurst(), Count: c.GetShare().GetCount()}
	var old Allotment
	if a := hold.allotments[id]; a != nil {
		old = *a
	}
	next := Allotment{Share: share, Ceiling: old.Ceiling.Max(share), Lowered: old.Lowered}
	if !share.Within(old.Share) {
		if _, current := l.CurrentMember(h); !current || !l.fits(id, old.Ceiling, next.Ceiling) {
			return false
		}
	}
	if !old.Share.Within(share) {
		next.Lowered = l.index
	}
	if next.Share != old.Share {
		hold.version = l.index
	}
	hold.allotments[id] = &next
	return true
}

// fits reports whether the sum of ceilings stays within the limit when one grows.
func (l *Ledger) fits(id ident.Limit, before, after Amount) bool {
	total, ok := l.Total(id)
	if !ok {
		return false
	}
	sum := l.Ceilings(id)
	sum.Rate += after.Rate - before.Rate
	sum.Burst += after.Burst - before.Burst
	sum.Count += after.Count - before.Count
	return sum.Within(total)
}
