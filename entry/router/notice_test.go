package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// noticeRouter returns a router with two upstreams of service "read", of which the first is preferred.
func noticeRouter(t *testing.T) (*testFleet, *Router) {
	fleet := newTestFleet()
	fleet.addUpstream("read", sameDomainAddr, "a1", 2)
	fleet.addUpstream("read", sameRegionAddr, "a2", 2)
	return fleet, fleet.startRouter(t)
}

func incarnationOf(r *Router, a ident.Address) ident.Incarnation {
	return r.view.endpoints[a].incarnation
}

// Guards against new work for an upstream that said that it leaves, because control still lists it, and against a mark
// that outlives the incarnation.
func TestLeavingNoticeLastsForTheIncarnation(t *testing.T) {
	is := is.New(t)
	fleet, r := noticeRouter(t)
	r.Step(&NoticeReceived{At: epoch, Endpoint: sameDomainAddr, Incarnation: incarnationOf(r, sameDomainAddr) + 1, Leaving: true}, nil)
	is.True(!r.Restricted(epoch, sameDomainAddr, incarnationOf(r, sameDomainAddr)))
	r.Step(&NoticeReceived{At: epoch, Endpoint: sameDomainAddr, Incarnation: incarnationOf(r, sameDomainAddr), Leaving: true}, nil)
	is.True(r.Restricted(epoch, sameDomainAddr, incarnationOf(r, sameDomainAddr)))
	is.Equal(findSend(r.Step(newRead(1, epoch), nil)).Endpoint, ident.Address(sameRegionAddr))
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
	is.Equal(findSend(r.Step(newRead(2, epoch), nil)).Endpoint, ident.Address(sameRegionAddr))
	fleet.upstreams[0].Incarnation++
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
	is.Equal(findSend(r.Step(newRead(3, epoch), nil)).Endpoint, ident.Address(sameDomainAddr))
}

// Guards against a request that was chosen for an upstream and is sent after control has withdrawn or replaced it.
func TestAttemptAtWithdrawnUpstreamIsRestricted(t *testing.T) {
	for name, change := range map[string]func(*testFleet){
		"removed":  func(f *testFleet) { f.upstreams = f.upstreams[1:] },
		"replaced": func(f *testFleet) { f.upstreams[0].Incarnation++ },
		"leaving":  func(f *testFleet) { f.upstreams[0].Leaving = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet, r := noticeRouter(t)
			send := findSend(r.Step(newRead(1, epoch), nil))
			is.Equal(send.Endpoint, ident.Address(sameDomainAddr))
			is.True(!r.Restricted(epoch, send.Endpoint, send.Incarnation))
			change(fleet)
			r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
			is.True(r.Restricted(epoch, send.Endpoint, send.Incarnation))
		})
	}
}

// Guards against requests within a quiet span, and against requests that wait for nothing while all upstreams are quiet
// for longer than they can wait.
func TestQuietNotice(t *testing.T) {
	is := is.New(t)
	_, r := noticeRouter(t)
	quiet := func(at time.Time, a ident.Address, span time.Duration) []Effect {
		return r.Step(&NoticeReceived{At: at, Endpoint: a, Incarnation: incarnationOf(r, a), QuietFor: span}, nil)
	}
	quiet(epoch, sameDomainAddr, time.Minute)
	quiet(epoch, sameDomainAddr, time.Second) // a shorter span does not end the longer one
	for id := range 2 {
		is.Equal(findSend(r.Step(newRead(RequestID(id), epoch), nil)).Endpoint, ident.Address(sameRegionAddr))
	}
	effects := r.Step(newRead(2, epoch), nil) // waits for a slot of the second upstream
	is.True(findSend(effects) == nil && findRefusal(effects) == nil)
	refusal := findRefusal(quiet(epoch, sameRegionAddr, 2*time.Minute))
	is.True(refusal != nil)
	is.Equal(refusal.Fault.Code, fault.Busy)
	is.Equal(refusal.Fault.Execution, fault.NotExecuted)
	is.True(refusal.Fault.RetryAfter >= time.Minute)
	returns := map[time.Duration]bool{}
	for id := RequestID(3); id < 13; id++ { // the callers do not come back together
		refusal = findRefusal(r.Step(newRead(id, epoch), nil))
		is.True(refusal != nil)
		is.True(refusal.Fault.RetryAfter >= time.Minute)
		is.True(refusal.Fault.RetryAfter <= time.Minute+maxReturnSpread)
		returns[refusal.Fault.RetryAfter.Truncate(maxReturnSpread/10)] = true
	}
	is.True(len(returns) >= 5)
}

// Guards against a request that stays queued after the only quiet upstream has returned.
func TestQueueMovesWhenQuietSpanEnds(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", sameDomainAddr, "a1", 2)
	r := fleet.startRouter(t)
	r.Step(&NoticeReceived{At: epoch, Endpoint: sameDomainAddr, Incarnation: incarnationOf(r, sameDomainAddr), QuietFor: 100 * time.Millisecond}, nil)
	effects := r.Step(newRead(1, epoch), nil)
	is.True(findSend(effects) == nil && findRefusal(effects) == nil)
	due, waiting := r.NextTick()
	is.True(waiting)
	is.True(!due.After(epoch.Add(100 * time.Millisecond)))
	is.Equal(findSend(r.Step(&Tick{At: epoch.Add(100 * time.Millisecond)}, nil)).Endpoint, ident.Address(sameDomainAddr))
}

// Guards against counting an upstream that withdrew before a send as failed, and against a retry budget that such
// requests use up.
func TestWithheldAttemptIsFree(t *testing.T) {
	is := is.New(t)
	_, r := noticeRouter(t)
	r.retryBudget = 0
	is.Equal(findSend(r.Step(newRead(1, epoch), nil)).Endpoint, ident.Address(sameDomainAddr))
	effects := r.Step(&AttemptEnded{At: epoch, ID: 1, Outcome: Withheld, Resendable: true}, nil)
	is.Equal(findSend(effects).Endpoint, ident.Address(sameRegionAddr))
	is.Equal(r.view.endpoints[sameDomainAddr].failures.score, 0.0)
}
