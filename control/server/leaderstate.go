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

// leaderState is what a leader knows in addition to the ledger. It is not replicated and is empty at
// the start of each term.
type leaderState struct {
	term      ident.Term
	termStart time.Time
	sessions  map[ledger.Holder]*holderSession
	renewals  map[ident.Address]renewal
	releasing map[ledger.Holder]ident.Index // indexes of registrations whose release was proposed; their holders get no reply

	logTime     time.Duration // log time of the last applied entry
	logTimeSeen time.Time     // local time at which logTime was first seen
}

// holderSession is the state of the latest sync requests of a holder in this term.
type holderSession struct {
	lastReply      time.Time // time of the last reply that renewed the lease, or of the first request
	appliedVersion ident.Index
	uses           []*wire.Use // reported together with appliedVersion
	demands        map[ident.Limit]allocator.Demand
}

// renewal is the latest renewal of an upstream.
type renewal struct {
	incarnation ident.Incarnation
	lastSeen    time.Time
}

// beginTerm discards the state of an earlier term. Leases and renewals count from the start of the
// term, because the last replies of the previous leader are unknown.
func (s *leaderState) beginTerm(term ident.Term, since time.Time) {
	if s.sessions != nil && s.term == term {
		return
	}
	*s = leaderState{
		term: term, termStart: since, sessions: make(map[ledger.Holder]*holderSession),
		renewals: make(map[ident.Address]renewal), releasing: make(map[ledger.Holder]ident.Index),
	}
}

// recordSync records the report of a holder and returns whether requests wait for one of its shares.
func (s *leaderState) recordSync(now time.Time, r *rpc.SyncRequest) bool {
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	session := s.sessions[h]
	if session == nil {
		session = &holderSession{lastReply: now}
		s.sessions[h] = session
	}
	// The version and the uses are replaced together: a use confirms a lowered share only if the holder
	// had applied that version when it counted the use.
	session.appliedVersion = ident.Index(r.GetHeld().GetAllotments())
	session.uses = reportedUses(r)
	session.demands = make(map[ident.Limit]allocator.Demand, len(r.GetDemands()))
	waiting := false
	for _, d := range r.GetDemands() {
		session.demands[ident.Limit(d.GetLimit())] = allocator.Demand{Wanted: d.GetWanted(), Waiting: d.GetWaiting()}
		waiting = waiting || d.GetWaiting() > 0
	}
	for _, n := range r.GetRenewals() {
		s.recordRenewal(now, n)
	}
	return waiting
}

// recordRenewal records a renewal of an upstream. A delayed renewal of an earlier incarnation has no
// effect.
func (s *leaderState) recordRenewal(now time.Time, n *rpc.Renewal) {
	a, incarnation := ident.Address(n.GetAddress()), ident.Incarnation(n.GetIncarnation())
	if old, ok := s.renewals[a]; ok && old.incarnation > incarnation {
		return
	}
	s.renewals[a] = renewal{incarnation: incarnation, lastSeen: now}
}

// reportedUses returns the uses of count limits that a holder reports.
func reportedUses(r *rpc.SyncRequest) []*wire.Use {
	var uses []*wire.Use
	for _, d := range r.GetDemands() {
		if kind, _ := limit.Split(ident.Limit(d.GetLimit())); d.GetUsed() > 0 && !kind.IsRate() {
			uses = append(uses, &wire.Use{Limit: d.GetLimit(), Used: d.GetUsed(), UntilMs: d.GetUntilMs()})
		}
	}
	return uses
}

// renewLease records that a reply renews a holder's lease now. It returns false for a holder whose
// release was proposed, which must get no reply.
func (s *leaderState) renewLease(now time.Time, h ledger.Holder, registeredAt ident.Index) bool {
	session := s.sessions[h]
	if session == nil || s.releasing[h] == registeredAt {
		return false
	}
	if now.After(session.lastReply) {
		session.lastReply = now
	}
	return true
}

// currentLogTime returns the log time of the last applied entry plus the time since it was first seen.
func (s *leaderState) currentLogTime(now time.Time, applied time.Duration) time.Duration {
	if s.logTimeSeen.IsZero() || applied != s.logTime {
		s.logTime, s.logTimeSeen = applied, now
	}
	return s.logTime + now.Sub(s.logTimeSeen)
}

// lastReply returns the latest time at which the holder may have been sent a reply. For a holder that
// sent this leader no request, this is the start of the term.
func (s *leaderState) lastReply(h ledger.Holder) time.Time {
	if session := s.sessions[h]; session != nil {
		return session.lastReply
	}
	return s.termStart
}

// lastRenewal returns the time of the latest renewal of an upstream. It returns the start of the term
// and false if this leader received none.
func (s *leaderState) lastRenewal(u *rpc.Upstream) (time.Time, bool) {
	if r, ok := s.renewals[ident.Address(u.GetAddress())]; ok && uint64(r.incarnation) == u.GetIncarnation() {
		return r.lastSeen, true
	}
	return s.termStart, false
}

// prune deletes the sessions of holders that did not register within timeout, and the releases that
// have taken effect.
func (s *leaderState) prune(now time.Time, timeout time.Duration, l *ledger.Ledger) {
	for h, session := range s.sessions {
		if l.RegisteredIndex(h) == 0 && now.Sub(session.lastReply) >= timeout {
			delete(s.sessions, h)
		}
	}
	for h, registeredAt := range s.releasing {
		if l.RegisteredIndex(h) != registeredAt {
			delete(s.releasing, h)
		}
	}
}
