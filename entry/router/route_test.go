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

const (
	sameDomainAddr  = "127.0.0.1:1" // failure domain a1, that of the VM
	sameRegionAddr  = "127.0.0.1:2" // failure domain a2 in the VM's region
	otherRegionAddr = "127.0.0.1:3" // failure domain b1 in another region
)

// Guards against sending requests to endpoints that must not get them, and against
// a wrong order of preference.
func TestChoiceOfEndpoint(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(fleet *testFleet, r *Router)
		want   ident.Address
	}{
		{"nearest", func(*testFleet, *Router) {}, sameDomainAddr},
		{"leaving", func(fleet *testFleet, _ *Router) { fleet.upstreams[0].Leaving = true }, sameRegionAddr},
		{"suspected", func(fleet *testFleet, _ *Router) { fleet.upstreams[0].Suspected = true }, sameRegionAddr},
		{"all suspected", func(fleet *testFleet, _ *Router) {
			for _, u := range fleet.upstreams {
				u.Suspected = true
			}
		}, sameDomainAddr},
		{"no slots", func(fleet *testFleet, _ *Router) { fleet.setShare(limit.OfSlots(sameDomainAddr), 0, 0, 0) }, sameRegionAddr},
		{"no slots in the region", func(fleet *testFleet, _ *Router) {
			fleet.setShare(limit.OfSlots(sameDomainAddr), 0, 0, 0)
			fleet.setShare(limit.OfSlots(sameRegionAddr), 0, 0, 0)
		}, otherRegionAddr},
		{"no share of the region's capacity", func(fleet *testFleet, _ *Router) { fleet.document.Topology.Regions[0].Capacity = 1 }, otherRegionAddr},
		{"endpoint drained", withDrain(document.EndpointKind, sameDomainAddr), sameRegionAddr},
		{"domain drained", withDrain(document.DomainKind, "a1"), sameRegionAddr},
		{"region drained", withDrain(document.RegionKind, "a"), otherRegionAddr},
		{"endpoint down", withDownVerdict("endpoint", sameDomainAddr), sameRegionAddr},
		{"domain down", withDownVerdict("domain", "a1"), sameRegionAddr},
		{"region down", withDownVerdict("region", "a"), otherRegionAddr},
		{"verdict is no longer down", func(fleet *testFleet, _ *Router) { fleet.verdicts = []*rpc.Verdict{{Kind: "domain", Target: "a1"}} }, sameDomainAddr},
		{"unknown domain", func(fleet *testFleet, _ *Router) { fleet.upstreams[0].Domain = "nowhere" }, sameRegionAddr},
		{"failed", func(_ *testFleet, r *Router) {
			r.view.endpoints[sameDomainAddr].failures.add(epoch, 1)
		}, sameRegionAddr},
		{"failed long ago", func(_ *testFleet, r *Router) {
			r.view.endpoints[sameDomainAddr].failures.add(epoch.Add(-failureHalfLife), 1)
		}, sameDomainAddr},
		{"reported load of the nearest is high", func(fleet *testFleet, _ *Router) { fleet.upstreams[0].Load = 1000 }, sameDomainAddr},
		{"equal except for the reported load", func(fleet *testFleet, _ *Router) {
			fleet.upstreams[0].Load, fleet.upstreams[1].Domain = 8, "a1"
		}, sameDomainAddr},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			for i, a := range []string{sameDomainAddr, sameRegionAddr, otherRegionAddr} {
				fleet.addUpstream("read", a, []string{"a1", "a2", "b1"}[i], 2)
			}
			r := fleet.startRouter(t)
			c.change(fleet, r)
			r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
			is.Equal(findSend(r.Step(newRead(1, epoch), nil)).Endpoint, c.want)
		})
	}
}

func withDrain(kind document.TargetKind, target string) func(*testFleet, *Router) {
	return func(fleet *testFleet, _ *Router) {
		fleet.document.Drains.Drains = []document.Drain{{Name: "d", Kind: kind, Target: target}}
	}
}

