package session

import (
	"context"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// All calls below may be repeated: control answers a repeat of the same
// content as it answered the first, so a lost answer does no harm.

// Claim reserves the right to run a request. The token in the request makes a
// repeat after a lost answer the same claim rather than a second one.
func (s *Session) Claim(ctx context.Context, deadline time.Time, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	var reply *rpc.ClaimReply
	err := s.until(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Claim(ctx, r)
		return err
	})
	return reply, err
}

// Complete stores the outcome of a claimed request.
func (s *Session) Complete(ctx context.Context, deadline time.Time, r *rpc.CompleteRequest) error {
	return s.until(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		_, err := c.Complete(ctx, r)
		return err
	})
}

// Abandon gives up a claim whose request certainly did not run.
func (s *Session) Abandon(ctx context.Context, deadline time.Time, r *rpc.AbandonRequest) error {
	return s.until(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		_, err := c.Abandon(ctx, r)
		return err
	})
}

// Announce registers, replaces or withdraws an upstream, and returns the log index of the change.
func (s *Session) Announce(ctx context.Context, deadline time.Time, u *rpc.Upstream) (ident.Index, error) {
	var reply *rpc.AnnounceReply
	err := s.until(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Announce(ctx, &rpc.AnnounceRequest{Upstream: u})
		return err
	})
	return ident.Index(reply.GetIndex()), err
}

// Judge records a verdict of the monitoring group, and returns its log index.
func (s *Session) Judge(ctx context.Context, deadline time.Time, r *rpc.JudgeRequest) (ident.Index, error) {
	var reply *rpc.JudgeReply
	err := s.until(ctx, deadline, func(ctx context.Context, c rpc.Session) error {
		var err error
		reply, err = c.Judge(ctx, r)
		return err
	})
	return ident.Index(reply.GetIndex()), err
}
