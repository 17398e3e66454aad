package ledger

import (
	"math"
	"sort"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Holder identifies a holder of shares: one incarnation of an entry VM.
type Holder struct {
	VM          ident.VM
	Incarnation ident.Incarnation
}

// Amount is a quantity of a limit. Rate limits use Rate and Burst, count limits use Count.
type Amount struct {
	Rate  float64 // per second
	Burst float64
	Count uint32
}

// Allotment is the part of one limit that one holder has.
type Allotment struct {
	Share     Amount      // amount that the holder may use
	Ceiling   Amount      // largest amount that it may still be using, because it may not yet know a lowered share
	LoweredAt ident.Index // version in which Share was last lowered; a holder that applied it uses no more than Share
}

// holderState holds the registration and the allotments of one holder.
type holderState struct {
	registeredAt ident.Index // index of the registration
	changedAt    ident.Index // index at which a share last changed
	allotments   map[ident.Limit]*Allotment
}

// newHolderState returns the state of a holder that registers at index while uses are in use.
func newHolderState(index ident.Index, uses []*wire.Use) *holderState {
	state := &holderState{registeredAt: index, changedAt: index, allotments: make(map[ident.Limit]*Allotment)}
	for _, u := range uses {
		if kind, _ := limit.Split(ident.Limit(u.GetLimit())); u.GetUsed() > 0 && !kind.IsRate() {
			state.allotments[ident.Limit(u.GetLimit())] = &Allotment{Ceiling: Amount{Count: u.GetUsed()}, LoweredAt: index}
		}
	}
	return state
}

// Max returns, for each component, the larger value of a and b.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: math.Max(a.Rate, b.Rate), Burst: math.Max(a.Burst, b.Burst), Count: max(a.Count, b.Count)}
}

// Min returns, for each component, the smaller value of a and b.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: math.Min(a.Rate, b.Rate), Burst: math.Min(a.Burst, b.Burst), Count: min(a.Count, b.Count)}
}

// Add returns the sum of a and b by component.
func (a Amount) Add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Count: a.Count + b.Count}
}

// Within reports whether each component of a is at most that of b.
func (a Amount) Within(b Amount) bool {
	return a.Rate <= b.Rate && a.Burst <= b.Burst && a.Count <= b.Count
}

// Confirmed returns the allotment after its holder reported that it applied the given version and,
// for a count limit, has used units in use. This may lower the ceiling.
func (a Allotment) Confirmed(version ident.Index, used uint32) Allotment {
	if version < a.LoweredAt {
		return a
	}
	applied := a.Share
	applied.Count = max(applied.Count, used)
	a.Ceiling = a.Ceiling.Min(applied)
	return a
}

// linkBurstsPerSecond sets the burst of a link to the bytes that it carries in 100 ms.
const linkBurstsPerSecond = 10

// Total returns the total amount of a limit by the current document and registry. It returns false
// if there is no such limit, so that no shares of it may be given.
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
				return Amount{Rate: rate, Burst: rate / linkBurstsPerSecond}, k.Rate > 0
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

