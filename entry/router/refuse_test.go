package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// Guards against refusals of the wrong kind, and against ones that claim too much about the run.
func TestRefusalsOnArrival(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *plant, e *RequestArrived)
		code   fault.Code
		step   string
		peer   string
	}{
		{"no route", func(_ *plant, e *RequestArrived) { e.Path = "/other" }, fault.NotFound, "route", "caller"},
		{"no deadline", func(_ *plant, e *RequestArrived) { e.Deadline = time.Time{} }, fault.Deadline, "deadline", "caller"},
		{"past deadline", func(_ *plant, e *RequestArrived) { e.Deadline = epoch }, fault.Deadline, "deadline", "caller"},
		{"long deadline", func(_ *plant, e *RequestArrived) { e.Deadline = epoch.Add(21 * time.Second) }, fault.Deadline, "deadline", "caller"},
		{"large body", func(_ *plant, e *RequestArrived) { e.Size = 1001 }, fault.TooLarge, "size", "caller"},
		{"no idempotency key", func(_ *plant, e *RequestArrived) { e.Path = "/book/" }, fault.Invalid, "idempotency", "caller"},
		{"unknown key without hash", func(_ *plant, e *RequestArrived) { e.KeyID, e.KeyHash = "", KeyHash{} }, fault.Key, "key", "caller"},
		{"wrong secret", func(_ *plant, e *RequestArrived) { e.KeyHash[31]++ }, fault.Key, "key", "caller"},
		{"withdrawn key", func(p *plant, _ *RequestArrived) { p.doc.Workspaces.Workspaces[0].Keys[0].Withdrawn = true }, fault.Key, "key", "caller"},
		{"stale", func(_ *plant, e *RequestArrived) { e.At = epoch.Add(4*time.Second + 1) }, fault.Stale, "freshness", "control"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("read", "127.0.0.1:1", "a1", 1)
			e := read(1, epoch)
			c.change(p, e)
			out := p.start(t).Step(e, nil)
			f := refusal(out).Fault
			is.Equal(len(out), 1)
			is.Equal([]string{string(f.Code), f.Step, f.Peer, string(f.Execution)}, []string{string(c.code), c.step, c.peer, "not-run"})
		})
	}
}

// Guards against a wrong account of why a request waited in vain.
func TestRefusalsAfterWaiting(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *plant)
		code   fault.Code
	}{
		{"over the rate", func(p *plant) { p.share(limit.OfWorkspace("w0"), 0.1, 1, 0) }, fault.Rate},
		{"no share", func(p *plant) { p.share(limit.OfWorkspace("w0"), 0, 0, 0) }, fault.Busy},
		{"no slot", func(p *plant) { p.share(limit.OfSlots("127.0.0.1:1"), 0, 0, 0) }, fault.Busy},
		{"no connection", func(p *plant) { p.share(limit.OfConnections("127.0.0.1:1"), 0, 0, 0) }, fault.Busy},
		{"no region capacity", func(p *plant) { p.doc.Topology.Regions[0].Capacity = 1 }, fault.Busy},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("read", "127.0.0.1:1", "a1", 1)
			c.change(p)
			r := p.start(t)
			is.True(refusal(r.Step(read(1, epoch), nil)) == nil)
			e := read(2, epoch)
			e.Deadline = epoch.Add(time.Second)
			is.True(refusal(r.Step(e, nil)) == nil)
			due, ok := r.Next()
			is.True(ok && !due.After(e.Deadline))
			f := refusal(r.Step(&Tick{At: e.Deadline}, nil)).Fault
			is.Equal(f.Code, c.code)
			is.Equal(f.Execution, fault.NotExecuted)
		})
	}
}

// Guards against a queue that grows without bound.
func TestFullQueueRefuses(t *testing.T) {
	is := is.New(t)
	r := newPlant().start(t)
	for i := range DefaultMaxQueue {
		is.True(refusal(r.Step(read(RequestID(i), epoch), nil)) == nil)
	}
	is.Equal(refusal(r.Step(read(DefaultMaxQueue, epoch), nil)).Fault.Code, fault.Busy)
}

// Guards against running a claimed request twice, or reporting a wrong outcome of a claim.
func TestClaimAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   rpc.ClaimState
		failure *fault.Error
		code    fault.Code // empty for Done
		run     fault.Execution
	}{
		{"completed", rpc.ClaimState_CLAIM_STATE_COMPLETED, nil, "", ""},
		{"pending", rpc.ClaimState_CLAIM_STATE_PENDING, nil, fault.Pending, fault.ExecutionUnknown},
		{"mismatch", rpc.ClaimState_CLAIM_STATE_MISMATCH, nil, fault.Mismatch, fault.NotExecuted},
		{"failure", 0, fault.New(fault.Unreachable, "claim", "c0", "no answer"), fault.Unreachable, fault.NotExecuted},
		{"unknown state", 9, nil, fault.Internal, fault.NotExecuted},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("book", "127.0.0.1:2", "a1", 1)
			r := p.start(t)
			r.Step(book(1, epoch), nil)
			out := r.Step(&ClaimResult{At: epoch, ID: 1, State: c.state, Failure: c.failure}, nil)
			is.Equal(len(out), 1)
			if c.code == "" {
				is.Equal(*out[0].(*Done), Done{ID: 1})
				return
			}
			is.Equal(refusal(out).Fault.Code, c.code)
			is.Equal(refusal(out).Fault.Execution, c.run)
		})
	}
}

