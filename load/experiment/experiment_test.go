package experiment

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
	"cuminfall.example/fleet/settings"
	"cuminfall.example/load/baseline"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/command"
	"cuminfall.example/load/deployment"
	"cuminfall.example/load/relay"
	"cuminfall.example/load/upstream"
)

// newSmallRun returns a run of the experiment on a small deployment with stand-ins in the test process.
func newSmallRun(t *testing.T, name, path string) *run {
	t.Helper()
	shape := &deployment.Deployment{
		Name: "small", Regions: []ident.Region{"north", "south"}, MaxConnections: 100,
		Services: []deployment.Service{
			{Name: "forecast", Endpoints: 4, Slots: 4, MedianServiceTime: 20 * time.Millisecond, BodySize: 50, ResponseSize: 400},
			{Name: "claims", Endpoints: 4, Slots: 4, NonIdempotent: true, MedianServiceTime: 20 * time.Millisecond, BodySize: 50, ResponseSize: 400},
		},
		Workspaces: []deployment.Workspace{{Name: "big", RateShare: 0.7}, {Name: "little", RateShare: 0.1}},
	}
	standIns := shape.UpstreamSettings("127.0.0.1:0", nil, "127.0.0.1", 0)
	for i := range standIns.Endpoints {
		standIns.Endpoints[i].Address = "127.0.0.1:0"
		standIns.Endpoints[i].CacheWarmupRuns = 0
	}
	p := upstream.New(*standIns, command.Console{Out: io.Discard, Err: io.Discard, Clock: clock.System{}})
	admin := httptest.NewServer(p.AdminHandler())
	t.Cleanup(admin.Close)
	post(t, admin.URL+"/v1/start")
	t.Cleanup(func() { post(t, admin.URL+"/v1/kill") })
	e, ok := findExperiment(name)
	if !ok {
		t.Fatal("no experiment", name)
	}
	s := Defaults()
	s.Call = *shape.CallerSettings(nil, []string{admin.Listener.Addr().String()}, nil)
	s.Call.Warmup, s.Call.Duration = 100*time.Millisecond, 1500*time.Millisecond
	return &run{
		Experiment: e, settings: &s, deployment: shape, path: path, clock: clock.System{}, ctx: context.Background(),
		client: &http.Client{Timeout: 5 * time.Second}, idPrefix: "test",
	}
}

func post(t *testing.T, target string) {
	response, err := http.Post(target, "", nil)
	if err != nil {
		t.Error(err)
		return
	}
	response.Body.Close()
}

// Guards against an experiment that sends no traffic, skips its events or omits the comparison with the run records.
func TestExperimentThroughBaselines(t *testing.T) {
	for _, tt := range []struct{ name, path string }{
		{"steady", baseline.RoundRobin}, {"reports", baseline.LeastLoad}, {"tenant", baseline.FixedSplit},
	} {
		// The subtests must not run in parallel: each sends up to 1,700 requests per second, and on a busy host three
		// at once lead to timeouts of the callers.
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newSmallRun(t, tt.name, tt.path)
			out, err := r.perform()
			is.NoErr(err)
			is.NoErr(r.restoreStandIns())
			is.True(out.Total.Answered > 100)
			is.True(out.Runs.Count >= out.Total.Answered)
			is.Equal(len(out.Events), len(r.Experiment.events))
			is.Equal(out.Total.Truncated+out.Total.Mismatched, 0)
			is.True(len(out.Runs.DuplicateRuns) > 0 || out.Repeats == 0) // baselines have no idempotency claims, so a repeated request runs twice
			is.NoErr(out.Print(io.Discard, false))
			if tt.name == "tenant" {
				is.True(out.Workspaces[1].Offered > 2*out.Workspaces[1].Entitled)
			}
		})
	}
}

