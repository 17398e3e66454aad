package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/rpc"
)

const (
	exchangeTimeout = 5 * time.Second
	retryPause      = 200 * time.Millisecond
	rounds          = 15 // about 3 s of pauses, which covers an election
)

// Fleet is what the commands need of the control group.
type Fleet interface {
	// Apply makes one change; it may be called again with the same id.
	Apply(ctx context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error)
	// Show returns sections of the document.
	Show(ctx context.Context, r *rpc.ShowRequest) (*rpc.ShowReply, error)
	// Audit lists accepted changes.
	Audit(ctx context.Context, r *rpc.AuditRequest) (*rpc.AuditReply, error)
	// Status returns one reply per address, nil where the member was not reached.
	Status(ctx context.Context) ([]MemberStatus, error)
	// Remove takes a member out of the control group.
	Remove(ctx context.Context, r *rpc.RemoveRequest) (*rpc.RemoveReply, error)
}

// MemberStatus is the status of the control member at an address.
type MemberStatus struct {
	Address string           `json:"address"`
	Reply   *rpc.StatusReply `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// Remote is a Fleet over twirp.
type Remote struct {
	clock     clock.Clock
	addresses []string
	http      *http.Client
}

// Connect returns a Remote for the control members' addresses.
func Connect(c clock.Clock, addresses []string) Fleet {
	return &Remote{clock: c, addresses: addresses, http: &http.Client{Timeout: exchangeTimeout}}
}

func (r *Remote) at(address string) rpc.Operations {
	return rpc.NewOperationsProtobufClient("http://"+address, r.http)
}

// attempt calls each member in turn, the hinted leader first, until one
// answers for the group. Calls must be idempotent.
func (r *Remote) attempt(ctx context.Context, step string, call func(rpc.Operations) error) error {
	var last error
	hint := ""
	for range rounds {
		for _, address := range r.order(hint) {
			err := call(r.at(address))
			if err == nil {
				return nil
			}
			f := *fault.Of(err)
			if !passing(f.Code) {
				return &f
			}
			if f.Code == fault.Leader && f.Peer != "" {
				hint = f.Peer
			}
			last = &fault.Error{Code: fault.Unreachable, Step: step, Peer: address, Message: f.Message}
		}
		if clock.Sleep(ctx, r.clock, retryPause) != nil {
			break
		}
	}
	if last == nil {
		last = fault.New(fault.Usage, step, "", "no control address given")
	}
	return errors.WithStack(last)
}

// order returns the hinted leader, if any, and then all addresses.
func (r *Remote) order(hint string) []string {
	if hint == "" {
		return r.addresses
	}
	return append([]string{hint}, r.addresses...)
}

func passing(c fault.Code) bool {
	switch c {
	case fault.Leader, fault.Isolated, fault.Unreachable, fault.Stopping, fault.Busy, fault.Internal:
		return true
	default:
		return false
	}
}

// Apply implements Fleet.
func (r *Remote) Apply(ctx context.Context, q *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	var reply *rpc.ApplyReply
	err := r.attempt(ctx, "apply change", func(o rpc.Operations) (err error) {
		reply, err = o.Apply(ctx, q)
		return err
	})
	return reply, err
}

// Show implements Fleet.
func (r *Remote) Show(ctx context.Context, q *rpc.ShowRequest) (*rpc.ShowReply, error) {
	var reply *rpc.ShowReply
	err := r.attempt(ctx, "read document", func(o rpc.Operations) (err error) {
		reply, err = o.Show(ctx, q)
		return err
	})
	return reply, err
}

// Audit implements Fleet.
func (r *Remote) Audit(ctx context.Context, q *rpc.AuditRequest) (*rpc.AuditReply, error) {
	var reply *rpc.AuditReply
	err := r.attempt(ctx, "read audit trail", func(o rpc.Operations) (err error) {
		reply, err = o.Audit(ctx, q)
		return err
	})
	return reply, err
}

// Remove implements Fleet.
func (r *Remote) Remove(ctx context.Context, q *rpc.RemoveRequest) (*rpc.RemoveReply, error) {
	var reply *rpc.RemoveReply
	err := r.attempt(ctx, "remove member", func(o rpc.Operations) (err error) {
		reply, err = o.Remove(ctx, q)
		return err
	})
	return reply, err
}

// Status implements Fleet; it fails only when no member answers.
func (r *Remote) Status(ctx context.Context) ([]MemberStatus, error) {
	list := make([]MemberStatus, 0, len(r.addresses))
	reached := false
	for _, address := range r.addresses {
		reply, err := r.at(address).Status(ctx, &rpc.StatusRequest{})
		s := MemberStatus{Address: address, Reply: reply}
		if err != nil {
			s.Error = fault.Of(err).Message
		}
		reached = reached || err == nil
		list = append(list, s)
	}
	if !reached {
		return list, errors.WithStack(fault.New(fault.Unreachable, "read status", "", "no control member answers"))
	}
	return list, nil
}
