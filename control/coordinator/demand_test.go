package coordinator

import (
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against VMs that miss a change because the answer that told it was lost, and against answers that repeat
// all that a VM follows already.
func TestNewsAreTheDifference(t *testing.T) {
	is := is.New(t)
	h := &Coordinator{told: map[ident.VM]*told{}}
	places := func(by map[object.ID][]registry.UpstreamID) protocol.Assignments {
		return protocol.Assignments{"s": by}
	}
	vm := registry.VM{Name: "vm"}
	one := plan{protocol.RegionWeightsByService{"s": {"a": 1}}, places(map[object.ID][]registry.UpstreamID{1: {"u1"}, 2: {"u2"}})}
	flows, got := h.news(&protocol.Report{VM: vm, Sequence: 1, Full: true}, one)
	is.Equal(flows, one.flows)
	is.Equal(got, one.places)
	flows, got = h.news(&protocol.Report{VM: vm, Sequence: 2, AppliedSequence: 0}, one) // the first answer was lost
	is.Equal(flows, one.flows)
	is.Equal(got, one.places)
	flows, got = h.news(&protocol.Report{VM: vm, Sequence: 3, AppliedSequence: 2}, one)
	is.Equal(len(flows)+len(got), 0)
	next := plan{one.flows, places(map[object.ID][]registry.UpstreamID{1: {"u1", "u3"}})}
	flows, got = h.news(&protocol.Report{VM: vm, Sequence: 4, AppliedSequence: 3}, next)
	is.Equal(len(flows), 0)
	is.Equal(got, places(map[object.ID][]registry.UpstreamID{1: {"u1", "u3"}, 2: nil})) // 2 is back at the first of its order
	_, got = h.news(&protocol.Report{VM: vm, Sequence: 5, AppliedSequence: 4}, next)
	is.Equal(len(got), 0)
}
