package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/throttle"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// words is a dialect for tests.
func words() WireFormat {
	return WireFormat{
		Forward: &forward.WireFormat{WorkspaceHeader: "X-Workspace", TimeoutHeader: "X-Left", IdentityHeader: "X-Upstream", RequestIDHeader: "X-Id", AllowUnframed: true},
		ParseCaller: func(r *http.Request) (Caller, error) {
			ms, err := strconv.Atoi(r.Header.Get("X-Left"))
			return Caller{RequestID: r.Header.Get("X-Id"), Key: r.Header.Get("Authorization"), Remaining: time.Duration(ms) * time.Millisecond, Object: "o"}, err
		},
		ParseAnswer: func(_ int, h http.Header) Answer {
			return Answer{NotExecuted: h.Get("X-Not-Run") != "", Authentic: h.Get("X-Stamp") != "", Load: -1}
		},
	}
}

// leader answers each report with what the test says.
type leader struct {
	fx    *fixture
	allow int
	away  bool
}

func (l leader) HasLeader() bool { return !l.away }

func (l leader) TriggerReport() {
	l.fx.HandleReply(clock.BootTime{}.Now(), l.fx.Report(), protocol.ReportReply{Allowances: protocol.Allowances{"w": l.allow}, Lease: time.Minute})
}

// fixture is a front before some upstreams of one service.
type fixture struct {
	*Proxy
	t       *testing.T
	server  *httptest.Server
	runs    atomic.Int32
	catalog *catalog.Catalog
	state   *registry.Registry
}

// start serves requests by upstreams that answer as handlers do; each handler is one upstream.
func start(t *testing.T, rate float64, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	fx := &fixture{t: t, state: registry.New()}
	fx.catalog = &catalog.Catalog{Version: 1, Items: catalog.Items{
		Routes: map[string]catalog.Route{
			"once": {Name: "once", Host: "h", Prefix: "/once/", MaxAttempts: 2, Timeout: 400 * time.Millisecond, Splits: []catalog.Split{{Service: "s", Weight: 1}}},
			"safe": {Name: "safe", Host: "h", Prefix: "/safe/", MaxAttempts: 2, Idempotent: true, Splits: []catalog.Split{{Service: "s", Weight: 1}}},
		},
		Services:   map[ident.Service]catalog.Service{"s": {Name: "s", MaxConnections: 100}},
		Workspaces: map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Keys: []string{"key"}, Rate: ident.RequestRate(rate), Burst: rate}},
	}}
	fx.state.Catalog = fx.catalog
	for i, h := range handlers {
		up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fx.runs.Add(1)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			h(w, r)
		}))
		t.Cleanup(up.Close)
		id := registry.UpstreamID(fmt.Sprint("u", i))
		fx.state.Upstreams[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(up.Listener.Addr().String()), Domain: "d", Slots: 4, State: registry.Ready}
	}
	fx.state.VMs["vm"] = registry.VM{Name: "vm", Domain: "d", Up: true}
	terms := throttle.Bounds{RetryRatio: 1, RetryWindow: time.Second, RetrySlack: 100, RateWindow: time.Second, ColdExcess: 1}
	d := words()
	fx.Proxy = New(Options{VM: fx.state.VMs["vm"], Regions: map[ident.Domain]ident.Region{"d": "r"}, Bounds: terms, Costs: balancer.Costs{},
		Clock: clock.System{}, LeaseClock: clock.BootTime{}, Metrics: metrics.NewRegistry(), WireFormat: d,
		Log:     &process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}},
		Forward: forward.New(forward.Options{WireFormat: d.Forward})})
	fx.control = leader{fx: fx}
	fx.Update(fx.state)
	fx.retries.VMs = 1
	fx.server = httptest.NewServer(fx)
	t.Cleanup(fx.server.Close)
	return fx
}

func (fx *fixture) ask(path, body, key string) (*http.Response, string) {
	fx.t.Helper()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, strings.NewReader(body))
	if err != nil {
		fx.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "id-"+path)
	r.Header.Set("X-Left", "1000")
	r.Header.Set("Authorization", key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		fx.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		fx.t.Fatal(err)
	}
	return answer, string(text)
}

func good(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Stamp", "s")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Header.Get("X-Workspace"), r.Header.Get("Authorization"), body)
}