func withDownVerdict(kind, target string) func(*testFleet, *Router) {
	return func(fleet *testFleet, _ *Router) {
		fleet.verdicts = []*rpc.Verdict{{Kind: kind, Target: target, Down: true}}
	}
}

// Guards against a shift that moves more than its fraction or its rate limit allows.
func TestShiftMovesItsFractionWithinTheCap(t *testing.T) {
	for _, c := range []struct {
		name  string
		burst float64
		want  uint64
	}{
		{"under the cap", 1000, 25},
		{"at the cap", 7, 7},
		{"no share of the cap", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", sameDomainAddr, "a1", 200)
			fleet.addUpstream("read", otherRegionAddr, "b1", 200)
			fleet.document.Shifts.Shifts = []document.Shift{{Name: "s", Service: "read", From: "a", To: "b1", Share: 0.25, Cap: 1000}}
			fleet.setShare(limit.OfShift("s"), c.burst, c.burst, 0)
			r := fleet.startRouter(t)
			for i := range 100 {
				is.True(findSend(r.Step(newRead(RequestID(i), epoch), nil)) != nil)
			}
			is.Equal(r.Stats().Shifted, c.want)
			is.Equal(r.Stats().Spilled, c.want)
		})
	}
}

// Guards against requests that reach the target of a shift beyond its cap, because they spill from the source.
func TestSpillsToTheTargetOfAShiftStayWithinItsCap(t *testing.T) {
	const thirdRegionAddr = "127.0.0.1:4"
	for _, c := range []struct {
		name       string
		change     func(fleet *testFleet, r *Router)
		want       int // requests at the target
		wantOthers int // in the third region
	}{
		{"no shift", func(fleet *testFleet, _ *Router) { fleet.document.Shifts.Shifts = nil }, 8, 0},
		{"at the cap", func(*testFleet, *Router) {}, 3, 0},
		{"region without a shift", func(fleet *testFleet, _ *Router) {
			fleet.setShare(limit.OfSlots(thirdRegionAddr), 0, 0, 20)
		}, 3, 5},
		{"source drained", withDrain(document.RegionKind, "a"), 10, 0},
		{"source suspected", func(fleet *testFleet, _ *Router) { fleet.upstreams[0].Suspected = true }, 3, 0},
		{"failures at the source", func(_ *testFleet, r *Router) { r.view.endpoints[sameDomainAddr].failures.add(r.now, 9) }, 3, 0},
		{"other source", func(fleet *testFleet, _ *Router) { fleet.document.Shifts.Shifts[0].From = "c" }, 8, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.document.Topology.Regions = append(fleet.document.Topology.Regions, document.Region{Name: "c"})
			fleet.document.Topology.Domains = append(fleet.document.Topology.Domains, document.Domain{Name: "c1", Region: "c"})
			fleet.addUpstream("read", sameDomainAddr, "a1", 2)
			fleet.addUpstream("read", otherRegionAddr, "b1", 20)
			fleet.addUpstream("read", thirdRegionAddr, "c1", 0)
			fleet.document.Shifts.Shifts = []document.Shift{{Name: "s", Service: "read", From: "a", To: "b", Share: 0.01, Cap: 1}}
			fleet.setShare(limit.OfShift("s"), 1, 3, 0)
			r := fleet.startRouter(t)
			r.Step(&Synced{At: epoch.Add(2 * time.Second), Sent: epoch.Add(2 * time.Second), Reply: fleet.unchangedReply()}, nil)
			now := epoch.Add(3 * time.Second)
			c.change(fleet, r)
			r.Step(&Synced{At: now, Sent: now, Reply: fleet.fullReply(t)}, nil)
			for i := range 10 {
				stepAndSend(r, newRead(RequestID(i), now))
			}
			is.Equal(int(r.view.endpoints[otherRegionAddr].slots.Used()), c.want)
			is.Equal(int(r.view.endpoints[thirdRegionAddr].slots.Used()), c.wantOthers)
			if r.Waiting() == 0 {
				return
			}
			var s *Send
			for due := now; s == nil && due.Before(now.Add(1100*time.Millisecond)); due, _ = r.NextTick() {
				s = findSend(stepAndSend(r, &Tick{At: due}))
			}
			is.Equal(s.Endpoint, ident.Address(otherRegionAddr)) // the cap has a token again
		})
	}
}

