package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Guards against requests that are sent with a withdrawn key or on shares of an expired lease, because their VM was paused
// after the dispatch, and against blaming the upstream for it.
func TestLapsedAttemptIsCheckedAgain(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", "127.0.0.1:1", "a1", 2)
	r := fleet.startRouter(t)
	first, second := *findSend(r.Step(newRead(1, epoch), nil)), *findSend(r.Step(newRead(2, epoch), nil))
	for _, s := range []Send{first, second} {
		is.True(!s.StartBy.After(epoch.Add(fleet.lease)))
		is.True(!s.StartBy.After(epoch.Add(r.config.MaxViewAge)))
	}
	lapse := func(at time.Time, s Send) []Effect {
		return r.Step(&AttemptEnded{At: at, ID: s.ID, Attempt: s.Attempt, Outcome: Lapsed, Resendable: true}, nil)
	}

	pausedUntil := epoch.Add(5 * time.Second)
	refusal := findRefusal(lapse(pausedUntil, first))
	is.Equal(refusal.Fault.Code, fault.Stale)
	is.Equal(refusal.Fault.Execution, fault.NotExecuted)

	r.Step(&Synced{At: pausedUntil, Sent: pausedUntil, Reply: fleet.unchangedReply()}, nil)
	again := findSend(lapse(pausedUntil.Add(time.Second), second))
	is.True(again != nil)             // at the only upstream, which has not failed
	is.Equal(again.Attempt, uint8(2)) // the end of the first one counts no more
	is.Equal(again.Endpoint, ident.Address("127.0.0.1:1"))
	is.True(again.StartBy.After(pausedUntil.Add(time.Second)))

	fleet.document.Workspaces.Workspaces[0].Keys = nil
	r.Step(&Synced{At: pausedUntil.Add(time.Second), Sent: pausedUntil.Add(time.Second), Reply: fleet.fullReply(t)}, nil)
	refusal = findRefusal(lapse(pausedUntil.Add(time.Second), *again))
	is.Equal(refusal.Fault.Code, fault.InvalidKey)
}
