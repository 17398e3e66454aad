package coordinator

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/registry"
)

// suspendedClock is a clock that jumps ahead.
type suspendedClock struct {
	clock.BootTime
	suspended atomic.Int64 // a time.Duration
}

func (c *suspendedClock) Now() time.Time {
	return c.BootTime.Now().Add(time.Duration(c.suspended.Load()))
}

// pauseBeforeCall returns a context with which the nth call to another member waits for pause before it is sent.
func pauseBeforeCall(n int, pause func()) context.Context {
	calls := 0
	return httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GetConn: func(string) {
		if calls++; calls == n {
			pause()
		}
	}})
}

// Guards against the begin of a drain that a paused member holds while the operator repeats it at another member and ends
// the drain: the domain would stay out of use.
func TestDrainOfPausedMemberDoesNotUndoLaterOrder(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	paused, c := members[0], &suspendedClock{}
	paused.stop()
	paused.clock = c
	paused.start()
	ctx := context.Background()
	var leader *member
	eventually(t, "another member leads", func() bool {
		if leader, _ = currentLeader(t, members); leader == paused {
			_ = paused.opts.Replica.Handover(ctx)
		}
		return leader != paused && paused.remoteLeader() == leader.address
	})
	begin, finish := registry.Drain{Domain: "d", Active: true}, registry.Drain{Domain: "d"}
	isDrained := func() bool {
		drained, _ := leader.opts.StateMachine.drainState("d")
		return drained
	}
	for name, ctx := range map[string]context.Context{
		"between the look at the log and the order": pauseBeforeCall(2, func() {
			for _, d := range []registry.Drain{begin, finish} {
				eventually(t, "the order is acknowledged", func() bool {
					_, err := leader.Drain(ctx, d)
					return err == nil
				})
			}
		}),
		"before the look at the log": pauseBeforeCall(1, func() { c.suspended.Store(int64(2 * commandTimeout)) }),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := paused.Drain(ctx, begin)
			is.True(err != nil)
			is.True(!isDrained())
		})
	}
	for range 2 { // a repeated order is acknowledged
		eventually(t, "the order is acknowledged", func() bool {
			_, err := paused.Drain(ctx, begin)
			return err == nil
		})
		is.True(isDrained())
	}
}
