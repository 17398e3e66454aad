package allocator

import (
	"fmt"
	"testing"

	"cuminfall.example/control/ledger"
	"cuminfall.example/fleet/ident"
)

// BenchmarkPlanSizes plans without changes by holders and limits: first flows alone, then slots alone.
func BenchmarkPlanSizes(b *testing.B) {
	for _, c := range []struct{ holders, flows, upstreams int }{
		{12, 8, 0}, {100, 8, 0}, {300, 8, 0}, {1000, 8, 0}, {3000, 8, 0}, {9000, 8, 0}, {300, 24, 0}, {300, 80, 0},
		{12, 0, 46}, {30, 0, 46}, {100, 0, 46}, {100, 0, 92}, {100, 0, 184},
	} {
		b.Run(fmt.Sprintf("%d-holders/%d-flows/%d-upstreams", c.holders, c.flows, c.upstreams), func(b *testing.B) {
			f := newFleet(c.holders)
			for w := range c.flows {
				id := f.workspace(ident.Workspace(fmt.Sprint("w", w)), 65536, 65536)
				for i := range f.in.Holders {
					f.in.Holders[i].Demands[id] = Demand{Wanted: float64(1 + (i*7+w*13)%50)}
				}
			}
			for u := range c.upstreams {
				id := f.upstream("s", u, 8, 330)
				for i := range f.in.Holders {
					f.in.Holders[i].Demands[id] = Demand{Wanted: float64((i + u) % 2)}
				}
			}
			for range 3 { // shares as they are after some rounds
				f.take(Plan(f.in))
			}
			b.ReportAllocs()
			changes := 0
			for b.Loop() {
				changes = len(Plan(f.in))
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

// take sets the shares of a plan, confirmed at once.
func (f *fleet) take(changes []Change) {
	at := make(map[ledger.Holder]int)
	for i := range f.in.Holders {
		at[f.in.Holders[i].ID] = i
	}
	for _, c := range changes {
		f.in.Holders[at[c.Holder]].Current[c.Limit] = ledger.Allotment{Share: c.Share, Ceiling: c.Share}
	}
}

// BenchmarkPlanJoin plans the equal parts of 8 flows anew after one of the holders has joined.
func BenchmarkPlanJoin(b *testing.B) {
	for _, n := range []int{12, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			for w := range 8 {
				f.workspace(ident.Workspace(fmt.Sprint("w", w)), 65536, 65536)
			}
			joined := f.in.Holders[n-1]
			f.in.Holders = f.in.Holders[:n-1]
			f.take(Plan(f.in))
			f.in.Holders = append(f.in.Holders, joined)
			changes := 0
			for b.Loop() {
				changes = len(Plan(f.in))
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}
