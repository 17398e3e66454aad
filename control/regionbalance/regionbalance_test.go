package regionbalance

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// Guards against requests queueing in a region with a third of the callers and a seventh of the upstreams while other
// regions have free slots, and against requests leaving regions that can serve them.
func TestTargetsKeepLocalRequests(t *testing.T) {
	is := is.New(t)
	slots := map[ident.Region]float64{"a": 54, "b": 54, "c": 18}
	got := Targets(map[ident.Region]float64{"a": 20, "b": 20, "c": 20}, slots)
	is.Equal(got["a"]["a"], 1.0)
	is.Equal(got["b"]["b"], 1.0)
	localPart := 18 * maxLocalUtilization / 20
	is.True(math.Abs(got["c"]["c"]-localPart) < 1e-9)
	is.True(math.Abs(got["c"]["a"]-got["c"]["b"]) < 1e-9)
}

// Guards against weights that sum to more than one or include regions without upstreams.
func TestTargetsAreParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand, slots := map[ident.Region]float64{}, map[ident.Region]float64{}
		for _, r := range []ident.Region{"a", "b", "c"} {
			demand[r] = rapid.Float64Range(0, 100).Draw(t, "demand")
			slots[r] = float64(rapid.IntRange(0, 60).Draw(t, "slots"))
		}
		for r, weights := range Targets(demand, slots) {
			sum := 0.0
			for o, part := range weights {
				if part < 0 || part > 1+1e-9 || part > 1e-9 && slots[o] == 0 {
					t.Fatalf("weights of %s are %v with slots %v", r, weights, slots)
				}
				sum += part
			}
			if sum > 1+1e-9 {
				t.Fatalf("weights of %s sum to %f, want at most 1", r, sum)
			}
		}
	})
}

// Guards against requests staying in a region without upstreams when the only other region has exactly as many slots
// as it needs, so that its free capacity rounds to zero.
func TestTargetsLeaveEmptyRegion(t *testing.T) {
	is := is.New(t)
	demand := map[ident.Region]float64{"a": 2.8445811092051354e-285, "b": 94.64285793155432, "c": 7.473555988863525e-136}
	got := Targets(demand, map[ident.Region]float64{"a": 0, "b": 6, "c": 0})
	is.Equal(got["a"], protocol.RegionWeights{"a": 0, "b": 1, "c": 0})
	is.Equal(got["b"]["b"], 1.0)
}

// Guards against many requests moving to other regions at once when demand jumps: operators allow 0.15 in 2 s.
func TestWeightsMoveSlowly(t *testing.T) {
	is := is.New(t)
	var b Balancer
	capacity := SlotCapacity{"s": {"a": 50, "b": 50, "c": 20}}
	now := time.Unix(1000, 0)
	report := func(busy float64) protocol.RegionWeights {
		now = now.Add(500 * time.Millisecond)
		b.Report(now, "vm-c", "c", map[ident.Service]float64{"s": busy}, nil)
		return b.Weights(now, "c", capacity, nil)["s"]
	}
	before := report(5)
	for range 20 {
		before = report(5)
	}
	for range 40 {
		after := before
		for range 4 {
			after = report(60)
		}
		moved := 0.0
		for r, part := range after {
			moved += math.Abs(part-before[r]) / 2
		}
		is.True(moved <= 2*maxMovePerSecond+1e-9)
		before = after
	}
	is.True(before["c"] < 0.5) // the weights do reach the target
}

// Guards against a wave of demand moving objects to other regions and back: after each move an object is not cached
// at its next upstream, and the few upstreams of a small region cache few objects.
func TestWeightsStayDuringDemandWaves(t *testing.T) {
	is := is.New(t)
	var b Balancer
	capacity := SlotCapacity{"s": {"a": 50, "b": 50, "c": 16}}
	now := time.Unix(1000, 0)
	moved, before := 0.0, protocol.RegionWeights(nil)
	for round := range 200 { // 100 s, some waves
		now = now.Add(500 * time.Millisecond)
		wave := 1 + 0.55*math.Sin(float64(round)/2/36*2*math.Pi)
		for _, r := range []ident.Region{"a", "b", "c"} {
			b.Report(now, ident.VM("vm-"+string(r)), r, map[ident.Service]float64{"s": 18 * wave}, nil)
		}
		weights := b.Weights(now, "c", capacity, nil)["s"]
		if before != nil {
			moved += distance(before, weights)
		}
		before = weights
	}
	is.True(moved < 0.3)
	is.True(before["c"] < 0.85) // requests that its upstreams cannot serve at the peak go elsewhere
}

