package coordinator

import (
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against VMs missing a change when the reply that contained it is lost, and against replies that repeat what
// a VM has already applied.
func TestRepliesContainOnlyChanges(t *testing.T) {
	is := is.New(t)
	c := &Coordinator{vmPlans: map[ident.VM]*vmPlan{}}
	assignments := func(by map[object.ID][]registry.UpstreamID) protocol.Assignments {
		return protocol.Assignments{"s": by}
	}
	vm := registry.VM{Name: "vm"}
	first := callerPlan{protocol.RegionWeightsByService{"s": {"a": 1}}, assignments(map[object.ID][]registry.UpstreamID{1: {"u1"}, 2: {"u2"}})}
	weights, got := c.planChanges(&protocol.Report{VM: vm, Sequence: 1, Full: true}, first)
	is.Equal(weights, first.weights)
	is.Equal(got, first.assignments)
	weights, got = c.planChanges(&protocol.Report{VM: vm, Sequence: 2, AppliedSequence: 0}, first) // the first reply was lost
	is.Equal(weights, first.weights)
	is.Equal(got, first.assignments)
	weights, got = c.planChanges(&protocol.Report{VM: vm, Sequence: 3, AppliedSequence: 2}, first)
	is.Equal(len(weights)+len(got), 0)
	next := callerPlan{first.weights, assignments(map[object.ID][]registry.UpstreamID{1: {"u1", "u3"}})}
	weights, got = c.planChanges(&protocol.Report{VM: vm, Sequence: 4, AppliedSequence: 3}, next)
	is.Equal(len(weights), 0)
	is.Equal(got, assignments(map[object.ID][]registry.UpstreamID{1: {"u1", "u3"}, 2: nil})) // object 2 is back at its preferred upstream
	_, got = c.planChanges(&protocol.Report{VM: vm, Sequence: 5, AppliedSequence: 4}, next)
	is.Equal(len(got), 0)
}
