package coordinator

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
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

// runReport is a report of a VM's run, with the echo of a reply as later builds send it.
func runReport(incarnation ident.Incarnation, sequence uint64, up bool, reply protocol.ReportReply) map[string]any {
	return map[string]any{
		"vm":       registry.VM{Name: "vm", Incarnation: incarnation, Domain: "d", Address: "127.0.0.1:1", Up: up},
		"sequence": sequence, "term": reply.Term, "echo": reply.Serial, "whole": true,
	}
}

// Guards against a report of a VM's earlier run that arrives after the first one of its later run in a leader's term: all
// further reports of the run that serves would be refused, until another leader is elected.
func TestReportOfEarlierRunDoesNotReplaceLaterRun(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	ctx := context.Background()
	leader, term := currentLeader(t, members)
	deliver := func(incarnation ident.Incarnation, sequence uint64, echo protocol.ReportReply) (reply protocol.ReportReply, err error) {
		err = leader.client.Call(ctx, leader.address, protocol.ReportPath, runReport(incarnation, sequence, true, echo), &reply)
		return reply, err
	}
	// start delivers the first reports of a run, until one is accepted.
	start := func(incarnation ident.Incarnation) (reply protocol.ReportReply) {
		for sequence := uint64(1); sequence <= 2; sequence++ {
			var err error
			reply, err = deliver(incarnation, sequence, reply)
			is.NoErr(err)
			if !reply.FullReportRequired {
				break
			}
		}
		is.True(!reply.FullReportRequired)
		return reply
	}
	is.NoErr(leader.registerVM(ctx, term, registry.VM{Name: "vm", Incarnation: 7, Domain: "d", Up: true})) // in an earlier term
	for later := ident.Incarnation(8); later < 11; later++ {
		echo := start(later)
		for earlier := ident.Incarnation(6); earlier < later; earlier++ {
			_, _ = deliver(earlier, 90, protocol.ReportReply{})               // sent before it had a reply in this term
			_, _ = deliver(earlier, 91, protocol.ReportReply{Term: term - 1}) // or with one of another leader
			_, err := deliver(later, uint64(earlier), echo)
			is.NoErr(err)
			var known registry.VM
			leader.opts.StateMachine.view(func(r *registry.Registry) { known = r.VMs["vm"] })
			is.Equal(known.Incarnation, later)
		}
	}
}

// Guards against a VM that is named to callers again after it has left, because its last report was handled beside one that it
// sent before.
func TestReportsOfOneVMAreRegisteredInOrder(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	ctx := context.Background()
	leader, _ := currentLeader(t, members)
	for i := range uint64(40) {
		var reports sync.WaitGroup
		var left error
		for n, up := range []bool{true, false} {
			reports.Go(func() {
				err := leader.client.Call(ctx, leader.address, protocol.ReportPath, runReport(7, 2*i+uint64(n)+1, up, protocol.ReportReply{}), nil)
				if !up {
					left = err
				}
			})
		}
		reports.Wait()
		is.NoErr(left)
		var known registry.VM
		leader.opts.StateMachine.view(func(r *registry.Registry) { known = r.VMs["vm"] })
		is.True(!known.Up)
	}
}
