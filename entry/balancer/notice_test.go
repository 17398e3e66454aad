package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// testRegistry returns n upstreams of service "s" in each of the domains.
func testRegistry(n int, domains ...ident.Domain) map[registry.UpstreamID]registry.Upstream {
	registered := map[registry.UpstreamID]registry.Upstream{}
	for _, d := range domains {
		for i := range n {
			id := registry.UpstreamID(fmt.Sprintf("%s-%d", d, i))
			registered[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(id), Domain: d, Slots: 4, State: registry.Ready, StartedAt: 1}
		}
	}
	return registered
}

func testBalancer(now time.Time, registered map[registry.UpstreamID]registry.Upstream) *Balancer {
	b := &Balancer{VM: "vm", Domain: "a1", Regions: regions, Costs: costs}
	b.SetUpstreams(now, registered)
	return b
}

// Guards against new work for an upstream that said that it leaves, because the registry still calls it ready or lost
// sight of it for a while, and against a mark that outlives the run that it is about.
func TestLeavingMarkLastsForTheRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(2, "a1")
	b := testBalancer(now, registered)
	run := registered["a1-0"]
	sendsTo := func(id registry.UpstreamID) int {
		n := 0
		for i := range 40 {
			if c, ok := b.Choose(now, &Query{Service: "s", Object: fmt.Sprint("o", i), LeaseNow: now}); ok && c.Upstream.ID == id {
				n++
			}
		}
		return n
	}
	is.True(sendsTo(run.ID) > 0)
	is.True(b.MarkLeaving(run))
	is.True(!b.MarkLeaving(run)) // no news
	is.Equal(sendsTo(run.ID), 0)
	is.Equal(b.RestrictionOf(now, run), Leaving)
	later := registered["a1-0"]
	later.Sequence++
	registered["a1-0"] = later
	b.SetUpstreams(now, registered)
	is.Equal(sendsTo(run.ID), 0)
	delete(registered, run.ID)
	b.SetUpstreams(now, registered)
	is.Equal(b.RestrictionOf(now, run), Gone)
	registered[run.ID] = later
	b.SetUpstreams(now, registered)
	is.Equal(sendsTo(run.ID), 0)
	restarted := later
	restarted.StartedAt++
	registered[run.ID] = restarted
	b.SetUpstreams(now, registered)
	is.True(sendsTo(run.ID) > 0)
	is.True(!b.MarkLeaving(run)) // a late answer of the earlier run
	is.True(sendsTo(run.ID) > 0)
}

// Guards against requests within a quiet span, and against one that ends early because a shorter one follows.
func TestQuietSpanIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	b := testBalancer(now, registered)
	run := registered["a1-0"]
	until, news := b.SetQuiet(now, run, 4*time.Second)
	is.True(news)
	is.True(!until.Before(now.Add(4 * time.Second)))
	is.True(!until.After(now.Add(4*time.Second + maxReturnDelay)))
	_, news = b.SetQuiet(now.Add(time.Second), run, time.Second)
	is.True(!news)
	b.SetUpstreams(now, registered)
	for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(100 * time.Millisecond) {
		_, ok := b.Choose(at, &Query{Service: "s", LeaseNow: at})
		is.True(!ok)
		is.Equal(b.RestrictionOf(at, run), Quiet)
	}
	_, ok := b.Choose(until, &Query{Service: "s", LeaseNow: until})
	is.True(ok)
}

// Guards against requests within a span that a new run asked for before this VM knew of it, and against a long span of the
// run before that keeps the new one out of use.
func TestQuietSpanOfUnannouncedRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	b := testBalancer(now, registered)
	mayGet := func(at time.Time) bool {
		_, ok := b.Choose(at, &Query{Service: "s", LeaseNow: at})
		return ok
	}
	b.SetQuiet(now, registered["a1-0"], 3*time.Second)
	run := registered["a1-0"]
	run.StartedAt++
	registered["a1-0"] = run
	b.SetUpstreams(now, registered)
	is.True(!mayGet(now.Add(2900 * time.Millisecond)))
	b.SetQuiet(now, run, time.Hour)
	run.StartedAt++
	registered["a1-0"] = run
	b.SetUpstreams(now, registered)
	is.True(mayGet(now.Add(maxCarriedQuiet)))
}

