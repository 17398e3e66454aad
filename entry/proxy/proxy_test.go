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

// testWireFormat returns a wire format with headers for tests.
func testWireFormat() WireFormat {
	return WireFormat{
		Forward: &forward.WireFormat{WorkspaceHeader: "X-Workspace", TimeoutHeader: "X-Left", IdentityHeader: "X-Upstream", RequestIDHeader: "X-Id", AllowUnframed: true},
		ParseCaller: func(r *http.Request) (Caller, error) {
			ms, err := strconv.Atoi(r.Header.Get("X-Left"))
			return Caller{RequestID: r.Header.Get("X-Id"), Key: r.Header.Get("Authorization"), Remaining: time.Duration(ms) * time.Millisecond, Object: "o"}, err
		},
		ParseResponse: func(status int, h http.Header) ResponseInfo {
			info := ResponseInfo{NotExecuted: h.Get("X-Not-Run") != "", Authentic: h.Get("X-Stamp") != "", Load: -1, Leaving: h.Get("X-Leaving") != ""}
			if status == http.StatusServiceUnavailable {
				info.QuietFor, info.QuietErr = forward.QuietSpan(h, time.Now())
			}
			return info
		},
	}
}

// fakeControl replies to each triggered report with a fixed allowance for workspace "w".
type fakeControl struct {
	fx        *fixture
	allowance int
	noLeader  bool
}

func (c fakeControl) HasLeader() bool { return !c.noLeader }

func (c fakeControl) TriggerReport() {
	c.fx.HandleReply(clock.BootTime{}.Now(), c.fx.Report(), protocol.ReportReply{Allowances: protocol.Allowances{"w": c.allowance}, Lease: time.Minute})
}

// fixture is a proxy with HTTP test servers as upstreams of one service.
type fixture struct {
	*Proxy
	t                *testing.T
	server           *httptest.Server
	upstreamRequests atomic.Int32
	catalog          *catalog.Catalog
	registry         *registry.Registry
}

// newFixture starts a proxy and one upstream for each handler. The workspace "w" is limited to rate requests per second;
// 0 means no limit.
func newFixture(t *testing.T, rate float64, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	fx := &fixture{t: t, registry: registry.New()}
	fx.catalog = &catalog.Catalog{Version: 1, Items: catalog.Items{
		Routes: map[string]catalog.Route{
			"once": {Name: "once", Host: "h", Prefix: "/once/", MaxAttempts: 2, Timeout: 400 * time.Millisecond, Splits: []catalog.Split{{Service: "s", Weight: 1}}},
			"safe": {Name: "safe", Host: "h", Prefix: "/safe/", MaxAttempts: 2, Idempotent: true, Splits: []catalog.Split{{Service: "s", Weight: 1}}},
		},
		Services:   map[ident.Service]catalog.Service{"s": {Name: "s", MaxConnections: 100}},
		Workspaces: map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Keys: []string{"key"}, Rate: ident.RequestRate(rate), Burst: rate}},
	}}
	fx.registry.Catalog = fx.catalog
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fx.upstreamRequests.Add(1)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		id := registry.UpstreamID(fmt.Sprint("u", i))
		fx.registry.Upstreams[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(server.Listener.Addr().String()), Domain: "d", Slots: 4, State: registry.Ready}
	}
	fx.registry.VMs["vm"] = registry.VM{Name: "vm", Domain: "d", Up: true}
	bounds := throttle.Bounds{RetryRatio: 1, RetryWindow: time.Second, RetrySlack: 100, RateWindow: time.Second, ColdRateFactor: 1}
	format := testWireFormat()
	fx.Proxy = New(Options{VM: fx.registry.VMs["vm"], Regions: map[ident.Domain]ident.Region{"d": "r"}, Bounds: bounds, Costs: balancer.Costs{},
		Clock: clock.System{}, LeaseClock: clock.BootTime{}, Metrics: metrics.NewRegistry(), WireFormat: format,
		Log:     &process.EventLog{FieldLogger: process.NewLogger(io.Discard, "info"), Clock: clock.System{}},
		Forward: forward.New(forward.Options{WireFormat: format.Forward})})
	fx.control = fakeControl{fx: fx}
	fx.Update(fx.registry)
	fx.retryBudget.VMs = 1
	fx.server = httptest.NewServer(fx)
	t.Cleanup(fx.server.Close)
	return fx
}

func (fx *fixture) post(path, body, key string) (*http.Response, string) {
	fx.t.Helper()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, strings.NewReader(body))
	if err != nil {
		fx.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Id", "id-"+path)
	r.Header.Set("X-Left", "1000")
	r.Header.Set("Authorization", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		fx.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		fx.t.Fatal(err)
	}
	return response, string(text)
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Stamp", "s")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Header.Get("X-Workspace"), r.Header.Get("Authorization"), body)
}

