package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// baseTimeout is how long a change waits for the one that it builds on, if that is still being replicated.
const baseTimeout = 300 * time.Millisecond

// Change replicates a change of the catalog. An objection is an error of the change's text, for which it is refused unless it
// was accepted before. Both the member that gets a change and the leader review it: one of them may be of an earlier build.
func (c *Coordinator) Change(ctx context.Context, change *catalog.Change, objection error) (registry.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	result, final, err := c.reviewChange(ctx, change, objection)
	if final || err != nil {
		return result, err
	}
	c.opts.StateMachine.view(func(r *registry.Registry) { change = r.Catalog.Minimize(change) })
	return c.Submit(ctx, registry.Command{Change: change})
}

// reviewChange returns the result of a change if it is final before the change is replicated. If it is not, the change builds on the
// version that this member has, and nothing speaks against it there. A refusal counts only on top of all that was in the leader's
// log when the change came: this member may lag behind, and a copy of the change, which a leader of an earlier build took, may be
// committed later.
func (c *Coordinator) reviewChange(ctx context.Context, change *catalog.Change, objection error) (result registry.Result, final bool, err error) {
	assess := func() (a registry.Assessment, index ident.Index) {
		c.opts.StateMachine.view(func(r *registry.Registry) {
			a, result = r.Assess(change, objection)
			index = r.Index
		})
		return a, index
	}
	assessment, index := assess()
	if assessment == registry.Refused || assessment == registry.BaseUnknown {
		if err := c.catchUpWithLog(ctx); err != nil {
			return registry.Result{}, false, err
		}
		assessment, index = assess()
	}
	if assessment == registry.BaseUnknown {
		ctx, cancel := context.WithTimeout(ctx, baseTimeout)
		defer cancel()
		for assessment == registry.BaseUnknown && c.awaitIndex(ctx, index+1) == nil {
			assessment, index = assess()
		}
	}
	if assessment == registry.Acceptable {
		return registry.Result{}, false, nil
	}
	c.opts.Log.Event(logrus.InfoLevel, "review", logrus.Fields{"event": "review", "base": change.Base, "version": change.Version, "digest": change.Digest,
		"index": index, "assessment": assessment.String(), "code": string(result.Code), "why": result.Reason}, "change of the configuration is not replicated")
	return result, true, nil
}

// catchUpWithLog waits until this member has applied all that was in the leader's log when it was called, also what was not yet
// committed. To that end it has an empty command committed behind it.
func (c *Coordinator) catchUpWithLog(ctx context.Context) error {
	if _, err := c.Submit(ctx, registry.Command{}); err != nil {
		return err
	}
	return c.catchUp(ctx)
}

// catchUp waits until this member has applied all that was committed when it was called.
func (c *Coordinator) catchUp(ctx context.Context) error {
	position, err := c.OrderPosition(ctx)
	if err != nil {
		return err
	}
	return c.awaitIndex(ctx, position-1)
}

// awaitIndex waits until this member has applied the command at an index.
func (c *Coordinator) awaitIndex(ctx context.Context, index ident.Index) error {
	for {
		applied, changed := c.opts.StateMachine.watch()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Deadline, "catch up", string(c.opts.Address))
		}
	}
}
