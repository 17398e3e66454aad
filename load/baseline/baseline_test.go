package baseline

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/upstream"
)

var statuses = []upstream.Status{
	{Service: "forecast", Address: "a", Slots: 4}, {Service: "forecast", Address: "b", Slots: 8}, {Service: "forecast", Address: "c", Slots: 4},
}

// Guards against a baseline that doesn't choose endpoints by its strategy, which would invalidate comparisons.
func TestEndpointChoice(t *testing.T) {
	for _, tt := range []struct {
		name  string
		loads []int64
		want  []ident.Address
	}{
		{RoundRobin, []int64{0, 0, 0}, []ident.Address{"b", "c", "a", "b"}},
		{FixedSplit, []int64{9, 9, 0}, []ident.Address{"b", "c", "a", "b"}},
		{LeastLoad, []int64{2, 3, 2}, []ident.Address{"b", "b", "b", "b"}}, // 3 of 8 slots is a lower utilization than 2 of 4
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := New(tt.name, statuses, 4, &clock.Fake{}, 1)
			for i, load := range tt.loads {
				d.endpoints["forecast"][i].reportedLoad = load
			}
			var got []ident.Address
			for range tt.want {
				address, ok := d.chooseEndpoint("forecast")
				is.True(ok)
				got = append(got, address)
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against baselines that admit more than the rate, and a fixed split whose VMs use each other's shares.
func TestAdmission(t *testing.T) {
	for _, tt := range []struct {
		name         string
		wantAdmitted int // of 100 concurrent requests that wait up to one second
	}{{RoundRobin, 8 + 20}, {FixedSplit, 2 * (2 + 5)}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := New(tt.name, statuses, 4, clock.System{}, 1)
			w := &caller.Workspace{Name: "acme", Rate: 20, Burst: 8}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			admitted := 0
			for i := range 100 {
				if _, ok := d.admit(ctx, &caller.Request{ID: fmt.Sprint("r", i), Workspace: w}); ok {
					admitted++
				}
			}
			is.True(admitted >= tt.wantAdmitted-2 && admitted <= tt.wantAdmitted+2)
		})
	}
}
