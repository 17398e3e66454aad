package allocator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// fleet is a planner's input with shares that are confirmed at once.
type fleet struct {
	in     Input
	totals map[ident.Limit]ledger.Amount
}

// newFleet has two regions a and b with two domains each, and holders spread over the domains.
func newFleet(holders int) *fleet {
	f := &fleet{totals: make(map[ident.Limit]ledger.Amount)}
	f.in = Input{Document: new(document.Document), LogTime: time.Hour, Total: func(id ident.Limit) (ledger.Amount, bool) {
		a, ok := f.totals[id]
		return a, ok
	}}
	p := &f.in.Document.Topology
	for _, r := range []ident.Region{"a", "b"} {
		p.Regions = append(p.Regions, document.Region{Name: r})
		for i := range 2 {
			p.Domains = append(p.Domains, document.Domain{Name: ident.Domain(fmt.Sprint(r, i)), Region: r})
		}
	}
	for i := range holders {
		f.in.Holders = append(f.in.Holders, Holder{
			ID: ledger.Holder{VM: ident.VM(fmt.Sprintf("e%02d", i)), Incarnation: 1}, Domain: p.Domains[i%4].Name, HasReported: true,
			Demands: make(map[ident.Limit]Demand), Current: make(map[ident.Limit]ledger.Allotment),
		})
	}
	return f
}

func (f *fleet) workspace(name ident.Workspace, rate, burst float64) ident.Limit {
	f.in.Document.Workspaces.Workspaces = append(f.in.Document.Workspaces.Workspaces, document.Workspace{Name: name})
	f.totals[limit.OfWorkspace(name)] = ledger.Amount{Rate: rate, Burst: burst}
	return limit.OfWorkspace(name)
}

func (f *fleet) upstream(service string, i int, slots, connections uint32) ident.Limit {
	a := ident.Address(fmt.Sprintf("10.0.%d.%d:80", len(service), i))
	f.in.Upstreams = append(f.in.Upstreams, &rpc.Upstream{
		Service: service, Address: string(a), Domain: string(f.in.Document.Topology.Domains[i%4].Name), Slots: slots, Connections: connections,
	})
	f.totals[limit.OfSlots(a)] = ledger.Amount{Count: slots}
	f.totals[limit.OfConnections(a)] = ledger.Amount{Count: connections}
	return limit.OfSlots(a)
}

// settle plans until nothing changes and returns the number of rounds.
func (f *fleet) settle(t testing.TB) int {
	for round := range 10 {
		changes := Plan(f.in)
		if len(changes) == 0 {
			return round
		}
		for _, c := range changes {
			for i := range f.in.Holders {
				if f.in.Holders[i].ID == c.Holder {
					f.in.Holders[i].Current[c.Limit] = ledger.Allotment{Share: c.Share, Ceiling: c.Share}
				}
			}
		}
	}
	t.Fatalf("the plan does not settle in 10 rounds: %v", Plan(f.in))
	return 0
}

func (f *fleet) share(i int, id ident.Limit) ledger.Amount { return f.in.Holders[i].Current[id].Share }

func (f *fleet) sum(id ident.Limit) ledger.Amount {
	var sum ledger.Amount
	for i := range f.in.Holders {
		sum = sum.Add(f.share(i, id))
	}
	return sum
}

// TestFlows guards against shares that ignore demand, lack a floor, or leave the rate unused.
func TestFlows(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	id := f.workspace("w", 100, 40)
	f.settle(t)
	is.Equal(f.share(0, id), ledger.Amount{Rate: 25, Burst: 10}) // without demand, equal parts
	f.in.Holders[1].Demands[id] = Demand{Wanted: 300}
	f.in.Holders[2].Demands[id] = Demand{Wanted: 100}
	f.settle(t)
	is.Equal(f.share(0, id).Rate, 6.25) // the floor
	is.Equal(f.share(1, id).Rate, 6.25+75*0.75)
	is.True(f.share(0, id).Burst >= 1)
	is.Equal(f.sum(id), ledger.Amount{Rate: 100, Burst: 40})
	f.in.Holders[1].Demands[id] = Demand{Wanted: 310}
	is.Equal(len(Plan(f.in)), 0) // below the hysteresis
	f.in.Holders[3].HasReported = false
	f.in.Holders[3].Demands = nil
	for _, c := range Plan(f.in) {
		is.True(c.Holder != f.in.Holders[3].ID) // a new leader leaves the shares of holders that it has not heard
	}
}

// TestSmallBurst guards against bursts of less than one token, with which no request is ever admitted.
func TestSmallBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	id := f.workspace("w", 1, 2)
	f.in.Holders[3].Demands[id] = Demand{Wanted: 5}
	f.settle(t)
	is.True(f.share(3, id).Burst >= 1)
	is.Equal(f.sum(id).Burst, 2.0)
	is.True(f.share(0, id).Rate > 0)
}

