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
	term, err := s.lead(step)
	if err != nil {
		return nil, err
	}
	if err := checkSync(r); err != nil {
		s.refused(fault.Of(err))
		return nil, err
	}
	if r.GetEnded() {
		return s.end(ctx, term, r)
	}
	// The session is noted before the registration, so that the planner does
	// not take a holder that just registered again for one that lapsed.
	s.mu.Lock()
	waiting := s.soft.hear(s.clock.Now(), r)
	s.mu.Unlock()
	if err := s.admit(ctx, r); err != nil {
		return nil, err
	}
	if waiting {
		s.wake()
	}
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	reply := &rpc.SyncReply{Term: uint64(term), LeaseMs: s.timings.Lease.Milliseconds()}
	var lent bool
	var entered ident.Index
	s.replica.View(func() {
		lent = s.parts(h, r.GetHeld(), reply)
		entered = s.ledger.RegisteredIndex(h)
	})
	for _, m := range s.replica.Group().GetMembers() {
		reply.Control = append(reply.Control, m.GetAddress())
	}
	s.mu.Lock()
	now := s.clock.Now()
	lent = lent && s.soft.reply(now, h, entered)
	s.mu.Unlock()
	if !lent {
		return nil, fault.New(fault.Busy, step, r.GetVm(), "the registration lapses, sync again")
	}
	// The lease is checked after the reply time is noted, so that no reply
	// leaves under a lease that a later leader's count does not cover.
	if err := s.still(term, step); err != nil {
		return nil, err
	}
	s.meters.syncs.Inc(1)
	return reply, nil
}

// end releases the shares of a VM that spends nothing any more. A repeat whose
// release is committed already succeeds as well.
func (s *Server) end(ctx context.Context, term ident.Term, r *rpc.SyncRequest) (*rpc.SyncReply, error) {
	h := ledger.Holder{VM: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation())}
	var entered ident.Index
	s.replica.View(func() { entered = s.ledger.RegisteredIndex(h) })
	if entered > 0 {
		s.mu.Lock()
		s.soft.released[h] = entered // no late exchange renews the lease
		s.mu.Unlock()
		release := &wire.Lend_Release{Holder: wireHolder(h), Entered: uint64(entered)}
		if _, err := s.propose(ctx, "sync", ledger.SetShares{Lend: &wire.Lend{Releases: []*wire.Lend_Release{release}}}); err != nil {
			return nil, err
		}
		s.wake()
	}
	return &rpc.SyncReply{Term: uint64(term)}, nil
}

func checkSync(r *rpc.SyncRequest) error {
	if !settings.ValidName(r.GetVm()) || r.GetIncarnation() == 0 {
		return fault.New(fault.Invalid, "sync", r.GetVm(), "vm must be a name and incarnation above 0")
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
		return fault.New(fault.Invalid, "sync", r.GetVm(), "address must be IP:port")
	}
	return nil
}

// admit registers a holder that the ledger does not have in this form.
func (s *Server) admit(ctx context.Context, r *rpc.SyncRequest) error {
	m := &rpc.Member{Vm: r.GetVm(), Incarnation: r.GetIncarnation(), Address: r.GetAddress(), Domain: r.GetDomain(), Leaving: r.GetLeaving()}
	entered := false
	s.replica.View(func() { entered = s.ledger.Registered(m) })
	if entered {
		return nil
	}
	_, err := s.propose(ctx, "sync", ledger.RegisterEntryVM{Enter: &wire.Enter{Member: m, Uses: usesOf(r)}})
	return err
}

// parts fills in what is newer than the held versions, inside a View. It
// reports false for a holder without a registration, whose lease must not be renewed.
func (s *Server) parts(h ledger.Holder, held *rpc.Versions, reply *rpc.SyncReply) bool {
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
	s.soft.renew(s.clock.Now(), &rpc.Renewal{Address: u.GetAddress(), Incarnation: u.GetIncarnation()})
	s.mu.Unlock()
	s.wake()
	return &rpc.AnnounceReply{Index: uint64(index.(ident.Index))}, nil
}

// Judge implements rpc.Session.
func (s *Server) Judge(ctx context.Context, r *rpc.JudgeRequest) (*rpc.JudgeReply, error) {
	hash := ledger.Hash(r.GetCredential())
	if err := s.check("judge", func() error { _, err := s.ledger.Monitor(hash); return err }); err != nil {
		return nil, fault.Twirp(err)
	}
	index, err := s.propose(ctx, "judge", ledger.SetVerdict{Judge: &wire.Judge{Verdict: r.GetVerdict(), Hash: hash}})
	if err != nil {
		return nil, fault.Twirp(err)
	}
	s.wake()
	return &rpc.JudgeReply{Index: uint64(index.(ident.Index))}, nil
}