// Guards against a region loss that leaves endpoints of the region running.
func TestRegionLossStopsItsEndpoints(t *testing.T) {
	is := is.New(t)
	r := newSmallRun(t, "regionloss", baseline.RoundRobin)
	out, err := r.perform()
	is.NoErr(err)
	is.True(out.Total.Answered > 0)
	at, _ := r.firstEventTime()
	last, found := r.lastRunStart(func(d ident.Domain) bool { return r.deployment.RegionOf(d) == "north" })
	is.True(found)
	is.True(last <= at)
	for _, e := range r.endpoints {
		response, err := r.client.Get("http://" + string(e.Address) + "/forecast/x")
		is.Equal(err == nil, r.deployment.RegionOf(e.Domain) == "south") // the other region's endpoints go on
		if err == nil {
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
		}
	}
}

// controlMember simulates a leader or a follower of a control group.
type controlMember struct {
	rpc.Operations
	isLeader bool
	applied  *rpc.ApplyRequest
}

func (o *controlMember) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	if !o.isLeader {
		return nil, fault.Twirp(fault.New(fault.NotLeader, "show", "", "not the leader"))
	}
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "drains", Revision: 7}}}, nil
}

func (o *controlMember) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	o.applied = r
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: 8}, nil
}

// Guards against a change based on another revision than the one read, and against giving up at a follower.
func TestDrainIsAppliedAtTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &controlMember{isLeader: true}
	var control []string
	for _, o := range []*controlMember{{}, leader} {
		server := httptest.NewServer(rpc.NewOperationsServer(o))
		t.Cleanup(server.Close)
		control = append(control, server.Listener.Addr().String())
	}
	r := newSmallRun(t, "drain", throughEntry)
	r.settings.ControlAddresses, r.settings.Operator, r.settings.Credential = control, deployment.Operator, deployment.Credential
	is.NoErr(addDrain(r))
	is.Equal(leader.applied.Base, uint64(7))
	is.Equal(leader.applied.Operator, deployment.Operator)
	content, err := document.Parse(document.DrainsSection, leader.applied.Text)
	is.NoErr(err)
	is.Equal(content.(*document.Drains).Drains, []document.Drain{{Name: "experiment", Kind: document.DomainKind, Target: "north-a"}})
	r.settings.ControlAddresses = control[:1]
	is.Equal(fault.Of(addDrain(r)).Code, fault.NotLeader)
}

// Guards against an experiment that succeeds although its event did not happen, since no hook is configured.
func TestMissingHookIsAnError(t *testing.T) {
	is := is.New(t)
	r := newSmallRun(t, "vmloss", throughEntry)
	is.Equal(fault.Of(runHooks(r)).Code, fault.Usage)
	hookCalls := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { hookCalls <- q.Method + q.URL.Path }))
	defer server.Close()
	r.settings.Hooks = []Hook{{Experiment: "vmloss", PostURL: server.URL + "/kill"}}
	is.NoErr(runHooks(r))
	is.Equal(<-hookCalls, "POST/kill")
}

// Guards against headroom that ignores used slots, or that is computed across a restart of an endpoint.
func TestObservations(t *testing.T) {
	is := is.New(t)
	var w observations
	at := func(a, b time.Duration, incarnation ident.Incarnation) []upstream.Status {
		return []upstream.Status{
			{Service: "forecast", Domain: "north-a", Address: "a", Slots: 2, Up: true, Incarnation: incarnation, Counts: upstream.Counts{SlotTime: a}},
			{Service: "forecast", Domain: "north-a", Address: "b", Slots: 2, Up: true, Incarnation: 1, Counts: upstream.Counts{SlotTime: b}},
		}
	}
	w.addSlotUse(at(0, 0, 1), at(7500*time.Millisecond, 2500*time.Millisecond, 1), 5*time.Second)
	is.Equal(w.endpointHeadroom, headroom{min: 0.25, location: "a", measured: true}) // on average 1.5 of 2 slots were in use
	is.Equal(w.domainHeadroom, headroom{min: 0.5, location: "north-a/forecast", measured: true})
	before := w.endpointHeadroom
	w.addSlotUse(at(0, 0, 1), at(50*time.Second, 0, 2), 5*time.Second)
	is.Equal(w.endpointHeadroom, before)
	link := func(n ident.Bytes) []relay.LinkStatus {
		return []relay.LinkStatus{{Name: "l", State: relay.LinkState{Rate: 8}, ForwardBytes: n}}
	}
	w.addLinkUse(link(0), link(500_000), time.Second) // half of the link's rate of 8 Mbit/s, which is 1 MB/s
	is.Equal(w.maxLinkUtilization, 0.5)
}

