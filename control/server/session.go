package server

import (
	"context"
	"net/netip"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/fleet/settings"
)

// Sync implements rpc.Session.
func (s *Server) Sync(ctx context.Context, r *rpc.SyncRequest) (*rpc.SyncReply, error) {
	reply, err := s.sync(ctx, r)
	return reply, fault.Twirp(err)
}

func (s *Server) sync(ctx context.Context, r *rpc.SyncRequest) (*rpc.SyncReply, error) {
	const step = "sync"
	term, err := s.leadingTerm(step)
	if err != nil {
		return nil, err
	}
	if err := checkSync(r); err != nil {
		s.countRefusal(fault.Of(err))
		return nil, err
	}
	if r.GetEnded() {
		return s.releaseEnded(ctx, term, r)
	}
	// The session is recorded before the registration, because the planner would otherwise release a
	// holder that has just registered again as one whose lease has expired.
	s.mu.Lock()
	waiting := s.leaderState.recordSync(s.clock.Now(), r)
	s.mu.Unlock()
	if err := s.ensureRegistered(ctx, r); err != nil {
		return nil, err
	}
	if waiting {
		s.triggerPlan()
	}
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	reply := &rpc.SyncReply{Term: uint64(term), LeaseMs: s.timings.LeaseDuration.Milliseconds()}
	var renewed bool
	var registeredAt ident.Index
	s.replica.View(func() {
		renewed = s.fillReply(h, r.GetHeld(), reply)
		registeredAt = s.ledger.RegisteredIndex(h)
	})
	for _, m := range s.replica.GroupStatus().GetMembers() {
		reply.Control = append(reply.Control, m.GetAddress())
	}
	s.mu.Lock()
	now := s.clock.Now()
	renewed = renewed && s.leaderState.renewLease(now, h, registeredAt)
	s.mu.Unlock()
	if !renewed {
		return nil, fault.New(fault.Busy, step, r.GetVm(), "the registration of the VM is expiring, sync again")
	}
	// The leader lease is checked after the reply time is recorded. Otherwise a reply might extend a
	// holder's lease beyond the time at which the next leader regards it as expired.
	if err := s.checkStillLeading(term, step); err != nil {
		return nil, err
	}
	s.metrics.syncs.Inc(1)
	return reply, nil
}

// releaseEnded releases the shares of a VM that has stopped using them, except for the counts that it reports to be in
// use. It also succeeds for a repeated request if the release was already committed.
func (s *Server) releaseEnded(ctx context.Context, term ident.Term, r *rpc.SyncRequest) (*rpc.SyncReply, error) {
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	var registeredAt ident.Index
	s.replica.View(func() { registeredAt = s.ledger.RegisteredIndex(h) })
	if registeredAt > 0 {
		s.mu.Lock()
		s.leaderState.releasing[h] = registeredAt // a delayed request must not renew the lease
		s.mu.Unlock()
		// Without a report, the ledger keeps all counts until the longest timeout has passed.
		release := &wire.Lend_Release{Holder: holderToWire(h), Entered: uint64(registeredAt), Reported: true, Uses: reportedUses(r)}
		if _, err := s.propose(ctx, "sync", ledger.SetShares{Lend: &wire.Lend{Releases: []*wire.Lend_Release{release}}}); err != nil {
			return nil, err
		}
		s.triggerPlan()
	}
	return &rpc.SyncReply{Term: uint64(term)}, nil
}

func checkSync(r *rpc.SyncRequest) error {
	if !settings.ValidName(r.GetVm()) || r.GetIncarnation() == 0 {
		return fault.New(fault.Invalid, "sync", r.GetVm(), "vm must be a valid name and incarnation must be above 0")
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
		return fault.New(fault.Invalid, "sync", r.GetVm(), "address must be IP:port")
	}
	return nil
}

// ensureRegistered registers the VM of a request unless the ledger already has the same registration.
func (s *Server) ensureRegistered(ctx context.Context, r *rpc.SyncRequest) error {
	m := &rpc.Member{Vm: r.GetVm(), Incarnation: r.GetIncarnation(), Address: r.GetAddress(), Domain: r.GetDomain(), Leaving: r.GetLeaving()}
	registered := false
	s.replica.View(func() { registered = s.ledger.Registered(m) })
	if registered {
		return nil
	}
	_, err := s.propose(ctx, "sync", ledger.RegisterEntryVM{Enter: &wire.Enter{Member: m, Uses: reportedUses(r)}})
	return err
}

