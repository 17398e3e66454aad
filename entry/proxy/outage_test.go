package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// Guards against a harmless request that stays quarantined for many minutes after an outage of its service, because each
// probe fell into the outage and reached no upstream.
func TestQuarantineEndsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const outage, recovery, interval = time.Minute, 20 * time.Second, 500 * time.Millisecond
	fx := newFixture(t, 0, answerOK)
	lease := &clock.Fake{}
	lease.Advance(time.Hour)
	var board observation.Board
	fx.opts.LeaseClock, fx.control = lease, exchangingControl{fx.Proxy, &board}
	fx.suspect(3, http.MethodPost, "/safe/x", "ab")
	up := fx.registry.Upstreams["u0"]
	delete(fx.registry.Upstreams, "u0")
	setUpstreams := func() {
		fx.registry.ChangedIndex++
		fx.Update(fx.registry)
	}
	setUpstreams()
	for end := lease.Now().Add(outage); lease.Now().Before(end); lease.Advance(interval) {
		response, _ := fx.post("/safe/x", "ab", "key")
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	}
	fx.registry.Upstreams[registry.UpstreamID("u0")] = up
	setUpstreams()
	back := lease.Now()
	for end := back.Add(recovery); lease.Now().Before(end); lease.Advance(interval) {
		if response, _ := fx.post("/safe/x", "ab", "key"); response.StatusCode == http.StatusOK {
			t.Logf("served %s after the outage", lease.Now().Sub(back))
			return
		}
	}
	t.Errorf("still quarantined %s after the outage", recovery)
}

// Guards against a round of the quarantine that is used up by a probe which reached no upstream.
func TestProbeThatReachedNoUpstreamIsRepeated(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	lease := &clock.Fake{}
	lease.Advance(time.Hour)
	var board observation.Board
	fx.opts.LeaseClock, fx.control = lease, exchangingControl{fx.Proxy, &board}
	fx.suspect(3, http.MethodPost, "/safe/x", "ab")
	up := fx.registry.Upstreams["u0"]
	gone := up
	gone.Address = freeAddress(t)
	for _, c := range []struct {
		upstream registry.Upstream
		status   int
	}{{gone, http.StatusServiceUnavailable}, {up, http.StatusOK}} {
		fx.registry.Upstreams["u0"] = c.upstream
		fx.registry.ChangedIndex++
		fx.Update(fx.registry)
		response, _ := fx.post("/safe/x", "ab", "key")
		is.Equal(response.StatusCode, c.status)
	}
}
