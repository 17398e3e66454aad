package server

import (
	"time"

	"cuminfall.example/control/allocator"
	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// soft is what a leader knows beyond the ledger; it starts anew with each term.
type soft struct {
	term     ident.Term
	since    time.Time
	sessions map[ledger.Holder]*session
	renewals map[ident.Address]renewal
	released map[ledger.Holder]ident.Index // registrations whose release was proposed; they get no reply

	logTime   time.Duration // of the last applied entry
	logTimeAt time.Time     // when logTime was first seen
}

// session is the latest exchange with a holder in this term.
type session struct {
	replied time.Time // when the last reply under the lease was made
	held    ident.Index
	uses    []*wire.Use // as reported together with held
	demands map[ident.Limit]allocator.Demand
}

type renewal struct {
	incarnation ident.Incarnation
	at          time.Time
}

// enter drops what belongs to an earlier term. Leases and renewals count from
// the begin of the term, because the former leader's last replies are unknown.
func (s *soft) enter(term ident.Term, since time.Time) {
	if s.sessions != nil && s.term == term {
		return
	}
	*s = soft{
		term: term, since: since, sessions: make(map[ledger.Holder]*session),
		renewals: make(map[ident.Address]renewal), released: make(map[ledger.Holder]ident.Index),
	}
}

// hear records what a holder reports, and reports whether it waits for a share.
func (s *soft) hear(now time.Time, r *rpc.SyncRequest) bool {
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	c := s.sessions[h]
	if c == nil {
		c = &session{replied: now}
		s.sessions[h] = c
	}
	// Version and uses belong together: a use proves something only with the
	// version that the holder had applied when it counted.
	c.held = ident.Index(r.GetHeld().GetAllotments())
	c.uses = usesOf(r)
	c.demands = make(map[ident.Limit]allocator.Demand, len(r.GetDemands()))
	waiting := false
	for _, d := range r.GetDemands() {
		c.demands[ident.Limit(d.GetLimit())] = allocator.Demand{Wanted: d.GetWanted(), Waiting: d.GetWaiting()}
		waiting = waiting || d.GetWaiting() > 0
	}
	for _, n := range r.GetRenewals() {
		s.renew(now, n)
	}
	return waiting
}

// renew records a sign of life of an upstream; a late one of an earlier run changes nothing.
func (s *soft) renew(now time.Time, n *rpc.Renewal) {
	a, inc := ident.Address(n.GetAddress()), ident.Incarnation(n.GetIncarnation())
	if old, ok := s.renewals[a]; ok && old.incarnation > inc {
		return
	}
	s.renewals[a] = renewal{incarnation: inc, at: now}
}

func usesOf(r *rpc.SyncRequest) []*wire.Use {
	var uses []*wire.Use
	for _, d := range r.GetDemands() {
		if kind, _ := limit.Split(ident.Limit(d.GetLimit())); d.GetUsed() > 0 && !kind.IsRate() {
			uses = append(uses, &wire.Use{Limit: d.GetLimit(), Used: d.GetUsed(), UntilMs: d.GetUntilMs()})
		}
	}
	return uses
}

// reply records that a holder's lease is renewed by a reply made now. It
// reports false for a holder whose release is under way, which must get none.
func (s *soft) reply(now time.Time, h ledger.Holder, entered ident.Index) bool {
	c := s.sessions[h]
	if c == nil || s.released[h] == entered {
		return false
	}
	if now.After(c.replied) {
		c.replied = now
	}
	return true
}

// extrapolate returns the log time now, given that of the last applied entry.
func (s *soft) extrapolate(now time.Time, applied time.Duration) time.Duration {
	if s.logTimeAt.IsZero() || applied != s.logTime {
		s.logTime, s.logTimeAt = applied, now
	}
	return s.logTime + now.Sub(s.logTimeAt)
}

// lastReply returns the latest time at which a reply to the holder may have been made.
func (s *soft) lastReply(h ledger.Holder) time.Time {
	if c := s.sessions[h]; c != nil {
		return c.replied
	}
	return s.since
}

// lastRenewal returns the latest sign of life of an upstream, or the begin of the term and false.
func (s *soft) lastRenewal(u *rpc.Upstream) (time.Time, bool) {
	if r, ok := s.renewals[ident.Address(u.GetAddress())]; ok && uint64(r.incarnation) == u.GetIncarnation() {
		return r.at, true
	}
	return s.since, false
}

// prune forgets sessions that never registered and releases that took effect.
func (s *soft) prune(now time.Time, lapse time.Duration, l *ledger.Ledger) {
	for h, c := range s.sessions {
		if l.RegisteredIndex(h) == 0 && now.Sub(c.replied) >= lapse {
			delete(s.sessions, h)
		}
	}
	for h, entered := range s.released {
		if l.RegisteredIndex(h) != entered {
			delete(s.released, h)
		}
	}
}
