package server

import (
	"context"
	"time"

	"cuminfall.example/control/allocator"
	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// planDelay is how long a triggered plan is delayed, so that it also covers the requests that arrive
// meanwhile.
const planDelay = 10 * time.Millisecond

// triggerPlan makes Run plan after planDelay instead of at the next interval.
func (s *Server) triggerPlan() {
	select {
	case s.planTrigger <- struct{}{}:
	default:
	}
}

// Run distributes shares and watches renewals while this member leads, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	tick, stop := s.clock.Every(s.timings.PlanInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-s.planTrigger:
			if clock.Sleep(ctx, s.clock, planDelay) != nil {
				return nil
			}
		}
		s.planOnce(ctx)
	}
}

// planOnce proposes the changes of upstream states and of shares that are due.
func (s *Server) planOnce(ctx context.Context) {
	if _, err := s.leadingTerm("lend"); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timings.LeaseDuration)
	defer cancel()
	begin := s.clock.Now()
	var stateChanges *wire.Suspect
	var shares *wire.Lend
	s.replica.View(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		stateChanges = s.upstreamStateChanges(begin)
		shares = s.planShares(begin)
	})
	s.metrics.plan.Update(s.clock.Now().Sub(begin))
	if len(stateChanges.GetItems()) > 0 {
		s.proposePlan(ctx, ledger.UpdateUpstreamStates{Suspect: stateChanges})
	}
	if len(shares.GetReleases())+len(shares.GetConfirms())+len(shares.GetAllots()) > 0 {
		s.metrics.changes.Inc(int64(len(shares.GetAllots())))
		s.proposePlan(ctx, ledger.SetShares{Lend: shares})
	}
}

// proposePlan proposes a planned command. A failure is only logged, because the next plan
// contains the change again.
func (s *Server) proposePlan(ctx context.Context, c ledger.Command) {
	if _, err := s.propose(ctx, "lend", c); err != nil {
		s.log.WithField("code", fault.Of(err).Code).Debug(err.Error())
	}
}

// upstreamStateChanges returns the upstreams that become suspected or healthy, or are to be removed,
// by the time since their last renewal.
func (s *Server) upstreamStateChanges(now time.Time) *wire.Suspect {
	changes := new(wire.Suspect)
	for _, u := range s.ledger.Upstreams() {
		lastRenewal, renewed := s.leaderState.lastRenewal(u)
		silence := now.Sub(lastRenewal)
		item := &wire.Suspect_Item{
			Address: u.GetAddress(), Incarnation: u.GetIncarnation(),
			Suspected: silence >= s.timings.SuspectTimeout || u.GetSuspected() && !renewed, Remove: silence >= s.timings.RemovalTimeout,
		}
		if item.GetRemove() || item.GetSuspected() != u.GetSuspected() {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes
}

// planShares returns the releases, confirmations and allotments that are due.
func (s *Server) planShares(now time.Time) *wire.Lend {
	shares := new(wire.Lend)
	in := allocator.Input{
		Document: s.ledger.Document(), Upstreams: s.ledger.Upstreams(), Verdicts: s.ledger.Verdicts(), LogTime: s.leaderState.currentLogTime(now, s.ledger.LogTime()),
		Total: s.ledger.Total,
	}
	in.OtherCeilings = s.ledger.ResidualUsage(in.LogTime)
	s.leaderState.prune(now, s.timings.releaseTimeout(), s.ledger)
	for _, h := range s.ledger.Holders() {
		session := s.leaderState.sessions[h]
		if s.expireLease(now, h) {
			release := &wire.Lend_Release{Holder: holderToWire(h), Entered: uint64(s.ledger.RegisteredIndex(h)), Reported: session != nil}
			if session != nil {
				release.Uses = session.uses
			}
			shares.Releases = append(shares.Releases, release)
			continue
		}
		current := s.confirmedAllotments(h, shares)
		m, ok := s.ledger.CurrentMember(h)
		if !ok {
			for id, a := range current {
				in.OtherCeilings[id] = in.OtherCeilings[id].Add(a.Ceiling)
			}
			continue
		}
		in.Holders = append(in.Holders, s.allocatorHolder(h, m, current))
	}
	for _, change := range allocator.Plan(in) {
		shares.Allots = append(shares.Allots, &wire.Lend_Allot{
			Holder: holderToWire(change.Holder), Limit: string(change.Limit),
			Share: &wire.Amount{Rate: change.Share.Rate, Burst: change.Share.Burst, Count: change.Share.Count},
		})
	}
	return shares
}

// expireLease reports whether a holder's lease has expired. If it has, no later reply renews it.
func (s *Server) expireLease(now time.Time, h ledger.Holder) bool {
	registeredAt := s.ledger.RegisteredIndex(h)
	if s.leaderState.releasing[h] == registeredAt {
		return true
	}
	if now.Sub(s.leaderState.lastReply(h)) < s.timings.releaseTimeout() {
		return false
	}
	s.leaderState.releasing[h] = registeredAt
	delete(s.leaderState.sessions, h)
	return true
}

// allocatorHolder returns the allocator's input for a registered holder.
func (s *Server) allocatorHolder(h ledger.Holder, m *rpc.Member, current map[ident.Limit]ledger.Allotment) allocator.Holder {
	session := s.leaderState.sessions[h]
	planned := allocator.Holder{ID: h, Domain: ident.Domain(m.GetDomain()), Leaving: m.GetLeaving(), Current: current}
	if session != nil {
		planned.HasReported = true
		planned.Demands = session.demands
	}
	return planned
}

// confirmedAllotments returns a holder's allotments after its latest report is applied. It adds a
// confirmation to shares if the report changes any of them.
func (s *Server) confirmedAllotments(h ledger.Holder, shares *wire.Lend) map[ident.Limit]ledger.Allotment {
	current := make(map[ident.Limit]ledger.Allotment)
	session := s.leaderState.sessions[h]
	used := make(map[ident.Limit]uint32)
	if session != nil {
		for _, u := range session.uses {
			used[ident.Limit(u.GetLimit())] = u.GetUsed()
		}
	}
	changed := false
	s.ledger.EachAllotment(h, func(id ident.Limit, a ledger.Allotment) {
		confirmed := a
		if session != nil {
			confirmed = a.Confirmed(session.appliedVersion, used[id])
		}
		changed = changed || confirmed != a
		current[id] = confirmed
	})
	if changed {
		shares.Confirms = append(shares.Confirms, &wire.Lend_Confirm{Holder: holderToWire(h), Version: uint64(session.appliedVersion), Uses: session.uses})
	}
	return current
}

func holderToWire(h ledger.Holder) *wire.Holder {
	return &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)}
}
