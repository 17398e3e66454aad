package session

import (
	"context"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// All calls below may be repeated: control replies to a repeat with the same content as it did to
// the first call, so a lost reply does no harm.

// Claim reserves the right to run a request. The token in r lets control recognize a repeat after a
// lost reply as the same claim.
func (s *Session) Claim(ctx context.Context, deadline time.Time, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	var reply *rpc.ClaimReply
	err := s.callUntilDeadline(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Claim(ctx, r)
		return err
	})
	return reply, err
}

// Complete stores the outcome of a claimed request.
func (s *Session) Complete(ctx context.Context, deadline time.Time, r *rpc.CompleteRequest) error {
	return s.callUntilDeadline(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		_, err := c.Complete(ctx, r)
		return err
	})
}

// Abandon releases a claim whose request certainly did not run.
func (s *Session) Abandon(ctx context.Context, deadline time.Time, r *rpc.AbandonRequest) error {
	return s.callUntilDeadline(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		_, err := c.Abandon(ctx, r)
		return err
	})
}

// Announce registers, replaces or withdraws an upstream, and returns the log index of the change.
func (s *Session) Announce(ctx context.Context, deadline time.Time, u *rpc.Upstream) (ident.Index, error) {
	var reply *rpc.AnnounceReply
	err := s.callUntilDeadline(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Announce(ctx, &rpc.AnnounceRequest{Upstream: u})
		return err
	})
	return ident.Index(reply.GetIndex()), err
}

// SetVerdict records a verdict of the monitoring group, and returns its log index.
func (s *Session) SetVerdict(ctx context.Context, deadline time.Time, r *rpc.JudgeRequest) (ident.Index, error) {
	var reply *rpc.JudgeReply
	err := s.callUntilDeadline(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Judge(ctx, r)
		return err
	})
	return ident.Index(reply.GetIndex()), err
}
