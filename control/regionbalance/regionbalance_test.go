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

// Guards against a region with a third of the callers and a seventh of the upstreams queueing at its own
// while others are free, and against requests leaving regions that have room.
func TestTargetsKeepWhatFits(t *testing.T) {
	is := is.New(t)
	slots := map[ident.Region]float64{"a": 54, "b": 54, "c": 18}
	got := Targets(map[ident.Region]float64{"a": 20, "b": 20, "c": 20}, slots)
	is.Equal(got["a"]["a"], 1.0)
	is.Equal(got["b"]["b"], 1.0)
	keep := 18 * fill / 20
	is.True(math.Abs(got["c"]["c"]-keep) < 1e-9)
	is.True(math.Abs(got["c"]["a"]-got["c"]["b"]) < 1e-9)
}

// Guards against flows that lose requests, or that name regions without upstreams.
func TestTargetsAreParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand, slots := map[ident.Region]float64{}, map[ident.Region]float64{}
		for _, r := range []ident.Region{"a", "b", "c"} {
			demand[r] = rapid.Float64Range(0, 100).Draw(t, "demand")
			slots[r] = float64(rapid.IntRange(0, 60).Draw(t, "slots"))
		}
		for r, flow := range Targets(demand, slots) {
			sum := 0.0
			for o, part := range flow {
				if part < 0 || part > 1+1e-9 || part > 1e-9 && slots[o] == 0 {
					t.Fatalf("flow of %s is %v with slots %v", r, flow, slots)
				}
				sum += part
			}
			if sum > 1+1e-9 {
				t.Fatalf("flow of %s sums to %f", r, sum)
			}
		}
	})
}

// Guards against requests being kept in a region without upstreams where the only other one is exactly full:
// its spare room rounds to nothing.
func TestTargetsLeaveEmptyRegion(t *testing.T) {
	is := is.New(t)
	demand := map[ident.Region]float64{"a": 2.8445811092051354e-285, "b": 94.64285793155432, "c": 7.473555988863525e-136}
	got := Targets(demand, map[ident.Region]float64{"a": 0, "b": 6, "c": 0})
	is.Equal(got["a"], protocol.RegionWeights{"a": 0, "b": 1, "c": 0})
	is.Equal(got["b"]["b"], 1.0)
}

// Guards against requests changing regions in numbers when demand jumps: operators allow 0.15 in 2 s.
func TestFlowsMoveSlowly(t *testing.T) {
	is := is.New(t)
	var s Balancer
	room := SlotCapacity{"s": {"a": 50, "b": 50, "c": 20}}
	now := time.Unix(1000, 0)
	report := func(busy float64) protocol.RegionWeights {
		now = now.Add(500 * time.Millisecond)
		s.Report(now, "vm-c", "c", map[ident.Service]float64{"s": busy}, nil)
		return s.Weights(now, "c", room, nil)["s"]
	}
	before := report(5)
	for range 20 {
		before = report(5)
	}
	for range 40 {
		two := before
		for range 4 {
			two = report(60)
		}
		moved := 0.0
		for r, part := range two {
			moved += math.Abs(part-before[r]) / 2
		}
		is.True(moved <= 2*step+1e-9)
		before = two
	}
	is.True(before["c"] < 0.5) // and it gets there
}

// Guards against a wave of demand that moves objects from region to region and back: each is new to its next
// upstream then, and a small region's upstreams remember few.
func TestWaveLeavesFlowsAlone(t *testing.T) {
	is := is.New(t)
	var s Balancer
	room := SlotCapacity{"s": {"a": 50, "b": 50, "c": 16}}
	now := time.Unix(1000, 0)
	moved, before := 0.0, protocol.RegionWeights(nil)
	for step := range 200 { // 100 s, some waves
		now = now.Add(500 * time.Millisecond)
		wave := 1 + 0.55*math.Sin(float64(step)/2/36*2*math.Pi)
		for _, r := range []ident.Region{"a", "b", "c"} {
			s.Report(now, ident.VM("vm-"+string(r)), r, map[ident.Service]float64{"s": 18 * wave}, nil)
		}
		flow := s.Weights(now, "c", room, nil)["s"]
		if before != nil {
			moved += distance(before, flow)
		}
		before = flow
	}
	is.True(moved < 0.3)
	is.True(before["c"] < 0.85) // what its upstreams could not serve at the height of the wave goes elsewhere
}

