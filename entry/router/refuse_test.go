package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Guards against refusals with a wrong code, step or peer, or that do not say that
// the request was not executed.
func TestRefusalsOnArrival(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fleet *testFleet, e *RequestArrived)
		code   fault.Code
		step   string
		peer   string
	}{
		{"no route", func(_ *testFleet, e *RequestArrived) { e.Path = "/other" }, fault.NotFound, "route", "caller"},
		{"no deadline", func(_ *testFleet, e *RequestArrived) { e.Deadline = time.Time{} }, fault.Deadline, "deadline", "caller"},
		{"past deadline", func(_ *testFleet, e *RequestArrived) { e.Deadline = epoch }, fault.Deadline, "deadline", "caller"},
		{"long deadline", func(_ *testFleet, e *RequestArrived) { e.Deadline = epoch.Add(21 * time.Second) }, fault.Deadline, "deadline", "caller"},
		{"large body", func(_ *testFleet, e *RequestArrived) { e.Size = 1001 }, fault.TooLarge, "size", "caller"},
		{"no idempotency key", func(_ *testFleet, e *RequestArrived) { e.Path = "/book/" }, fault.Invalid, "idempotency", "caller"},
		{"unknown key without hash", func(_ *testFleet, e *RequestArrived) { e.KeyID, e.KeyHash = "", KeyHash{} }, fault.InvalidKey, "key", "caller"},
		{"wrong secret", func(_ *testFleet, e *RequestArrived) { e.KeyHash[31]++ }, fault.InvalidKey, "key", "caller"},
		{"withdrawn key", func(fleet *testFleet, _ *RequestArrived) {
			fleet.document.Workspaces.Workspaces[0].Keys[0].Withdrawn = true
		}, fault.InvalidKey, "key", "caller"},
		{"stale", func(_ *testFleet, e *RequestArrived) { e.At = epoch.Add(4*time.Second + 1) }, fault.Stale, "freshness", "control"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", "127.0.0.1:1", "a1", 1)
			e := newRead(1, epoch)
			c.change(fleet, e)
			out := fleet.startRouter(t).Step(e, nil)
			f := findRefusal(out).Fault
			is.Equal(len(out), 1)
			is.Equal([]string{string(f.Code), f.Step, f.Peer, string(f.Execution)}, []string{string(c.code), c.step, c.peer, "not-run"})
		})
	}
}

// Guards against a wrong error code after a request waited until its deadline.
func TestRefusalsAfterWaiting(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fleet *testFleet)
		code   fault.Code
	}{
		{"over the rate", func(fleet *testFleet) { fleet.setShare(limit.OfWorkspace("w0"), 0.1, 1, 0) }, fault.RateExceeded},
		{"no share", func(fleet *testFleet) { fleet.setShare(limit.OfWorkspace("w0"), 0, 0, 0) }, fault.Busy},
		{"no slot", func(fleet *testFleet) { fleet.setShare(limit.OfSlots("127.0.0.1:1"), 0, 0, 0) }, fault.Busy},
		{"no connection", func(fleet *testFleet) { fleet.setShare(limit.OfConnections("127.0.0.1:1"), 0, 0, 0) }, fault.Busy},
		{"no region capacity", func(fleet *testFleet) { fleet.document.Topology.Regions[0].Capacity = 1 }, fault.Busy},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", "127.0.0.1:1", "a1", 1)
			c.change(fleet)
			r := fleet.startRouter(t)
			is.True(findRefusal(r.Step(newRead(1, epoch), nil)) == nil)
			e := newRead(2, epoch)
			e.Deadline = epoch.Add(time.Second)
			is.True(findRefusal(r.Step(e, nil)) == nil)
			due, ok := r.NextTick()
			is.True(ok && !due.After(e.Deadline))
			f := findRefusal(r.Step(&Tick{At: e.Deadline}, nil)).Fault
			is.Equal(f.Code, c.code)
			is.Equal(f.Execution, fault.NotExecuted)
		})
	}
}

