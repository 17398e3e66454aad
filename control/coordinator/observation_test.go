package coordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// reportFacts exchanges the facts of a VM with the leader through a member, and returns whether it replied.
func reportFacts(m *member, name ident.VM, facts *observation.Set) bool {
	now := clock.BootTime{}.Now()
	q := protocol.Report{VM: registry.VM{Name: name, Domain: "d", Up: true}, Full: true, Observed: facts.Report(now)}
	var client protocol.Client
	var reply protocol.ReportReply
	if client.Call(context.Background(), m.address, protocol.ReportPath, q, &reply) != nil {
		return false
	}
	facts.Apply(now, reply.Term, q.Observed, reply.Observed)
	return true
}

// Guards against facts that only one VM knows, or that are lost with the leader.
func TestFactsReachAllVMsAndSurviveTheLeader(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	former, _ := currentLeader(t, members)
	report := func(name ident.VM, facts *observation.Set) bool { return reportFacts(members[1], name, facts) }
	var a, b, late observation.Set
	a.Add(clock.BootTime{}.Now(), observation.Fact{Kind: "k", Subject: "x"}, time.Minute)
	eventually(t, "a VM has the other VM's fact", func() bool { return report("a", &a) && report("b", &b) && b.Len() == 1 })
	is.NoErr(former.opts.Replica.Handover(context.Background()))
	eventually(t, "a VM that has just started has the fact from the new leader", func() bool {
		return report("b", &b) && report("late", &late) && late.Len() == 1
	})
}

// crashes returns the facts that a request was at upstreams that crashed.
func crashes(subject string, upstreams ...registry.UpstreamID) (facts []observation.Fact) {
	for _, u := range upstreams {
		facts = append(facts, observation.Fact{Kind: "crash", Subject: subject, Upstream: u, StartedAt: 1})
	}
	return facts
}

func addAll(set *observation.Set, facts []observation.Fact) {
	for _, f := range facts {
		set.Add(clock.BootTime{}.Now(), f, time.Hour)
	}
}

// Guards against a request that crashes upstreams and is sent again after all VMs have lost power.
func TestCrashesOutliveALossOfAllVMs(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	var before, after observation.Set
	addAll(&before, crashes("deadly", "u", "v", "w"))
	addAll(&before, crashes("unlucky", "u"))
	addAll(&before, crashes("answered", "u", "v"))
	addAll(&before, []observation.Fact{{Kind: "answered", Subject: "answered", Upstream: "u", StartedAt: 1}, {Kind: "answered", Subject: "answered", Upstream: "v", StartedAt: 1}})
	eventually(t, "the leader has the facts", func() bool { return reportFacts(members[1], "a", &before) })
	for _, m := range members {
		eventually(t, "a member keeps the crashes", func() (kept bool) {
			m.opts.StateMachine.view(func(r *registry.Registry) { kept = len(r.Kept) == 3 })
			return kept
		})
	}
	for _, m := range members {
		m.stop()
	}
	for _, m := range members {
		m.start()
	}
	eventually(t, "a VM without memory has a reply", func() bool { return reportFacts(members[1], "a", &after) })
	is.Equal(after.Len(), 3)
	for _, f := range crashes("deadly", "u", "v", "w") {
		is.True(after.Has(clock.BootTime{}.Now(), f))
	}
}

// Guards against two probes of one round: one of a VM whose claim won, and another one by the grant of a later leader.
func TestClaimIsInTheLogBeforeItWins(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	var a, b observation.Set
	addAll(&a, crashes("deadly", "u", "v", "w"))
	claim := observation.Fact{Kind: "claim", Subject: "deadly", VM: "a", Round: 1}
	a.Add(clock.BootTime{}.Now(), claim, time.Hour)
	eventually(t, "the claim is returned", func() bool { return reportFacts(members[1], "a", &a) && a.LeaderOrder(claim) > 0 })
	leader, _ := currentLeader(t, members)
	leader.opts.StateMachine.view(func(r *registry.Registry) { is.True(slices.Contains(r.Kept, claim)) })
	for _, m := range members {
		m.stop()
	}
	for _, m := range members {
		m.start()
	}
	late := observation.Fact{Kind: "claim", Subject: "deadly", VM: "b", Round: 1}
	b.Add(clock.BootTime{}.Now(), late, time.Hour)
	eventually(t, "the later claim is returned", func() bool { return reportFacts(members[1], "b", &b) && b.LeaderOrder(late) > 0 })
	is.True(b.LeaderOrder(claim) > 0)
	is.True(b.LeaderOrder(claim) < b.LeaderOrder(late))
}
