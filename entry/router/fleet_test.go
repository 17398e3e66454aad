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

// failer is the part of a test that helpers need; both testing and rapid have it.
type failer interface{ Fatal(args ...any) }

// plant is a small fleet whose control answers are built by hand.
type plant struct {
	doc       document.Document
	verdicts  []*rpc.Verdict
	upstreams []*rpc.Upstream
	members   []*rpc.Member
	shares    []*rpc.Allotment
	versions  rpc.Versions
	lease     time.Duration
}

// newPlant has the VM's own failure domain a1 and domain a2 in region a, and b1
// in region b, with workspaces w0 and w1 and their keys k0 and k1.
func newPlant() *plant {
	p := &plant{lease: 3 * time.Second}
	p.doc.Topology = document.Topology{
		Regions: []document.Region{{Name: "a"}, {Name: "b"}},
		Domains: []document.Domain{{Name: "a1", Region: "a"}, {Name: "a2", Region: "a"}, {Name: "b1", Region: "b"}},
	}
	p.doc.Services.Services = []document.Service{
		{Name: "read", Prefix: "/read/", MaxBody: 1000, MaxTimeout: 20 * time.Second},
		{Name: "book", Prefix: "/book/", NonIdempotent: true},
	}
	for i := range 2 {
		p.addWorkspace(i, 1000, 1000)
	}
	return p
}

func (p *plant) addWorkspace(i int, rate, burst float64) {
	p.doc.Workspaces.Workspaces = append(p.doc.Workspaces.Workspaces, document.Workspace{
		Name: workspaceName(i), Rate: ident.RequestRate(rate), Burst: burst,
		Keys: []document.Key{{ID: ident.KeyID(fmt.Sprint("k", i)), Hash: hex.EncodeToString(secret[:])}},
	})
	p.shares = append(p.shares, &rpc.Allotment{Limit: string(limit.OfWorkspace(workspaceName(i))), Rate: rate, Burst: burst})
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprint("w", i)) }

// upstream announces an endpoint of which the VM has a share of slots.
func (p *plant) upstream(service ident.Service, address, domain string, share uint32) *rpc.Upstream {
	u := &rpc.Upstream{Service: string(service), Address: address, Domain: domain, Slots: 8, Connections: 100, Incarnation: 1}
	p.upstreams = append(p.upstreams, u)
	p.share(limit.OfSlots(ident.Address(address)), 0, 0, share)
	p.share(limit.OfConnections(ident.Address(address)), 0, 0, 100)
	return u
}

// share sets the VM's share of a limit.
func (p *plant) share(id ident.Limit, rate, burst float64, count uint32) {
	for _, a := range p.shares {
		if a.Limit == string(id) {
			a.Rate, a.Burst, a.Count = rate, burst, count
			return
		}
	}
	p.shares = append(p.shares, &rpc.Allotment{Limit: string(id), Rate: rate, Burst: burst, Count: count})
}

// reply returns everything in a newer version.
func (p *plant) reply(t failer) *rpc.SyncReply {
	p.versions.Config++
	p.versions.Registry++
	p.versions.Members++
	p.versions.Allotments++
	c := &rpc.Config{}
	for _, part := range []document.Content{&p.doc.Topology, &p.doc.Services, &p.doc.Workspaces, &p.doc.Drains, &p.doc.Shifts} {
		text, err := document.Format(part)
		if err != nil {
			t.Fatal(err)
		}
		c.Sections = append(c.Sections, &rpc.Section{Name: string(sectionOf(part)), Revision: p.versions.Config, Text: text})
	}
	for _, v := range p.verdicts {
		c.Verdicts = append(c.Verdicts, &rpc.Verdict{Kind: v.Kind, Target: v.Target, Down: v.Down})
	}
	reply := p.same()
	reply.Config = c
	reply.Registry, reply.Members, reply.Allotments = &rpc.Registry{}, &rpc.Members{Members: p.members}, &rpc.Allotments{}
	for _, u := range p.upstreams {
		reply.Registry.Upstreams = append(reply.Registry.Upstreams, &rpc.Upstream{Service: u.Service, Address: u.Address,
			Domain: u.Domain, Slots: u.Slots, Connections: u.Connections, Incarnation: u.Incarnation,
			Leaving: u.Leaving, Suspected: u.Suspected, Load: u.Load})
	}
	for _, a := range p.shares {
		reply.Allotments.Allotments = append(reply.Allotments.Allotments,
			&rpc.Allotment{Limit: a.Limit, Rate: a.Rate, Burst: a.Burst, Count: a.Count})
	}
	return reply
}

