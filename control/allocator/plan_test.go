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

// testFleet is the input of a plan, with shares that are confirmed at once.
type testFleet struct {
	input  Input
	totals map[ident.Limit]ledger.Amount
}

// newTestFleet returns a fleet of two regions, a and b, with two domains each and the holders spread over the
// domains.
func newTestFleet(holders int) *testFleet {
	f := &testFleet{totals: make(map[ident.Limit]ledger.Amount)}
	f.input = Input{Document: new(document.Document), LogTime: time.Hour, Total: func(id ident.Limit) (ledger.Amount, bool) {
		a, ok := f.totals[id]
		return a, ok
	}}
	p := &f.input.Document.Topology
	for _, r := range []ident.Region{"a", "b"} {
		p.Regions = append(p.Regions, document.Region{Name: r})
		for i := range 2 {
			p.Domains = append(p.Domains, document.Domain{Name: ident.Domain(fmt.Sprint(r, i)), Region: r})
		}
	}
	for i := range holders {
		f.input.Holders = append(f.input.Holders, Holder{
			ID: ledger.Holder{VM: ident.VM(fmt.Sprintf("e%02d", i)), Incarnation: 1}, Domain: p.Domains[i%4].Name, HasReported: true,
			Demands: make(map[ident.Limit]Demand), Current: make(map[ident.Limit]ledger.Allotment),
		})
	}
	return f
}

func (f *testFleet) workspace(name ident.Workspace, rate, burst float64) ident.Limit {
	f.input.Document.Workspaces.Workspaces = append(f.input.Document.Workspaces.Workspaces, document.Workspace{Name: name})
	f.totals[limit.OfWorkspace(name)] = ledger.Amount{Rate: rate, Burst: burst}
	return limit.OfWorkspace(name)
}

func (f *testFleet) upstream(service string, i int, slots, connections uint32) ident.Limit {
	a := ident.Address(fmt.Sprintf("10.0.%d.%d:80", len(service), i))
	f.input.Upstreams = append(f.input.Upstreams, &rpc.Upstream{
		Service: service, Address: string(a), Domain: string(f.input.Document.Topology.Domains[i%4].Name), Slots: slots, Connections: connections,
	})
	f.totals[limit.OfSlots(a)] = ledger.Amount{Count: slots}
	f.totals[limit.OfConnections(a)] = ledger.Amount{Count: connections}
	return limit.OfSlots(a)
}

// planUntilStable plans until nothing changes and returns the number of rounds.
func (f *testFleet) planUntilStable(t testing.TB) int {
	for round := range 10 {
		changes := Plan(f.input)
		if len(changes) == 0 {
			return round
		}
		for _, c := range changes {
			for i := range f.input.Holders {
				if f.input.Holders[i].ID == c.Holder {
					f.input.Holders[i].Current[c.Limit] = ledger.Allotment{Share: c.Share, Ceiling: c.Share}
				}
			}
		}
	}
	t.Fatalf("the plan still changes after 10 rounds: %v", Plan(f.input))
	return 0
}

func (f *testFleet) share(i int, id ident.Limit) ledger.Amount {
	return f.input.Holders[i].Current[id].Share
}

func (f *testFleet) sum(id ident.Limit) ledger.Amount {
	var sum ledger.Amount
	for i := range f.input.Holders {
		sum = sum.Add(f.share(i, id))
	}
	return sum
}

// TestRates guards against shares that ignore demand, lack a floor or leave the rate unused.
func TestRates(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	id := f.workspace("w", 100, 40)
	f.planUntilStable(t)
	is.Equal(f.share(0, id), ledger.Amount{Rate: 25, Burst: 10}) // equal shares without demand
	f.input.Holders[1].Demands[id] = Demand{Wanted: 300}
	f.input.Holders[2].Demands[id] = Demand{Wanted: 100}
	f.planUntilStable(t)
	is.Equal(f.share(0, id).Rate, 6.25) // the floor
	is.Equal(f.share(1, id).Rate, 6.25+75*0.75)
	is.True(f.share(0, id).Burst >= 1)
	is.Equal(f.sum(id), ledger.Amount{Rate: 100, Burst: 40})
	f.input.Holders[1].Demands[id] = Demand{Wanted: 310}
	is.Equal(len(Plan(f.input)), 0) // below the hysteresis
	f.input.Holders[3].HasReported = false
	f.input.Holders[3].Demands = nil
	for _, c := range Plan(f.input) {
		is.True(c.Holder != f.input.Holders[3].ID) // a new leader keeps the shares of holders that have not reported to it
	}
}

// TestSmallBurst guards against bursts of less than one token, which never admit a request.
func TestSmallBurst(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	id := f.workspace("w", 1, 2)
	f.input.Holders[3].Demands[id] = Demand{Wanted: 5}
	f.planUntilStable(t)
	is.True(f.share(3, id).Burst >= 1)
	is.Equal(f.sum(id).Burst, 2.0)
	is.True(f.share(0, id).Rate > 0)
}