// Guards against requests that wait until their deadline for a slot of a service that has no upstream left.
func TestNoUpstreamLeftRefusesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fleet *testFleet)
	}{
		{"all leave", func(fleet *testFleet) {
			for _, u := range fleet.upstreams {
				u.Leaving = true
			}
		}},
		{"all gone", func(fleet *testFleet) { fleet.upstreams = nil }},
		{"region drained", func(fleet *testFleet) {
			fleet.document.Drains.Drains = []document.Drain{{Kind: document.RegionKind, Target: "a"}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", "127.0.0.1:1", "a1", 1)
			fleet.addUpstream("book", "127.0.0.1:2", "a1", 1)
			r := fleet.startRouter(t)
			is.True(findSend(r.Step(newRead(1, epoch), nil)) != nil)
			is.True(findSend(r.Step(newRead(2, epoch), nil)) == nil) // waits for the only slot
			r.Step(newBook(3, epoch), nil)                           // its claim waits for control

			c.change(fleet)
			refused := map[RequestID]*fault.Error{}
			for _, e := range r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil) {
				if f, ok := e.(*Refuse); ok {
					refused[f.ID] = f.Fault
				}
			}
			for _, e := range []*RequestArrived{newRead(4, epoch), newBook(5, epoch)} {
				out := r.Step(e, nil)
				is.Equal(len(out), 1)
				refused[e.ID] = findRefusal(out).Fault
			}
			is.Equal(len(refused), 4)
			for _, f := range refused {
				is.Equal([]string{string(f.Code), f.Step, string(f.Execution)}, []string{"busy", "dispatch", "not-run"})
			}
			is.Equal(*r.Step(&AttemptEnded{At: epoch, ID: 1, Outcome: Answered}, nil)[0].(*Done), Done{ID: 1})
		})
	}
}

// Guards against a queue that grows without bound.
func TestFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", "127.0.0.1:1", "a1", 0)
	r := fleet.startRouter(t)
	for i := range DefaultMaxQueue {
		is.True(findRefusal(r.Step(newRead(RequestID(i), epoch), nil)) == nil)
	}
	is.Equal(findRefusal(r.Step(newRead(DefaultMaxQueue, epoch), nil)).Fault.Code, fault.Busy)
}

// Guards against sending a request whose claim was not granted, and against a wrong
// error for it.
func TestClaimAnswers(t *testing.T) {
	for _, c := range []struct {
		name      string
		state     rpc.ClaimState
		failure   *fault.Error
		code      fault.Code // empty if Done is expected
		execution fault.Execution
	}{
		{"completed", rpc.ClaimState_CLAIM_STATE_COMPLETED, nil, "", ""},
		{"pending", rpc.ClaimState_CLAIM_STATE_PENDING, nil, fault.Pending, fault.ExecutionUnknown},
		{"mismatch", rpc.ClaimState_CLAIM_STATE_MISMATCH, nil, fault.Mismatch, fault.NotExecuted},
		{"failure", 0, fault.New(fault.Unreachable, "claim", "c0", "no answer"), fault.Unreachable, fault.NotExecuted},
		{"unknown state", 9, nil, fault.Internal, fault.NotExecuted},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("book", "127.0.0.1:2", "a1", 1)
			r := fleet.startRouter(t)
			r.Step(newBook(1, epoch), nil)
			out := r.Step(&ClaimResult{At: epoch, ID: 1, State: c.state, Failure: c.failure}, nil)
			is.Equal(len(out), 1)
			if c.code == "" {
				is.Equal(*out[0].(*Done), Done{ID: 1})
				return
			}
			is.Equal(findRefusal(out).Fault.Code, c.code)
			is.Equal(findRefusal(out).Fault.Execution, c.execution)
		})
	}
}

