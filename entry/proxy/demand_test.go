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
	x := object.IDOf("x")
	count := func(homes ...ident.Region) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.countDemand(&balancer.Query{Service: "s", Object: "x", AllowedRegions: homes})
	}
	count()
	count("r")
	lost := fx.Report()
	is.Equal(lost.ObjectRequests, protocol.ObjectRequests{"s": {x: 1}})
	is.Equal(lost.Pinned["r"].ObjectRequests, protocol.ObjectRequests{"s": {x: 1}})
	count()
	again := fx.Report()
	is.Equal(again.ObjectRequests["s"][x], 2) // nobody answered the first
	count()
	fx.HandleReply(fx.opts.LeaseClock.Now(), again, protocol.ReportReply{Lease: time.Second})
	is.Equal(fx.Report().ObjectRequests["s"][x], 1)
	is.Equal(len(fx.Report().Pinned["r"].ObjectRequests["s"]), 0)
	is.True(fx.Report().BusySlots["s"] > 0)
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
	is.Equal(len(fx.Report().ObjectRequests["s"]), maxAsked)
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
		fx.HandleReply(fx.opts.LeaseClock.Now(), fx.Report(), protocol.ReportReply{Lease: time.Second,
			Assignments: protocol.Assignments{"s": {object.IDOf("x"): list}}})
	}
	tell(other)
	is.Equal(where(), other)
	fx.HandleReply(fx.opts.LeaseClock.Now(), fx.Report(), protocol.ReportReply{Term: 2, FullReportRequired: true})
	is.Equal(fx.Report().Assignments, protocol.Assignments{"s": {object.IDOf("x"): {other}}})
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
