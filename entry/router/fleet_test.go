package router

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

var (
	epoch  = time.Unix(1_800_000_000, 0)
	secret = KeyHash(sha256.Sum256([]byte("secret")))
)

// fataler is the method of a test that helpers need. The tests of both testing and
// rapid have it.
type fataler interface{ Fatal(args ...any) }

// testFleet is a small fleet that builds the replies of its control group.
type testFleet struct {
	document  document.Document
	verdicts  []*rpc.Verdict
	upstreams []*rpc.Upstream
	members   []*rpc.Member
	shares    []*rpc.Allotment
	versions  rpc.Versions
	lease     time.Duration
}

// newTestFleet returns a fleet with failure domains a1, that of the tested VM, and
// a2 in region a, and b1 in region b. It has workspaces w0 and w1 with keys k0 and k1.
func newTestFleet() *testFleet {
	f := &testFleet{lease: 3 * time.Second}
	f.document.Topology = document.Topology{
		Regions: []document.Region{{Name: "a"}, {Name: "b"}},
		Domains: []document.Domain{{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"}},
	}
	f.document.Services.Services = []document.Service{
		{Name: "read", Prefix: "/read/", MaxBody: 1000, MaxTimeout: 20 * time.Second},
		{Name: "book", Prefix: "/book/", NonIdempotent: true},
	}
	for i := range 2 {
		f.addWorkspace(i, 1000, 1000)
	}
	return f
}

func (f *testFleet) addWorkspace(i int, rate, burst float64) {
	f.document.Workspaces.Workspaces = append(f.document.Workspaces.Workspaces, document.Workspace{
		Name: workspaceName(i), Rate: ident.RequestRate(rate), Burst: burst,
		Keys: []document.Key{{ID: ident.KeyID(fmt.Sprint("k", i)), Hash: hex.EncodeToString(secret[:])}},
	})
	f.shares = append(f.shares, &rpc.Allotment{Limit: string(limit.OfWorkspace(workspaceName(i))), Rate: rate, Burst: burst})
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprint("w", i)) }

// addUpstream announces an endpoint and gives the VM a share of its slots.
func (f *testFleet) addUpstream(service ident.Service, address, domain string, share uint32) *rpc.Upstream {
	u := &rpc.Upstream{Service: string(service), Address: address, Domain: domain, Slots: 8, Connections: 100, Incarnation: 1}
	f.upstreams = append(f.upstreams, u)
	f.setShare(limit.OfSlots(ident.Address(address)), 0, 0, share)
	f.setShare(limit.OfConnections(ident.Address(address)), 0, 0, 100)
	return u
}

// setShare sets the VM's share of a limit.
func (f *testFleet) setShare(id ident.Limit, rate, burst float64, count uint32) {
	for _, a := range f.shares {
		if a.Limit == string(id) {
			a.Rate, a.Burst, a.Count = rate, burst, count
			return
		}
	}
	f.shares = append(f.shares, &rpc.Allotment{Limit: string(id), Rate: rate, Burst: burst, Count: count})
}

// fullReply returns a reply with all parts in a newer version.
func (f *testFleet) fullReply(t fataler) *rpc.SyncReply {
	f.versions.Config++
	f.versions.Registry++
	f.versions.Members++
	f.versions.Allotments++
	c := &rpc.Config{}
	for _, content := range []document.Content{&f.document.Topology, &f.document.Services, &f.document.Workspaces, &f.document.Drains, &f.document.Shifts} {
		text, err := document.Format(content)
		if err != nil {
			t.Fatal(err)
		}
		c.Sections = append(c.Sections, &rpc.Section{Name: string(sectionOf(content)), Revision: f.versions.Config, Text: text})
	}
	for _, v := range f.verdicts {
		c.Verdicts = append(c.Verdicts, &rpc.Verdict{Kind: v.Kind, Target: v.Target, Down: v.Down})
	}
	reply := f.unchangedReply()
	reply.Config = c
	reply.Registry, reply.Members, reply.Allotments = &rpc.Registry{}, &rpc.Members{Members: f.members}, &rpc.Allotments{}
	for _, u := range f.upstreams {
		reply.Registry.Upstreams = append(reply.Registry.Upstreams, &rpc.Upstream{Service: u.Service, Address: u.Address,
			Domain: u.Domain, Slots: u.Slots, Connections: u.Connections, Incarnation: u.Incarnation,
			Leaving: u.Leaving, Suspected: u.Suspected, Load: u.Load})
	}
	for _, a := range f.shares {
		reply.Allotments.Allotments = append(reply.Allotments.Allotments,
			&rpc.Allotment{Limit: a.Limit, Rate: a.Rate, Burst: a.Burst, Count: a.Count})
	}
	return reply
}

// unchangedReply returns a reply that has only the current versions and the lease.
func (f *testFleet) unchangedReply() *rpc.SyncReply {
	return &rpc.SyncReply{LeaseMs: f.lease.Milliseconds(), Versions: &rpc.Versions{Config: f.versions.Config,
		Registry: f.versions.Registry, Members: f.versions.Members, Allotments: f.versions.Allotments}}
}

func sectionOf(content document.Content) document.Section {
	switch content.(type) {
	case *document.Topology:
		return document.TopologySection
	case *document.Services:
		return document.ServicesSection
	case *document.Workspaces:
		return document.WorkspacesSection
	case *document.Drains:
		return document.DrainsSection
	}
	return document.ShiftsSection
}

// startRouter returns a router one second after its first exchange, so that its
// buckets hold tokens.
func (f *testFleet) startRouter(t fataler) *Router {
	r := New(Config{VM: "v0", Domain: "a1", Address: "127.0.0.1:7000"})
	r.Step(&Synced{At: epoch.Add(-time.Second), Sent: epoch.Add(-time.Second), Reply: f.fullReply(t)}, nil)
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: f.unchangedReply()}, nil)
	return r
}