// Guards against transfers above a link's rate, and against transfers that wait
// forever because they exceed the burst.
func TestTransferFollowsTheLinkShare(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", otherRegionAddr, "b1", 2)
	fleet.document.Topology.Links = []document.Link{{From: "a", To: "b", Rate: 1}}
	fleet.setShare(limit.OfLink("a", "b"), 1000, 500, 0)
	r := fleet.startRouter(t)
	is.True(findSend(r.Step(newRead(1, epoch), nil)).ThrottleBody)
	is.Equal(len(r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 400}, nil)), 0)
	is.Equal(*r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 200}, nil)[0].(*PauseTransfer), PauseTransfer{ID: 1, Delay: 100 * time.Millisecond})
	is.Equal(len(r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 4000, FromUpstream: true}, nil)), 0) // no limit in this direction
	at := epoch.Add(100 * time.Millisecond)
	is.Equal(len(r.Step(&TransferRequested{At: at, ID: 1, Bytes: 200}, nil)), 0)
	is.Equal(r.Step(&TransferRequested{At: at, ID: 1, Bytes: 600}, nil)[0].(*PauseTransfer).MaxBytes, ident.Bytes(500))
}

// Guards against a workspace far above its rate that takes slots from the others.
func TestFloodingWorkspaceLeavesSlotsToOthers(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.document.Workspaces.Workspaces, fleet.shares = nil, nil
	for i := range 8 {
		fleet.addWorkspace(i, 12, 3)
	}
	fleet.addUpstream("read", sameDomainAddr, "a1", 10) // serves 100 requests/s at 100 ms each; the 8 workspaces may send 8 x 12
	r := fleet.startRouter(t)
	sent, arrived := make(map[ident.Workspace]int), make(map[ident.Workspace]int)
	type attemptEnd struct {
		at time.Time
		id RequestID
	}
	var running []attemptEnd
	record := func(at time.Time, out []Effect) {
		for _, e := range out {
			if s, ok := e.(*Send); ok {
				sent[s.Workspace]++
				running = append(running, attemptEnd{at.Add(100 * time.Millisecond), s.ID})
			}
		}
	}
	id := RequestID(0)
	for ms := range 60_000 {
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(at) {
			first := running[0]
			running = running[1:]
			record(at, r.Step(&AttemptEnded{At: at, ID: first.id, Outcome: Answered}, nil))
		}
		if ms%200 == 0 {
			record(at, r.Step(&Synced{At: at, Sent: at, Reply: fleet.unchangedReply()}, nil))
		}
		for w := range 8 {
			interval := 1000 / 12
			if w == 0 {
				interval /= 10
			}
			if (ms+w*7)%interval != 0 {
				continue
			}
			id++
			e := newRead(id, at)
			e.KeyID = ident.KeyID("k" + string(rune('0'+w)))
			arrived[workspaceName(w)]++
			record(at, r.Step(e, nil))
		}
		if due, ok := r.NextTick(); ok && !due.After(at) {
			record(at, r.Step(&Tick{At: at}, nil))
		}
	}
	is.True(arrived["w0"] > 7000)
	is.True(sent["w0"] <= 12*60+3)
	for w := 1; w < 8; w++ {
		name := workspaceName(w)
		if float64(sent[name]) < 0.95*float64(min(arrived[name], 12*60)) {
			t.Errorf("%s: %d of %d requests sent", name, sent[name], arrived[name])
		}
	}
}

