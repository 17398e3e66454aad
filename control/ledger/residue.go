package ledger

import (
	"sort"
	"time"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// residualUse is an amount of a count limit that requests of a released holder may still use. A
// holder that is isolated from the control group or frozen starts no requests after its lease has
// expired, but those that it started continue, and it cannot be told apart from a holder that ended.
type residualUse struct {
	holder Holder
	limit  ident.Limit
	count  uint32
	expiry time.Duration // log time of the latest deadline of these requests
}

// retainReportedUses keeps the uses that a released holder last reported, each until the deadline
// that it reported.
func (l *Ledger) retainReportedUses(h Holder, uses []*wire.Use) {
	for _, u := range uses {
		expiry := l.logTime + time.Duration(u.GetUntilMs())*time.Millisecond
		l.residualUses = append(l.residualUses, residualUse{h, ident.Limit(u.GetLimit()), u.GetUsed(), expiry})
	}
}

// retainAllCounts keeps the ceilings of the slots, connections and regions of a released holder that
// never reported to this leader, until the longest timeout of its requests has passed.
func (l *Ledger) retainAllCounts(h Holder, state *holderState) {
	regionUses := make(map[ident.Limit]uint32) // amount of each region's ceiling that is already kept
	for _, id := range sortedLimits(state) {
		kind, address := limit.Split(id)
		n := state.allotments[id].Ceiling.Count
		u := l.upstreams[ident.Address(address)]
		if kind != limit.Slots && kind != limit.Connections || u == nil || n == 0 {
			continue
		}
		expiry := l.logTime + l.maxTimeout(ident.Service(u.GetService()))
		l.residualUses = append(l.residualUses, residualUse{h, id, n, expiry})
		if kind != limit.Slots {
			continue
		}
		// A request uses one unit of its region's capacity for as long as it uses a slot.
		region := limit.OfRegion(l.doc.Topology.RegionOf(ident.Domain(u.GetDomain())))
		if a := state.allotments[region]; a != nil {
			n = min(n, a.Ceiling.Count-regionUses[region])
			regionUses[region] += n
			l.residualUses = append(l.residualUses, residualUse{h, region, n, expiry})
		}
	}
}

// processEnded reports whether a released holder's process is known to have ended: another
// incarnation of its VM has registered, or a monitor's verdict says that the VM is down.
func (l *Ledger) processEnded(h Holder) bool {
	if v := l.verdicts[verdictTarget{string(document.VMKind), string(h.VM)}]; v.GetDown() {
		return true
	}
	v := l.vms[h.VM]
	return v != nil && !v.absent && v.member.GetIncarnation() != uint64(h.Incarnation)
}

// dropResidualUses deletes the residual uses of a VM whose earlier processes are known to have ended,
// or of a holder that registered again and reports its uses itself.
func (l *Ledger) dropResidualUses(vm ident.VM) {
	kept := l.residualUses[:0]
	for _, r := range l.residualUses {
		if r.holder.VM != vm {
			kept = append(kept, r)
		}
	}
	l.residualUses = kept
}

func (l *Ledger) expireResidualUses() {
	kept := l.residualUses[:0]
	for _, r := range l.residualUses {
		if r.expiry > l.logTime {
			kept = append(kept, r)
		}
	}
	l.residualUses = kept
}

// maxTimeout returns the longest timeout that requests of a service may have.
func (l *Ledger) maxTimeout(name ident.Service) time.Duration {
	for i := range l.doc.Services.Services {
		if s := &l.doc.Services.Services[i]; s.Name == name && s.MaxTimeout > 0 {
			return s.MaxTimeout
		}
	}
	return document.DefaultMaxTimeout
}

// ResidualUsage returns, by limit, the amounts that requests of released holders may still use at a
// log time.
func (l *Ledger) ResidualUsage(at time.Duration) map[ident.Limit]Amount {
	sums := make(map[ident.Limit]Amount)
	for _, r := range l.residualUses {
		if r.expiry > at {
			sums[r.limit] = sums[r.limit].Add(Amount{Count: r.count})
		}
	}
	return sums
}

func sortedLimits(state *holderState) []ident.Limit {
	list := make([]ident.Limit, 0, len(state.allotments))
	for id := range state.allotments {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (r residualUse) toWire() *wire.State_Residue {
	return &wire.State_Residue{
		Holder: &wire.Holder{Vm: string(r.holder.VM), Incarnation: uint64(r.holder.Incarnation)},
		Limit:  string(r.limit), Count: r.count, LogNs: int64(r.expiry),
	}
}

func residualUseFromWire(w *wire.State_Residue) residualUse {
	return residualUse{holderFromWire(w.GetHolder()), ident.Limit(w.GetLimit()), w.GetCount(), time.Duration(w.GetLogNs())}
}
