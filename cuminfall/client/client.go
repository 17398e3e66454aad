package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/rpc"
)

const (
	callTimeout = 5 * time.Second
	retryPause  = 200 * time.Millisecond
	maxRounds   = 15 // 15 pauses of 200 ms last about 3 s, longer than an election
)

// ControlGroup is the part of the control group's API that the commands use.
type ControlGroup interface {
	// Apply submits one change. A repeat with the same change id returns the outcome of the first call.
	Apply(ctx context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error)
	// Show returns one section of the document, or all sections if the request names none.
	Show(ctx context.Context, r *rpc.ShowRequest) (*rpc.ShowReply, error)
	// Audit lists accepted changes.
	Audit(ctx context.Context, r *rpc.AuditRequest) (*rpc.AuditReply, error)
	// Status returns one entry per address; its Reply is nil if the member was not reached.
	Status(ctx context.Context) ([]MemberStatus, error)
	// Remove removes a member from the control group.
	Remove(ctx context.Context, r *rpc.RemoveRequest) (*rpc.RemoveReply, error)
}

// MemberStatus is the status of the control member at Address, or the error of the call to it.
type MemberStatus struct {
	Address string           `json:"address"`
	Reply   *rpc.StatusReply `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
}

// TwirpClient implements ControlGroup over Twirp.
type TwirpClient struct {
	clock     clock.Clock
	addresses []string
	http      *http.Client
}

// Connect returns a TwirpClient for the control members at the given addresses. It opens no connection yet.
func Connect(c clock.Clock, addresses []string) ControlGroup {
	return &TwirpClient{clock: c, addresses: addresses, http: &http.Client{Transport: process.CheckedTransport(http.DefaultTransport), Timeout: callTimeout}}
}

func (r *TwirpClient) memberClient(address string) rpc.Operations {
	return rpc.NewOperationsProtobufClient("http://"+address, r.http)
}

// callAny calls the members in turn, starting with the leader that the last refusal named, until a call succeeds
// or a refusal is final. A member may be called several times, so the call must be idempotent.
func (r *TwirpClient) callAny(ctx context.Context, step string, call func(rpc.Operations) error) error {
	var lastErr error
	hint := ""
	for range maxRounds {
		for _, address := range r.callOrder(hint) {
			err := call(r.memberClient(address))
			if err == nil {
				return nil
			}
			refusal := *fault.Of(err)
			if !retryable(refusal.Code) {
				return &refusal
			}
			if refusal.Code == fault.NotLeader && refusal.Peer != "" {
				hint = refusal.Peer
			}
			lastErr = &fault.Error{Code: fault.Unreachable, Step: step, Peer: address, Message: refusal.Message}
		}
		if clock.Sleep(ctx, r.clock, retryPause) != nil {
			break
		}
	}
	if lastErr == nil {
		lastErr = fault.New(fault.Usage, step, "", "no control address given")
	}
	return errors.WithStack(lastErr)
}

// callOrder returns the leader's address, if known, followed by all addresses.
func (r *TwirpClient) callOrder(hint string) []string {
	if hint == "" {
		return r.addresses
	}
	return append([]string{hint}, r.addresses...)
}

// retryable reports whether another member, or the same member later, may accept a call refused with code c.
func retryable(c fault.Code) bool {
	switch c {
	case fault.NotLeader, fault.Isolated, fault.Unreachable, fault.Stopping, fault.Busy, fault.Internal:
		return true
	default:
		return false
	}
}

// Apply implements ControlGroup.
func (r *TwirpClient) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	var reply *rpc.ApplyReply
	err := r.callAny(ctx, "apply change", func(o rpc.Operations) (err error) {
		reply, err = o.Apply(ctx, request)
		return err
	})
	return reply, err
}

// Show implements ControlGroup.
func (r *TwirpClient) Show(ctx context.Context, request *rpc.ShowRequest) (*rpc.ShowReply, error) {
	var reply *rpc.ShowReply
	err := r.callAny(ctx, "read document", func(o rpc.Operations) (err error) {
		reply, err = o.Show(ctx, request)
		return err
	})
	return reply, err
}

// Audit implements ControlGroup.
func (r *TwirpClient) Audit(ctx context.Context, request *rpc.AuditRequest) (*rpc.AuditReply, error) {
	var reply *rpc.AuditReply
	err := r.callAny(ctx, "read audit trail", func(o rpc.Operations) (err error) {
		reply, err = o.Audit(ctx, request)
		return err
	})
	return reply, err
}

// Remove implements ControlGroup.
func (r *TwirpClient) Remove(ctx context.Context, request *rpc.RemoveRequest) (*rpc.RemoveReply, error) {
	var reply *rpc.RemoveReply
	err := r.callAny(ctx, "remove member", func(o rpc.Operations) (err error) {
		reply, err = o.Remove(ctx, request)
		return err
	})
	return reply, err
}

// Status implements ControlGroup. It returns an error only if no member answered.
func (r *TwirpClient) Status(ctx context.Context) ([]MemberStatus, error) {
	list := make([]MemberStatus, 0, len(r.addresses))
	reached := false
	for _, address := range r.addresses {
		reply, err := r.memberClient(address).Status(ctx, &rpc.StatusRequest{})
		s := MemberStatus{Address: address, Reply: reply}
		if err != nil {
			s.Error = fault.Of(err).Message
		}
		reached = reached || err == nil
		list = append(list, s)
	}
	if !reached {
		return list, errors.WithStack(fault.New(fault.Unreachable, "read status", "", "no control member answered"))
	}
	return list, nil
}
