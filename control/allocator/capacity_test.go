package allocator

import (
	"fmt"
	"testing"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/ident"
)

// BenchmarkPlanSizes plans without resulting changes for several numbers of holders and limits: rates only, then
// slots only.
func BenchmarkPlanSizes(b *testing.B) {
	for _, c := range []struct{ holders, rates, upstreams int }{
		{12, 8, 0}, {100, 8, 0}, {300, 8, 0}, {1000, 8, 0}, {3000, 8, 0}, {9000, 8, 0}, {300, 24, 0}, {300, 80, 0},
		{12, 0, 46}, {30, 0, 46}, {100, 0, 46}, {100, 0, 92}, {100, 0, 184},
	} {
		b.Run(fmt.Sprintf("%d-holders/%d-rates/%d-upstreams", c.holders, c.rates, c.upstreams), func(b *testing.B) {
			f := newTestFleet(c.holders)
			for w := range c.rates {
				id := f.workspace(ident.Workspace(fmt.Sprint("w", w)), 65536, 65536)
				for i := range f.input.Holders {
					f.input.Holders[i].Demands[id] = Demand{Wanted: float64(1 + (i*7+w*13)%50)}
				}
			}
			for u := range c.upstreams {
				id := f.upstream("s", u, 8, 330)
				for i := range f.input.Holders {
					f.input.Holders[i].Demands[id] = Demand{Wanted: float64((i + u) % 2)}
				}
			}
			for range 3 { // let the shares converge
				f.applyChanges(Plan(f.input))
			}
			b.ReportAllocs()
			changes := 0
			for b.Loop() {
				changes = len(Plan(f.input))
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

// applyChanges sets the shares of a plan, as if confirmed at once.
func (f *testFleet) applyChanges(changes []Change) {
	at := make(map[ledger.Holder]int)
	for i := range f.input.Holders {
		at[f.input.Holders[i].ID] = i
	}
	for _, c := range changes {
		f.input.Holders[at[c.Holder]].Current[c.Limit] = ledger.Allotment{Share: c.Share, Ceiling: c.Share}
	}
}

// BenchmarkPlanJoin divides 8 rates equally again after a holder has joined.
func BenchmarkPlanJoin(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newTestFleet(n)
			for w := range 8 {
				f.workspace(ident.Workspace(fmt.Sprint("w", w)), 65536, 65536)
			}
			joined := f.input.Holders[n-1]
			f.input.Holders = f.input.Holders[:n-1]
			f.applyChanges(Plan(f.input))
			f.input.Holders = append(f.input.Holders, joined)
			changes := 0
			for b.Loop() {
				changes = len(Plan(f.input))
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}
