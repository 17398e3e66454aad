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

// keepFacts makes the registry keep the facts that must outlive a loss of all VMs, as the leader of a term.
func (c *Coordinator) keepFacts(ctx context.Context, term ident.Term) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	keep := registry.Keep{}
	if c.term == term {
		keep = c.unkeptFacts(now)
	}
	c.mu.Unlock()
	if len(keep.Add)+len(keep.Forget) == 0 {
		return
	}
	if err := c.submitAsLeader(ctx, term, registry.Command{Keep: &keep}); err != nil {
		c.opts.Log.WithField("event", "keep").WithError(err).Warn("could not record facts about crashes")
	}
}

// unkeptFacts returns how the kept facts differ from those which the leader knows; c.mu is held.
func (c *Coordinator) unkeptFacts(now time.Time) (keep registry.Keep) {
	durable := c.observations.Durable(now)
	c.opts.StateMachine.view(func(r *registry.Registry) {
		keep.Add, keep.Forget = without(durable, r.Kept), without(r.Kept, durable)
	})
	return keep
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
// learns that one of them won, so that a later leader does not grant another one.
func (c *Coordinator) exchangeFacts(ctx context.Context, term ident.Term, report *observation.Report) (*observation.Reply, error) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	if c.term != term {
		c.mu.Unlock()
		return nil, fault.New(fault.NotLeader, "report", string(c.opts.Address), "this member no longer leads term %d", term)
	}
	reply := c.observations.Exchange(now, term, report)
	var keep registry.Keep
	if reply != nil && slices.ContainsFunc(reply.Facts, func(o observation.Observation) bool { return o.Kind == observation.Claim }) {
		keep = c.unkeptFacts(now)
	}
	c.mu.Unlock()
	if !slices.ContainsFunc(keep.Add, func(f registry.Fact) bool { return f.Kind == observation.Claim }) {
		return reply, nil
	}
	return reply, c.submitAsLeader(ctx, term, registry.Command{Keep: &keep})
}