// Holders returns all holders that were not released, sorted by VM and incarnation.
func (l *Ledger) Holders() []Holder {
	list := make([]Holder, 0, len(l.holders))
	for h := range l.holders {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
	return list
}

func (h Holder) less(o Holder) bool {
	if h.VM != o.VM {
		return h.VM < o.VM
	}
	return h.Incarnation < o.Incarnation
}

// CurrentMember returns the registration of a holder. It returns false if another incarnation of
// its VM has registered or its lease has expired.
func (l *Ledger) CurrentMember(h Holder) (*rpc.Member, bool) {
	v := l.vms[h.VM]
	if v == nil || v.absent || v.member.GetIncarnation() != uint64(h.Incarnation) {
		return nil, false
	}
	return v.member, true
}

// EachAllotment calls f for every allotment of a holder, in no fixed order.
func (l *Ledger) EachAllotment(h Holder, f func(ident.Limit, Allotment)) {
	if state := l.holders[h]; state != nil {
		for id, a := range state.allotments {
			f(id, *a)
		}
	}
}

// Allotments returns a holder's shares that are not zero, sorted by limit.
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

// CeilingSum returns the sum of a limit's ceilings over all holders and of the residual uses of
// released holders.
func (l *Ledger) CeilingSum(id ident.Limit) Amount {
	var sum Amount
	for _, r := range l.residualUses {
		if r.limit == id {
			sum.Count += r.count
		}
	}
	for _, h := range l.Holders() { // sorted, because the order of addition affects a float sum and all replicas must agree
		if a := l.holders[h].allotments[id]; a != nil {
			sum = sum.Add(a.Ceiling)
		}
	}
	return sum
}

// setShares applies releases, then confirmations, then allotments, and returns the number of
// allotments that were refused.
func (l *Ledger) setShares(c SetShares) any {
	for _, h := range c.GetReleases() {
		l.releaseHolder(h)
	}
	for _, k := range c.GetConfirms() {
		l.confirmShares(k)
	}
	refusals := 0
	for _, a := range c.GetAllots() {
		if !l.setShare(a) {
			refusals++
		}
	}
	return refusals
}

func holderFromWire(h *wire.Holder) Holder {
	return Holder{ident.VM(h.GetVm()), ident.Incarnation(h.GetIncarnation())}
}

// RegisteredIndex returns the index at which a holder was registered, or 0.
func (l *Ledger) RegisteredIndex(h Holder) ident.Index {
	if state := l.holders[h]; state != nil {
		return state.registeredAt
	}
	return 0
}

// releaseHolder deletes a holder whose lease has expired. A delayed copy of the command that is
// applied after the holder registered again has no effect.
func (l *Ledger) releaseHolder(c *wire.Lend_Release) {
	h, registeredAt := holderFromWire(c.GetHolder()), ident.Index(c.GetEntered())
	state := l.holders[h]
	if state == nil || state.registeredAt != registeredAt {
		return
	}
	switch {
	case l.processEnded(h):
	case c.GetReported():
		l.retainReportedUses(h, c.GetUses())
	default:
		l.retainAllCounts(h, state)
	}
	delete(l.holders, h)
	if _, ok := l.CurrentMember(h); ok {
		l.vms[h.VM].absent = true
		l.versions.Members = uint64(l.index)
	}
}

func (l *Ledger) confirmShares(c *wire.Lend_Confirm) {
	state := l.holders[holderFromWire(c.GetHolder())]
	if state == nil {
		return
	}
	used := make(map[ident.Limit]uint32, len(c.GetUses()))
	for _, u := range c.GetUses() {
		used[ident.Limit(u.GetLimit())] = u.GetUsed()
	}
	for id, a := range state.allotments {
		*a = a.Confirmed(ident.Index(c.GetVersion()), used[id])
		if a.Share == (Amount{}) && a.Ceiling == (Amount{}) {
			delete(state.allotments, id)
		}
	}
}

// setShare sets a share and reports whether it was accepted. A raised share is refused if the sum of
// ceilings would exceed the limit's total or if another incarnation of the VM has registered.
func (l *Ledger) setShare(c *wire.Lend_Allot) bool {
	h, id := holderFromWire(c.GetHolder()), ident.Limit(c.GetLimit())
	state := l.holders[h]
	if state == nil {
		return false
	}
	share := Amount{Rate: c.GetShare().GetRate(), Burst: c.GetShare().GetBurst(), Count: c.GetShare().GetCount()}
	var old Allotment
	if a := state.allotments[id]; a != nil {
		old = *a
	}
	updated := Allotment{Share: share, Ceiling: old.Ceiling.Max(share), LoweredAt: old.LoweredAt}
	if !share.Within(old.Share) {
		if _, current := l.CurrentMember(h); !current || !l.fitsTotal(id, old.Ceiling, updated.Ceiling) {
			return false
		}
	}
	if !old.Share.Within(share) {
		updated.LoweredAt = l.index
	}
	if updated.Share != old.Share {
		state.changedAt = l.index
	}
	state.allotments[id] = &updated
	return true
}

// fitsTotal reports whether the sum of ceilings stays within the limit's total when one ceiling
// grows from before to after.
func (l *Ledger) fitsTotal(id ident.Limit, before, after Amount) bool {
	total, ok := l.Total(id)
	if !ok {
		return false
	}
	sum := l.CeilingSum(id)
	sum.Rate += after.Rate - before.Rate
	sum.Burst += after.Burst - before.Burst
	sum.Count += after.Count - before.Count
	return sum.Within(total)
}
