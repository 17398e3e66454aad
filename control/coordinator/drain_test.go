package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// Guards against an order about a domain that waits while the operator repeats it at another member and sends the opposite
// one: wherever it waited, it must not undo the newer one, in either direction.
func TestDrainThatWaitedDoesNotUndoLaterOrder(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	late, other := members[0], members[1]
	ctx := context.Background()
	position := func(m *member) (p ident.Index) {
		eventually(t, "an operator gets a position", func() bool {
			var err error
			p, err = m.OrderPosition(ctx)
			return err == nil
		})
		return p
	}
	order := func(m *member, active bool) {
		eventually(t, "the order is acknowledged", func() bool {
			_, err := m.Drain(ctx, registry.Drain{Domain: "d", Active: active, Before: position(m)})
			return err == nil
		})
	}
	isDrained := func() (drained bool) {
		eventually(t, "the member has applied all orders", func() bool {
			index, err := late.committedIndex(ctx)
			drained, _ = late.opts.StateMachine.drainState("d")
			return err == nil && late.opts.StateMachine.index() >= index
		})
		return drained
	}
	for _, active := range []bool{true, false} {
		order(other, !active)
		held := registry.Drain{Domain: "d", Active: active, Before: position(late)}
		order(other, active) // the operator repeats it
		order(other, !active)
		_, err := late.Drain(ctx, held)
		is.Equal(fault.Of(err).Code, fault.Stale)
		is.Equal(isDrained(), !active)
		_, err = late.Drain(ctx, registry.Drain{Domain: "d", Active: active})
		is.Equal(fault.Of(err).Code, fault.Invalid) // an operator that has given up gets no position
		is.Equal(isDrained(), !active)
	}
	order(late, true)
	order(other, true) // a repeated order is acknowledged
	is.True(isDrained())
}