// Guards against overloading the smallest region in the first seconds, when all caches are cold.
func TestWeightsStartByCapacity(t *testing.T) {
	is := is.New(t)
	var b Balancer
	now := time.Unix(1000, 0)
	b.Report(now, "vm-c", "c", nil, nil)
	got := b.Weights(now, "c", SlotCapacity{"s": {"a": 54, "b": 54, "c": 18}}, nil)["s"]
	is.True(math.Abs(got["c"]-18.0*3/126) < 1e-9)
}

// Guards against the region of the first upstream to announce itself getting all requests for half a minute.
func TestWeightsFollowUpstreamsBeforeTraffic(t *testing.T) {
	is := is.New(t)
	var b Balancer
	now := time.Unix(1000, 0)
	b.Report(now, "vm-c", "c", nil, nil)
	is.Equal(b.Weights(now, "c", SlotCapacity{"s": {"a": 9}}, nil)["s"]["a"], 1.0)
	now = now.Add(500 * time.Millisecond)
	b.Report(now, "vm-c", "c", nil, nil)
	got := b.Weights(now, "c", SlotCapacity{"s": {"a": 50, "b": 50, "c": 50}}, nil)["s"]
	is.Equal(got["c"], 1.0)
}

// Guards against an overloaded region keeping requests that less utilized regions could serve.
func TestOverloadIsSharedBySlots(t *testing.T) {
	is := is.New(t)
	slots := map[ident.Region]float64{"a": 40, "b": 40, "c": 8}
	got := Targets(map[ident.Region]float64{"a": 40, "b": 40, "c": 40}, slots)
	level := 120.0 / 88
	is.True(math.Abs(got["c"]["c"]-8*level/40) < 1e-9)
	is.True(math.Abs(got["c"]["a"]-(1-8*level/40)/2) < 1e-9)
	is.Equal(got["a"]["a"], 1.0)
}

// Guards against a new leader planning from the report of a single VM: the VM's region would keep all its requests,
// or lose the weights that its VMs use since the previous leader.
func TestNewLeaderWaitsForDemand(t *testing.T) {
	is := is.New(t)
	capacity := SlotCapacity{"s": {"a": 54, "b": 54, "c": 18}}
	now := time.Unix(1000, 0)
	busy := map[ident.Service]float64{"s": 30}
	var fresh, adopting Balancer
	fresh.Report(now, "vm-c", "c", busy, nil)
	is.True(math.Abs(fresh.Weights(now, "c", capacity, nil)["s"]["c"]-18.0*3/126) < 1e-9)
	held := protocol.RegionWeightsByService{"s": {"c": 0.7, "a": 0.3}}
	adopting.Report(now, "vm-c", "c", busy, nil)
	is.Equal(adopting.Weights(now, "c", capacity, held)["s"], held["s"])
}

// Guards against sending other requests to a region that is saturated by pinned requests. On emberdeck-lb one
// workspace was pinned to the region with 2 of 22 upstreams, and all its callers were refused.
func TestPinnedRequestsUseCapacity(t *testing.T) {
	is := is.New(t)
	var b Balancer
	now := time.Unix(1000, 0)
	capacity := SlotCapacity{"s": {"a": 40, "c": 8}}
	var weights protocol.RegionWeights
	for range 120 {
		b.Report(now, "vm-a", "a", map[ident.Service]float64{"s": 12}, nil)
		b.Report(now, "vm-c", "c", map[ident.Service]float64{"s": 6}, map[ident.Region]map[ident.Service]float64{"c": {"s": 9}})
		b.Weights(now, "a", capacity, nil)
		weights = b.Weights(now, "c", capacity, nil)["s"]
		now = now.Add(500 * time.Millisecond)
	}
	is.True(weights["c"] < 0.1)
	is.True(weights["a"] > 0.9)
}
