package ledger

import (
	"sort"
	"time"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// residue is a count that requests of a released holder may still use. A holder
// that is cut off from control or frozen starts nothing after its lease, but what
// it started goes on, and nothing tells it apart from a dead one.
type residue struct {
	holder Holder
	limit  ident.Limit
	count  uint32
	until  time.Duration // log time at which the last such request has reached its deadline
}

// retainUses keeps what a released holder last reported to be in use until the deadlines that it reported.
func (l *Ledger) retainUses(h Holder, uses []*wire.Use) {
	for _, u := range uses {
		until := l.at + time.Duration(u.GetUntilMs())*time.Millisecond
		l.residues = append(l.residues, residue{h, ident.Limit(u.GetLimit()), u.GetUsed(), until})
	}
}

// retain keeps all counts of a released holder that never reported to this leader, until the longest
// time-outs of its requests have passed.
func (l *Ledger) retain(h Holder, hold *holding) {
	regions := make(map[ident.Limit]uint32) // what is left of each region's ceiling
	for _, id := range sortedLimits(hold) {
		kind, address := limit.Split(id)
		n := hold.allotments[id].Ceiling.Count
		u := l.upstreams[ident.Address(address)]
		if kind != limit.Slots && kind != limit.Connections || u == nil || n == 0 {
			continue
		}
		until := l.at + l.longest(ident.Service(u.GetService()))
		l.residues = append(l.residues, residue{h, id, n, until})
		if kind != limit.Slots {
			continue
		}
		// A request holds a place in its region for as long as it holds a slot.
		region := limit.OfRegion(l.doc.Topology.RegionOf(ident.Domain(u.GetDomain())))
		if a := hold.allotments[region]; a != nil {
			n = min(n, a.Ceiling.Count-regions[region])
			regions[region] += n
			l.residues = append(l.residues, residue{h, region, n, until})
		}
	}
}

// ended reports whether a released holder's process is known to have ended: its
// VM runs anew under its name, or the monitoring group declared the VM down.
func (l *Ledger) ended(h Holder) bool {
	if v := l.verdicts[target{string(document.VMKind), string(h.VM)}]; v.GetDown() {
		return true
	}
	v := l.vms[h.VM]
	return v != nil && !v.absent && v.member.GetIncarnation() != uint64(h.Incarnation)
}

// settle drops the residues of a VM whose processes are known to have ended, or
// of a holder that returned and reports its uses itself.
func (l *Ledger) settle(vm ident.VM) {
	kept := l.residues[:0]
	for _, r := range l.residues {
		if r.holder.VM != vm {
			kept = append(kept, r)
		}
	}
	l.residues = kept
}

func (l *Ledger) expireResidues() {
	kept := l.residues[:0]
	for _, r := range l.residues {
		if r.until > l.at {
			kept = append(kept, r)
		}
	}
	l.residues = kept
}

// longest returns the largest time-out of a service's requests.
func (l *Ledger) longest(name ident.Service) time.Duration {
	for i := range l.doc.Services.Services {
		if s := &l.doc.Services.Services[i]; s.Name == name && s.MaxTimeout > 0 {
			return s.MaxTimeout
		}
	}
	return document.DefaultMaxTimeout
}

// ResidualUsage returns what requests of released holders may still use at a log time, by limit.
func (l *Ledger) ResidualUsage(at time.Duration) map[ident.Limit]Amount {
	sums := make(map[ident.Limit]Amount)
	for _, r := range l.residues {
		if r.until > at {
			sums[r.limit] = sums[r.limit].Add(Amount{Count: r.count})
		}
	}
	return sums
}

func sortedLimits(hold *holding) []ident.Limit {
	list := make([]ident.Limit, 0, len(hold.allotments))
	for id := range hold.allotments {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func (r residue) wire() *wire.State_Residue {
	return &wire.State_Residue{
		Holder: &wire.Holder{Vm: string(r.holder.VM), Incarnation: uint64(r.holder.Incarnation)},
		Limit:  string(r.limit), Count: r.count, LogNs: int64(r.until),
	}
}

func residueOf(w *wire.State_Residue) residue {
	return residue{holderOf(w.GetHolder()), ident.Limit(w.GetLimit()), w.GetCount(), time.Duration(w.GetLogNs())}
}
