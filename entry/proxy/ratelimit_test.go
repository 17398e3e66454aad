package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// slowControl replies to a triggered report after a delay with an allowance for workspace "w".
type slowControl struct {
	fx        *fixture
	delay     time.Duration
	allowance int
}

func (c slowControl) HasLeader() bool { return true }

func (c slowControl) TriggerReport() {
	sentAt, report := clock.BootTime{}.Now(), c.fx.Report()
	time.AfterFunc(c.delay, func() {
		c.fx.HandleReply(sentAt, report, protocol.ReportReply{Allowances: protocol.Allowances{"w": c.allowance}, Lease: time.Minute})
	})
}

// Guards against refusals inside a workspace's rate: on a large site a VM seldom holds an allowance of a small workspace,
// and the exchange with a distant leader over a busy link takes longer than 300 ms.
func TestRequestWaitsForTheLeadersReply(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	setLatencyTarget(fx, 2*time.Second)
	fx.control = slowControl{fx, 450 * time.Millisecond, 1}
	response, _ := fx.post("/safe/x", "", "key")
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against requests beyond the rate that are held until the end of the wait although the leader has replied.
func TestRequestBeyondTheRateIsRefusedAtTheReply(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	setLatencyTarget(fx, 2*time.Second)
	fx.control = slowControl{fx, 50 * time.Millisecond, 0}
	startedAt := time.Now()
	response, _ := fx.post("/safe/x", "", "key")
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.True(time.Since(startedAt) < minRateWait)
}

// Guards against a late reply that extends the lease after a later leader was told of the allowances, or that applies
// changes which the leader has replaced since.
func TestLateReplyOnlyExtendsTheLease(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	sentAt := clock.BootTime{}.Now()
	lease := func() time.Duration {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		allowance, _, left := fx.rateLimiter.State(sentAt, "w")
		is.Equal(allowance, 3)
		return left
	}
	reply := func(term ident.Term, allowance int, lease time.Duration) protocol.ReportReply {
		return protocol.ReportReply{Term: term, Allowances: protocol.Allowances{"w": allowance}, Lease: lease}
	}
	overtaken := fx.Report()
	fx.HandleReply(sentAt, fx.Report(), reply(2, 3, time.Minute))
	late := fx.Report()
	fx.HandleLateReply(sentAt, late, reply(2, 5, 2*time.Minute))
	is.Equal(lease(), 2*time.Minute)
	fx.HandleLateReply(sentAt, overtaken, reply(2, 5, 3*time.Minute))
	fx.HandleLateReply(sentAt, late, reply(1, 5, 3*time.Minute))
	fx.HandleLateReply(sentAt, late, protocol.ReportReply{Term: 2, FullReportRequired: true, Lease: 3 * time.Minute})
	is.Equal(lease(), 2*time.Minute)
}

// Guards against a wait without limit while the leader is silent.
func TestWaitForTheLeadersReplyIsBounded(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	setLatencyTarget(fx, 100*time.Millisecond)
	fx.control = slowControl{fx, time.Hour, 1}
	startedAt := time.Now()
	response, _ := fx.post("/safe/x", "", "key")
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.True(time.Since(startedAt) >= minRateWait)
	is.True(time.Since(startedAt) < maxRateWait)
}

// newCountedCall returns a request that was counted at the returned clock's present time, on a VM with an allowance of one
// request for 10 s and a silent leader.
func newCountedCall(t *testing.T) (*call, *clock.Fake) {
	t.Helper()
	fx := newFixture(t, 5, answerOK)
	now := &clock.Fake{}
	now.Advance(time.Hour) // the zero time means that a request was not counted
	fx.opts.LeaseClock = now
	fx.control = slowControl{fx, time.Hour, 0}
	fx.rateLimiter.SetAllowances(protocol.Allowances{"w": 1}, now.Now().Add(10*time.Second))
	route := fx.catalog.Routes["safe"]
	c := &call{proxy: fx.Proxy, workspace: "w", route: &route, r: httptest.NewRequest(http.MethodGet, "/safe/x", nil)}
	if refused := c.takeRate(); refused != nil {
		t.Fatalf("a request within the allowance was refused: %s", refused.reason)
	}
	return c, now
}

// Guards against a process that was suspended between counting a request and sending it, and sends it although the lease
// of the allowance expired meanwhile.
func TestRateIsCountedAgainAfterASuspension(t *testing.T) {
	is := is.New(t)
	c, now := newCountedCall(t)
	now.Advance(maxSendDelay)
	is.Equal(c.renewRate(), nil)
	now.Advance(20 * time.Second)
	done := make(chan *refusal)
	go func() { done <- c.renewRate() }()
	for {
		select {
		case refused := <-done:
			is.True(refused != nil)
			is.Equal(refused.status, http.StatusTooManyRequests)
			return
		case <-time.After(time.Millisecond):
			now.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against requests that use up the whole jitter that a window allows for before they are sent, so that none of it
// is left for transit to the upstream: a request that is sent again after 200 ms counts from then.
func TestRateLeavesTimeForTransit(t *testing.T) {
	is := is.New(t)
	c, now := newCountedCall(t)
	now.Advance(200 * time.Millisecond)
	is.Equal(c.renewRate(), nil)
	now.Advance(c.proxy.opts.Bounds.RateWindow + protocol.RateJitter - 100*time.Millisecond)
	_, used, _ := c.proxy.rateLimiter.State(now.Now(), "w")
	is.Equal(used, 1)
}

// Guards against a request that is counted when its head arrives and sent seconds later, when its body is complete: the
// upstreams then get more requests within a window than the rate allows.
func TestRateIsCountedAfterTheBody(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	fx.control = fakeControl{fx: fx, allowance: 5}
	body, writer := io.Pipe()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+"/safe/x", body)
	is.NoErr(err)
	r.Host, r.ContentLength = "h", 4
	r.Header = http.Header{"X-Id": {"id"}, "X-Left": {"5000"}, "Authorization": {"key"}}
	done := make(chan int)
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			done <- 0
			return
		}
		_ = response.Body.Close()
		done <- response.StatusCode
	}()
	_, _ = io.WriteString(writer, "ab")
	for fx.metrics.requests.Count() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	fx.mu.Lock()
	_, used, _ := fx.rateLimiter.State(clock.BootTime{}.Now(), "w")
	fx.mu.Unlock()
	is.Equal(used, 0)
	_, _ = io.WriteString(writer, "cd")
	is.NoErr(writer.Close())
	is.Equal(<-done, http.StatusOK)
}

// setLatencyTarget changes the latency target of the idempotent route.
func setLatencyTarget(fx *fixture, target time.Duration) {
	next := *fx.catalog
	next.Routes = map[string]catalog.Route{}
	for name, route := range fx.catalog.Routes {
		route.LatencyTarget = target
		next.Routes[name] = route
	}
	fx.registry.Catalog = &next
	fx.Update(fx.registry)
}
