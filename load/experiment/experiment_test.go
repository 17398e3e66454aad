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

// small returns a run of the experiment on a small deployment whose stand-ins run in this process.
func small(t *testing.T, name, path string) *run {
	t.Helper()
	shape := &deployment.Deployment{
		Name: "small", Regions: []ident.Region{"north", "south"}, MaxConnections: 100,
		Services: []deployment.Service{
			{Name: "forecast", Endpoints: 4, Slots: 4, MedianServiceTime: 20 * time.Millisecond, BodySize: 50, ResponseSize: 400},
			{Name: "claims", Endpoints: 4, Slots: 4, NonIdempotent: true, MedianServiceTime: 20 * time.Millisecond, BodySize: 50, ResponseSize: 400},
		},
		Workspaces: []deployment.Workspace{{Name: "big", RateShare: 0.7}, {Name: "little", RateShare: 0.1}},
	}
	stands := shape.UpstreamSettings("127.0.0.1:0", nil, "127.0.0.1", 0)
	for i := range stands.Endpoints {
		stands.Endpoints[i].Address = "127.0.0.1:0"
		stands.Endpoints[i].CacheWarmupRuns = 0
	}
	p := upstream.New(*stands, command.Console{Out: io.Discard, Err: io.Discard, Clock: clock.System{}})
	admin := httptest.NewServer(p.AdminHandler())
	t.Cleanup(admin.Close)
	post(t, admin.URL+"/v1/start")
	t.Cleanup(func() { post(t, admin.URL+"/v1/kill") })
	e, ok := find(name)
	if !ok {
		t.Fatal("no experiment", name)
	}
	s := Defaults()
	s.Call = *shape.CallerSettings(nil, []string{admin.Listener.Addr().String()}, nil)
	s.Call.Warmup, s.Call.Duration = 100*time.Millisecond, 1500*time.Millisecond
	return &run{
		Experiment: e, set: &s, shape: shape, path: path, clock: clock.System{}, ctx: context.Background(),
		client: &http.Client{Timeout: 5 * time.Second}, tag: "test",
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

// Guards against an experiment whose traffic, events or comparison with the records does not come about.
func TestExperimentThroughBaselines(t *testing.T) {
	for _, tt := range []struct{ name, path string }{
		{"steady", baseline.RoundRobin}, {"reports", baseline.LeastLoad}, {"tenant", baseline.FixedSplit},
	} {
		// One after the other: each offers up to 1,700 requests in a second, and callers' time-outs pass where the
		// three share a busy machine.
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := small(t, tt.name, tt.path)
			out, err := r.perform()
			is.NoErr(err)
			is.NoErr(r.restore())
			is.True(out.Total.Answered > 100)
			is.True(out.Runs.Count >= out.Total.Answered)
			is.Equal(len(out.Events), len(r.Experiment.events))
			is.Equal(out.Total.Cut+out.Total.Foreign, 0)
			is.True(len(out.Runs.Doubles) > 0 || out.Repeats == 0) // baselines have no claims, so repeats run twice
			is.NoErr(out.Print(io.Discard, false))
			if tt.name == "tenant" {
				is.True(out.Workspaces[1].Offered > 2*out.Workspaces[1].Entitled)
			}
		})
	}
}

// Guards against a region that is lost on paper only.
func TestRegionLossEndsItsEndpoints(t *testing.T) {
	is := is.New(t)
	r := small(t, "regionloss", baseline.RoundRobin)
	out, err := r.perform()
	is.NoErr(err)
	is.True(out.Total.Answered > 0)
	at, _ := r.eventAt()
	last, found := r.lastRun(func(d ident.Domain) bool { return r.shape.RegionOf(d) == "north" })
	is.True(found)
	is.True(last <= at)
	later, _ := r.lastRun(func(d ident.Domain) bool { return r.shape.RegionOf(d) == "south" })
	is.True(later > at)
}

// operations is a control member that leads or does not.
type operations struct {
	rpc.Operations
	leads   bool
	applied *rpc.ApplyRequest
}

func (o *operations) Show(context.Context, *rpc.ShowRequest) (*rpc.ShowReply, error) {
	if !o.leads {
		return nil, fault.Twirp(fault.New(fault.Leader, "show", "", "not the leader"))
	}
	return &rpc.ShowReply{Sections: []*rpc.Section{{Name: "drains", Revision: 7}}}, nil
}

func (o *operations) Apply(_ context.Context, r *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	o.applied = r
	return &rpc.ApplyReply{State: rpc.ApplyState_APPLY_STATE_ACCEPTED, Revision: 8}, nil
}

// Guards against a change on another revision than the one read, and against giving up at a follower.
func TestDrainIsAppliedAtTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &operations{leads: true}
	var control []string
	for _, o := range []*operations{{}, leader} {
		server := httptest.NewServer(rpc.NewOperationsServer(o))
		t.Cleanup(server.Close)
		control = append(control, server.Listener.Addr().String())
	}
	r := small(t, "drain", throughEntry)
	r.set.Control, r.set.Operator, r.set.Credential = control, deployment.Operator, deployment.Credential
	is.NoErr(drain(r))
	is.Equal(leader.applied.Base, uint64(7))
	is.Equal(leader.applied.Operator, deployment.Operator)
	part, err := document.Parse(document.DrainsSection, leader.applied.Text)
	is.NoErr(err)
	is.Equal(part.(*document.Drains).Drains, []document.Drain{{Name: "experiment", Kind: document.DomainKind, Target: "north-a"}})
	r.set.Control = control[:1]
	is.Equal(fault.Of(drain(r)).Code, fault.Leader)
}