// Guards against bodies that are refused as late because the connection's deadline was computed from a clock that does
// not follow wall-clock time, and against the caller's key being forwarded to the upstream.
func TestBodyReachesUpstream(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	response, text := fx.post("/once/x", "hello", "key")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(text, "w  hello")
}

func TestRefusals(t *testing.T) {
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	abort := func(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	unstamped := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "not the upstream's") }
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
		{"no route", "/other/", "key", []http.HandlerFunc{answerOK}, 404, 0},
		{"unknown key", "/once/", "other", []http.HandlerFunc{answerOK}, 401, 0},
		{"shed by all upstreams", "/once/", "key", []http.HandlerFunc{shed, shed}, 503, 2},
		{"a non-idempotent request is not retried", "/once/", "key", []http.HandlerFunc{abort, abort}, 502, 1},
		{"an idempotent request is retried", "/safe/", "key", []http.HandlerFunc{abort, abort}, 502, 2},
		{"an answer without the upstream's stamp", "/once/", "key", []http.HandlerFunc{unstamped}, 502, 1},
		{"the route's timeout", "/once/", "key", []http.HandlerFunc{slow}, 504, 1},
		{"a failure of a non-idempotent request is passed on", "/once/", "key", []http.HandlerFunc{failing, failing}, 500, 1},
		{"a failure of an idempotent request is retried", "/safe/", "key", []http.HandlerFunc{failing, failing}, 500, 2},
		{"no upstream", "/once/", "key", nil, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, c.handlers...)
			response, _ := fx.post(c.path, "", c.key)
			is.Equal(response.StatusCode, c.status)
			is.Equal(fx.upstreamRequests.Load(), c.runs)
		})
	}
}

// Guards against a workspace being served beyond its rate, and against its being refused within its rate although the
// leader would grant an allowance.
func TestAllowanceIsRequested(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 10, answerOK)
	fx.control = fakeControl{fx: fx, allowance: 1}
	response, _ := fx.post("/once/", "", "key")
	is.Equal(response.StatusCode, http.StatusOK)
	response, _ = fx.post("/once/", "", "key")
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.True(response.Header.Get("Retry-After") != "")
	is.Equal(fx.upstreamRequests.Load(), int32(1))
}

// Guards against a workspace whose requests run more often than its rate allows because each one is retried after a
// broken response: seed 1 of the soak test with faults saw 87 runs where 86 are allowed.
func TestRetryCountsTowardRate(t *testing.T) {
	is := is.New(t)
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	fx := newFixture(t, 10, abort, abort)
	fx.control = fakeControl{fx: fx, allowance: 1}
	_, _ = fx.post("/safe/", "", "key")
	is.Equal(fx.upstreamRequests.Load(), int32(1))
	fx.control = fakeControl{fx: fx, allowance: 3}
	_, _ = fx.post("/safe/", "", "key")
	is.Equal(fx.upstreamRequests.Load(), int32(3))
}

// Guards against requests that no upstream ran using up their workspace's rate, so that later ones are refused too.
func TestUnexecutedRequestRefundsRate(t *testing.T) {
	is := is.New(t)
	shed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fx := newFixture(t, 10, shed)
	fx.control = fakeControl{fx: fx, allowance: 1}
	for range 3 {
		response, _ := fx.post("/once/", "", "key")
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	}
}

// Guards against a route's splits getting shares of the requests that differ from their weights.
func TestSplitsFollowWeights(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0)
	route := catalog.Route{Name: "split", Splits: []catalog.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[ident.Service]int{}
	for range 100 {
		counts[fx.chooseService(&route)]++
	}
	is.Equal(counts, map[ident.Service]int{"a": 90, "b": 10})
}

// Guards against callers that wait longer than their route's timeout because the time that the request waited on the VM's
// link was not subtracted from the upstream's time.
func TestLinkDelayShortensTimeout(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	now := clock.BootTime{}.Now()
	fx.HandleReply(now, protocol.Report{}, protocol.ReportReply{Lease: time.Minute})
	for range 4 {
		fx.HandleReply(now.Add(-180*time.Millisecond), protocol.Report{}, protocol.ReportReply{Lease: time.Minute})
	}
	startedAt := time.Now()
	response, _ := fx.post("/once/", "", "key") // the route's timeout is 400 ms
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(startedAt) < 380*time.Millisecond)
	is.True(time.Since(startedAt) > 250*time.Millisecond)
}
