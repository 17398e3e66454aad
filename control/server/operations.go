package server

import (
	"context"
	"slices"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Apply implements rpc.Operations.
func (s *Server) Apply(ctx context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	hash := ledger.HashCredential(r.GetCredential())
	if err := s.checkOperator("apply change", r.GetOperator(), hash); err != nil {
		if f := fault.Of(err); f.Code == fault.InvalidCredential {
			return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_REFUSED, Reason: f.Message, Code: string(f.Code)}, nil
		}
		return nil, fault.Twirp(err)
	}
	if err := s.checkAmbiguities(r); err != nil {
		f := fault.Of(err)
		if f.Code != fault.Invalid {
			return nil, fault.Twirp(err)
		}
		s.countRefusal(f)
		return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_REFUSED, Reason: f.Message, Code: string(f.Code)}, nil
	}
	result, err := s.propose(ctx, "apply change", ledger.Change{Change: &wire.Change{
		Section: r.GetSection(), Base: r.GetBase(), Id: r.GetId(), Operator: r.GetOperator(), Hash: hash, Text: r.GetText(),
	}})
	if err != nil {
		return nil, fault.Twirp(err)
	}
	reply := result.(*rpc.ApplyReply)
	switch reply.GetState() {
	case rpc.ApplyState_APPLY_STATE_ACCEPTED:
		s.triggerPlan()
	case rpc.ApplyState_APPLY_STATE_CONFLICT, rpc.ApplyState_APPLY_STATE_REFUSED:
		s.countRefusal(fault.New(fault.Code(reply.GetCode()), "apply change", r.GetOperator(), "%s", reply.GetReason()))
	case rpc.ApplyState_APPLY_STATE_UNSPECIFIED:
	}
	return reply, nil
}

// checkAmbiguities returns an error with the code fault.Invalid if the new text of a section has ambiguities that the current one
// does not have. Members of earlier builds accept them, so they are kept out of the log; one that is there already may stay, so
// that a section can be corrected one item at a time. All other errors, and the reply to a change that is repeated, come from the ledger.
func (s *Server) checkAmbiguities(r *rpc.ApplyRequest) error {
	section := document.Section(r.GetSection())
	problems, err := document.Ambiguities(section, r.GetText())
	if err != nil || len(problems) == 0 {
		return nil
	}
	return s.readCommitted("apply change", func() error {
		if s.ledger.HasOutcome(ident.ChangeID(r.GetId())) {
			return nil
		}
		var current []string
		for _, held := range s.ledger.Sections() {
			if held.GetName() == r.GetSection() {
				current, _ = document.Ambiguities(section, held.GetText()) // a text in the ledger was parsed before
			}
		}
		for _, problem := range problems {
			if !slices.Contains(current, problem) {
				return fault.New(fault.Invalid, "apply change", r.GetSection(), "%s", problem)
			}
		}
		return nil
	})
}

// checkOperator returns an error unless the hash is that of the operator's credential.
func (s *Server) checkOperator(step, operator, hash string) error {
	return s.precheck(step, func() error { _, err := s.ledger.Operator(ident.Operator(operator), hash); return err })
}

// Show implements rpc.Operations.
func (s *Server) Show(_ context.Context, r *rpc.ShowRequest) (*rpc.ShowReply, error) {
	reply := new(rpc.ShowReply)
	err := s.readCommitted("show", func() error {
		reply.Verdicts = s.ledger.Verdicts()
		for _, section := range s.ledger.Sections() {
			if r.GetSection() == "" || r.GetSection() == section.GetName() {
				reply.Sections = append(reply.Sections, section)
			}
		}
		if len(reply.GetSections()) == 0 {
			return fault.New(fault.NotFound, "show", r.GetSection(), "unknown section %q", document.Section(r.GetSection()))
		}
		return nil
	})
	return reply, fault.Twirp(err)
}

// Audit implements rpc.Operations.
func (s *Server) Audit(_ context.Context, r *rpc.AuditRequest) (*rpc.AuditReply, error) {
	reply := new(rpc.AuditReply)
	err := s.readCommitted("audit", func() error {
		if r.GetId() == "" {
			reply.Changes = s.ledger.Audit(ident.Index(r.GetAfter()), int(r.GetLimit()))
		} else if c := s.ledger.ChangeByID(ident.ChangeID(r.GetId())); c != nil {
			reply.Changes = append(reply.Changes, c)
		}
		return nil
	})
	return reply, fault.Twirp(err)
}

// readCommitted runs f on the committed state. It returns an error if this member does not lead under
// a valid lease before and after f.
func (s *Server) readCommitted(step string, f func() error) error {
	term, err := s.leadingTerm(step)
	if err != nil {
		return err
	}
	s.replica.View(func() { err = f() })
	if err != nil {
		return err
	}
	return s.checkStillLeading(term, step)
}

// Status implements rpc.Operations. Every member answers it with its own state, also if it is not the
// leader.
func (s *Server) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusReply, error) {
	reply := s.replica.GroupStatus()
	s.replica.View(func() {
		reply.Entries = s.ledger.Members()
		reply.Upstreams = s.ledger.Upstreams()
	})
	return reply, nil
}

// Remove implements rpc.Operations.
func (s *Server) Remove(ctx context.Context, r *rpc.RemoveRequest) (*rpc.RemoveReply, error) {
	known := false
	for _, m := range s.replica.GroupStatus().GetMembers() {
		known = known || m.GetName() == r.GetName()
	}
	if !known {
		return nil, fault.Twirp(fault.New(fault.NotFound, "remove member", r.GetName(), "the control group has no member with this name"))
	}
	hash := ledger.HashCredential(r.GetCredential())
	if err := s.checkOperator("remove member", r.GetOperator(), hash); err != nil {
		return nil, fault.Twirp(err)
	}
	_, err := s.propose(ctx, "remove member", ledger.Remove{Remove: &wire.Remove{
		Name: r.GetName(), Operator: r.GetOperator(), Hash: hash, Id: r.GetId(),
	}})
	if err != nil {
		return nil, fault.Twirp(err)
	}
	if err := s.replica.Remove(ctx, r.GetName()); err != nil {
		return nil, fault.Twirp(fault.Wrap(err, fault.Unreachable, "remove member", r.GetName()))
	}
	return new(rpc.RemoveReply), nil
}
