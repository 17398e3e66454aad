package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// suspect makes a request known from crashes of upstreams that are gone, a second apart.
func (fx *fixture) suspect(crashes int, method, path, body string) {
	f := quarantine.HeadOf(method, "h", path, "w", int64(len(body))).WithBody([]byte(body))
	now := fx.opts.LeaseClock.Now()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	for i := range crashes {
		fact := observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: registry.UpstreamID(fmt.Sprint("gone", i)), StartedAt: 1}
		fx.observations.Add(now.Add(-time.Duration(crashes-i)*time.Second), fact, quarantine.Lifetime)
	}
	fx.judgeSuspects(now)
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// changeRoute replaces a route in the catalog.
func (fx *fixture) changeRoute(name string, change func(*catalog.Route)) {
	changed := *fx.catalog
	changed.Routes = maps.Clone(fx.catalog.Routes)
	route := changed.Routes[name]
	change(&route)
	changed.Routes[name] = route
	fx.catalog, fx.registry.Catalog = &changed, &changed
	fx.Update(fx.registry)
}

// Guards against a suspect request that waits for a claim or for its body beyond the end of its VM's shutdown.
func TestWaitOfSuspectEndsWithStop(t *testing.T) {
	whole := strings.Repeat("x", minStreamedBody)
	for name, c := range map[string]struct{ body, sent string }{"claim": {"ab", "ab"}, "claim after upload": {whole, whole}, "upload": {whole, whole[1:]}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, answerOK)
			fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = 20 * time.Second })
			fx.suspect(3, "POST", "/once/x", c.body)
			conn, err := net.Dial("tcp", fx.server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			startedAt := time.Now()
			time.AfterFunc(100*time.Millisecond, fx.stop.endRunning)
			_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Left: 20000\r\nAuthorization: key\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.sent)
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(startedAt.Add(maxSuspectWait * 3 / 4)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(fx.upstreamRequests.Load(), int32(0))
		})
	}
}

// Guards against "not run" for a request that a quarantine ends after an attempt which may have run.
func TestQuarantineAfterRunIsNoRefusal(t *testing.T) {
	is := is.New(t)
	var fx *fixture
	var runs atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			breakOff(w, r)
		}
		fx.suspect(3, "POST", "/safe/x", "ab")
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fx = newFixture(t, 0, handler, handler, handler)
	fx.changeRoute("safe", func(r *catalog.Route) { r.MaxAttempts = 3 })
	response, _ := fx.post("/safe/x", "ab", "key")
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(runs.Load(), int32(2))
}

// countingControl counts the reports that are triggered.
type countingControl struct{ triggers *atomic.Int32 }

func (countingControl) HasLeader() bool  { return true }
func (c countingControl) TriggerReport() { c.triggers.Add(1) }

// Guards against an answer that waits until all requests are judged again for each upstream that had crashed.
func TestAnswerAfterManyCrashesIsOneReport(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	const crashes = 200 // simultaneous, so that the request is not quarantined
	f := quarantine.HeadOf("POST", "h", "/safe/x", "w", 2).WithBody([]byte("ab"))
	var facts []observation.Fact
	for i := range crashes {
		facts = append(facts, observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: registry.UpstreamID(fmt.Sprint("gone", i)), StartedAt: 1})
	}
	var triggers atomic.Int32
	fx.control = countingControl{&triggers}
	fx.observeAll(facts, quarantine.Lifetime) // at one time, however slow the machine is
	triggers.Store(0)
	response, _ := fx.post("/safe/x", "ab", "key")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(fx.observations.Len(), 2*crashes)
	is.Equal(triggers.Load(), int32(1))
}

// Guards against a request that crashes upstreams and is sent again as soon as its workspace changes its key.
func TestQuarantineOutlivesAChangeOfKeys(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	changed := *fx.catalog
	changed.Workspaces = maps.Clone(fx.catalog.Workspaces)
	changed.Workspaces["w"] = catalog.Workspace{Name: "w", Keys: []string{"key", "new"}}
	fx.registry.Catalog = &changed
	fx.Update(fx.registry)
	fx.suspect(3, "POST", "/safe/x", "ab")
	for _, key := range []string{"key", "new"} {
		response, _ := fx.post("/safe/x", "ab", key)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	}
	is.Equal(fx.upstreamRequests.Load(), int32(0))
}

// restart replaces the proxy by one without memory, which starts with the state of a registry.
func (fx *fixture) restart(state []byte) {
	fx.t.Helper()
	if err := fx.registry.Restore(state); err != nil {
		fx.t.Fatal(err)
	}
	fx.server.Close()
	opts := fx.opts
	opts.Metrics = metrics.NewRegistry()
	fx.Proxy = New(opts)
	fx.control = fakeControl{fx: fx}
	fx.Update(fx.registry)
	fx.retryBudget.VMs = 1
	fx.server = httptest.NewServer(fx)
	fx.t.Cleanup(fx.server.Close)
}

// stateWith returns the state of the registry with facts that it keeps.
func (fx *fixture) stateWith(facts ...observation.Fact) []byte {
	fx.t.Helper()
	state, err := fx.registry.Encode()
	if err != nil {
		fx.t.Fatal(err)
	}
	kept, err := json.Marshal(facts)
	if err != nil {
		fx.t.Fatal(err)
	}
	return fmt.Appendf(state[:len(state)-1], `,"kept":%s}`, kept)
}

// crashesOf returns the facts that a request was at upstreams that crashed.
func crashesOf(f quarantine.Fingerprint, upstreams ...registry.UpstreamID) (facts []observation.Fact) {
	for _, u := range upstreams {
		facts = append(facts, observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: u, StartedAt: 1})
	}
	return facts
}

// Guards against a request that crashes upstreams and is sent again by VMs that have all lost their memory.
func TestQuarantineOutlivesALossOfAllVMs(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	f := quarantine.HeadOf("POST", "h", "/safe/x", "w", 2).WithBody([]byte("ab"))
	fx.restart(fx.stateWith(crashesOf(f, "u1", "u2", "u3")...))
	response, _ := fx.post("/safe/x", "ab", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(fx.upstreamRequests.Load(), int32(0))
}

// Guards against a second probe of a round by a VM that has been started again since the first one.
func TestRestartedVMDoesNotRepeatItsProbe(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	f := quarantine.HeadOf("POST", "h", "/safe/x", "w", 2).WithBody([]byte("ab"))
	claim := observation.Fact{Kind: quarantine.Claim, Subject: string(f), VM: "vm", Round: 1}
	var board observation.Board
	board.Restore(fx.opts.LeaseClock.Now(), append(crashesOf(f, "u1", "u2", "u3"), claim))
	fx.restart(fx.stateWith(append(crashesOf(f, "u1", "u2", "u3"), claim)...))
	fx.control = exchangingControl{fx.Proxy, &board}
	fx.control.TriggerReport()
	response, _ := fx.post("/safe/x", "ab", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(fx.upstreamRequests.Load(), int32(0))
}