// Guards against bodies that are refused as late because their connection's deadline was taken from a clock
// that does not tell the time of day, and against the key reaching the upstream.
func TestBodyReachesUpstream(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, good)
	answer, text := fx.ask("/once/x", "hello", "key")
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(text, "w  hello")
}

func TestRefusals(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cut := func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	forged := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "not the upstream's") }
	slow := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}
	failing := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Stamp", "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
	cases := []struct {
		name, path, key string
		handlers        []http.HandlerFunc
		status          int
		runs            int32
	}{
		{"no route", "/other/", "key", []http.HandlerFunc{good}, 404, 0},
		{"unknown key", "/once/", "other", []http.HandlerFunc{good}, 401, 0},
		{"shed by all", "/once/", "key", []http.HandlerFunc{shed, shed}, 503, 2},
		{"a request that must not run twice is not sent again", "/once/", "key", []http.HandlerFunc{cut, cut}, 502, 1},
		{"one that may is", "/safe/", "key", []http.HandlerFunc{cut, cut}, 502, 2},
		{"an answer without proof is none", "/once/", "key", []http.HandlerFunc{forged}, 502, 1},
		{"the route's timeout", "/once/", "key", []http.HandlerFunc{slow}, 504, 1},
		{"a failure passes as it is", "/once/", "key", []http.HandlerFunc{failing, failing}, 500, 1},
		{"a failure of an idempotent request is tried again", "/safe/", "key", []http.HandlerFunc{failing, failing}, 500, 2},
		{"no upstream", "/once/", "key", nil, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := start(t, 0, c.handlers...)
			answer, _ := fx.ask(c.path, "", c.key)
			is.Equal(answer.StatusCode, c.status)
			is.Equal(fx.runs.Load(), c.runs)
		})
	}
}

// Guards against a workspace being served beyond its rate, and refused within it while the leader has some.
func TestRateIsAskedFor(t *testing.T) {
	is := is.New(t)
	fx := start(t, 10, good)
	fx.control = leader{fx: fx, allow: 1}
	answer, _ := fx.ask("/once/", "", "key")
	is.Equal(answer.StatusCode, http.StatusOK)
	answer, _ = fx.ask("/once/", "", "key")
	is.Equal(answer.StatusCode, http.StatusTooManyRequests)
	is.True(answer.Header.Get("Retry-After") != "")
	is.Equal(fx.runs.Load(), int32(1))
}

// Guards against a workspace whose requests run more often than its rate allows because each is sent again after a
// broken answer: the fault soak's seed 1 saw 87 runs where 86 are allowed.
func TestSecondRunSpendsTheRate(t *testing.T) {
	is := is.New(t)
	breaks := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fx := start(t, 10, breaks, breaks)
	fx.control = leader{fx: fx, allow: 1}
	_, _ = fx.ask("/safe/", "", "key")
	is.Equal(fx.runs.Load(), int32(1))
	fx.control = leader{fx: fx, allow: 3}
	_, _ = fx.ask("/safe/", "", "key")
	is.Equal(fx.runs.Load(), int32(3))
}

// Guards against refused requests that use up their workspace's rate, so that it is refused again.
func TestRateOfUnrunRequestIsReturned(t *testing.T) {
	is := is.New(t)
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fx := start(t, 10, full)
	fx.control = leader{fx: fx, allow: 1}
	for range 3 {
		answer, _ := fx.ask("/once/", "", "key")
		is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	}
}

// Guards against parts of a split route that get another share than their weights say.
func TestSplitsFollowWeights(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0)
	r := catalog.Route{Name: "split", Splits: []catalog.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[ident.Service]int{}
	for range 100 {
		counts[fx.part(&r)]++
	}
	is.Equal(counts, map[ident.Service]int{"a": 90, "b": 10})
}

// Guards against callers that wait longer than their route allows: what the request waited on this VM's link is no
// time for the upstream.
func TestBusyLinkShortensTheTimeout(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	now := clock.BootTime{}.Now()
	fx.HandleReply(now, protocol.Report{}, protocol.ReportReply{Lease: time.Minute})
	for range 4 {
		fx.HandleReply(now.Add(-180*time.Millisecond), protocol.Report{}, protocol.ReportReply{Lease: time.Minute})
	}
	began := time.Now()
	answer, _ := fx.ask("/once/", "", "key") // the route's time-out is 400 ms
	is.Equal(answer.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < 380*time.Millisecond)
	is.True(time.Since(began) > 250*time.Millisecond)
}
