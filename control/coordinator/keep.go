package coordinator

import (
	"context"
	"slices"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// claimTimeout limits how long a report waits until claims are in the log. VMs wait 900 ms for a reply.
const claimTimeout = 300 * time.Millisecond

// keepFacts makes the registry keep the facts that must outlive a loss of all VMs, as the leader of a term. Calls at the
// same time share one command.
func (c *Coordinator) keepFacts(ctx context.Context, term ident.Term) error {
	done := c.keeping.DoChan("", func() (any, error) {
		keep, err := c.unkeptFacts(term)
		if err != nil || len(keep.Add)+len(keep.Forget) == 0 {
			return nil, err
		}
		if err = c.submitAsLeader(ctx, term, registry.Command{Keep: &keep}); err != nil {
			c.opts.Log.WithField("event", "keep").WithError(err).Warn("could not record facts about crashes")
		}
		return nil, err
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Deadline, "keep", "")
	}
}

// unkeptFacts returns how the kept facts differ from those which the leader of a term knows.
func (c *Coordinator) unkeptFacts(term ident.Term) (keep registry.Keep, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		return keep, fault.New(fault.NotLeader, "keep", string(c.opts.Address), "this member no longer leads term %d", term)
	}
	durable := c.observations.Durable(c.opts.Clock.Now())
	c.opts.StateMachine.view(func(r *registry.Registry) {
		keep.Add, keep.Forget = without(durable, r.Kept), without(r.Kept, durable)
	})
	return keep, nil
}

func without(facts, others []registry.Fact) (rest []registry.Fact) {
	known := make(map[registry.Fact]bool, len(others))
	for _, f := range others {
		known[f] = true
	}
	for _, f := range facts {
		if !known[f] {
			rest = append(rest, f)
		}
	}
	return rest
}

// exchangeFacts adds the facts of a VM's report and returns those which the VM lacks. Claims are in the log before any VM
// learns that one of them won, so that a later leader does not grant another one. While that is not possible, they are
// left out, and the VM gets all facts again with the reply to a later report.
func (c *Coordinator) exchangeFacts(ctx context.Context, term ident.Term, report *observation.Report) (*observation.Reply, error) {
	c.mu.Lock()
	if c.term != term {
		c.mu.Unlock()
		return nil, fault.New(fault.NotLeader, "report", string(c.opts.Address), "this member no longer leads term %d", term)
	}
	reply := c.observations.Exchange(c.opts.Clock.Now(), term, report)
	c.mu.Unlock()
	isClaim := func(o observation.Observation) bool { return o.Kind == observation.Claim }
	if reply == nil || !slices.ContainsFunc(reply.Facts, isClaim) {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		keep, err := c.unkeptFacts(term)
		if err == nil && !slices.ContainsFunc(keep.Add, func(f registry.Fact) bool { return f.Kind == observation.Claim }) {
			return reply, nil
		}
		if err != nil || c.keepFacts(ctx, term) != nil || ctx.Err() != nil {
			return &observation.Reply{Facts: slices.DeleteFunc(reply.Facts, isClaim)}, nil
		}
	}
}
