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
	near   = "127.0.0.1:1" // failure domain a1, as the VM
	beside = "127.0.0.1:2" // a2, same region
	remote = "127.0.0.1:3" // b1, other region
)

// Guards against work at endpoints that must not get it, and against wrong preference.
func TestChoiceOfEndpoint(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *plant, r *Router)
		want   ident.Address
	}{
		{"nearest", func(*plant, *Router) {}, near},
		{"leaving", func(p *plant, _ *Router) { p.upstreams[0].Leaving = true }, beside},
		{"suspected", func(p *plant, _ *Router) { p.upstreams[0].Suspected = true }, beside},
		{"all suspected", func(p *plant, _ *Router) {
			for _, u := range p.upstreams {
				u.Suspected = true
			}
		}, near},
		{"no slots", func(p *plant, _ *Router) { p.share(limit.OfSlots(near), 0, 0, 0) }, beside},
		{"region used up", func(p *plant, _ *Router) {
			p.share(limit.OfSlots(near), 0, 0, 0)
			p.share(limit.OfSlots(beside), 0, 0, 0)
		}, remote},
		{"region over its capacity", func(p *plant, _ *Router) { p.doc.Topology.Regions[0].Capacity = 1 }, remote},
		{"endpoint drained", drain(document.EndpointKind, near), beside},
		{"domain drained", drain(document.DomainKind, "a1"), beside},
		{"region drained", drain(document.RegionKind, "a"), remote},
		{"endpoint down", down("endpoint", near), beside},
		{"domain down", down("domain", "a1"), beside},
		{"region down", down("region", "a"), remote},
		{"up again", func(p *plant, _ *Router) { p.verdicts = []*rpc.Verdict{{Kind: "domain", Target: "a1"}} }, near},
		{"unknown domain", func(p *plant, _ *Router) { p.upstreams[0].Domain = "nowhere" }, beside},
		{"failed", func(_ *plant, r *Router) {
			r.view.endpoints[near].failures.add(epoch, 1)
		}, beside},
		{"failed long ago", func(_ *plant, r *Router) {
			r.view.endpoints[near].failures.add(epoch.Add(-failureHalf), 1)
		}, near},
		{"all reports are false", func(p *plant, _ *Router) { p.upstreams[0].Load = 1000 }, near},
		{"equal but for the report", func(p *plant, _ *Router) {
			p.upstreams[0].Load, p.upstreams[1].Domain = 8, "a1"
		}, near},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			for i, a := range []string{near, beside, remote} {
				p.upstream("read", a, []string{"a1", "a2", "b1"}[i], 2)
			}
			r := p.start(t)
			c.change(p, r)
			r.Step(&Synced{At: epoch, Sent: epoch, Reply: p.reply(t)}, nil)
			is.Equal(sendOf(r.Step(read(1, epoch), nil)).Endpoint, c.want)
		})
	}
}

func drain(kind document.TargetKind, target string) func(*plant, *Router) {
	return func(p *plant, _ *Router) {
		p.doc.Drains.Drains = []document.Drain{{Name: "d", Kind: kind, Target: target}}
	}
}

func down(kind, target string) func(*plant, *Router) {
	return func(p *plant, _ *Router) { p.verdicts = []*rpc.Verdict{{Kind: kind, Target: target, Down: true}} }
}

// Guards against a shift that moves more than its fraction, or anything beyond its cap.
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
			p := newPlant()
			p.upstream("read", near, "a1", 200)
			p.upstream("read", remote, "b1", 200)
			p.doc.Shifts.Shifts = []document.Shift{{Name: "s", Service: "read", From: "a", To: "b1", Share: 0.25, Cap: 1000}}
			p.share(limit.OfShift("s"), c.burst, c.burst, 0)
			r := p.start(t)
			for i := range 100 {
				is.True(sendOf(r.Step(read(RequestID(i), epoch), nil)) != nil)
			}
			is.Equal(r.Stats().Shifted, c.want)
			is.Equal(r.Stats().Spilled, c.want)
		})
	}
}

// Guards against links over their rate, and against transfers that can never move.
func TestTransferFollowsTheLinkShare(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("read", remote, "b1", 2)
	p.doc.Topology.Links = []document.Link{{From: "a", To: "b", Rate: 1}}
	p.share(limit.OfLink("a", "b"), 1000, 500, 0)
	r := p.start(t)
	is.True(sendOf(r.Step(read(1, epoch), nil)).ThrottleBody)
	is.Equal(len(r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 400}, nil)), 0)
	is.Equal(*r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 200}, nil)[0].(*PauseTransfer), PauseTransfer{ID: 1, Delay: 100 * time.Millisecond})
	is.Equal(len(r.Step(&TransferRequested{At: epoch, ID: 1, Bytes: 4000, FromUpstream: true}, nil)), 0) // not limited
	at := epoch.Add(100 * time.Millisecond)
	is.Equal(len(r.Step(&TransferRequested{At: at, ID: 1, Bytes: 200}, nil)), 0)
	is.Equal(r.Step(&TransferRequested{At: at, ID: 1, Bytes: 600}, nil)[0].(*PauseTransfer).MaxBytes, ident.Bytes(500))
}