// Guards against demands that do not include the waiting requests.
func TestDemands(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", sameDomainAddr, "a1", 1)
	fleet.addUpstream("read", "127.0.0.1:9", "a1", 0)
	r := fleet.startRouter(t)
	for i := range 4 {
		r.Step(newRead(RequestID(i), epoch), nil)
	}
	got := make(map[string]rpc.Demand)
	for _, d := range r.Demands(epoch, nil) {
		got[d.Limit] = rpc.Demand{Wanted: d.Wanted, Waiting: d.Waiting}
	}
	is.Equal(got["workspace/w0"].Wanted, 7.0)          // 4/s arrived, 3 wait
	is.Equal(got["slots/"+sameDomainAddr].Wanted, 3.0) // 1 in use, 2 of the 3 waiting
	is.Equal(got["slots/127.0.0.1:9"].Wanted, 1.0)
	is.Equal(got["connections/"+sameDomainAddr].Waiting, uint32(2))
}

// reportedUsage returns the units in use that the router reports, by limit.
func reportedUsage(r *Router) map[string]uint32 {
	used := make(map[string]uint32)
	for _, d := range r.Demands(r.now, nil) {
		used[d.Limit] = d.Used
	}
	return used
}

// Guards against a long request that delays the confirmation of lowered shares, and
// against a confirmation that hides the units still in use.
func TestLoweredCountIsConfirmedWithWhatIsInUse(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", sameDomainAddr, "a1", 1)
	r := fleet.startRouter(t)
	r.Step(newRead(1, epoch), nil)
	fleet.setShare(limit.OfSlots(sameDomainAddr), 0, 0, 0)
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
	is.Equal(r.Versions().Allotments, fleet.versions.Allotments)
	is.Equal(reportedUsage(r)["slots/"+sameDomainAddr], uint32(1))
	is.Equal(reportedUsage(r)["connections/"+sameDomainAddr], uint32(1))

	// The endpoint is no longer announced and has no demand.
	fleet.upstreams = nil
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil)
	r.Step(&Synced{At: epoch.Add(time.Hour), Sent: epoch.Add(time.Hour), Reply: fleet.unchangedReply()}, nil)
	is.Equal(reportedUsage(r)["slots/"+sameDomainAddr], uint32(1))
	r.Step(&AttemptEnded{At: epoch.Add(time.Hour), ID: 1, Outcome: Answered}, nil)
	is.Equal(reportedUsage(r)["slots/"+sameDomainAddr], uint32(0))
}

// Guards against a lowered share that is confirmed, and becomes usable by other VMs,
// only with the next regular exchange.
func TestLoweredShareIsConfirmedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		wantSync bool
		change   func(*testFleet)
	}{
		{"nothing", false, func(*testFleet) {}},
		{"raised slots", false, func(fleet *testFleet) { fleet.setShare(limit.OfSlots(sameDomainAddr), 0, 0, 3) }},
		{"lowered slots", true, func(fleet *testFleet) { fleet.setShare(limit.OfSlots(sameDomainAddr), 0, 0, 1) }},
		{"lowered rate", true, func(fleet *testFleet) { fleet.setShare(limit.OfWorkspace("w0"), 999, 1000, 0) }},
		{"lowered burst", true, func(fleet *testFleet) { fleet.setShare(limit.OfWorkspace("w0"), 1000, 999, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", sameDomainAddr, "a1", 2)
			r := fleet.startRouter(t)
			c.change(fleet)
			syncRequested := false
			for _, e := range r.Step(&Synced{At: epoch, Sent: epoch, Reply: fleet.fullReply(t)}, nil) {
				_, ok := e.(*RequestSync)
				syncRequested = syncRequested || ok
			}
			is.Equal(syncRequested, c.wantSync)
		})
	}
}

