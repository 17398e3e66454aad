package throttle

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

var bounds = Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, RateWindow: 5 * time.Second,
	ColdRateFactor: 1.5, ColdSlack: 5}

// Guards against retries that multiply an overload: all VMs together must keep to the retry ratio and the slack.
func TestRetriesStayInBudget(t *testing.T) {
	is := is.New(t)
	const vms = 8
	now := time.Unix(1000, 0)
	var budgets [vms]RetryBudget
	for i := range budgets {
		budgets[i] = RetryBudget{Bounds: bounds, VMs: vms}
	}
	retries, requests := 0, 0
	for range 10 * 100 {
		now = now.Add(10 * time.Millisecond)
		for i := range budgets {
			budgets[i].AddRequest(now, "s")
			requests++
			if budgets[i].Take(now, "s") {
				retries++
			}
		}
	}
	is.True(float64(retries) <= bounds.RetryRatio*float64(requests)+bounds.RetrySlack)
	is.True(float64(retries) > 0.1*float64(requests)) // at least half of the ratio can be used
	var zero RetryBudget
	is.True(!zero.Take(now, "s"))
}

// Guards against a cold upstream that gets more requests than it can serve from all VMs of its domain together.
func TestColdUpstreamGetsLimitedRate(t *testing.T) {
	is := is.New(t)
	const sharers = 3
	const rate = 7.4
	now := time.Unix(1000, 0)
	var limiters [sharers]ColdStartLimiter
	for i := range limiters {
		limiters[i].Bounds = bounds
	}
	var sent []time.Time
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		for i := range limiters {
			if limiters[i].Admits(now, "u", rate, sharers) {
				limiters[i].RecordSend(now, "u")
				sent = append(sent, now)
			}
		}
	}
	for i, start := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(start) < time.Second {
				n++
			}
		}
		is.True(float64(n) <= rate*bounds.ColdRateFactor+bounds.ColdSlack)
	}
	is.True(len(sent) > 20) // the upstream gets requests at all
}

// Guards against a VM that admits more requests than its allowance within some window, with and without refunds for
// requests that no upstream executed.
func TestRateLimiterKeepsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := RateLimiter{Bounds: bounds}
		r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
		allowance := rapid.IntRange(0, 40).Draw(t, "allowed")
		r.SetAllowances(protocol.Allowances{"w": allowance}, now.Add(time.Hour))
		var admitted []time.Time
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			if _, _, ok := r.Take(now, "w"); !ok {
				continue
			}
			if rapid.IntRange(0, 4).Draw(t, "ran") == 0 {
				r.Refund(now, "w")
				continue
			}
			admitted = append(admitted, now)
		}
		first := 0
		for i, at := range admitted {
			for at.Sub(admitted[first]) >= bounds.RateWindow {
				first++
			}
			if n := i - first + 1; n > allowance {
				t.Fatalf("%d requests were admitted within one window, want at most the allowance of %d", n, allowance)
			}
		}
	})
}

// Guards against upstreams that get more requests within a window than the VM admits: a request may take longer to arrive
// than the one that is admitted in its place 5 s later.
func TestUpstreamArrivalsKeepAllowance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: bounds}
	r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
	r.SetAllowances(protocol.Allowances{"w": 3}, now.Add(time.Hour))
	var arrived []time.Time
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		if _, _, ok := r.Take(now, "w"); ok {
			arrived = append(arrived, now.Add(time.Duration(i%7)*40*time.Millisecond))
		}
	}
	slices.SortFunc(arrived, time.Time.Compare)
	for i, at := range arrived[3:] {
		is.True(at.Sub(arrived[i]) >= bounds.RateWindow) // at is arrived[i+3]; a window admits three requests
	}
}

// Guards against a VM that admits requests after its lease has expired, and against one that no longer reports the
// requests it admitted before.
func TestExpiredLeaseStopsRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: bounds}
	r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
	r.SetAllowances(protocol.Allowances{"w": 3}, now.Add(time.Second))
	_, _, ok := r.Take(now, "w")
	is.True(ok)
	_, _, ok = r.Take(now, "unlimited")
	is.True(ok)
	now = now.Add(2 * time.Second)
	_, _, ok = r.Take(now, "w")
	is.True(!ok)
	allowance, used, leaseRemaining := r.State(now, "w")
	is.Equal([]int{allowance, used}, []int{0, 1})
	is.Equal(leaseRemaining, time.Duration(0))
	rates, full := r.Report(now)
	is.True(full)
	is.Equal(rates["w"], protocol.RateUsage{Allowance: 1, Used: 1})
}

// Guards against a late reply that brings back allowances which the leader no longer counts.
func TestLateReplyExtendsOnlyLiveLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: bounds}
	r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
	lease := func() time.Duration { _, _, left := r.State(now, "w"); return left }
	r.ExtendLease(now, now.Add(time.Second))
	is.Equal(lease(), time.Duration(0)) // nothing was granted yet
	r.SetAllowances(protocol.Allowances{"w": 3}, now.Add(time.Second))
	r.ExtendLease(now, now.Add(4*time.Second))
	is.Equal(lease(), 4*time.Second)
	r.ExtendLease(now, now.Add(2*time.Second))
	is.Equal(lease(), 4*time.Second)
	r.RequireFullReport()
	r.ExtendLease(now, now.Add(6*time.Second))
	is.Equal(lease(), 4*time.Second) // another leader may get the full report
	r.ReportDelivered(nil, true)
	now = now.Add(5 * time.Second)
	r.ExtendLease(now, now.Add(time.Second))
	is.Equal(lease(), time.Duration(0))
	allowance, _, _ := r.State(now, "w")
	is.Equal(allowance, 0)
}

// Guards against reports that grow with the number of workspaces: the links of small VMs are too slow for these.
func TestReportsContainOnlyChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: bounds}
	r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"v": {Name: "v", Rate: 9, Burst: 9}, "w": {Name: "w", Rate: 9, Burst: 9}})
	r.SetAllowances(protocol.Allowances{"v": 3, "w": 1}, now.Add(time.Minute))
	r.ReportDelivered(r.Report(now))
	_, _, _ = r.Take(now, "w")
	r.AddUnmetRequest("w")
	rates, _ := r.Report(now)
	is.Equal(rates, protocol.RateUsageByWorkspace{"w": {Allowance: 1, Used: 1, UnmetRequests: 1}})
	r.ReportDelivered(rates, false)
	rates, _ = r.Report(now)
	is.Equal(len(rates), 0)
}

// Guards against requests that exceed their route's time limit because they were queued on this VM's link, and against
// requests that are given up too early because of one late message.
func TestLinkDelayFollowsRoundTrips(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l LinkDelay
	is.Equal(l.Estimate(now), time.Duration(0))
	addSample := func(roundTrip time.Duration) {
		now = now.Add(500 * time.Millisecond)
		l.AddSample(now, roundTrip)
	}
	addSample(110 * time.Millisecond)
	addSample(900 * time.Millisecond)
	is.Equal(l.Estimate(now), time.Duration(0))
	for range 4 {
		addSample(910 * time.Millisecond)
	}
	is.Equal(l.Estimate(now), 400*time.Millisecond)
	addSample(130 * time.Millisecond)
	is.Equal(l.Estimate(now), 10*time.Millisecond)
	is.Equal(l.Estimate(now.Add(time.Minute)), time.Duration(0))
}