// Guards against requests within a span that an upstream asked for while the registry had lost sight of it.
func TestQuietSpanOfDroppedUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	b := testBalancer(now, registered)
	run := registered["a1-0"]
	b.SetUpstreams(now, nil)
	b.SetQuiet(now, run, 4*time.Second)
	restarted := run
	restarted.StartedAt++
	b.SetQuiet(now, restarted, time.Second)
	b.SetQuiet(now, run, time.Hour) // a late answer of the earlier run
	b.SetUpstreams(now, map[registry.UpstreamID]registry.Upstream{run.ID: restarted})
	is.Equal(b.RestrictionOf(now.Add(900*time.Millisecond), restarted), Quiet)
	is.Equal(b.RestrictionOf(now.Add(2*time.Second), restarted), Unrestricted)
}

// Guards against a burst at a new run that has asked for a longer span than the one which is carried over to it.
func TestOneRequestAfterCarriedQuietSpan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	b := testBalancer(now, registered)
	run := registered["a1-0"]
	b.SetQuiet(now, run, time.Minute)
	run.StartedAt++
	registered["a1-0"] = run
	b.SetUpstreams(now, registered)
	now = now.Add(maxCarriedQuiet)
	_, ok := b.Choose(now, &Query{Service: "s", LeaseNow: now})
	is.True(ok)
	b.RequestSent(now, run.ID)
	_, ok = b.Choose(now, &Query{Service: "s", LeaseNow: now})
	is.True(!ok)
}

// Guards against a burst at the end of a span: the upstream gets a second request once it has answered the first.
func TestOneRequestAfterQuietSpan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	b := testBalancer(now, registered)
	until, _ := b.SetQuiet(now, registered["a1-0"], time.Second)
	mayGet := func(at time.Time) bool {
		_, ok := b.Choose(at, &Query{Service: "s", LeaseNow: at})
		return ok
	}
	is.True(mayGet(until))
	b.RequestSent(until, "a1-0")
	is.True(!mayGet(until))
	is.True(mayGet(until.Add(maxTrial)))
	b.RequestEnded(until, AttemptResult{Service: "s", UpstreamID: "a1-0", Outcome: Answered, LeaseNow: until, Load: -1})
	b.RequestSent(until, "a1-0")
	is.True(mayGet(until))
}

// Guards against a refused caller that is told a time at which no upstream has returned, or a later one than the first.
func TestEarliestReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(2, "a1", "b1")
	b := testBalancer(now, registered)
	q := &Query{Service: "s", LeaseNow: now}
	_, restricted := b.EarliestReturn(q)
	is.True(!restricted)
	first, _ := b.SetQuiet(now, registered["a1-0"], 3*time.Second)
	_, restricted = b.EarliestReturn(q)
	is.True(!restricted)
	b.MarkLeaving(registered["a1-1"])
	wait, restricted := b.EarliestReturn(q)
	is.True(restricted)
	is.Equal(wait, first.Sub(now))
	q.AllowedRegions = []ident.Region{"b"}
	_, restricted = b.EarliestReturn(q)
	is.True(!restricted)
}

// Guards against all requests of a region moving to another one at once because its upstreams asked for quiet: a shift
// of requests between regions stays under its cap.
func TestQuietRegionKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(2, "a1", "b1")
	b := testBalancer(now, registered)
	for _, id := range []registry.UpstreamID{"a1-0", "a1-1"} {
		b.SetQuiet(now, registered[id], time.Second)
	}
	_, ok := b.Choose(now, &Query{Service: "s", Object: "o", LeaseNow: now})
	is.True(!ok)
	c, ok := b.Choose(now, &Query{Service: "s", Object: "o", LeaseNow: now, AllowOutOfRegion: true})
	is.True(ok)
	is.True(c.OutOfRegion)
}

// Guards against VMs that end equal spans at the same moment.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	registered := testRegistry(1, "a1")
	const vms, parts = 90, 5
	var counts [parts]int
	for i := range vms {
		b := testBalancer(now, registered)
		b.VM = ident.VM(fmt.Sprint("vm-", i))
		until, _ := b.SetQuiet(now, registered["a1-0"], time.Second)
		delay := until.Sub(now.Add(time.Second))
		counts[int(float64(delay)*parts/(maxReturnSpread*float64(time.Second)))]++
	}
	for _, n := range counts {
		is.True(n > vms/parts/3)
		is.True(n < 2*vms/parts)
	}
}
