package ledger

import (
	"net/netip"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// departureLife bounds how late a copy of an announcement can arrive after the upstream left.
const departureLife = time.Hour

// retiredMax bounds the remembered incarnations of a VM; a message older than so many restarts does not exist.
const retiredMax = 16

// departure remembers an upstream that left, so that a late copy of its announcement is refused.
type departure struct {
	incarnation ident.Incarnation
	at          time.Duration
}

type vm struct {
	member  *rpc.Member
	retired []ident.Incarnation // earlier incarnations, oldest first
	absent  bool                // its lease lapsed
}

func (l *Ledger) announce(c Announce) any {
	u := c.Upstream
	address := ident.Address(u.GetAddress())
	old := l.upstreams[address]
	last := ident.Incarnation(old.GetIncarnation())
	if d, ok := l.departures[address]; ok && d.incarnation > last {
		last = d.incarnation
	}
	if ident.Incarnation(u.GetIncarnation()) < last {
		return fault.New(fault.Stale, "announce", u.GetAddress(), "incarnation %d is older than %d", u.GetIncarnation(), last)
	}
	if u.GetLeaving() {
		return l.leave(u, old)
	}
	if err := l.checkUpstream(u); err != nil {
		return fault.Of(err)
	}
	if d, ok := l.departures[address]; ok && uint64(d.incarnation) == u.GetIncarnation() {
		return fault.New(fault.Stale, "announce", u.GetAddress(), "incarnation %d has left", u.GetIncarnation())
	}
	if old != nil && old.GetIncarnation() == u.GetIncarnation() {
		return l.repeat(u, old)
	}
	l.upstreams[address] = &rpc.Upstream{
		Service: u.GetService(), Address: u.GetAddress(), Domain: u.GetDomain(), Slots: u.GetSlots(),
		Connections: u.GetConnections(), Incarnation: u.GetIncarnation(), AnnouncedMs: l.at.Milliseconds(),
	}
	l.versions.Registry = uint64(l.index)
	return l.index
}

// repeat answers an announcement of the registered incarnation.
func (l *Ledger) repeat(u, old *rpc.Upstream) any {
	same := old.GetService() == u.GetService() && old.GetDomain() == u.GetDomain() &&
		old.GetSlots() == u.GetSlots() && old.GetConnections() == u.GetConnections()
	if !same {
		return fault.New(fault.Conflict, "announce", u.GetAddress(), "incarnation %d was announced with other content", u.GetIncarnation())
	}
	return l.index
}

func (l *Ledger) leave(u, old *rpc.Upstream) any {
	l.departures[ident.Address(u.GetAddress())] = departure{ident.Incarnation(u.GetIncarnation()), l.at}
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

func (l *Ledger) suspect(c UpdateUpstreamStates) any {
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

// Registered reports whether m is registered exactly as given and present.
func (l *Ledger) Registered(m *rpc.Member) bool {
	v := l.vms[ident.VM(m.GetVm())]
	return v != nil && !v.absent && v.member.GetIncarnation() == m.GetIncarnation() &&
		v.member.GetAddress() == m.GetAddress() && v.member.GetDomain() == m.GetDomain() &&
		(v.member.GetLeaving() || !m.GetLeaving())
}

func (l *Ledger) enter(c RegisterEntryVM) any {
	m := c.GetMember()
	name, inc := ident.VM(m.GetVm()), ident.Incarnation(m.GetIncarnation())
	if name == "" || inc == 0 {
		return fault.New(fault.Invalid, "sync", m.GetVm(), "vm and incarnation must be set")
	}
	v := l.vms[name]
	if v == nil {
		v = new(vm)
		l.vms[name] = v
	}
	for _, old := range v.retired {
		if old == inc {
			return fault.New(fault.Stale, "sync", m.GetVm(), "incarnation %d was replaced", inc)
		}
	}
	leaving := m.GetLeaving()
	if v.member != nil && v.member.GetIncarnation() == m.GetIncarnation() {
		leaving = leaving || v.member.GetLeaving() // a late copy of an earlier exchange does not undo leaving
	} else if v.member != nil {
		v.retired = append(v.retired, ident.Incarnation(v.member.GetIncarnation()))
		if len(v.retired) > retiredMax {
			v.retired = v.retired[1:]
		}
	}
	v.absent = false
	l.settle(name)
	v.member = &rpc.Member{Vm: m.GetVm(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Domain: m.GetDomain(), Leaving: leaving}
	l.versions.Members = uint64(l.index)
	h := Holder{name, inc}
	if l.holders[h] == nil {
		l.holders[h] = newHolding(l.index, c.GetUses())
	}
	return l.index
}
