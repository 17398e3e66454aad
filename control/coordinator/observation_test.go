package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against facts that only one VM knows, or that are lost with the leader.
func TestFactsReachAllVMsAndSurviveTheLeader(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	ctx := context.Background()
	former, _ := currentLeader(t, members)
	var client protocol.Client
	report := func(name ident.VM, facts *observation.Set) bool {
		now := clock.BootTime{}.Now()
		q := protocol.Report{VM: registry.VM{Name: name, Domain: "d", Up: true}, Full: true, Observed: facts.Report(now)}
		var reply protocol.ReportReply
		if client.Call(ctx, members[1].address, protocol.ReportPath, q, &reply) != nil {
			return false
		}
		facts.Apply(now, reply.Term, q.Observed, reply.Observed)
		return true
	}
	var a, b, late observation.Set
	a.Add(clock.BootTime{}.Now(), observation.Fact{Kind: "k", Subject: "x"}, time.Minute)
	eventually(t, "a VM has the other VM's fact", func() bool { return report("a", &a) && report("b", &b) && b.Len() == 1 })
	is.NoErr(former.opts.Replica.Handover(ctx))
	eventually(t, "a VM that has just started has the fact from the new leader", func() bool {
		return report("b", &b) && report("late", &late) && late.Len() == 1
	})
}
