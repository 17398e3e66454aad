package coordinator

import (
	"context"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// OrderPosition returns the position in the log that an order without a version of its own must carry, for which its operator
// asks first. An order may wait anywhere on its way, for any time: in the operator's host, on a link, at the door of a member
// that is suspended or busy. Only an operator that still waits for an answer gets the position and sends the order with it, so
// that the order is known to be newer than all that was committed up to there.
func (c *Coordinator) OrderPosition(ctx context.Context) (ident.Index, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		committed, err := c.committedIndex(ctx)
		if err == nil {
			return committed + 1, nil
		}
		if clock.Sleep(ctx, c.opts.Clock, commandRetryInterval) != nil {
			return 0, err
		}
	}
}

// RunOf returns the start of the registered run of an upstream, in Unix milliseconds, after all that was committed when it was
// called. Known is false if the upstream is not registered.
func (c *Coordinator) RunOf(ctx context.Context, id registry.UpstreamID) (startedAt int64, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.catchUp(ctx); err != nil {
		return 0, false, err
	}
	c.opts.StateMachine.view(func(r *registry.Registry) {
		var u registry.Upstream
		u, known = r.Upstreams[id]
		startedAt = u.StartedAt
	})
	return startedAt, known, nil
}

// Drain takes a failure domain out of use or back into use. The order must carry an OrderPosition: it does not undo another
// one about the domain that was committed from there on.
func (c *Coordinator) Drain(ctx context.Context, d registry.Drain) (registry.Result, error) {
	if d.Before == 0 {
		return registry.Result{}, fault.New(fault.Invalid, "drain", string(d.Domain), "the order carries no position in the log")
	}
	return c.Submit(ctx, registry.Command{Drain: &d})
}

// orderQueue lets a leader replicate one order about a subject at a time, so that each is checked against the one before.
type orderQueue chan struct{}

func newOrderQueue() orderQueue { return make(orderQueue, 1) }

// beginDrain returns a function that must be called after a drain was replicated. It returns nil if there is nothing to
// replicate: the domain is as ordered, or an opposite order was committed after this one had come.
func (c *Coordinator) beginDrain(ctx context.Context, d registry.Drain) (done func(), err error) {
	select {
	case c.drains <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Deadline, "drain", string(d.Domain))
	}
	drained, index := c.opts.StateMachine.drainState(d.Domain)
	if d.Before == 0 || index < d.Before {
		return func() { <-c.drains }, nil
	}
	<-c.drains
	if drained == d.Active {
		return nil, nil
	}
	overtaken := fault.New(fault.Stale, "drain", string(d.Domain), "another order was committed at index %d, and this one had come before index %d", index, d.Before)
	overtaken.Execution = fault.NotExecuted
	return nil, overtaken
}
