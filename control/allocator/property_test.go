package allocator

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
)

// TestMain fixes rapid's seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// randomFleet returns a fleet with limits of all kinds. Later steps drain or lower some of them.
func randomFleet(t *rapid.T) *testFleet {
	f := newTestFleet(rapid.IntRange(1, 6).Draw(t, "holders"))
	f.workspace("w", rapid.Float64Range(0, 100).Draw(t, "rate"), rapid.Float64Range(0, 50).Draw(t, "burst"))
	for i := range rapid.IntRange(1, 5).Draw(t, "endpoints") {
		f.upstream("s", i, rapid.Uint32Range(1, 8).Draw(t, "slots"), rapid.Uint32Range(1, 20).Draw(t, "connections"))
	}
	p := &f.input.Document.Topology
	p.Regions[0].Capacity = 1
	f.totals["region/a"] = ledger.Amount{Count: rapid.Uint32Range(1, 20).Draw(t, "capacity")}
	p.Links = []document.Link{{From: "a", To: "b", Rate: 8}}
	f.totals["link/a>b"] = ledger.Amount{Rate: 1e6, Burst: 1e5}
	f.input.Document.Shifts.Shifts = []document.Shift{{Name: "m"}}
	f.totals["shift/m"] = ledger.Amount{Rate: 8, Burst: 8}
	return f
}

// changeRandomly changes demands, drains, totals and which holders have reported.
func (f *testFleet) changeRandomly(t *rapid.T) {
	for i := range f.input.Holders {
		h := &f.input.Holders[i]
		h.HasReported = rapid.IntRange(0, 5).Draw(t, "has reported") > 0
		for _, id := range f.limitIDs() {
			h.Demands[id] = Demand{Wanted: rapid.Float64Range(0, 60).Draw(t, "wanted"), Waiting: rapid.Uint32Range(0, 9).Draw(t, "waiting")}
		}
	}
	f.input.Document.Drains.Drains = nil
	if rapid.Bool().Draw(t, "drain") {
		f.input.Document.Drains.Drains = []document.Drain{{Name: "d", Kind: document.DomainKind, Target: "a0"}}
	}
	f.totals["region/a"] = ledger.Amount{Count: rapid.Uint32Range(0, 20).Draw(t, "capacity")}
}

// limitIDs lists the limits in the order of the document.
func (f *testFleet) limitIDs() []ident.Limit {
	list := []ident.Limit{limit.OfWorkspace("w"), "region/a", "link/a>b", "shift/m"}
	for _, u := range f.input.Upstreams {
		list = append(list, limit.OfSlots(ident.Address(u.GetAddress())), limit.OfConnections(ident.Address(u.GetAddress())))
	}
	return list
}

// applyWithConfirmations applies the changes as the ledger does. Some holders then confirm their shares, with units
// in use.
func (f *testFleet) applyWithConfirmations(t *rapid.T, changes []Change) {
	before := make(map[ident.Limit]ledger.Amount)
	for _, id := range f.limitIDs() {
		before[id] = f.ceilings(id)
	}
	for _, c := range changes {
		for i := range f.input.Holders {
			h := &f.input.Holders[i]
			if h.ID != c.Holder {
				continue
			}
			a := h.Current[c.Limit]
			h.Current[c.Limit] = ledger.Allotment{Share: c.Share, Ceiling: a.Ceiling.Max(c.Share)}
			if !f.ceilings(c.Limit).Within(f.totals[c.Limit].Max(before[c.Limit])) {
				t.Fatalf("%s of %v set to %v: sum of ceilings is %v, want at most %v", c.Limit, c.Holder, c.Share, f.ceilings(c.Limit), f.totals[c.Limit])
			}
		}
	}
	for i := range f.input.Holders {
		if !rapid.Bool().Draw(t, "confirms") {
			continue
		}
		for id, a := range f.input.Holders[i].Current {
			used := min(a.Ceiling.Count, a.Share.Count+1)
			f.input.Holders[i].Current[id] = a.Confirmed(1, used)
		}
	}
}

func (f *testFleet) ceilings(id ident.Limit) ledger.Amount {
	var sum ledger.Amount
	for i := range f.input.Holders {
		sum = sum.Add(f.input.Holders[i].Current[id].Ceiling)
	}
	return sum
}

// Guards against plans that grant more than a limit while shares move, and against slots of a drained domain staying
// granted for longer than one plan.
func TestRandomPlansStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := randomFleet(t)
		for range 6 {
			f.changeRandomly(t)
			f.applyWithConfirmations(t, Plan(f.input))
			for _, u := range f.input.Upstreams {
				id := limit.OfSlots(ident.Address(u.GetAddress()))
				if len(f.input.Document.Drains.Drains) > 0 && u.GetDomain() == "a0" && f.sum(id).Count > 0 {
					t.Fatalf("%d slots of drained %s are still granted", f.sum(id).Count, id)
				}
			}
			f.input.LogTime += 200 * time.Millisecond
		}
		if plan := fmt.Sprint(Plan(f.input)); plan != fmt.Sprint(Plan(f.input)) {
			t.Fatalf("the same input results in two different plans")
		}
	})
}