// Guards against retries that may run a request twice, and against errors that
// wrongly say that it was not executed.
func TestOutcomesOfFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		outcome       Outcome
		resendable    bool
		retried       bool
		code          fault.Code
		execution     fault.Execution
	}{
		{"not sent", false, NotSent, true, true, "", ""},
		{"shed", false, Shed, true, true, "", ""},
		{"broken", false, Broken, true, true, "", ""},
		{"truncated", false, Truncated, true, false, "", ""},
		{"abandoned", false, Abandoned, true, false, "", ""},
		{"broken, not resendable", false, Broken, false, false, fault.Upstream, fault.ExecutionUnknown},
		{"shed, not resendable", false, Shed, false, false, fault.Busy, fault.NotExecuted},
		{"not sent, not resendable", false, NotSent, false, false, fault.Unreachable, fault.NotExecuted},
		{"non-idempotent, not sent", true, NotSent, true, true, "", ""},
		{"non-idempotent, shed", true, Shed, true, true, "", ""},
		{"non-idempotent, broken", true, Broken, true, false, fault.Upstream, fault.ExecutionUnknown},
		{"non-idempotent, truncated", true, Truncated, true, false, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
				fleet.addUpstream("read", a, "a1", 1)
				fleet.addUpstream("book", a+"2", "a1", 1)
			}
			r := fleet.startRouter(t)
			var first Send
			if c.nonIdempotent {
				r.Step(newBook(1, epoch), nil)
				first = *findSend(r.Step(&ClaimResult{At: epoch, ID: 1, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil))
			} else {
				first = *findSend(r.Step(newRead(1, epoch), nil))
			}
			out := r.Step(&AttemptEnded{At: epoch, ID: 1, Outcome: c.outcome, Resendable: c.resendable}, nil)
			is.Equal(len(out), 1)
			switch {
			case c.retried:
				is.True(findSend(out).Endpoint != first.Endpoint)
				is.Equal(findSend(out).Attempt, uint8(2))
			case c.code != "":
				is.Equal(findRefusal(out).Fault.Code, c.code)
				is.Equal(findRefusal(out).Fault.Execution, c.execution)
				is.Equal(findRefusal(out).Fault.Peer, string(first.Endpoint))
			default:
				is.Equal(*out[0].(*Done), Done{ID: 1, Truncated: c.outcome == Truncated})
			}
		})
	}
}

// Guards against retries that multiply the load of a failing service.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		fleet.addUpstream("read", a, "a1", 1)
	}
	r := fleet.startRouter(t)
	for i := range 400 {
		id := RequestID(i)
		for out := r.Step(newRead(id, epoch), nil); findSend(out) != nil; {
			out = r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: Shed, Resendable: true}, nil)
		}
	}
	is.Equal(r.Stats().Sent, uint64(400))
	is.True(r.Stats().Retried >= 40)
	is.True(r.Stats().Retried <= 40+maxRetryBudget)
}

// Guards against a dead endpoint, whose slots are always free, that uses up the retry
// budget of a busy service.
func TestDeadEndpointCostsNoRequest(t *testing.T) {
	is := is.New(t)
	const dead, alive = "127.0.0.1:1", "127.0.0.1:2"
	fleet := newTestFleet()
	fleet.addUpstream("read", dead, "a1", 1)
	fleet.addUpstream("read", alive, "a1", 1)
	fleet.setShare(limit.OfSlots(alive), 0, 0, 1)
	r := fleet.startRouter(t)
	// sendPastDead sends a request, which is retried if the dead endpoint gets it. In the
	// end it is sent to the other endpoint or waits for it.
	sendPastDead := func(id RequestID) []Effect {
		out := r.Step(newRead(id, epoch), nil)
		for send := findSend(out); send != nil && send.Endpoint == dead; send = findSend(out) {
			out = r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: NotSent, Resendable: true}, nil)
		}
		is.True(findRefusal(out) == nil)
		return out
	}
	for id := RequestID(0); id < 400; id += 2 {
		is.True(findSend(sendPastDead(id)) != nil)
		sendPastDead(id + 1)
		next := findSend(r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: Answered, Resendable: true}, nil))
		is.Equal(next.Endpoint, ident.Address(alive))
		r.Step(&AttemptEnded{At: epoch, ID: id + 1, Outcome: Answered, Resendable: true}, nil)
	}
}
