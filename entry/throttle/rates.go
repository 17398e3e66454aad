package throttle

import (
	"time"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/protocol"
)

// demandSpan is the time over which demand is measured.
const demandSpan = 2 * time.Second

// RateLimiter holds this VM's parts of the workspaces' rates: for each an allowance, which is the requests that may
// pass here within any window. The leader lends them until the end of a lease.
type RateLimiter struct {
	Bounds Bounds
	until  time.Time // end of the lease
	spaces map[ident.Workspace]*space
	whole  bool // the next report must mention all
}

type space struct {
	limited bool
	allowed int
	passed  limit.Window
	short   int                // requests that found nothing left and were not reported yet
	told    protocol.RateUsage // as reported last
}

// SetWorkspaces takes over the rates of a catalog.
func (r *RateLimiter) SetWorkspaces(all map[ident.Workspace]catalog.Workspace) {
	for _, s := range r.spaces {
		s.limited = false
	}
	for name, w := range all {
		if w.Rate > 0 {
			r.space(name).limited = true
		}
	}
}

// span is how long a request counts.
func (r *RateLimiter) span() time.Duration { return r.Bounds.RateWindow + protocol.RateJitter }

func (r *RateLimiter) space(name ident.Workspace) *space {
	s := r.spaces[name]
	if s == nil {
		s = &space{}
		if r.spaces == nil {
			r.spaces = map[ident.Workspace]*space{}
		}
		r.spaces[name] = s
	}
	return s
}

// SetAllowances takes over changed allowances and the end of the lease of all.
func (r *RateLimiter) SetAllowances(allow protocol.Allowances, until time.Time) {
	for name, n := range allow {
		r.space(name).allowed = n
	}
	if until.After(r.until) {
		r.until = until
	}
}

// Take lets one request of a workspace pass if its allowance has room. Where it has none, it returns when it has
// again, or false for possible where that is not in sight.
func (r *RateLimiter) Take(now time.Time, name ident.Workspace) (wait time.Duration, possible, ok bool) {
	s := r.spaces[name]
	if s == nil || !s.limited {
		return 0, true, true
	}
	r.lapse(now)
	if s.passed.Take(now, r.span(), s.allowed) {
		return 0, true, true
	}
	wait, possible = s.passed.WaitTime(now, r.span(), s.allowed)
	return wait, possible, false
}

// Refund gives back what Take let pass at a time, for a request that no upstream ran.
func (r *RateLimiter) Refund(at time.Time, name ident.Workspace) {
	if s := r.spaces[name]; s != nil {
		s.passed.Refund(at)
	}
}

// AddUnmetRequest notes a request that found nothing left.
func (r *RateLimiter) AddUnmetRequest(name ident.Workspace) { r.space(name).short++ }

// lapse gives up what was lent once the lease is over.
func (r *RateLimiter) lapse(now time.Time) {
	if r.until.IsZero() || now.Before(r.until) {
		return
	}
	r.until, r.whole = time.Time{}, true
	for _, s := range r.spaces {
		s.allowed = 0
	}
}

// RequireFullReport makes the next report a whole one, as a leader needs that does not know this VM.
func (r *RateLimiter) RequireFullReport() { r.whole = true }

// Report returns what a report to the leader says, and whether it mentions all workspaces. ReportDelivered must follow
// once the leader has it.
func (r *RateLimiter) Report(now time.Time) (rates protocol.RateUsageByWorkspace, whole bool) {
	r.lapse(now)
	rates = protocol.RateUsageByWorkspace{}
	for name, s := range r.spaces {
		used := s.passed.Used(now, r.span())
		say := protocol.RateUsage{Allowance: max(s.allowed, used), Used: used, UnmetRequests: s.short}
		if r.whole && say != (protocol.RateUsage{}) || say != s.told {
			rates[name] = say
		}
	}
	return rates, r.whole
}

// ReportDelivered notes that the leader has a report.
func (r *RateLimiter) ReportDelivered(rates protocol.RateUsageByWorkspace, whole bool) {
	for name, said := range rates {
		s := r.space(name)
		s.short = max(0, s.short-said.UnmetRequests)
		said.UnmetRequests = 0
		s.told = said
	}
	if whole {
		r.whole = false
	}
}

// State returns a workspace's allowance, how much of it was used within the window, and what is left of the lease.
func (r *RateLimiter) State(now time.Time, name ident.Workspace) (allowed, used int, lease time.Duration) {
	r.lapse(now)
	if s := r.spaces[name]; s != nil {
		allowed, used = s.allowed, s.passed.Used(now, r.span())
	}
	return allowed, used, max(0, r.until.Sub(now))
}