// Guards against the first seconds, when all caches are cold, filling the smallest region.
func TestFlowsStartByRoom(t *testing.T) {
	is := is.New(t)
	var s Balancer
	now := time.Unix(1000, 0)
	s.Report(now, "vm-c", "c", nil, nil)
	got := s.Weights(now, "c", SlotCapacity{"s": {"a": 54, "b": 54, "c": 18}}, nil)["s"]
	is.True(math.Abs(got["c"]-18.0*3/126) < 1e-9)
}

// Guards against the first upstream that announced itself getting a region's requests for half a minute.
func TestFlowsFollowUpstreamsBeforeTraffic(t *testing.T) {
	is := is.New(t)
	var s Balancer
	now := time.Unix(1000, 0)
	s.Report(now, "vm-c", "c", nil, nil)
	is.Equal(s.Weights(now, "c", SlotCapacity{"s": {"a": 9}}, nil)["s"]["a"], 1.0)
	now = now.Add(500 * time.Millisecond)
	s.Report(now, "vm-c", "c", nil, nil)
	got := s.Weights(now, "c", SlotCapacity{"s": {"a": 50, "b": 50, "c": 50}}, nil)["s"]
	is.Equal(got["c"], 1.0)
}

// Guards against an overloaded region that keeps what the others, less full, could serve.
func TestOverloadIsSharedBySlots(t *testing.T) {
	is := is.New(t)
	slots := map[ident.Region]float64{"a": 40, "b": 40, "c": 8}
	got := Targets(map[ident.Region]float64{"a": 40, "b": 40, "c": 40}, slots)
	level := 120.0 / 88
	is.True(math.Abs(got["c"]["c"]-8*level/40) < 1e-9)
	is.True(math.Abs(got["c"]["a"]-(1-8*level/40)/2) < 1e-9)
	is.Equal(got["a"]["a"], 1.0)
}

// Guards against a new leader that plans by the first VM it hears of: that one's region would keep everything,
// or lose what its VMs follow since the leader before.
func TestNewLeaderWaitsForDemand(t *testing.T) {
	is := is.New(t)
	room := SlotCapacity{"s": {"a": 54, "b": 54, "c": 18}}
	now := time.Unix(1000, 0)
	busy := map[ident.Service]float64{"s": 30}
	var fresh, taken Balancer
	fresh.Report(now, "vm-c", "c", busy, nil)
	is.True(math.Abs(fresh.Weights(now, "c", room, nil)["s"]["c"]-18.0*3/126) < 1e-9)
	held := protocol.RegionWeightsByService{"s": {"c": 0.7, "a": 0.3}}
	taken.Report(now, "vm-c", "c", busy, nil)
	is.Equal(taken.Weights(now, "c", room, held)["s"], held["s"])
}

// Guards against a region that is full of requests which no other region may serve getting others as well: on
// emberdeck-lb one workspace was tied to the region with 2 of 22 upstreams, and all its callers were refused.
func TestTiedRequestsTakeRoom(t *testing.T) {
	is := is.New(t)
	var s Balancer
	now := time.Unix(1000, 0)
	room := SlotCapacity{"s": {"a": 40, "c": 8}}
	var flow protocol.RegionWeights
	for range 120 {
		s.Report(now, "vm-a", "a", map[ident.Service]float64{"s": 12}, nil)
		s.Report(now, "vm-c", "c", map[ident.Service]float64{"s": 6}, map[ident.Region]map[ident.Service]float64{"c": {"s": 9}})
		s.Weights(now, "a", room, nil)
		flow = s.Weights(now, "c", room, nil)["s"]
		now = now.Add(500 * time.Millisecond)
	}
	is.True(flow["c"] < 0.1)
	is.True(flow["a"] > 0.9)
}
