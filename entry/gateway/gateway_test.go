package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/rpc"
)

const (
	secret = "5ecre75ecre75ecre7"
	bearer = "Bearer ck_k1_" + secret
)

// fakeControl is a control group that keeps claims in memory.
type fakeControl struct {
	mu                  sync.Mutex
	claims              map[string]*fakeClaim
	failComplete        bool          // Complete waits for its deadline and fails
	claimDelay          time.Duration // delay before Claim replies
	abandoned           int
	announced, verdicts []proto.Message
	callError           error // error of Announce and SetVerdict
}

type fakeClaim struct {
	digest  string
	token   string
	outcome *rpc.Outcome
}

func (f *fakeControl) TriggerSync() {}

func (f *fakeControl) Claim(_ context.Context, _ time.Time, r *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	time.Sleep(f.claimDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.claims[r.Key]
	switch {
	case c == nil:
		f.claims[r.Key] = &fakeClaim{digest: string(r.Digest), token: r.Token}
		return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_GRANTED, Claim: 7}, nil
	case c.digest != string(r.Digest):
		return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_MISMATCH}, nil
	case c.outcome != nil:
		return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_COMPLETED, Outcome: c.outcome}, nil
	}
	return &rpc.ClaimReply{State: rpc.ClaimState_CLAIM_STATE_PENDING}, nil
}

func (f *fakeControl) Complete(ctx context.Context, deadline time.Time, r *rpc.CompleteRequest) error {
	if f.failComplete {
		_ = clock.Sleep(ctx, clock.System{}, deadline.Sub(clock.BootTime{}.Now()))
		return fault.New(fault.Unreachable, "complete", "", "no control")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[r.Key].outcome = proto.Clone(r.Outcome).(*rpc.Outcome)
	return nil
}

func (f *fakeControl) Abandon(_ context.Context, _ time.Time, r *rpc.AbandonRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claims, r.Key)
	f.abandoned++
	return nil
}

func (f *fakeControl) Announce(_ context.Context, _ time.Time, u *rpc.Upstream) (ident.Index, error) {
	f.announced = append(f.announced, u)
	return 5, f.callError
}

func (f *fakeControl) SetVerdict(_ context.Context, _ time.Time, r *rpc.JudgeRequest) (ident.Index, error) {
	f.verdicts = append(f.verdicts, r)
	return 6, f.callError
}

// suspendedClock is the clock of a VM that may be suspended. Its times are no deadlines of sockets.
type suspendedClock struct {
	clock.BootTime
	suspended atomic.Int64 // a time.Duration
}

func (c *suspendedClock) Now() time.Time {
	return c.BootTime.Now().Add(time.Duration(c.suspended.Load()))
}

// harness runs a gateway with its router, one upstream per service, and an HTTP server for callers.
type harness struct {
	*is.I
	gateway     *Gateway
	control     *fakeControl
	url         string
	server      *http.Server
	listener    *listener.Listener
	clock       *suspendedClock
	configIndex uint64
}