// TestExceededTotal guards against raising shares while they still exceed a lowered total.
func TestExceededTotal(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	id := f.workspace("w", 100, 40)
	f.planUntilStable(t)
	f.totals[id] = ledger.Amount{Rate: 10, Burst: 4}
	f.input.Holders[0].Demands[id] = Demand{Wanted: 90}
	for _, c := range Plan(f.input) {
		is.True(c.Share.Within(f.share(0, id)))
	}
}

// TestSlots guards against holders with demand that get no slot of a service, slots that move without need, and
// distant endpoints being used while near ones have free slots.
func TestSlots(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	var ids []ident.Limit
	for i := range 4 {
		ids = append(ids, f.upstream("s", i, 3, 10))
	}
	for i := range 3 {
		f.input.Holders[i].Demands[ServiceDemand+"s"] = Demand{Wanted: 1}
	}
	f.planUntilStable(t)
	for i, id := range ids {
		is.Equal(f.sum(id).Count, uint32(3))
		if i < 3 {
			is.Equal(f.share(i, id).Count, uint32(3)) // in its own domain
		}
	}
	f.input.Holders[0].Demands[ids[0]] = Demand{Wanted: 100}
	before := f.share(0, ids[0])
	f.planUntilStable(t)
	is.Equal(f.share(0, ids[0]), before) // the held slots stay
	is.True(f.share(0, ids[1]).Count+f.share(0, ids[2]).Count+f.share(0, ids[3]).Count > 0)
	for i := 1; i < 3; i++ {
		total := uint32(0)
		for _, id := range ids {
			total += f.share(i, id).Count
		}
		is.True(total >= 1)
	}
	f.input.Verdicts = []*rpc.Verdict{{Kind: "domain", Target: "a0", Down: true}}
	f.planUntilStable(t)
	is.Equal(f.sum(ids[0]).Count, uint32(0)) // its domain is down
	f.input.Upstreams[1].Leaving = true
	f.planUntilStable(t)
	is.Equal(f.sum(ids[1]).Count, uint32(0))
}

// TestRamp guards against granting all slots of a cold upstream at once, and against a ramp that never ends.
func TestRamp(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		age  time.Duration
		want uint32
	}{{0, 2}, {5 * time.Second, 5}, {RampDuration, 8}, {time.Hour, 8}} {
		f := newTestFleet(3)
		id := f.upstream("s", 0, 8, 10)
		f.input.Upstreams[0].AnnouncedMs = (time.Hour - c.age).Milliseconds()
		f.planUntilStable(t)
		is.Equal(f.sum(id).Count, c.want)
	}
}

// TestOtherLimitKinds guards the division of connections, regions, links and shifts.
func TestOtherLimitKinds(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	f.upstream("s", 0, 1, 10)
	f.input.Document.Topology.Regions[0].Capacity = 7
	f.totals["region/a"] = ledger.Amount{Count: 7}
	f.input.Document.Topology.Regions = append(f.input.Document.Topology.Regions, document.Region{Name: "c"})
	f.input.Document.Topology.Links = []document.Link{{From: "a", To: "c", Rate: 8}}
	f.totals["link/a>c"] = ledger.Amount{Rate: 1e6, Burst: 1e5}
	f.input.Document.Shifts.Shifts = []document.Shift{{Name: "m"}}
	f.totals["shift/m"] = ledger.Amount{Rate: 8, Burst: 8}
	f.input.Holders[3].Demands["region/a"] = Demand{Wanted: 7}
	f.planUntilStable(t)
	is.Equal(f.share(0, "connections/10.0.1.0:80").Count, uint32(3))
	is.Equal(f.share(3, "connections/10.0.1.0:80").Count, uint32(2))
	is.True(f.share(3, "region/a").Count >= 5)
	is.Equal(f.sum("region/a").Count, uint32(7))
	is.Equal(f.sum("link/a>c").Rate, 1e6)
	is.Equal(f.share(2, "link/a>c").Rate, 0.0) // the holder is in neither region of the link
	is.Equal(f.sum("shift/m"), ledger.Amount{Rate: 8, Burst: 8})
	delete(f.totals, "shift/m")
	f.input.Document.Shifts.Shifts = nil
	f.planUntilStable(t)
	is.Equal(f.sum("shift/m"), ledger.Amount{}) // the shares of a removed limit are released
}

// BenchmarkPlan plans 12 holders with the sizes of Revontuli.
func BenchmarkPlan(b *testing.B) {
	f := newTestFleet(12)
	for i := range 8 {
		id := f.workspace(ident.Workspace(fmt.Sprint("w", i)), 1000, 500)
		for j := range f.input.Holders {
			f.input.Holders[j].Demands[id] = Demand{Wanted: float64((i*7 + j*13) % 50)}
		}
	}
	for s, size := range map[string][2]int{"forecast": {14, 7}, "claims": {12, 5}, "archive": {12, 3}} {
		for i := range size[0] {
			id := f.upstream(s, i, uint32(size[1]), 330)
			f.input.Holders[i%12].Demands[id] = Demand{Wanted: float64(i % 5)}
		}
	}
	f.planUntilStable(b)
	b.ReportAllocs()
	for b.Loop() {
		Plan(f.input)
	}
}
