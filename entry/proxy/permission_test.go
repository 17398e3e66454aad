package proxy

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/forward"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// skewedClock is a clock that can jump forward.
type skewedClock struct {
	clock.Clock
	skew atomic.Int64 // a time.Duration
}

func (c *skewedClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.skew.Load())) }

func (c *skewedClock) jump(d time.Duration) { c.skew.Add(int64(d)) }

// pausingClock is a forward client's clock that pauses the first request between its check and its send.
type pausingClock struct {
	clock.System
	once  sync.Once
	pause func()
}

func (c *pausingClock) Now() time.Time {
	c.once.Do(c.pause)
	return c.System.Now()
}

// pausingFixture is a fixture whose clocks jump while its first request waits for a connection.
type pausingFixture struct {
	*fixture
	lease, requests *skewedClock
	pauses          atomic.Int32
}

// newPausingFixture returns a fixture with one upstream, in which the workspace may admit 5 requests within a minute and a
// cold upstream gets one request per second.
func newPausingFixture(t *testing.T, handler http.HandlerFunc, pause func(*pausingFixture)) *pausingFixture {
	t.Helper()
	fx := &pausingFixture{fixture: newFixture(t, 5, handler), lease: &skewedClock{Clock: clock.BootTime{}}, requests: &skewedClock{Clock: clock.System{}}}
	fx.opts.LeaseClock, fx.opts.Clock = fx.lease, fx.requests
	fx.opts.Forward = forward.New(forward.Options{WireFormat: fx.opts.WireFormat.Forward, Clock: &pausingClock{pause: func() {
		fx.pauses.Add(1)
		pause(fx)
	}}})
	fx.control = slowControl{fx.fixture, time.Hour, 0}
	fx.rateLimiter.SetAllowances(protocol.Allowances{"w": 5}, fx.lease.Now().Add(time.Minute))
	fx.coldLimiter.Bounds.ColdSlack = 2
	fx.Update(fx.registry)
	return fx
}

// changeUpstream announces the upstream anew.
func (fx *fixture) changeUpstream(change func(*registry.Upstream)) {
	u := fx.registry.Upstreams["u0"]
	u.Sequence++
	change(&u)
	fx.registry.Upstreams = map[registry.UpstreamID]registry.Upstream{"u0": u}
	fx.registry.ChangedIndex++
	fx.Update(fx.registry)
}

// changeCatalog replaces the catalog.
func (fx *fixture) changeCatalog(change func(*catalog.Catalog)) {
	next := *fx.catalog
	next.Version++
	next.Routes, next.Workspaces = maps.Clone(next.Routes), maps.Clone(next.Workspaces)
	change(&next)
	fx.catalog, fx.registry.Catalog = &next, &next
	fx.Update(fx.registry)
}