// Guards against refusing an idempotent request because its only endpoint closed a
// reused connection, and against retrying one that the endpoint itself failed.
func TestOnlyEndpointIsRetried(t *testing.T) {
	for _, c := range []struct {
		name          string
		ended         AttemptEnded
		others        int
		newConnection bool
		want          ident.Address // "" if the request is refused
	}{
		{"reused connection broke", AttemptEnded{Outcome: Broken, Resendable: true, Reused: true}, 0, true, sameDomainAddr},
		{"not sent on reused connection", AttemptEnded{Outcome: NotSent, Resendable: true, Reused: true}, 0, true, sameDomainAddr},
		{"new connection broke", AttemptEnded{Outcome: Broken, Resendable: true}, 0, false, ""},
		{"body cannot be sent again", AttemptEnded{Outcome: Broken, Reused: true}, 0, false, ""},
		{"shed", AttemptEnded{Outcome: Shed, Resendable: true, Reused: true}, 0, false, ""},
		{"another endpoint", AttemptEnded{Outcome: Broken, Resendable: true, Reused: true}, 1, false, "127.0.0.1:9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fleet := newTestFleet()
			fleet.addUpstream("read", sameDomainAddr, "a1", 1)
			for range c.others {
				fleet.addUpstream("read", "127.0.0.1:9", "a2", 1)
			}
			r := fleet.startRouter(t)
			is.Equal(findSend(r.Step(newRead(1, epoch), nil)).Endpoint, ident.Address(sameDomainAddr))
			c.ended.At, c.ended.ID, c.ended.Attempt = epoch, 1, 1
			out := r.Step(&c.ended, nil)
			if c.want == "" {
				is.True(findRefusal(out) != nil)
				return
			}
			is.Equal(findSend(out).Endpoint, c.want)
			is.Equal(findSend(out).NewConnection, c.newConnection)
		})
	}
}

// Guards against retrying a non-idempotent request that may have run.
func TestOnlyEndpointRunsOnce(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("book", sameDomainAddr, "a1", 1)
	r := fleet.startRouter(t)
	r.Step(newBook(1, epoch), nil)
	r.Step(&ClaimResult{At: epoch, ID: 1, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil)
	out := r.Step(&AttemptEnded{At: epoch, ID: 1, Attempt: 1, Outcome: Broken, Resendable: true, Reused: true}, nil)
	is.Equal(findRefusal(out).Fault.Execution, fault.ExecutionUnknown)
}

// Guards against idempotent requests that take all tokens while claims are pending.
func TestClaimsGetTheirShareOfTokens(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.lease = time.Hour
	fleet.addUpstream("read", sameDomainAddr, "a1", 1000)
	fleet.addUpstream("book", sameRegionAddr, "a1", 1000)
	fleet.setShare(limit.OfConnections(sameDomainAddr), 0, 0, 1000)
	fleet.setShare(limit.OfConnections(sameRegionAddr), 0, 0, 1000)
	fleet.setShare(limit.OfWorkspace("w0"), 50, 10, 0)
	r := fleet.startRouter(t)
	r.config.MaxViewAge = time.Hour
	sent := make(map[ident.Service]int)
	claims := make(map[time.Time][]RequestID)
	record := func(at time.Time, out []Effect) {
		for _, e := range out {
			switch f := e.(type) {
			case *Send:
				sent[f.Service]++
			case *Claim:
				end := at.Add(30 * time.Millisecond)
				claims[end] = append(claims[end], f.ID)
			}
		}
	}
	for ms := range 20_000 {
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		for _, id := range claims[at] {
			record(at, stepAndSend(r, &ClaimResult{At: at, ID: id, State: rpc.ClaimState_CLAIM_STATE_GRANTED}))
		}
		if ms%20 == 0 {
			e := newRead(RequestID(2*ms), at)
			e.Deadline = at.Add(2 * time.Second)
			record(at, stepAndSend(r, e))
		}
		if ms%50 == 0 {
			e := newBook(RequestID(2*ms+1), at)
			e.Deadline = at.Add(2 * time.Second)
			record(at, stepAndSend(r, e))
		}
		if due, ok := r.NextTick(); ok && !due.After(at) {
			record(at, stepAndSend(r, &Tick{At: at}))
		}
	}
	// The 20 non-idempotent requests per second need less than half of the 50 tokens per second.
	is.True(sent["book"] >= 380) // of 400
	is.True(sent["read"]+sent["book"] >= 980)
}
