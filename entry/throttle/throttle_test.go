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

var terms = Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56, RateWindow: 5 * time.Second,
	ColdExcess: 1.5, ColdSlack: 5}

// Guards against second sends that multiply an overload: the VMs together keep to the part and the slack.
func TestRetriesStayInBudget(t *testing.T) {
	is := is.New(t)
	const vms = 8
	now := time.Unix(1000, 0)
	var all [vms]RetryBudget
	for i := range all {
		all[i] = RetryBudget{Bounds: terms, VMs: vms}
	}
	sends, requests := 0, 0
	for range 10 * 100 {
		now = now.Add(10 * time.Millisecond)
		for i := range all {
			all[i].AddRequest(now, "s")
			requests++
			if all[i].Take(now, "s") {
				sends++
			}
		}
	}
	is.True(float64(sends) <= terms.RetryRatio*float64(requests)+terms.RetrySlack)
	is.True(float64(sends) > 0.1*float64(requests)) // and the budget is of use
	var unused RetryBudget
	is.True(!unused.Take(now, "s"))
}

// Guards against a cold upstream that gets more than it bears from all VMs of its domain together.
func TestColdUpstreamIsSpared(t *testing.T) {
	is := is.New(t)
	const sharers = 3
	const rate = 7.4
	now := time.Unix(1000, 0)
	var all [sharers]ColdStartLimiter
	for i := range all {
		all[i].Bounds = terms
	}
	var sent []time.Time
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		for i := range all {
			if all[i].Admits(now, "u", rate, sharers) {
				all[i].RecordSend(now, "u")
				sent = append(sent, now)
			}
		}
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		is.True(float64(n) <= rate*terms.ColdExcess+terms.ColdSlack)
	}
	is.True(len(sent) > 20) // and it is used
}

// Guards against a VM that lets more through than its allowance in some window, also where requests that no
// upstream ran give theirs back.
func TestRatesKeepTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := RateLimiter{Bounds: terms}
		r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
		allowed := rapid.IntRange(0, 40).Draw(t, "allowed")
		r.SetAllowances(protocol.Allowances{"w": allowed}, now.Add(time.Hour))
		var passed []time.Time
		for range 600 {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			if _, _, ok := r.Take(now, "w"); !ok {
				continue
			}
			if rapid.IntRange(0, 4).Draw(t, "ran") == 0 {
				r.Refund(now, "w")
				continue
			}
			passed = append(passed, now)
		}
		first := 0
		for i, at := range passed {
			for at.Sub(passed[first]) >= terms.RateWindow {
				first++
			}
			if n := i - first + 1; n > allowed {
				t.Fatalf("%d requests in a window, allowance %d", n, allowed)
			}
		}
	})
}

// Guards against upstreams that see more in a window than passed here within any: one request may take a
// little longer on its way than that which takes its place 5 s later.
func TestArrivalsKeepTheAllowance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: terms}
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
		is.True(at.Sub(arrived[i]) >= terms.RateWindow) // the third before it
	}
}

// Guards against a VM that forgets what it let through when its lease ends, and against one that goes on.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: terms}
	r.SetWorkspaces(map[ident.Workspace]catalog.Workspace{"w": {Name: "w", Rate: 9, Burst: 9}})
	r.SetAllowances(protocol.Allowances{"w": 3}, now.Add(time.Second))
	_, _, ok := r.Take(now, "w")
	is.True(ok)
	_, _, ok = r.Take(now, "unlimited")
	is.True(ok)
	now = now.Add(2 * time.Second)
	_, _, ok = r.Take(now, "w")
	is.True(!ok)
	allowed, used, lease := r.State(now, "w")
	is.Equal([]int{allowed, used}, []int{0, 1})
	is.Equal(lease, time.Duration(0))
	rates, whole := r.Report(now)
	is.True(whole)
	is.Equal(rates["w"], protocol.RateUsage{Allowance: 1, Used: 1})
}

// Guards against reports that grow with the number of workspaces, which small VMs' links cannot carry.
func TestReportsSayWhatChanged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := RateLimiter{Bounds: terms}
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

// Guards against requests that are held longer than their route allows because this VM's link queues, and against
// requests that are given up early for one late message.
func TestLagFollowsTheLink(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l LinkDelay
	is.Equal(l.Estimate(now), time.Duration(0))
	step := func(took time.Duration) {
		now = now.Add(500 * time.Millisecond)
		l.AddSample(now, took)
	}
	step(110 * time.Millisecond)
	step(900 * time.Millisecond)
	is.Equal(l.Estimate(now), time.Duration(0))
	for range 4 {
		step(910 * time.Millisecond)
	}
	is.Equal(l.Estimate(now), 400*time.Millisecond)
	step(130 * time.Millisecond)
	is.Equal(l.Estimate(now), 10*time.Millisecond)
	is.Equal(l.Estimate(now.Add(time.Minute)), time.Duration(0))
}