// newRead returns an idempotent request.
func newRead(id RequestID, at time.Time) *RequestArrived {
	return &RequestArrived{At: at, ID: id, Path: "/read/x", KeyID: "k0", KeyHash: secret, Deadline: at.Add(10 * time.Second), Size: 10}
}

// newBook returns a non-idempotent request.
func newBook(id RequestID, at time.Time) *RequestArrived {
	e := newRead(id, at)
	e.Path, e.IdempotencyKey = "/book/x", "once"
	return e
}

// stepAndSend passes an event to the router and starts the attempts that it dispatches.
func stepAndSend(r *Router, e Event) []Effect {
	out := r.Step(e, nil)
	for i := 0; i < len(out); i++ {
		if s, ok := out[i].(*Send); ok {
			out = append(out, r.Step(&SendStarting{At: r.now, ID: s.ID, Attempt: s.Attempt}, nil)...)
		}
	}
	return out
}

// findSend returns the first Send among the effects, or nil.
func findSend(out []Effect) *Send {
	for _, e := range out {
		if s, ok := e.(*Send); ok {
			return s
		}
	}
	return nil
}

// findRefusal returns the first Refuse among the effects, or nil.
func findRefusal(out []Effect) *Refuse {
	for _, e := range out {
		if f, ok := e.(*Refuse); ok {
			return f
		}
	}
	return nil
}

// Guards against requests that are not sent, claimed or completed when nothing fails.
func TestRequestIsSentAndDone(t *testing.T) {
	is := is.New(t)
	fleet := newTestFleet()
	fleet.addUpstream("read", "127.0.0.1:1", "a1", 1)
	fleet.addUpstream("book", "127.0.0.1:2", "a1", 1)
	r := fleet.startRouter(t)
	s := findSend(r.Step(newRead(1, epoch), nil))
	is.Equal(s.Endpoint, ident.Address("127.0.0.1:1"))
	is.Equal(s.Attempt, uint8(1))
	out := r.Step(&AttemptEnded{At: epoch, ID: 1, Attempt: 1, Outcome: Answered}, nil)
	is.Equal(*out[0].(*Done), Done{ID: 1})

	out = r.Step(newBook(2, epoch), nil)
	is.Equal(*out[0].(*Claim), Claim{ID: 2, Workspace: "w0", Service: "book"})
	out = r.Step(&ClaimResult{At: epoch, ID: 2, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil)
	is.Equal(findSend(out).Endpoint, ident.Address("127.0.0.1:2"))
	is.True(findSend(out).NonIdempotent)
}

// Guards against serving requests before the first reply from control.
func TestRefusesBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := findRefusal(New(Config{VM: "v0"}).Step(newRead(1, epoch), nil)).Fault
	is.Equal(f.Code, fault.Stale)
	is.Equal(f.Execution, fault.NotExecuted)
}
