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

// settle is the pause after a wake-up in which further exchanges join the same plan.
const settle = 10 * time.Millisecond

// wake asks for a plan soon.
func (s *Server) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Run moves shares and watches renewals while this member leads, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	tick, stop := s.clock.Every(s.timings.Plan)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
		case <-s.kick:
			if clock.Sleep(ctx, s.clock, settle) != nil {
				return nil
			}
		}
		s.round(ctx)
	}
}

// round proposes what lapsed, was confirmed or shall move.
func (s *Server) round(ctx context.Context) {
	if _, err := s.lead("lend"); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.timings.Lease)
	defer cancel()
	begin := s.clock.Now()
	var suspects *wire.Suspect
	var move *wire.Lend
	s.replica.View(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		suspects = s.watch(begin)
		move = s.move(begin)
	})
	s.meters.plan.Update(s.clock.Now().Sub(begin))
	if len(suspects.GetItems()) > 0 {
		s.attempt(ctx, ledger.UpdateUpstreamStates{Suspect: suspects})
	}
	if len(move.GetReleases())+len(move.GetConfirms())+len(move.GetAllots()) > 0 {
		s.meters.changes.Inc(int64(len(move.GetAllots())))
		s.attempt(ctx, ledger.SetShares{Lend: move})
	}
}

// attempt proposes a command of the planner, which plans anew if it fails.
func (s *Server) attempt(ctx context.Context, c ledger.Command) {
	if _, err := s.propose(ctx, "lend", c); err != nil {
		s.log.WithField("code", fault.Of(err).Code).Debug(err.Error())
	}
}

// watch lists the upstreams whose state changes by their renewals.
func (s *Server) watch(now time.Time) *wire.Suspect {
	list := new(wire.Suspect)
	for _, u := range s.ledger.Upstreams() {
		last, heard := s.soft.lastRenewal(u)
		quiet := now.Sub(last)
		item := &wire.Suspect_Item{
			Address: u.GetAddress(), Incarnation: u.GetIncarnation(),
			Suspected: quiet >= s.timings.Suspect || u.GetSuspected() && !heard, Remove: quiet >= s.timings.Offline,
		}
		if item.GetRemove() || item.GetSuspected() != u.GetSuspected() {
			list.Items = append(list.Items, item)
		}
	}
	return list
}

// move returns the releases, confirmations and allotments that are due.
func (s *Server) move(now time.Time) *wire.Lend {
	lend := new(wire.Lend)
	in := allocator.Input{
		Document: s.ledger.Document(), Upstreams: s.ledger.Upstreams(), Verdicts: s.ledger.Verdicts(), LogTime: s.soft.extrapolate(now, s.ledger.LogTime()),
		Total: s.ledger.Total,
	}
	in.OtherCeilings = s.ledger.ResidualUsage(in.LogTime)
	s.soft.prune(now, s.timings.lapse(), s.ledger)
	for _, h := range s.ledger.Holders() {
		last := s.soft.sessions[h]
		if s.lapsed(now, h) {
			release := &wire.Lend_Release{Holder: wireHolder(h), Entered: uint64(s.ledger.RegisteredIndex(h)), Reported: last != nil}
			if last != nil {
				release.Uses = last.uses
			}
			lend.Releases = append(lend.Releases, release)
			continue
		}
		current := s.confirmed(h, lend)
		m, ok := s.ledger.CurrentMember(h)
		if !ok {
			for id, a := range current {
				in.OtherCeilings[id] = in.OtherCeilings[id].Add(a.Ceiling)
			}
			continue
		}
		in.Holders = append(in.Holders, s.holder(h, m, current))
	}
	for _, c := range allocator.Plan(in) {
		lend.Allots = append(lend.Allots, &wire.Lend_Allot{
			Holder: wireHolder(c.Holder), Limit: string(c.Limit),
			Share: &wire.Amount{Rate: c.Share.Rate, Burst: c.Share.Burst, Count: c.Share.Count},
		})
	}
	return lend
}

// lapsed reports whether a holder's lease is over, and then lets no further reply renew it.
func (s *Server) lapsed(now time.Time, h ledger.Holder) bool {
	entered := s.ledger.RegisteredIndex(h)
	if s.soft.released[h] == entered {
		return true
	}
	if now.Sub(s.soft.lastReply(h)) < s.timings.lapse() {
		return false
	}
	s.soft.released[h] = entered
	delete(s.soft.sessions, h)
	return true
}

func (s *Server) holder(h ledger.Holder, m *rpc.Member, current map[ident.Limit]ledger.Allotment) allocator.Holder {
	c := s.soft.sessions[h]
	planned := allocator.Holder{ID: h, Domain: ident.Domain(m.GetDomain()), Leaving: m.GetLeaving(), Current: current}
	if c != nil {
		planned.HasReported = true
		planned.Demands = c.demands
	}
	return planned
}

// confirmed returns a holder's allotments as they are after its latest report,
// and adds the confirmation to lend where it frees anything.
func (s *Server) confirmed(h ledger.Holder, lend *wire.Lend) map[ident.Limit]ledger.Allotment {
	current := make(map[ident.Limit]ledger.Allotment)
	c := s.soft.sessions[h]
	used := make(map[ident.Limit]uint32)
	if c != nil {
		for _, u := range c.uses {
			used[ident.Limit(u.GetLimit())] = u.GetUsed()
		}
	}
	frees := false
	s.ledger.EachAllotment(h, func(id ident.Limit, a ledger.Allotment) {
		next := a
		if c != nil {
			next = a.Confirmed(c.held, used[id])
		}
		frees = frees || next != a
		current[id] = next
	})
	if frees {
		lend.Confirms = append(lend.Confirms, &wire.Lend_Confirm{Holder: wireHolder(h), Version: uint64(c.held), Uses: c.uses})
	}
	return current
}

func wireHolder(h ledger.Holder) *wire.Holder {
	return &wire.Holder{Vm: string(h.VM), Incarnation: uint64(h.Incarnation)}
}