func newHarness(t testing.TB, upstreams map[string]string, silence time.Duration) *harness {
	b := &harness{I: is.New(t), control: &fakeControl{claims: make(map[string]*fakeClaim)}, clock: &suspendedClock{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.gateway = New(Options{
		Clock: b.clock, Log: log, Router: router.New(router.Config{VM: "e1", Incarnation: 1, Address: "127.0.0.1:1", Domain: "d1"}),
		Forward: forward.New(forward.Options{Clock: b.clock, SilenceTimeout: silence}), Control: b.control, VM: "e1", Incarnation: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); b.gateway.Run(ctx) }()
	b.applyConfig(upstreams)
	l, err := listener.Listen(ctx, "127.0.0.1:0", 10*time.Second)
	b.NoErr(err)
	b.listener = l
	b.url = "http://" + l.Addr().String()
	b.server = NewHTTPServer(l, b.gateway)
	go func() { _ = b.server.Serve(l) }()
	t.Cleanup(func() {
		_ = b.server.Close()
		b.gateway.Wait(context.Background())
		b.gateway.Forward.Close()
		cancel()
		<-ended
	})
	return b
}

// applyConfig gives the router a configuration with the services forecast (idempotent) and claims
// (not idempotent).
func (b *harness) applyConfig(upstreams map[string]string) {
	hash := sha256.Sum256([]byte(secret))
	sections := map[string]string{
		"places":   "[[region]]\nname='r1'\n[[domain]]\nname='d1'\nregion='r1'\n",
		"services": "[[service]]\nname='forecast'\nprefix='/forecast/'\nbody=200000\n[[service]]\nname='claims'\nprefix='/claims/'\nonce=true\n",
		"workspaces": fmt.Sprintf("[[workspace]]\nname='w1'\nrate=1e6\nburst=1e6\n[[workspace.key]]\nid='k1'\nhash='%s'\n",
			hex.EncodeToString(hash[:])),
	}
	b.configIndex++
	reply := &rpc.SyncReply{
		Term: 1, Index: b.configIndex, LeaseMs: 60000, Config: &rpc.Config{}, Registry: &rpc.Registry{},
		Versions: &rpc.Versions{Config: b.configIndex, Registry: b.configIndex, Members: b.configIndex, Allotments: b.configIndex},
		Members:  &rpc.Members{Members: []*rpc.Member{{Vm: "e1", Incarnation: 1, Address: "127.0.0.1:1", Domain: "d1"}}},
	}
	for name, text := range sections {
		reply.Config.Sections = append(reply.Config.Sections, &rpc.Section{Name: name, Revision: 1, Text: text})
	}
	shares := []*rpc.Allotment{{Limit: "workspace/w1", Rate: 1e6, Burst: 1e6}}
	for service, address := range upstreams {
		reply.Registry.Upstreams = append(reply.Registry.Upstreams, &rpc.Upstream{
			Service: service, Address: address, Domain: "d1", Slots: 64, Connections: 64, Incarnation: 1})
		shares = append(shares, &rpc.Allotment{Limit: "slots/" + address, Count: 64},
			&rpc.Allotment{Limit: "connections/" + address, Count: 64})
	}
	reply.Allotments = &rpc.Allotments{Allotments: shares}
	b.gateway.HandleReply(b.clock.Now(), reply)
	time.Sleep(5 * time.Millisecond) // the workspace's token bucket starts empty
}

// request returns a request with a workspace key and a timeout. Each field has the form "Name:
// value".
func (b *harness) request(method, path string, body io.Reader, fields ...string) *http.Request {
	r, err := http.NewRequest(method, b.url+path, body)
	b.NoErr(err)
	r.Header.Set("Authorization", bearer)
	r.Header.Set("Request-Timeout", "2s")
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		r.Header[name] = append(r.Header[name], value)
	}
	return r
}

// do sends a request on its own connection and returns the response with its body.
func (b *harness) do(r *http.Request) (*http.Response, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// recordingUpstream records the bytes of each request and responds with a fixed text.
type recordingUpstream struct {
	mu       sync.Mutex
	received strings.Builder
	runs     int
	status   int
	fields   map[string]string
	body     string
}

func (u *recordingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs++
	fmt.Fprintf(&u.received, "%s %s %s %v %s\n", r.Method, r.RequestURI, r.Host, r.Header, body)
	for name, value := range u.fields {
		w.Header().Set(name, value)
	}
	if u.status != 0 {
		w.WriteHeader(u.status)
	}
	_, _ = io.WriteString(w, u.body)
}

func (u *recordingUpstream) runCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs
}

func (u *recordingUpstream) start(t testing.TB) string {
	s := httptest.NewServer(u)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against forwarding the workspace key to an upstream, and against accepting a request that
// has the key's text outside the Authorization header.
func TestKeyIsNotForwarded(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"forecast": u.start(t)}, 0)
	escaped := strings.ReplaceAll(secret, "5", "%35")
	for _, c := range []struct {
		name, path, key string
		fields          []string
		status          int
	}{
		{"one header", "/forecast/a?b=c", bearer, nil, 200},
		{"other case of the scheme", "/forecast/a", "bEARER ck_k1_" + secret, nil, 200},
		{"own header from the caller", "/forecast/a", bearer, []string{"Cuminfall-Workspace: other", "cuminfall-x: y"}, 200},
		{"hop-by-hop header", "/forecast/a", bearer, []string{"Connection: X-Hop", "X-Hop: removed"}, 200},
		{"two headers", "/forecast/a", bearer, []string{"Authorization: " + bearer}, 401},
		{"no header", "/forecast/a?key=ck_k1_" + secret, "", nil, 401},
		{"query", "/forecast/a?key=ck_k1_" + secret, bearer, nil, 401},
		{"secret alone in the path", "/forecast/" + secret, bearer, nil, 401},
		{"escaped query", "/forecast/a?key=" + escaped, bearer, nil, 401},
		{"escaped twice", "/forecast/a?key=" + strings.ReplaceAll(escaped, "%", "%25"), bearer, nil, 401},
		{"other case", "/forecast/a?key=" + strings.ToUpper(secret), bearer, nil, 401},
		{"other header", "/forecast/a", bearer, []string{"X-Api-Key: ck_k1_" + secret}, 401},
		{"cookie", "/forecast/a", bearer, []string{"Cookie: k=" + secret}, 401},
		{"proxy header", "/forecast/a", bearer, []string{"Proxy-Authorization: " + bearer}, 401},
		{"unknown secret", "/forecast/a", "Bearer ck_k1_0000000000000000", nil, 401},
		{"other scheme", "/forecast/a", "Basic ck_k1_" + secret, nil, 401},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := u.runCount()
			r := b.request("GET", c.path, nil, c.fields...)
			r.Header["Authorization"][0] = c.key
			if c.key == "" {
				r.Header.Del("Authorization")
			}
			response, body, err := b.do(r)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status) // status
			if c.status == 200 {
				is.Equal(u.runCount(), before+1)
				return
			}
			var f fault.Error
			is.NoErr(json.Unmarshal([]byte(body), &f))
			is.Equal(f.Execution, fault.NotExecuted)
			is.Equal(response.Header.Get("Cuminfall-Run"), "not-run")
			is.Equal(u.runCount(), before) // a request refused as not run did not run
		})
	}
	raw := strings.ToLower(u.received.String())
	for _, part := range []string{secret, "authorization", "bearer", "other", "removed", "cuminfall-x"} {
		b.True(!strings.Contains(raw, part)) // must not reach the upstream
	}
	b.True(strings.Contains(raw, "cuminfall-workspace:[w1]"))
	b.True(strings.Contains(raw, "request-timeout:["))
}

// Guards against a VM that serves with a configuration that grew too old while the VM was suspended.
func TestConfigurationAgesDuringSuspension(t *testing.T) {
	upstream := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"forecast": upstream.start(t)}, time.Second)
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, _, err := b.do(b.request(http.MethodGet, "/forecast/x", nil))
		b.NoErr(err)
		b.Equal(response.StatusCode, status)
		b.clock.suspended.Store(int64(time.Minute))
	}
	b.Equal(upstream.runCount(), 1)
}