// TestExceededTotal guards against a raise while a lowered total is still exceeded.
func TestExceededTotal(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	id := f.workspace("w", 100, 40)
	f.settle(t)
	f.totals[id] = ledger.Amount{Rate: 10, Burst: 4}
	f.in.Holders[0].Demands[id] = Demand{Wanted: 90}
	for _, c := range Plan(f.in) {
		is.True(c.Share.Within(f.share(0, id)))
	}
}

// TestSlots guards against holders with demand that cannot serve a service, slots
// that move without need, and far endpoints used while near ones are free.
func TestSlots(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	var ids []ident.Limit
	for i := range 4 {
		ids = append(ids, f.upstream("s", i, 3, 10))
	}
	for i := range 3 {
		f.in.Holders[i].Demands[ServiceDemand+"s"] = Demand{Wanted: 1}
	}
	f.settle(t)
	for i, id := range ids {
		is.Equal(f.sum(id).Count, uint32(3))
		if i < 3 {
			is.Equal(f.share(i, id).Count, uint32(3)) // in its own domain
		}
	}
	f.in.Holders[0].Demands[ids[0]] = Demand{Wanted: 100}
	before := f.share(0, ids[0])
	f.settle(t)
	is.Equal(f.share(0, ids[0]), before) // kept
	is.True(f.share(0, ids[1]).Count+f.share(0, ids[2]).Count+f.share(0, ids[3]).Count > 0)
	for i := 1; i < 3; i++ {
		total := uint32(0)
		for _, id := range ids {
			total += f.share(i, id).Count
		}
		is.True(total >= 1)
	}
	f.in.Verdicts = []*rpc.Verdict{{Kind: "domain", Target: "a0", Down: true}}
	f.settle(t)
	is.Equal(f.sum(ids[0]).Count, uint32(0)) // a place that is down
	f.in.Upstreams[1].Leaving = true
	f.settle(t)
	is.Equal(f.sum(ids[1]).Count, uint32(0))
}

// TestRamp guards against all slots of a cold upstream being lent at once, and against a ramp that never ends.
func TestRamp(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		age  time.Duration
		want uint32
	}{{0, 2}, {5 * time.Second, 5}, {Ramp, 8}, {time.Hour, 8}} {
		f := newFleet(3)
		id := f.upstream("s", 0, 8, 10)
		f.in.Upstreams[0].AnnouncedMs = (time.Hour - c.age).Milliseconds()
		f.settle(t)
		is.Equal(f.sum(id).Count, c.want)
	}
}

// TestOtherKinds guards the division of connections, regions, links and shifts.
func TestOtherKinds(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.upstream("s", 0, 1, 10)
	f.in.Document.Topology.Regions[0].Capacity = 7
	f.totals["region/a"] = ledger.Amount{Count: 7}
	f.in.Document.Topology.Regions = append(f.in.Document.Topology.Regions, document.Region{Name: "c"})
	f.in.Document.Topology.Links = []document.Link{{From: "a", To: "c", Rate: 8}}
	f.totals["link/a>c"] = ledger.Amount{Rate: 1e6, Burst: 1e5}
	f.in.Document.Shifts.Shifts = []document.Shift{{Name: "m"}}
	f.totals["shift/m"] = ledger.Amount{Rate: 8, Burst: 8}
	f.in.Holders[3].Demands["region/a"] = Demand{Wanted: 7}
	f.settle(t)
	is.Equal(f.share(0, "connections/10.0.1.0:80").Count, uint32(3))
	is.Equal(f.share(3, "connections/10.0.1.0:80").Count, uint32(2))
	is.True(f.share(3, "region/a").Count >= 5)
	is.Equal(f.sum("region/a").Count, uint32(7))
	is.Equal(f.sum("link/a>c").Rate, 1e6)
	is.Equal(f.share(2, "link/a>c").Rate, 0.0) // neither end of the link is in its region
	is.Equal(f.sum("shift/m"), ledger.Amount{Rate: 8, Burst: 8})
	delete(f.totals, "shift/m")
	f.in.Document.Shifts.Shifts = nil
	f.settle(t)
	is.Equal(f.sum("shift/m"), ledger.Amount{}) // taken back with its limit
}

// BenchmarkPlan plans 12 holders with the sizes of Revontuli.
func BenchmarkPlan(b *testing.B) {
	f := newFleet(12)
	for i := range 8 {
		id := f.workspace(ident.Workspace(fmt.Sprint("w", i)), 1000, 500)
		for j := range f.in.Holders {
			f.in.Holders[j].Demands[id] = Demand{Wanted: float64((i*7 + j*13) % 50)}
		}
	}
	for s, size := range map[string][2]int{"forecast": {14, 7}, "claims": {12, 5}, "archive": {12, 3}} {
		for i := range size[0] {
			id := f.upstream(s, i, uint32(size[1]), 330)
			f.in.Holders[i%12].Demands[id] = Demand{Wanted: float64(i % 5)}
		}
	}
	f.settle(b)
	b.ReportAllocs()
	for b.Loop() {
		Plan(f.in)
	}
}
