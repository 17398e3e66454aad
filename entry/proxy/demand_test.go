package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against requests that the leader counts twice or never because a report or its answer was lost, and against
// those that one region alone may serve being planned for all.
func TestDemandIsReportedOnce(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, good)
	x := object.Of("x")
	count := func(homes ...ident.Region) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.countDemand(&balancer.Query{Service: "s", Object: "x", Homes: homes})
	}
	count()
	count("r")
	lost := fx.Report()
	is.Equal(lost.Asked, protocol.Asked{"s": {x: 1}})
	is.Equal(lost.Tied["r"].Asked, protocol.Asked{"s": {x: 1}})
	count()
	again := fx.Report()
	is.Equal(again.Asked["s"][x], 2) // nobody answered the first
	count()
	fx.Lent(fx.opts.Leases.Now(), again, protocol.ReportReply{Lease: time.Second})
	is.Equal(fx.Report().Asked["s"][x], 1)
	is.Equal(len(fx.Report().Tied["r"].Asked["s"]), 0)
	is.True(fx.Report().Busy["s"] > 0)
}

// Guards against callers who fill reports and this VM's memory with names of objects.
func TestReportedObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, good)
	fx.mu.Lock()
	for i := range 4 * maxAsked {
		fx.countDemand(&balancer.Query{Service: "s", Object: strconv.Itoa(i)})
	}
	fx.mu.Unlock()
	is.Equal(len(fx.Report().Asked["s"]), maxAsked)
}

// Guards against a VM that sends objects elsewhere than the leader planned, or that a new leader believes to have no plan.
func TestPlacesAreFollowed(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, good, good, good, good)
	where := func() registry.UpstreamID {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		c, ok := fx.placer.Choose(fx.opts.Clock.Now(), &balancer.Query{Service: "s", Object: "x"})
		is.True(ok)
		return c.Upstream.ID
	}
	before := where()
	var other registry.UpstreamID
	for id := range fx.state.Upstreams {
		if id != before {
			other = id
		}
	}
	tell := func(list ...registry.UpstreamID) {
		fx.Lent(fx.opts.Leases.Now(), fx.Report(), protocol.ReportReply{Lease: time.Second,
			Places: protocol.Places{"s": {object.Of("x"): list}}})
	}
	tell(other)
	is.Equal(where(), other)
	fx.Lent(fx.opts.Leases.Now(), fx.Report(), protocol.ReportReply{Term: 2, Again: true})
	is.Equal(fx.Report().Places, protocol.Places{"s": {object.Of("x"): {other}}})
	tell()
	is.Equal(where(), before)
}

// Guards against callers of a VM that has just started being asked back so soon that their tries are used up before
// the control group leads again, and so late that they wait where the catalog is on its way.
func TestNoCatalogAsksCallersToWait(t *testing.T) {
	is := is.New(t)
	fx := start(t, 0, good)
	fx.mu.Lock()
	fx.table = nil
	fx.mu.Unlock()
	answer, _ := fx.ask("/once/", "", "key")
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get("Retry-After"), "0.500")
	fx.control = leader{fx: fx, away: true}
	answer, _ = fx.ask("/once/", "", "key")
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.Equal(answer.Header.Get("Retry-After"), "1.500")
}
