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

// Guards against requests that the leader counts twice or never because a report or its reply was lost, and against
// requests pinned to one region being planned for all regions.
func TestDemandIsReportedOnce(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	objectID := object.IDOf("x")
	countRequest := func(allowedRegions ...ident.Region) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.countDemand(&balancer.Query{Service: "s", Object: "x", AllowedRegions: allowedRegions})
	}
	countRequest()
	countRequest("r")
	unanswered := fx.Report()
	is.Equal(unanswered.ObjectRequests, protocol.ObjectRequests{"s": {objectID: 1}})
	is.Equal(unanswered.Pinned["r"].ObjectRequests, protocol.ObjectRequests{"s": {objectID: 1}})
	countRequest()
	resent := fx.Report()
	is.Equal(resent.ObjectRequests["s"][objectID], 2) // the first report got no reply
	countRequest()
	fx.HandleReply(fx.opts.LeaseClock.Now(), resent, protocol.ReportReply{Lease: time.Second})
	is.Equal(fx.Report().ObjectRequests["s"][objectID], 1)
	is.Equal(len(fx.Report().Pinned["r"].ObjectRequests["s"]), 0)
	is.True(fx.Report().BusySlots["s"] > 0)
}

// Guards against callers that fill reports and the VM's memory by requesting many different object names.
func TestReportedObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	fx.mu.Lock()
	for i := range 4 * maxReportedObjects {
		fx.countDemand(&balancer.Query{Service: "s", Object: strconv.Itoa(i)})
	}
	fx.mu.Unlock()
	is.Equal(len(fx.Report().ObjectRequests["s"]), maxReportedObjects)
}

// Guards against a VM that ignores the upstreams which the leader assigned to an object, and against a full report that
// omits the assignments in use, so that a new leader would not know them.
func TestAssignmentsAreFollowed(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK, answerOK, answerOK, answerOK)
	chooseID := func() registry.UpstreamID {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		choice, ok := fx.balancer.Choose(fx.opts.Clock.Now(), &balancer.Query{Service: "s", Object: "x"})
		is.True(ok)
		return choice.Upstream.ID
	}
	before := chooseID()
	var other registry.UpstreamID
	for id := range fx.registry.Upstreams {
		if id != before {
			other = id
		}
	}
	handleAssignment := func(upstreams ...registry.UpstreamID) {
		fx.HandleReply(fx.opts.LeaseClock.Now(), fx.Report(), protocol.ReportReply{Lease: time.Second,
			Assignments: protocol.Assignments{"s": {object.IDOf("x"): upstreams}}})
	}
	handleAssignment(other)
	is.Equal(chooseID(), other)
	fx.HandleReply(fx.opts.LeaseClock.Now(), fx.Report(), protocol.ReportReply{Term: 2, FullReportRequired: true})
	is.Equal(fx.Report().Assignments, protocol.Assignments{"s": {object.IDOf("x"): {other}}})
	handleAssignment()
	is.Equal(chooseID(), before)
}

// Guards against a Retry-After of a VM without a catalog that is too short, so that callers exhaust their attempts before
// the control group has a leader, or too long although the catalog is about to arrive.
func TestRetryAfterWithoutCatalog(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	fx.mu.Lock()
	fx.table = nil
	fx.mu.Unlock()
	response, _ := fx.post("/once/", "", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "0.500")
	fx.control = fakeControl{fx: fx, noLeader: true}
	response, _ = fx.post("/once/", "", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "1.500")
}
