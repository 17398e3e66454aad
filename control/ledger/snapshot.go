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

// Snapshot implements replica.StateMachine. Equal states give equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	s := &wire.State{
		Sections: l.Sections(), Audit: l.audit, Upstreams: l.Upstreams(), Verdicts: l.Verdicts(),
		Versions: l.versions, Index: uint64(l.index), LogNs: int64(l.logTime),
	}
	for _, id := range l.outcomeOrder {
		o := l.outcomes[id]
		s.Outcomes = append(s.Outcomes, &wire.State_Outcome{Id: string(id), Digest: o.digest[:], Reply: o.reply})
	}
	for _, mark := range l.claimQueue {
		if c := l.claims[mark.key]; c != nil && c.index == mark.index {
			s.Claims = append(s.Claims, &wire.State_Claim{Request: c.request, Index: uint64(c.index), LogNs: int64(c.logTime), Outcome: c.outcome})
		}
	}
	for _, m := range l.abandonedQueue {
		s.Abandoned = append(s.Abandoned, &wire.State_Abandoned{Token: m.token, LogNs: int64(m.logTime)})
	}
	for a, d := range l.departures {
		s.Departures = append(s.Departures, &wire.State_Departure{Address: string(a), Incarnation: uint64(d.incarnation), LogNs: int64(d.logTime)})
	}
	sort.Slice(s.Departures, func(i, j int) bool { return s.Departures[i].GetAddress() < s.Departures[j].GetAddress() })
	for _, v := range l.vms {
		w := &wire.State_VM{Member: v.member, Absent: v.absent}
		for _, incarnation := range v.retired {
			w.Retired = append(w.Retired, uint64(incarnation))
		}
		s.Vms = append(s.Vms, w)
	}
	sort.Slice(s.Vms, func(i, j int) bool { return s.Vms[i].GetMember().GetVm() < s.Vms[j].GetMember().GetVm() })
	for _, r := range l.residualUses {
		s.Residues = append(s.Residues, r.toWire())
	}
	for _, h := range l.Holders() {
		s.Holders = append(s.Holders, l.snapshotHolder(h))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, fault.Wrap(err, fault.Internal, "write snapshot", "")
}

func (l *Ledger) snapshotHolder(h Holder) *wire.State_Allotments {
	state := l.holders[h]
	w := &wire.State_Allotments{
		Holder:  &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)},
		Version: uint64(state.changedAt), Entered: uint64(state.registeredAt),
	}
	for id, a := range state.allotments {
		w.Allotments = append(w.Allotments, &wire.State_Allotment{
			Limit: string(id), Share: a.Share.toWire(), Ceiling: a.Ceiling.toWire(), Lowered: uint64(a.LoweredAt),
		})
	}
	sort.Slice(w.Allotments, func(i, j int) bool { return w.Allotments[i].GetLimit() < w.Allotments[j].GetLimit() })
	return w
}

func (a Amount) toWire() *wire.Amount {
	return &wire.Amount{Rate: a.Rate, Burst: a.Burst, Count: a.Count}
}

func amountFromWire(a *wire.Amount) Amount {
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
	l.logTime = time.Duration(s.GetLogNs())
	if v := s.GetVersions(); v != nil {
		l.versions = v
	}
	l.audit = s.GetAudit()
	for _, c := range l.audit {
		l.auditBytes += textBytes(c)
	}
	for _, o := range s.GetOutcomes() {
		l.outcomeOrder = append(l.outcomeOrder, ident.ChangeID(o.GetId()))
		restored := &outcome{reply: o.GetReply()}
		copy(restored.digest[:], o.GetDigest())
		l.outcomes[ident.ChangeID(o.GetId())] = restored
		l.outcomeBytes += textBytes(restored.reply.GetLost())
	}
	l.trimAudit() // the state of an earlier build may have more
	l.trimOutcomes()
	l.restoreClaims(s)
	l.restoreRegistry(s)
	for _, w := range s.GetHolders() {
		holder := newHolderState(ident.Index(w.GetEntered()), nil)
		holder.changedAt = ident.Index(w.GetVersion())
		for _, a := range w.GetAllotments() {
			holder.allotments[ident.Limit(a.GetLimit())] = &Allotment{
				Share: amountFromWire(a.GetShare()), Ceiling: amountFromWire(a.GetCeiling()), LoweredAt: ident.Index(a.GetLowered()),
			}
		}
		l.holders[holderFromWire(w.GetHolder())] = holder
	}
	for _, w := range s.GetResidues() {
		l.residualUses = append(l.residualUses, residualUseFromWire(w))
	}
	return l.restoreSections(s)
}

func (l *Ledger) restoreSections(s *wire.State) error {
	for _, w := range s.GetSections() {
		name := document.Section(w.GetName())
		l.sections[name] = w
		content, err := document.Parse(name, w.GetText())
		if err != nil {
			return fault.New(fault.Internal, "read snapshot", w.GetName(), "%v", err)
		}
		l.doc.Set(content)
	}
	return nil
}

func (l *Ledger) restoreClaims(s *wire.State) {
	for _, w := range s.GetClaims() {
		r := w.GetRequest()
		key := claimKey{ident.Workspace(r.GetWorkspace()), ident.Service(r.GetService()), r.GetKey()}
		c := &claim{request: r, index: ident.Index(w.GetIndex()), logTime: time.Duration(w.GetLogNs()), outcome: w.GetOutcome()}
		l.claims[key] = c
		l.claimQueue = append(l.claimQueue, claimQueueEntry{key, c.index, c.logTime})
		l.answerBytes += answerBytes(c.outcome)
	}
	l.trimAnswers() // the state of an earlier build may have more
	for _, w := range s.GetAbandoned() {
		l.abandonedTokens[w.GetToken()] = true
		l.abandonedQueue = append(l.abandonedQueue, abandonedToken{w.GetToken(), time.Duration(w.GetLogNs())})
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
		l.verdicts[verdictTarget{v.GetKind(), v.GetTarget()}] = v
	}
	for _, w := range s.GetVms() {
		v := &entryVM{member: w.GetMember(), absent: w.GetAbsent()}
		for _, incarnation := range w.GetRetired() {
			v.retired = append(v.retired, ident.Incarnation(incarnation))
		}
		l.vms[ident.VM(w.GetMember().GetVm())] = v
	}
}
