package throttle

import (
	"time"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/protocol"
)

// DemandWindow is the time over which a Meter measures a rate.
const DemandWindow = 2 * time.Second

// RateLimiter limits the requests of each workspace on this VM to an allowance, the number of requests that may be
// admitted within any window. The leader grants the allowances for the time of a lease.
type RateLimiter struct {
	Bounds             Bounds
	leaseExpiry        time.Time // zero without a lease
	limiters           map[ident.Workspace]*workspaceLimiter
	fullReportRequired bool // the next report must contain all workspaces
}

// workspaceLimiter is the state of one workspace.
type workspaceLimiter struct {
	limited      bool // the catalog gives the workspace a rate
	allowance    int
	admitted     limit.Window
	unmet        int                // requests beyond the allowance that were not reported yet
	lastReported protocol.RateUsage // usage in the last delivered report, without its unmet requests
}

// SetWorkspaces sets which workspaces are limited: those that have a rate in the catalog.
func (r *RateLimiter) SetWorkspaces(workspaces map[ident.Workspace]catalog.Workspace) {
	for _, l := range r.limiters {
		l.limited = false
	}
	for name, w := range workspaces {
		if w.Rate > 0 {
			r.limiter(name).limited = true
		}
	}
}

// countingWindow returns how long a request counts towards the allowance.
func (r *RateLimiter) countingWindow() time.Duration {
	return r.Bounds.RateWindow + protocol.RateJitter
}

// limiter returns the limiter of a workspace and creates it if there is none.
func (r *RateLimiter) limiter(name ident.Workspace) *workspaceLimiter {
	l := r.limiters[name]
	if l == nil {
		l = &workspaceLimiter{}
		if r.limiters == nil {
			r.limiters = map[ident.Workspace]*workspaceLimiter{}
		}
		r.limiters[name] = l
	}
	return l
}

// SetAllowances sets the allowances that have changed, and extends the lease of all allowances to leaseExpiry.
func (r *RateLimiter) SetAllowances(allowances protocol.Allowances, leaseExpiry time.Time) {
	for name, n := range allowances {
		r.limiter(name).allowance = n
	}
	if leaseExpiry.After(r.leaseExpiry) {
		r.leaseExpiry = leaseExpiry
	}
}

// ExtendLease extends the lease of the present allowances. It does nothing if the lease has expired or a full report is
// due, because the leader may count smaller allowances then.
func (r *RateLimiter) ExtendLease(now, leaseExpiry time.Time) {
	r.expireLease(now)
	if !r.fullReportRequired && !r.leaseExpiry.IsZero() && leaseExpiry.After(r.leaseExpiry) {
		r.leaseExpiry = leaseExpiry
	}
}

// Take admits one request of a workspace if the allowance permits it. Otherwise it returns how long to wait until the
// allowance permits one, or possible as false if it will not without a change of the allowance.
func (r *RateLimiter) Take(now time.Time, name ident.Workspace) (wait time.Duration, possible, ok bool) {
	l := r.limiters[name]
	if l == nil || !l.limited {
		return 0, true, true
	}
	r.expireLease(now)
	if l.admitted.Take(now, r.countingWindow(), l.allowance) {
		return 0, true, true
	}
	wait, possible = l.admitted.WaitTime(now, r.countingWindow(), l.allowance)
	return wait, possible, false
}

// Refund takes back the request that Take admitted at a time, because no upstream executed it.
func (r *RateLimiter) Refund(at time.Time, name ident.Workspace) {
	if l := r.limiters[name]; l != nil {
		l.admitted.Refund(at)
	}
}

// Renew counts a request that Take admitted at a time as admitted now. It returns false, and no longer counts the request,
// if the allowance does not permit it any more.
func (r *RateLimiter) Renew(now, takenAt time.Time, name ident.Workspace) bool {
	r.Refund(takenAt, name)
	_, _, ok := r.Take(now, name)
	return ok
}

// AddUnmetRequest counts a request beyond the allowance, for the next report.
func (r *RateLimiter) AddUnmetRequest(name ident.Workspace) { r.limiter(name).unmet++ }

// expireLease sets all allowances to 0 if the lease has expired.
func (r *RateLimiter) expireLease(now time.Time) {
	if r.leaseExpiry.IsZero() || now.Before(r.leaseExpiry) {
		return
	}
	r.leaseExpiry, r.fullReportRequired = time.Time{}, true
	for _, l := range r.limiters {
		l.allowance = 0
	}
}

// RequireFullReport makes the next report a full one, which a leader needs that has no report of this VM.
func (r *RateLimiter) RequireFullReport() { r.fullReportRequired = true }

// Report returns the usage by workspace for a report to the leader, and whether the report is full. Unless it is full it
// contains only workspaces whose usage has changed. ReportDelivered must be called when the leader has received it.
func (r *RateLimiter) Report(now time.Time) (rates protocol.RateUsageByWorkspace, full bool) {
	r.expireLease(now)
	rates = protocol.RateUsageByWorkspace{}
	for name, l := range r.limiters {
		used := l.admitted.Used(now, r.countingWindow())
		usage := protocol.RateUsage{Allowance: max(l.allowance, used), Used: used, UnmetRequests: l.unmet}
		if r.fullReportRequired && usage != (protocol.RateUsage{}) || usage != l.lastReported {
			rates[name] = usage
		}
	}
	return rates, r.fullReportRequired
}

// ReportDelivered records that the leader has received a report.
func (r *RateLimiter) ReportDelivered(rates protocol.RateUsageByWorkspace, full bool) {
	for name, usage := range rates {
		l := r.limiter(name)
		l.unmet = max(0, l.unmet-usage.UnmetRequests)
		usage.UnmetRequests = 0
		l.lastReported = usage
	}
	if full {
		r.fullReportRequired = false
	}
}

// State returns a workspace's allowance, the number of requests that were admitted within the window, and the remaining
// time of the lease.
func (r *RateLimiter) State(now time.Time, name ident.Workspace) (allowance, used int, leaseRemaining time.Duration) {
	r.expireLease(now)
	if l := r.limiters[name]; l != nil {
		allowance, used = l.allowance, l.admitted.Used(now, r.countingWindow())
	}
	return allowance, used, max(0, r.leaseExpiry.Sub(now))
}
