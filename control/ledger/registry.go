package ledger

import (
	"net/netip"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// departureLifetime is how long, in log time, delayed copies of an announcement are refused after
// the upstream was withdrawn.
const departureLifetime = time.Hour

// maxRetiredIncarnations limits the earlier incarnations that are kept for a VM. No message is
// delayed for as long as so many restarts take.
const maxRetiredIncarnations = 16

// departure records that an upstream was withdrawn, so that a delayed copy of its announcement is
// refused.
type departure struct {
	incarnation ident.Incarnation
	logTime     time.Duration
}

// entryVM is the registration of an entry VM.
type entryVM struct {
	member  *rpc.Member
	retired []ident.Incarnation // earlier incarnations, oldest first
	absent  bool                // its lease has expired
}

func (l *Ledger) announceUpstream(c Announce) any {
	u := c.Upstream
	address := ident.Address(u.GetAddress())
	old := l.upstreams[address]
	latest := ident.Incarnation(old.GetIncarnation())
	if d, ok := l.departures[address]; ok && d.incarnation > latest {
		latest = d.incarnation
	}
	if ident.Incarnation(u.GetIncarnation()) < latest {
		return fault.New(fault.Stale, "announce", u.GetAddress(), "incarnation %d is older than the known incarnation %d", u.GetIncarnation(), latest)
	}
	if u.GetLeaving() {
		return l.withdrawUpstream(u, old)
	}
	if err := l.checkUpstream(u); err != nil {
		return fault.Of(err)
	}
	if d, ok := l.departures[address]; ok && uint64(d.incarnation) == u.GetIncarnation() {
		return fault.New(fault.Stale, "announce", u.GetAddress(), "incarnation %d was withdrawn", u.GetIncarnation())
	}
	if old != nil && old.GetIncarnation() == u.GetIncarnation() {
		return l.checkRepeated(u, old)
	}
	l.upstreams[address] = &rpc.Upstream{
		Service: u.GetService(), Address: u.GetAddress(), Domain: u.GetDomain(), Slots: u.GetSlots(),
		Connections: u.GetConnections(), Incarnation: u.GetIncarnation(), AnnouncedMs: l.logTime.Milliseconds(),
	}
	l.versions.Registry = uint64(l.index)
	return l.index
}

// checkRepeated returns the index for a repeated announcement of the registered incarnation, or a
// refusal if its content differs.
func (l *Ledger) checkRepeated(u, old *rpc.Upstream) any {
	same := old.GetService() == u.GetService() && old.GetDomain() == u.GetDomain() &&
		old.GetSlots() == u.GetSlots() && old.GetConnections() == u.GetConnections()
	if !same {
		return fault.New(fault.Conflict, "announce", u.GetAddress(), "incarnation %d was already announced with different content", u.GetIncarnation())
	}
	return l.index
}

func (l *Ledger) withdrawUpstream(u, old *rpc.Upstream) any {
	l.departures[ident.Address(u.GetAddress())] = departure{ident.Incarnation(u.GetIncarnation()), l.logTime}
	if old == nil || old.GetLeaving() {
		return l.index
	}
	l.upstreams[ident.Address(u.GetAddress())] = &rpc.Upstream{
		Service: old.GetService(), Address: old.GetAddress(), Domain: old.GetDomain(), Slots: old.GetSlots(),
		Connections: old.GetConnections(), Incarnation: u.GetIncarnation(), AnnouncedMs: old.GetAnnouncedMs(),
		Suspected: old.GetSuspected(), Leaving: true,
	}
	l.versions.Registry = uint64(l.index)
	return l.index
}

func (l *Ledger) checkUpstream(u *rpc.Upstream) error {
	if _, err := netip.ParseAddrPort(u.GetAddress()); err != nil {
		return fault.New(fault.Invalid, "announce", u.GetAddress(), "address must be IP:port")
	}
	if u.GetSlots() == 0 || u.GetConnections() == 0 || u.GetIncarnation() == 0 {
		return fault.New(fault.Invalid, "announce", u.GetAddress(), "slots, connections and incarnation must be above 0")
	}
	known := false
	for i := range l.doc.Services.Services {
		known = known || string(l.doc.Services.Services[i].Name) == u.GetService()
	}
	if !known {
		return fault.New(fault.NotFound, "announce", u.GetAddress(), "unknown service %q", u.GetService())
	}
	if l.doc.Topology.RegionOf(ident.Domain(u.GetDomain())) == "" {
		return fault.New(fault.NotFound, "announce", u.GetAddress(), "unknown failure domain %q", u.GetDomain())
	}
	return nil
}

func (l *Ledger) updateUpstreamStates(c UpdateUpstreamStates) any {
	for _, item := range c.GetItems() {
		address := ident.Address(item.GetAddress())
		u := l.upstreams[address]
		if u == nil || u.GetIncarnation() != item.GetIncarnation() {
			continue
		}
		if item.GetRemove() {
			delete(l.upstreams, address)
		} else if u.GetSuspected() != item.GetSuspected() {
			l.upstreams[address] = &rpc.Upstream{
				Service: u.GetService(), Address: u.GetAddress(), Domain: u.GetDomain(), Slots: u.GetSlots(),
				Connections: u.GetConnections(), Incarnation: u.GetIncarnation(), AnnouncedMs: u.GetAnnouncedMs(),
				Suspected: item.GetSuspected(), Leaving: u.GetLeaving(),
			}
		} else {
			continue
		}
		l.versions.Registry = uint64(l.index)
	}
	return l.index
}

// Registered reports whether m is registered exactly as given and has a valid lease. A VM that is
// already registered as leaving also matches if m does not say so.
func (l *Ledger) Registered(m *rpc.Member) bool {
	v := l.vms[ident.VM(m.GetVm())]
	return v != nil && !v.absent && v.member.GetIncarnation() == m.GetIncarnation() &&
		v.member.GetAddress() == m.GetAddress() && v.member.GetDomain() == m.GetDomain() &&
		(v.member.GetLeaving() || !m.GetLeaving())
}

func (l *Ledger) registerEntryVM(c RegisterEntryVM) any {
	m := c.GetMember()
	name, incarnation := ident.VM(m.GetVm()), ident.Incarnation(m.GetIncarnation())
	if name == "" || incarnation == 0 {
		return fault.New(fault.Invalid, "sync", m.GetVm(), "vm and incarnation must be set")
	}
	v := l.vms[name]
	if v == nil {
		v = new(entryVM)
		l.vms[name] = v
	}
	for _, old := range v.retired {
		if old == incarnation {
			return fault.New(fault.Stale, "sync", m.GetVm(), "incarnation %d was replaced by another", incarnation)
		}
	}
	leaving := m.GetLeaving()
	if v.member != nil && v.member.GetIncarnation() == m.GetIncarnation() {
		leaving = leaving || v.member.GetLeaving() // a delayed copy of an earlier request does not undo leaving
	} else if v.member != nil {
		v.retired = append(v.retired, ident.Incarnation(v.member.GetIncarnation()))
		if len(v.retired) > maxRetiredIncarnations {
			v.retired = v.retired[1:]
		}
	}
	v.absent = false
	l.dropResidualUses(name)
	v.member = &rpc.Member{Vm: m.GetVm(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Domain: m.GetDomain(), Leaving: leaving}
	l.versions.Members = uint64(l.index)
	h := Holder{name, incarnation}
	if l.holders[h] == nil {
		l.holders[h] = newHolderState(l.index, c.GetUses())
	}
	return l.index
}
