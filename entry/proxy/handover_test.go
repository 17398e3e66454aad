package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Guards against allowances, region weights and assignments of a former leader that arrive after those of the new one.
func TestReplyOfEarlierTermAfterNewerIsIgnored(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 5, answerOK)
	sentAt := fx.opts.LeaseClock.Now()
	earlier, later := fx.Report(), fx.Report()
	order := func(term ident.Term, allowance int, region ident.Region, upstream registry.UpstreamID) protocol.ReportReply {
		return protocol.ReportReply{Term: term, Lease: time.Minute, VMCount: int(term), Allowances: protocol.Allowances{"w": allowance},
			RegionWeights: protocol.RegionWeightsByService{"s": {region: 1}},
			Assignments:   protocol.Assignments{"s": {1: {upstream}}}}
	}
	fx.HandleReply(sentAt, later, order(2, 1, "new", "new"))
	fx.HandleReply(sentAt, earlier, order(1, 9, "old", "old"))
	full := order(1, 9, "old", "old")
	full.FullReportRequired = true
	fx.HandleReply(sentAt, earlier, full)
	allowed, _, _ := fx.rateLimiter.State(fx.opts.LeaseClock.Now(), "w")
	is.Equal(allowed, 1)
	is.Equal(fx.appliedTerm, ident.Term(2))
	is.Equal(fx.regionWeights["s"], protocol.RegionWeights{"new": 1})
	is.Equal(fx.balancer.Assignments()["s"][1], []registry.UpstreamID{"new"})
	is.Equal(fx.retryBudget.VMs, 3)

	fx.HandleReply(sentAt, fx.Report(), order(1, 2, "restored", "restored")) // a group that began anew
	is.Equal(fx.appliedTerm, ident.Term(1))
}
