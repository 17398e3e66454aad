package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against look-ups that name a VM again which has left, because a report that it sent before arrives late, and
// against the return of a VM's earlier run.
func TestOvertakenReportIsRefused(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	ctx := context.Background()
	leader, _ := currentLeader(t, members)
	deliver := func(vm registry.VM, sequence uint64) error {
		var reply protocol.ReportReply
		return leader.client.Call(ctx, leader.address, protocol.ReportPath, protocol.Report{VM: vm, Sequence: sequence, Full: true}, &reply)
	}
	known := func() (vm registry.VM) {
		leader.opts.StateMachine.view(func(r *registry.Registry) { vm = r.VMs["vm"] })
		return vm
	}
	serving := registry.VM{Name: "vm", Incarnation: 7, Domain: "d", Address: "127.0.0.1:1", Up: true}
	leaving := serving
	leaving.Up = false
	is.NoErr(deliver(serving, 1))
	is.NoErr(deliver(leaving, 3))
	is.True(deliver(serving, 2) != nil)
	is.Equal(known(), leaving)

	restarted := serving
	restarted.Incarnation, restarted.Address = 5, "127.0.0.1:2"
	is.NoErr(deliver(restarted, 1))
	is.True(deliver(leaving, 4) != nil)
	is.Equal(known(), restarted)
	is.NoErr(deliver(restarted, 2))
}