// Guards against a process that was paused while a request waited for a connection, and sends it although what permitted
// the send has ended meanwhile.
func TestPermissionsAreCheckedRightBeforeTheSend(t *testing.T) {
	setCold := func(u *registry.Upstream) { u.RemainingColdTime = time.Minute }
	for _, c := range []struct {
		name   string
		pause  func(*pausingFixture)
		status int
	}{
		{"nothing has ended", func(fx *pausingFixture) { fx.lease.jump(20 * time.Second) }, http.StatusOK},
		{"the lease of the allowance has expired", func(fx *pausingFixture) { fx.lease.jump(2 * time.Minute) }, http.StatusTooManyRequests},
		{"the allowance was lowered", func(fx *pausingFixture) {
			fx.lease.jump(20 * time.Second)
			fx.rateLimiter.SetAllowances(protocol.Allowances{"w": 0}, fx.lease.Now().Add(time.Minute))
		}, http.StatusTooManyRequests},
		{"the failure domain is drained", func(fx *pausingFixture) {
			fx.registry.Drained = map[ident.Domain]bool{"d": true}
			fx.Update(fx.registry)
		}, http.StatusServiceUnavailable},
		{"the upstream has announced that it leaves", func(fx *pausingFixture) {
			fx.changeUpstream(func(u *registry.Upstream) { u.State = registry.Leaving })
		}, http.StatusServiceUnavailable},
		{"the upstream has become cold and gets another request", func(fx *pausingFixture) {
			fx.changeUpstream(setCold)
			fx.requests.jump(200 * time.Millisecond)
			fx.coldLimiter.RecordSend(fx.requests.Now(), "u0")
		}, http.StatusServiceUnavailable},
		{"the upstream has become cold", func(fx *pausingFixture) {
			fx.changeUpstream(setCold)
			fx.requests.jump(200 * time.Millisecond)
		}, http.StatusOK},
		{"the route was removed", func(fx *pausingFixture) {
			fx.changeCatalog(func(c *catalog.Catalog) { delete(c.Routes, "once") })
		}, http.StatusNotFound},
		{"the route goes to another service", func(fx *pausingFixture) {
			fx.changeRoute("once", func(r *catalog.Route) { r.Splits = []catalog.Split{{Service: "other", Weight: 1}} })
		}, http.StatusServiceUnavailable},
		{"the key was withdrawn", func(fx *pausingFixture) {
			fx.changeCatalog(func(c *catalog.Catalog) { c.Workspaces["w"] = catalog.Workspace{Name: "w", Rate: 5} })
		}, http.StatusUnauthorized},
		{"another region must serve the workspace", func(fx *pausingFixture) {
			fx.changeCatalog(func(c *catalog.Catalog) {
				c.Workspaces["w"] = catalog.Workspace{Name: "w", Keys: []string{"key"}, AllowedRegions: []ident.Region{"elsewhere"}}
			})
		}, http.StatusServiceUnavailable},
		{"another route was added", func(fx *pausingFixture) {
			fx.changeCatalog(func(c *catalog.Catalog) { c.Routes["new"] = catalog.Route{Name: "new", Host: "h", Prefix: "/new/"} })
		}, http.StatusOK},
		{"the request was quarantined", func(fx *pausingFixture) { fx.suspect(3, "POST", "/once/x", "ab") }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			fx := newPausingFixture(t, answerOK, c.pause)
			response, _ := fx.post("/once/x", "ab", "key")
			is.Equal(response.StatusCode, c.status)
			is.Equal(fx.pauses.Load(), int32(1))
			is.Equal(fx.upstreamRequests.Load() == 1, c.status == http.StatusOK)
		})
	}
}

// Guards against a retry that a paused process sends although the retry budget has shrunk.
func TestRetryIsCountedRightBeforeTheSend(t *testing.T) {
	for pause, withheld := range map[time.Duration]bool{50 * time.Millisecond: false, time.Second: true} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			fx := newPausingFixture(t, breakOff, func(fx *pausingFixture) {
				fx.requests.jump(pause)
				fx.retryBudget.Bounds.RetrySlack = 0
			})
			c := fx.newCall(nil)
			c.service = "s"
			is.True(c.takeRetry(1))
			choice, refused := c.chooseUpstream(nil)
			is.True(refused == nil)
			result := c.attempt(choice)
			is.Equal(result.withheld, withheld)
			is.True(!result.retryable)
		})
	}
}

// Guards against counts that a second count of the same request leaves behind.
func TestRequestIsCountedOnce(t *testing.T) {
	is := is.New(t)
	fx := newPausingFixture(t, answerOK, func(fx *pausingFixture) {
		fx.lease.jump(time.Second)
		fx.requests.jump(time.Second / 2)
	})
	fx.changeUpstream(func(u *registry.Upstream) { u.RemainingColdTime = time.Minute })
	response, _ := fx.post("/safe/x", "", "key")
	is.Equal(response.StatusCode, http.StatusOK)
	_, used, _ := fx.rateLimiter.State(fx.lease.Now(), "w")
	is.Equal(used, 1)
	is.True(!fx.coldLimiter.Admits(fx.requests.Now(), "u0", 0, 2))
	is.True(fx.coldLimiter.Admits(fx.requests.Now().Add(1300*time.Millisecond), "u0", 0, 2))
}