// fillReply adds the parts of the state whose versions differ from those that the holder has. It must
// run inside replica.View. It returns false if the holder is not registered, so that its lease must not
// be renewed.
func (s *Server) fillReply(h ledger.Holder, held *rpc.Versions, reply *rpc.SyncReply) bool {
	if _, ok := s.ledger.CurrentMember(h); !ok {
		return false
	}
	v := s.ledger.Versions(h)
	reply.Index = uint64(s.ledger.Index())
	reply.Versions = v
	if v.GetConfig() != held.GetConfig() {
		reply.Config = &rpc.Config{Sections: s.ledger.Sections(), Verdicts: s.ledger.Verdicts()}
	}
	if v.GetRegistry() != held.GetRegistry() {
		reply.Registry = &rpc.Registry{Upstreams: s.ledger.Upstreams()}
	}
	if v.GetMembers() != held.GetMembers() {
		reply.Members = &rpc.Members{Members: s.ledger.Members()}
	}
	if v.GetAllotments() != held.GetAllotments() {
		reply.Allotments = &rpc.Allotments{Allotments: s.ledger.Allotments(h)}
	}
	return true
}

// Claim implements rpc.Session.
func (s *Server) Claim(ctx context.Context, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	result, err := s.propose(ctx, "claim", ledger.Claim{ClaimRequest: r})
	reply, _ := result.(*rpc.ClaimReply)
	return reply, fault.Twirp(err)
}

// Complete implements rpc.Session.
func (s *Server) Complete(ctx context.Context, r *rpc.CompleteRequest) (*rpc.CompleteReply, error) {
	result, err := s.propose(ctx, "complete", ledger.Complete{CompleteRequest: r})
	reply, _ := result.(*rpc.CompleteReply)
	return reply, fault.Twirp(err)
}

// Abandon implements rpc.Session.
func (s *Server) Abandon(ctx context.Context, r *rpc.AbandonRequest) (*rpc.AbandonReply, error) {
	result, err := s.propose(ctx, "abandon", ledger.Abandon{AbandonRequest: r})
	reply, _ := result.(*rpc.AbandonReply)
	return reply, fault.Twirp(err)
}

// Announce implements rpc.Session.
func (s *Server) Announce(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceReply, error) {
	u := r.GetUpstream()
	index, err := s.propose(ctx, "announce", ledger.Announce{Upstream: u})
	if err != nil {
		return nil, fault.Twirp(err)
	}
	s.mu.Lock()
	s.leaderState.recordRenewal(s.clock.Now(), &rpc.Renewal{Address: u.GetAddress(), Incarnation: u.GetIncarnation()})
	s.mu.Unlock()
	s.triggerPlan()
	return &rpc.AnnounceReply{Index: uint64(index.(ident.Index))}, nil
}

// beginVerdict checks that a verdict is not older than the one on its target. Verdicts are committed one at a time, so that
// each is checked against the one before. The returned function ends that.
func (s *Server) beginVerdict(ctx context.Context, v *rpc.Verdict) (done func(), err error) {
	select {
	case s.judging <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Deadline, "judge", v.GetTarget())
	}
	done = func() { <-s.judging }
	err = s.readCommitted("judge", func() error {
		newest := s.ledger.Verdict(v.GetKind(), v.GetTarget())
		if after := v.GetIndex(); after == 0 || newest.GetIndex() <= after || newest.GetId() == v.GetId() && newest.GetDown() == v.GetDown() {
			return nil
		}
		return fault.New(fault.Conflict, "judge", v.GetTarget(), "verdict %q of index %d is newer than index %d, after which this one was sent", newest.GetId(), newest.GetIndex(), v.GetIndex())
	})
	if err != nil {
		done()
		s.countRefusal(fault.Of(err))
		return nil, err
	}
	return done, nil
}

// Judge implements rpc.Session.
func (s *Server) Judge(ctx context.Context, r *rpc.JudgeRequest) (*rpc.JudgeReply, error) {
	hash := ledger.HashCredential(r.GetCredential())
	if err := s.precheck("judge", func() error { _, err := s.ledger.Monitor(hash); return err }); err != nil {
		return nil, fault.Twirp(err)
	}
	done, err := s.beginVerdict(ctx, r.GetVerdict())
	if err != nil {
		return nil, fault.Twirp(err)
	}
	defer done()
	index, err := s.propose(ctx, "judge", ledger.SetVerdict{Judge: &wire.Judge{Verdict: r.GetVerdict(), Hash: hash}})
	if err != nil {
		return nil, fault.Twirp(err)
	}
	s.triggerPlan()
	return &rpc.JudgeReply{Index: uint64(index.(ident.Index))}, nil
}
