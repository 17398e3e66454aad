package coordinator

import (
	"context"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/registry"
)

// Drain takes a failure domain out of use or back into use. Operators give no version with such an order and repeat it at
// other members, so it carries what was committed when it came: an order that this member holds while it is suspended must
// not undo a later one.
func (c *Coordinator) Drain(ctx context.Context, d registry.Drain) (registry.Result, error) {
	receivedAt := c.opts.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for {
		committed, err := c.committedIndex(ctx)
		if err == nil {
			d.Before = committed + 1
			break
		}
		if clock.Sleep(ctx, c.opts.Clock, commandRetryInterval) != nil {
			return registry.Result{}, err
		}
	}
	if c.opts.Clock.Now().Sub(receivedAt) > commandTimeout { // timers do not count a suspension of the VM
		err := fault.New(fault.Deadline, "drain", string(c.opts.Address), "this member was suspended while it had the order")
		err.Execution = fault.NotExecuted
		return registry.Result{}, err
	}
	return c.Submit(ctx, registry.Command{Drain: &d})
}

// drainQueue lets a leader replicate one drain at a time, so that each is checked against the one before.
type drainQueue chan struct{}

func newDrainQueue() drainQueue { return make(drainQueue, 1) }

// begin returns a function that must be called after a drain was replicated. It returns nil if there is nothing to
// replicate: the domain is as ordered, or an opposite order was committed after this one had come.
func (q drainQueue) begin(ctx context.Context, m *StateMachine, d registry.Drain) (done func(), err error) {
	select {
	case q <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Deadline, "drain", string(d.Domain))
	}
	drained, index := m.drainState(d.Domain)
	if d.Before == 0 || index < d.Before {
		return func() { <-q }, nil
	}
	<-q
	if drained == d.Active {
		return nil, nil
	}
	overtaken := fault.New(fault.Stale, "drain", string(d.Domain), "another order was committed at index %d, and this one had come before index %d", index, d.Before)
	overtaken.Execution = fault.NotExecuted
	return nil, overtaken
}
