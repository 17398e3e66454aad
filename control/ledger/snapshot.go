package ledger

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Snapshot implements replica.StateMachine; equal states give equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := &wire.State{
		Sections: l.Sections(), Audit: l.audit, Upstreams: l.Upstreams(), Verdicts: l.Verdicts(),
		Versions: l.versions, Index: uint64(l.index), LogNs: int64(l.at),
	}
	for _, id := range l.order {
		o := l.outcomes[id]
		s.Outcomes = append(s.Outcomes, &wire.State_Outcome{Id: string(id), Digest: o.digest[:], Reply: o.reply})
	}
	for _, mark := range l.claimed {
		if c := l.claims[mark.key]; c != nil && c.index == mark.index {
			s.Claims = append(s.Claims, &wire.State_Claim{Request: c.request, Index: uint64(c.index), LogNs: int64(c.at), Outcome: c.outcome})
		}
	}
	for _, m := range l.marks {
		s.Abandoned = append(s.Abandoned, &wire.State_Abandoned{Token: m.token, LogNs: int64(m.at)})
	}
	for a, d := range l.departures {
		s.Departures = append(s.Departures, &wire.State_Departure{Address: string(a), Incarnation: uint64(d.incarnation), LogNs: int64(d.at)})
	}
	sort.Slice(s.Departures, func(i, j int) bool { return s.Departures[i].GetAddress() < s.Departures[j].GetAddress() })
	for _, v := range l.vms {
		w := &wire.State_VM{Member: v.member, Absent: v.absent}
		for _, inc := range v.retired {
			w.Retired = append(w.Retired, uint64(inc))
		}
		s.Vms = append(s.Vms, w)
	}
	sort.Slice(s.Vms, func(i, j int) bool { return s.Vms[i].GetMember().GetVm() < s.Vms[j].GetMember().GetVm() })
	for _, r := range l.residues {
		s.Residues = append(s.Residues, r.wire())
	}
	for _, h := range l.Holders() {
		s.Holders = append(s.Holders, l.snapshotHolder(h))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, fault.Wrap(err, fault.Internal, "write snapshot", "")
}

func (l *Ledger) snapshotHolder(h Holder) *wire.State_Allotments {
	hold := l.holders[h]
	w := &wire.State_Allotments{
		Holder:  &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)},
		Version: uint64(hold.version), Entered: uint64(hold.entered),
	}
	for id, a := range hold.allotments {
		w.Allotments = append(w.Allotments, &wire.State_Allotment{
			Limit: string(id), Share: a.Share.wire(), Ceiling: a.Ceiling.wire(), Lowered: uint64(a.Lowered),
		})
	}
	sort.Slice(w.Allotments, func(i, j int) bool { return w.Allotments[i].GetLimit() < w.Allotments[j].GetLimit() })
	return w
}

func (a Amount) wire() *wire.Amount {
	return &wire.Amount{Rate: a.Rate, Burst: a.Burst, Count: a.Count}
}

func amountOf(a *wire.Amount) Amount {
	return Amount{Rate: a.GetRate(), Burst: a.GetBurst(), Count: a.GetCount()}
}

// Restore implements replica.StateMachine.
func (l *Ledger) Restore(state []byte) error {
	s := new(wire.State)
	if err := proto.Unmarshal(state, s); err != nil {
		return fault.New(fault.Internal, "read snapshot", "", "%v", err)
	}
	l.reset()
	l.index = ident.Index(s.GetIndex())
	l.at = time.Duration(s.GetLogNs())
	if v := s.GetVersions(); v != nil {
		l.versions = v
	}
	l.audit = s.GetAudit()
	for _, o := range s.GetOutcomes() {
		l.order = append(l.order, ident.ChangeID(o.GetId()))
		kept := &outcome{reply: o.GetReply()}
		copy(kept.digest[:], o.GetDigest())
		l.outcomes[ident.ChangeID(o.GetId())] = kept
	}
	l.restoreClaims(s)
	l.restoreRegistry(s)
	for _, w := range s.GetHolders() {
		hold := newHolding(ident.Index(w.GetEntered()), nil)
		hold.version = ident.Index(w.GetVersion())
		for _, a := range w.GetAllotments() {
			hold.allotments[ident.Limit(a.GetLimit())] = &Allotment{
				Share: amountOf(a.GetShare()), Ceiling: amountOf(a.GetCeiling()), Lowered: ident.Index(a.GetLowered()),
			}
		}
		l.holders[holderOf(w.GetHolder())] = hold
	}
	for _, w := range s.GetResidues() {
		l.residues = append(l.residues, residueOf(w))
	}
	return l.restoreSections(s)
}

func (l *Ledger) restoreSections(s *wire.State) error {
	for _, w := range s.GetSections() {
		name := document.Section(w.GetName())
		l.sections[name] = w
		part, err := document.Parse(name, w.GetText())
		if err != nil {
			return fault.New(fault.Internal, "read snapshot", w.GetName(), "%v", err)
		}
		l.doc.Set(part)
	}
	return nil
}

func (l *Ledger) restoreClaims(s *wire.State) {
	for _, w := range s.GetClaims() {
		r := w.GetRequest()
		key := claimKey{ident.Workspace(r.GetWorkspace()), ident.Service(r.GetService()), r.GetKey()}
		c := &claim{request: r, index: ident.Index(w.GetIndex()), at: time.Duration(w.GetLogNs()), outcome: w.GetOutcome()}
		l.claims[key] = c
		l.claimed = append(l.claimed, claimMark{key, c.index, c.at})
	}
	for _, w := range s.GetAbandoned() {
		l.abandoned[w.GetToken()] = true
		l.marks = append(l.marks, abandonedMark{w.GetToken(), time.Duration(w.GetLogNs())})
	}
}

func (l *Ledger) restoreRegistry(s *wire.State) {
	for _, u := range s.GetUpstreams() {
		l.upstreams[ident.Address(u.GetAddress())] = u
	}
	for _, d := range s.GetDepartures() {
		l.departures[ident.Address(d.GetAddress())] = departure{ident.Incarnation(d.GetIncarnation()), time.Duration(d.GetLogNs())}
	}
	for _, v := range s.GetVerdicts() {
		l.verdicts[target{v.GetKind(), v.GetTarget()}] = v
	}
	for _, w := range s.GetVms() {
		v := &vm{member: w.GetMember(), absent: w.GetAbsent()}
		for _, inc := range w.GetRetired() {
			v.retired = append(v.retired, ident.Incarnation(inc))
		}
		l.vms[ident.VM(w.GetMember().GetVm())] = v
	}
}