// Guards against a flooding workspace that takes slots from the others.
func TestFloodLeavesTheOthersTheirSlots(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.doc.Workspaces.Workspaces, p.shares = nil, nil
	for i := range 8 {
		p.addWorkspace(i, 12, 3)
	}
	p.upstream("read", near, "a1", 10) // 100 requests/s at 100 ms each, for 8 x 12 of them
	r := p.start(t)
	sent, arrived := make(map[ident.Workspace]int), make(map[ident.Workspace]int)
	type end struct {
		at time.Time
		id RequestID
	}
	var running []end
	note := func(at time.Time, out []Effect) {
		for _, e := range out {
			if s, ok := e.(*Send); ok {
				sent[s.Workspace]++
				running = append(running, end{at.Add(100 * time.Millisecond), s.ID})
			}
		}
	}
	id := RequestID(0)
	for ms := range 60_000 {
		at := epoch.Add(time.Duration(ms) * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(at) {
			first := running[0]
			running = running[1:]
			note(at, r.Step(&AttemptEnded{At: at, ID: first.id, Outcome: Answered}, nil))
		}
		if ms%200 == 0 {
			note(at, r.Step(&Synced{At: at, Sent: at, Reply: p.same()}, nil))
		}
		for w := range 8 {
			every := 1000 / 12
			if w == 0 {
				every /= 10
			}
			if (ms+w*7)%every != 0 {
				continue
			}
			id++
			e := read(id, at)
			e.KeyID = ident.KeyID("k" + string(rune('0'+w)))
			arrived[workspaceName(w)]++
			note(at, r.Step(e, nil))
		}
		if due, ok := r.Next(); ok && !due.After(at) {
			note(at, r.Step(&Tick{At: at}, nil))
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

// Guards against demands that do not follow what waits.
func TestDemands(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("read", near, "a1", 1)
	p.upstream("read", "127.0.0.1:9", "a1", 0)
	r := p.start(t)
	for i := range 4 {
		r.Step(read(RequestID(i), epoch), nil)
	}
	got := make(map[string]rpc.Demand)
	for _, d := range r.Demands(epoch, nil) {
		got[d.Limit] = rpc.Demand{Wanted: d.Wanted, Waiting: d.Waiting}
	}
	is.Equal(got["workspace/w0"].Wanted, 7.0) // 4/s arrived, 3 wait
	is.Equal(got["slots/"+near].Wanted, 3.0)  // 1 in use, 2 of 3 wait for it
	is.Equal(got["slots/127.0.0.1:9"].Wanted, 1.0)
	is.Equal(got["connections/"+near].Waiting, uint32(2))
}

// usedOf returns the units in use that the router reports of each count.
func usedOf(r *Router) map[string]uint32 {
	used := make(map[string]uint32)
	for _, d := range r.Demands(r.now, nil) {
		used[d.Limit] = d.Used
	}
	return used
}

// Guards against one long request that blocks the confirmation of every lowered
// share, and against a confirmation that hides the units still in use.
func TestLoweredCountIsConfirmedWithWhatIsInUse(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("read", near, "a1", 1)
	r := p.start(t)
	r.Step(read(1, epoch), nil)
	p.share(limit.OfSlots(near), 0, 0, 0)
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: p.reply(t)}, nil)
	is.Equal(r.Versions().Allotments, p.versions.Allotments)
	is.Equal(usedOf(r)["slots/"+near], uint32(1))
	is.Equal(usedOf(r)["connections/"+near], uint32(1))

	// The endpoint is no longer announced, and nothing more is wanted of it.
	p.upstreams = nil
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: p.reply(t)}, nil)
	r.Step(&Synced{At: epoch.Add(time.Hour), Sent: epoch.Add(time.Hour), Reply: p.same()}, nil)
	is.Equal(usedOf(r)["slots/"+near], uint32(1))
	r.Step(&AttemptEnded{At: epoch.Add(time.Hour), ID: 1, Outcome: Answered}, nil)
	is.Equal(usedOf(r)["slots/"+near], uint32(0))
}