// Guards against an experiment that passes although its event did not happen.
func TestMissingHookIsAnError(t *testing.T) {
	is := is.New(t)
	r := small(t, "vmloss", throughEntry)
	is.Equal(fault.Of(hook(r)).Code, fault.Usage)
	hooked := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { hooked <- q.Method + q.URL.Path }))
	defer server.Close()
	r.set.Hooks = []Hook{{Experiment: "vmloss", Post: server.URL + "/kill"}}
	is.NoErr(hook(r))
	is.Equal(<-hooked, "POST/kill")
}

// Guards against headroom that counts an endpoint as free while it is full, or that counts a restart.
func TestWatch(t *testing.T) {
	is := is.New(t)
	var w watch
	at := func(a, b time.Duration, incarnation ident.Incarnation) []upstream.Status {
		return []upstream.Status{
			{Service: "forecast", Domain: "north-a", Address: "a", Slots: 2, Up: true, Incarnation: incarnation, Counts: upstream.Counts{SlotTime: a}},
			{Service: "forecast", Domain: "north-a", Address: "b", Slots: 2, Up: true, Incarnation: 1, Counts: upstream.Counts{SlotTime: b}},
		}
	}
	w.use(at(0, 0, 1), at(7500*time.Millisecond, 2500*time.Millisecond, 1), 5*time.Second)
	is.Equal(w.endpoint, headroom{least: 0.25, where: "a", seen: true}) // 1.5 of two slots on average
	is.Equal(w.domain, headroom{least: 0.5, where: "north-a/forecast", seen: true})
	before := w.endpoint
	w.use(at(0, 0, 1), at(50*time.Second, 0, 2), 5*time.Second)
	is.Equal(w.endpoint, before)
	link := func(n ident.Bytes) []relay.LinkStatus {
		return []relay.LinkStatus{{Name: "l", State: relay.LinkState{Rate: 8}, ForwardBytes: n}}
	}
	w.carry(link(0), link(500_000), time.Second) // half of 1 MB/s
	is.Equal(w.link, 0.5)
}

// Guards against hooks that could end the wrong process, and faults that go unreported.
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

// Guards against generated settings and sections that the programs themselves would refuse.
func TestDeploymentsAreValid(t *testing.T) {
	for _, name := range deployment.Names {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shape, err := deployment.Find(name)
			is.NoErr(err)
			stands := shape.UpstreamSettings("127.0.0.1:7900", []string{"127.0.0.1:8001"}, "127.0.0.1", 19000)
			calls := shape.CallerSettings([]string{"127.0.0.1:8001"}, nil, stands.Endpoints)
			text, err := deployment.EncodeTOML(stands)
			is.NoErr(err)
			loaded := upstream.Defaults()
			is.NoErr(settings.Parse("upstream.toml", string(text), &loaded))
			text, err = deployment.EncodeTOML(calls)
			is.NoErr(err)
			called := caller.Defaults()
			is.NoErr(settings.Parse("call.toml", string(text), &called))
			var offered float64
			for _, w := range called.Workspaces {
				offered += float64(w.Rate) * w.Offered
			}
			is.True(offered > 0.58*shape.Capacity() && offered < 0.61*shape.Capacity())
			var d document.Document
			for section, part := range shape.Sections() {
				text, err := document.Format(part)
				is.NoErr(err)
				again, err := document.Parse(section, text)
				is.NoErr(err)
				d.Set(again)
			}
			is.NoErr(d.Check())
		})
	}
}

// Guards against links that are measured over the wrong pair of regions or that miss traffic within a second.
func TestLinkUseIsThatOfTheBusiestSecond(t *testing.T) {
	is := is.New(t)
	shape, err := deployment.Find("revontuli")
	is.NoErr(err)
	at := func(second int64) time.Time { return time.Unix(1_000_000+second, 0) }
	r := &run{shape: shape, where: []upstream.Status{{Address: "lappi", Domain: "lappi-a"}, {Address: "uusimaa", Domain: "uusimaa-b"}}}
	near := netip.MustParseAddr("127.71.1.1") // an entry VM of lappi-a
	half := ident.Bytes(shape.LinkRate.BytesPerSecond() / 2)
	r.runs = []upstream.Run{
		{Endpoint: "lappi", Source: near, Start: at(0), End: at(0), Received: 10 * half},
		{Endpoint: "uusimaa", Source: near, Start: at(0), End: at(1), Received: half, Sent: half},
		{Endpoint: "uusimaa", Source: near, Start: at(1), End: at(1), Received: half, Sent: half / 2},
	}
	most, link := r.linkUse()
	is.Equal(link, "uusimaa to lappi")
	is.True(most > 0.74 && most < 0.76)
}
