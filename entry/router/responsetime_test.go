package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/limit"
)

// newRouterWithResponseTime returns a router with one slot, after 20 requests that
// took the given time, and the time after them.
func newRouterWithResponseTime(t *testing.T, elapsed time.Duration) (*Router, time.Time) {
	fleet := newTestFleet()
	fleet.lease = time.Hour
	fleet.addUpstream("read", sameDomainAddr, "a1", 1)
	r := fleet.startRouter(t)
	r.config.MaxViewAge = time.Hour
	now := epoch
	for id := range RequestID(20) {
		r.Step(newRead(id, now), nil)
		now = now.Add(elapsed)
		r.Step(&AttemptEnded{At: now, ID: id, Outcome: Answered, Elapsed: elapsed}, nil)
	}
	return r, now
}

// addWaitingRequest adds request 100, which takes the slot, and request 101, which
// waits for it with the given timeout.
func addWaitingRequest(r *Router, now time.Time, timeout time.Duration) {
	r.Step(newRead(100, now), nil)
	e := newRead(101, now)
	e.Deadline = now.Add(timeout)
	r.Step(e, nil)
}

// Guards against sending a request so late that its caller has timed out before the
// upstream answers.
func TestNoDispatchWithoutTimeToAnswer(t *testing.T) {
	for _, c := range []struct {
		name             string
		elapsed, timeout time.Duration
		slotFree         time.Duration // when the slot becomes free
		sent             bool
		refusedBy        time.Duration // the latest time at which the waiting request is refused
	}{
		{"in time", 100 * time.Millisecond, 2 * time.Second, 1800 * time.Millisecond, true, 1900 * time.Millisecond},
		{"too late", 100 * time.Millisecond, 2 * time.Second, 1950 * time.Millisecond, false, 1900 * time.Millisecond},
		{"bounded by the caller's timeout", 400 * time.Millisecond, time.Second, 740 * time.Millisecond, true, 750 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, now := newRouterWithResponseTime(t, c.elapsed)
			addWaitingRequest(r, now, c.timeout)
			due, ok := r.NextTick()
			is.True(ok)
			is.True(!due.After(now.Add(c.refusedBy + time.Millisecond)))
			out := r.Step(&AttemptEnded{At: now.Add(c.slotFree), ID: 100, Outcome: Answered, Elapsed: c.elapsed}, nil)
			is.Equal(findSend(out) != nil, c.sent)
			if f := findRefusal(out); !c.sent {
				is.Equal(f.Fault.Code, fault.Busy)
				is.Equal(f.Fault.Execution, fault.NotExecuted)
			}
		})
	}
}

// Guards against refusing a request too early after its service has become faster.
func TestFasterServiceExtendsTheWait(t *testing.T) {
	is := is.New(t)
	r, now := newRouterWithResponseTime(t, 400*time.Millisecond)
	addWaitingRequest(r, now, 2*time.Second)
	for range 200 {
		r.view.services["read"].responseQuantile.observe(now, 100*time.Millisecond)
	}
	out := r.Step(&Tick{At: now.Add(1700 * time.Millisecond)}, nil)
	is.True(findRefusal(out) == nil)
	is.True(findRefusal(r.Step(&Tick{At: now.Add(1950 * time.Millisecond)}, nil)) != nil)
}

// Guards against ignoring the duration of attempts that fail without a response, for
// example at their deadline, and against an estimate that never decays.
func TestResponseTimeOfFailedAttemptsAndIdleServices(t *testing.T) {
	is := is.New(t)
	r, now := newRouterWithResponseTime(t, 100*time.Millisecond)
	p := &r.view.services["read"].responseQuantile
	r.Step(newRead(100, now), nil)
	now = now.Add(2 * time.Second)
	before := p.current(now)
	r.Step(&AttemptEnded{At: now, ID: 100, Outcome: Broken}, nil)
	is.True(p.current(now) > before)
	is.True(p.current(now.Add(10*quantileHalfLife)) < before/100)
}

// Guards against queueing more requests than the workspace's rate can serve before
// their deadline, and against refusing one that the full rate could serve.
func TestRequestBeyondRateIsRefused(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", sameDomainAddr, "a1", 1000)
	fleet.document.Workspaces.Workspaces[0].Rate = 10
	fleet.setShare(limit.OfWorkspace("w0"), 1, 1, 0)
	r := fleet.startRouter(t)
	for id := range RequestID(40) {
		e := newRead(id, epoch)
		e.Deadline = epoch.Add(2 * time.Second)
		f := findRefusal(r.Step(e, nil))
		is.Equal(f != nil, id > 20) // one token now, and 20 within the timeout
		if f != nil {
			is.Equal(f.Fault.Code, fault.RateExceeded)
			is.Equal(f.Fault.Execution, fault.NotExecuted)
		}
	}
}