// Guards against a lowered share that others can use only after the regular exchange.
func TestLoweredShareIsConfirmedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		ask  bool
		set  func(*plant)
	}{
		{"nothing", false, func(*plant) {}},
		{"raised slots", false, func(p *plant) { p.share(limit.OfSlots(near), 0, 0, 3) }},
		{"lowered slots", true, func(p *plant) { p.share(limit.OfSlots(near), 0, 0, 1) }},
		{"lowered rate", true, func(p *plant) { p.share(limit.OfWorkspace("w0"), 999, 1000, 0) }},
		{"lowered burst", true, func(p *plant) { p.share(limit.OfWorkspace("w0"), 1000, 999, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("read", near, "a1", 2)
			r := p.start(t)
			c.set(p)
			asked := false
			for _, e := range r.Step(&Synced{At: epoch, Sent: epoch, Reply: p.reply(t)}, nil) {
				_, ok := e.(*RequestSync)
				asked = asked || ok
			}
			is.Equal(asked, c.ask)
		})
	}
}

// Guards against refusing an idempotent request whose only endpoint closed an
// old connection, and against repeating one that the endpoint itself failed.
func TestOnlyEndpointIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		ended  AttemptEnded
		others int
		again  bool
		want   ident.Address // "" for a refusal
	}{
		{"reused connection broke", AttemptEnded{Outcome: Broken, Resendable: true, Reused: true}, 0, true, near},
		{"reused connection took nothing", AttemptEnded{Outcome: NotSent, Resendable: true, Reused: true}, 0, true, near},
		{"new connection broke", AttemptEnded{Outcome: Broken, Resendable: true}, 0, false, ""},
		{"body is used up", AttemptEnded{Outcome: Broken, Reused: true}, 0, false, ""},
		{"shed", AttemptEnded{Outcome: Shed, Resendable: true, Reused: true}, 0, false, ""},
		{"another endpoint", AttemptEnded{Outcome: Broken, Resendable: true, Reused: true}, 1, false, "127.0.0.1:9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlant()
			p.upstream("read", near, "a1", 1)
			for range c.others {
				p.upstream("read", "127.0.0.1:9", "a2", 1)
			}
			r := p.start(t)
			is.Equal(sendOf(r.Step(read(1, epoch), nil)).Endpoint, ident.Address(near))
			c.ended.At, c.ended.ID, c.ended.Attempt = epoch, 1, 1
			out := r.Step(&c.ended, nil)
			if c.want == "" {
				is.True(refusal(out) != nil)
				return
			}
			is.Equal(sendOf(out).Endpoint, c.want)
			is.Equal(sendOf(out).NewConnection, c.again)
		})
	}
}

// Guards against a second run of a non-idempotent request.
func TestOnlyEndpointRunsOnce(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("book", near, "a1", 1)
	r := p.start(t)
	r.Step(book(1, epoch), nil)
	r.Step(&ClaimResult{At: epoch, ID: 1, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil)
	out := r.Step(&AttemptEnded{At: epoch, ID: 1, Attempt: 1, Outcome: Broken, Resendable: true, Reused: true}, nil)
	is.Equal(refusal(out).Fault.Execution, fault.ExecutionUnknown)
}

// Guards against idempotent requests that take every token while claims are under way.
func TestClaimsGetTheirPartOfTheTokens(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.lease = time.Hour
	p.upstream("read", near, "a1", 1000)
	p.upstream("book", beside, "a1", 1000)
	p.share(limit.OfConnections(near), 0, 0, 1000)
	p.share(limit.OfConnections(beside), 0, 0, 1000)
	p.share(limit.OfWorkspace("w0"), 50, 10, 0)
	r := p.start(t)
	r.config.MaxViewAge = time.Hour
	sent := make(map[ident.Service]int)
	claims := make(map[time.Time][]RequestID)
	note := func(at time.Time, out []Effect) {
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
			note(at, r.Step(&ClaimResult{At: at, ID: id, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil))
		}
		if ms%20 == 0 {
			e := read(RequestID(2*ms), at)
			e.Deadline = at.Add(2 * time.Second)
			note(at, r.Step(e, nil))
		}
		if ms%50 == 0 {
			e := book(RequestID(2*ms+1), at)
			e.Deadline = at.Add(2 * time.Second)
			note(at, r.Step(e, nil))
		}
		if due, ok := r.Next(); ok && !due.After(at) {
			note(at, r.Step(&Tick{At: at}, nil))
		}
	}
	// Of 50 tokens a second, 20 requests a second need less than an equal part.
	is.True(sent["book"] >= 380) // of 400
	is.True(sent["read"]+sent["book"] >= 980)
}