// same returns a reply without any newer part.
func (p *plant) same() *rpc.SyncReply {
	return &rpc.SyncReply{LeaseMs: p.lease.Milliseconds(), Versions: &rpc.Versions{Config: p.versions.Config,
		Registry: p.versions.Registry, Members: p.versions.Members, Allotments: p.versions.Allotments}}
}

func sectionOf(part document.Content) document.Section {
	switch part.(type) {
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

// start returns a router of the plant one second after its first exchange, so that buckets hold tokens.
func (p *plant) start(t failer) *Router {
	r := New(Config{VM: "v0", Domain: "a1", Address: "127.0.0.1:7000"})
	r.Step(&Synced{At: epoch.Add(-time.Second), Sent: epoch.Add(-time.Second), Reply: p.reply(t)}, nil)
	r.Step(&Synced{At: epoch, Sent: epoch, Reply: p.same()}, nil)
	return r
}

func read(id RequestID, at time.Time) *RequestArrived {
	return &RequestArrived{At: at, ID: id, Path: "/read/x", KeyID: "k0", KeyHash: secret, Deadline: at.Add(10 * time.Second), Size: 10}
}

func book(id RequestID, at time.Time) *RequestArrived {
	e := read(id, at)
	e.Path, e.IdempotencyKey = "/book/x", "once"
	return e
}

// sendOf returns the Send among effects, or nil.
func sendOf(out []Effect) *Send {
	for _, e := range out {
		if s, ok := e.(*Send); ok {
			return s
		}
	}
	return nil
}

// refusal returns the Refuse among effects, or nil.
func refusal(out []Effect) *Refuse {
	for _, e := range out {
		if f, ok := e.(*Refuse); ok {
			return f
		}
	}
	return nil
}

// Guards against a router that does not complete the plain course of a request.
func TestRequestIsSentAndDone(t *testing.T) {
	is := is.New(t)
	p := newPlant()
	p.upstream("read", "127.0.0.1:1", "a1", 1)
	p.upstream("book", "127.0.0.1:2", "a1", 1)
	r := p.start(t)
	s := sendOf(r.Step(read(1, epoch), nil))
	is.Equal(s.Endpoint, ident.Address("127.0.0.1:1"))
	is.Equal(s.Attempt, uint8(1))
	out := r.Step(&AttemptEnded{At: epoch, ID: 1, Attempt: 1, Outcome: Answered}, nil)
	is.Equal(*out[0].(*Done), Done{ID: 1})

	out = r.Step(book(2, epoch), nil)
	is.Equal(*out[0].(*Claim), Claim{ID: 2, Workspace: "w0", Service: "book"})
	out = r.Step(&ClaimResult{At: epoch, ID: 2, State: rpc.ClaimState_CLAIM_STATE_GRANTED}, nil)
	is.Equal(sendOf(out).Endpoint, ident.Address("127.0.0.1:2"))
	is.True(sendOf(out).NonIdempotent)
}

// Guards against serving before the first answer from control.
func TestRefusesBeforeFirstConfiguration(t *testing.T) {
	is := is.New(t)
	f := refusal(New(Config{VM: "v0"}).Step(read(1, epoch), nil)).Fault
	is.Equal(f.Code, fault.Stale)
	is.Equal(f.Execution, fault.NotExecuted)
}