// Guards against retries that may run a request twice, and against a false "not run".
func TestOutcomesOfFirstAttempt(t *testing.T) {
	for _, c := range []struct {
		name    string
		once    bool
		outcome Outcome
		fresh   bool
		retried bool
		code    fault.Code
		run     fault.Execution
	}{
		{"unsent", false, NotSent, true, true, "", ""},
		{"shed", false, Shed, true, true, "", ""},
		{"broken", false, Broken, true, true, "", ""},
		{"truncated", false, Truncated, true, false, "", ""},
		{"abandoned", false, Abandoned, true, false, "", ""},
		{"broken, body gone", false, Broken, false, false, fault.Upstream, fault.ExecutionUnknown},
		{"shed, body gone", false, Shed, false, false, fault.Busy, fault.NotExecuted},
		{"unsent, body gone", false, NotSent, false, false, fault.Unreachable, fault.NotExecuted},
		{"once unsent", true, NotSent, true, true, "", ""},
		{"once shed", true, Shed, true, true, "", ""},
		{"once broken", true, Broken, true, false, fault.Upstream, fault.ExecutionUnknown},
		{"once truncated", true, Truncated, true, false, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
				p.upstream("read", a, "a1", 1)
				p.upstream("book", a+"2", "a1", 1)
			}
			r := p.start(t)
			var first Send
			if c.once {
				r.Step(book(1, epoch), nil)
				first = *sendOf(r.Step(&ClaimResult{At: epoch, ID: 1, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil))
			} else {
				first = *sendOf(r.Step(read(1, epoch), nil))
			}
			out := r.Step(&AttemptEnded{At: epoch, ID: 1, Outcome: c.outcome, Resendable: c.fresh}, nil)
			is.Equal(len(out), 1)
			switch {
			case c.retried:
				is.True(sendOf(out).Endpoint != first.Endpoint)
				is.Equal(sendOf(out).Attempt, uint8(2))
			case c.code != "":
				is.Equal(refusal(out).Fault.Code, c.code)
				is.Equal(refusal(out).Fault.Execution, c.run)
				is.Equal(refusal(out).Fault.Peer, string(first.Endpoint))
			default:
				is.Equal(*out[0].(*Done), Done{ID: 1, Truncated: c.outcome == Truncated})
			}
		})
	}
}

// Guards against retries that multiply the load of a failing service.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	for _, a := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		p.upstream("read", a, "a1", 1)
	}
	r := p.start(t)
	for i := range 400 {
		id := RequestID(i)
		for out := r.Step(read(id, epoch), nil); sendOf(out) != nil; {
			out = r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: Shed, Resendable: true}, nil)
		}
	}
	is.Equal(r.Stats().Sent, uint64(400))
	is.True(r.Stats().Retried >= 40)
	is.True(r.Stats().Retried <= 40+retryReserve)
}

// Guards against a dead endpoint, always with free slots, that uses up the retries of a busy service.
func TestDeadEndpointCostsNoRequest(t *testing.T) {
	is := is.New(t)
	const dead, alive = "127.0.0.1:1", "127.0.0.1:2"
	p := newPlant()
	p.upstream("read", dead, "a1", 1)
	p.upstream("read", alive, "a1", 1)
	p.share(limit.OfSlots(alive), 0, 0, 1)
	r := p.start(t)
	// run takes a request past the dead endpoint; it is sent to the other one or waits for it.
	run := func(id RequestID) []Effect {
		out := r.Step(read(id, epoch), nil)
		for send := sendOf(out); send != nil && send.Endpoint == dead; send = sendOf(out) {
			out = r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: NotSent, Resendable: true}, nil)
		}
		is.True(refusal(out) == nil)
		return out
	}
	for id := RequestID(0); id < 400; id += 2 {
		is.True(sendOf(run(id)) != nil)
		run(id + 1)
		next := sendOf(r.Step(&AttemptEnded{At: epoch, ID: id, Outcome: Answered, Resendable: true}, nil))
		is.Equal(next.Endpoint, ident.Address(alive))
		r.Step(&AttemptEnded{At: epoch, ID: id + 1, Outcome: Answered, Resendable: true}, nil)
	}
}