// Guards against hooks that could kill the wrong process, and against reporting only some of the invalid settings.
func TestSettingsReportAllFaults(t *testing.T) {
	is := is.New(t)
	s := Defaults()
	err := settings.Parse("experiment.toml", `
control = ["x"]
vms = 0
[[hook]]
experiment = "nap"
pid = 1
[call]
[[call.service]]
name = "forecast"
prefix = "/forecast/"
[[call.workspace]]
name = "acme"
rate = 0.0
burst = 5.0
`, &s)
	problems, ok := err.(*settings.Problems)
	is.True(ok)
	is.Equal(len(problems.List), 5)
	is.Equal(problems.List[4].Key, "call.workspace[0].rate")
}

// Guards against generating settings or document sections that the programs reject.
func TestDeploymentsAreValid(t *testing.T) {
	for _, name := range deployment.Names {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shape, err := deployment.Find(name)
			is.NoErr(err)
			standIns := shape.UpstreamSettings("127.0.0.1:7900", []string{"127.0.0.1:8001"}, "127.0.0.1", 19000)
			calls := shape.CallerSettings([]string{"127.0.0.1:8001"}, nil, standIns.Endpoints)
			text, err := deployment.EncodeTOML(standIns)
			is.NoErr(err)
			loaded := upstream.Defaults()
			is.NoErr(settings.Parse("upstream.toml", string(text), &loaded))
			text, err = deployment.EncodeTOML(calls)
			is.NoErr(err)
			called := caller.Defaults()
			is.NoErr(settings.Parse("call.toml", string(text), &called))
			var offered float64
			for _, w := range called.Workspaces {
				offered += float64(w.Rate) * w.OfferedFraction
			}
			is.True(offered > 0.58*shape.Capacity() && offered < 0.61*shape.Capacity())
			var d document.Document
			for section, part := range shape.Sections() {
				text, err := document.Format(part)
				is.NoErr(err)
				parsed, err := document.Parse(section, text)
				is.NoErr(err)
				d.Set(parsed)
			}
			is.NoErr(d.Check())
		})
	}
}

// Guards against assigning traffic to the wrong link or the wrong second.
func TestPeakLinkUtilizationIsThatOfTheBusiestSecond(t *testing.T) {
	is := is.New(t)
	shape, err := deployment.Find("revontuli")
	is.NoErr(err)
	at := func(second int64) time.Time { return time.Unix(1_000_000+second, 0) }
	r := &run{deployment: shape, endpoints: []upstream.Status{{Address: "lappi", Domain: "lappi-a"}, {Address: "uusimaa", Domain: "uusimaa-b"}}}
	lappiEntry := netip.MustParseAddr("127.71.1.1") // address of an entry VM in lappi-a
	halfSecond := ident.Bytes(shape.LinkRate.BytesPerSecond() / 2)
	r.runs = []upstream.Run{
		{Endpoint: "lappi", Source: lappiEntry, Start: at(0), End: at(0), Received: 10 * halfSecond},
		{Endpoint: "uusimaa", Source: lappiEntry, Start: at(0), End: at(1), Received: halfSecond, Sent: halfSecond},
		{Endpoint: "uusimaa", Source: lappiEntry, Start: at(1), End: at(1), Received: halfSecond, Sent: halfSecond / 2},
	}
	utilization, link := r.peakLinkUtilization()
	is.Equal(link, "uusimaa to lappi")
	is.True(utilization > 0.74 && utilization < 0.76)
}
