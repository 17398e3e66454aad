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

// Rates holds this VM's parts of the workspaces' rates: for each an allowance, which is the requests that may
// pass here within any window. The leader lends them until the end of a lease.
type Rates struct {
	Terms  Terms
	until  time.Time // end of the lease
	spaces map[ident.Workspace]*space
	whole  bool // the next report must mention all
}

type space struct {
	limited bool
	allowed int
	passed  limit.Window
	short   int           // requests that found nothing left and were not reported yet
	told    protocol.Rate // as reported last
}

// SetWorkspaces takes over the rates of a catalog.
func (r *Rates) SetWorkspaces(all map[ident.Workspace]catalog.Workspace) {
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
func (r *Rates) span() time.Duration { return r.Terms.RateWindow + protocol.RateJitter }

func (r *Rates) space(name ident.Workspace) *space {
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

// Allow takes over changed allowances and the end of the lease of all.
func (r *Rates) Allow(allow protocol.Allowances, until time.Time) {
	for name, n := range allow {
		r.space(name).allowed = n
	}
	if until.After(r.until) {
		r.until = until
	}
}

// Take lets one request of a workspace pass if its allowance has room. Where it has none, it returns when it has
// again, or false for possible where that is not in sight.
func (r *Rates) Take(now time.Time, name ident.Workspace) (wait time.Duration, possible, ok bool) {
	s := r.spaces[name]
	if s == nil || !s.limited {
		return 0, true, true
	}
	r.lapse(now)
	if s.passed.Pass(now, r.span(), s.allowed) {
		return 0, true, true
	}
	wait, possible = s.passed.Ready(now, r.span(), s.allowed)
	return wait, possible, false
}

// Return gives back what Take let pass at a time, for a request that no upstream ran.
func (r *Rates) Return(at time.Time, name ident.Workspace) {
	if s := r.spaces[name]; s != nil {
		s.passed.Return(at)
	}
}

// Short notes a request that found nothing left.
func (r *Rates) Short(name ident.Workspace) { r.space(name).short++ }

// lapse gives up what was lent once the lease is over.
func (r *Rates) lapse(now time.Time) {
	if r.until.IsZero() || now.Before(r.until) {
		return
	}
	r.until, r.whole = time.Time{}, true
	for _, s := range r.spaces {
		s.allowed = 0
	}
}

// Forget makes the next report a whole one, as a leader needs that does not know this VM.
func (r *Rates) Forget() { r.whole = true }

// Report returns what a report to the leader says, and whether it mentions all workspaces. Told must follow
// once the leader has it.
func (r *Rates) Report(now time.Time) (rates protocol.Rates, whole bool) {
	r.lapse(now)
	rates = protocol.Rates{}
	for name, s := range r.spaces {
		used := s.passed.Used(now, r.span())
		say := protocol.Rate{Held: max(s.allowed, used), Used: used, Short: s.short}
		if r.whole && say != (protocol.Rate{}) || say != s.told {
			rates[name] = say
		}
	}
	return rates, r.whole
}

// Told notes that the leader has a report.
func (r *Rates) Told(rates protocol.Rates, whole bool) {
	for name, said := range rates {
		s := r.space(name)
		s.short = max(0, s.short-said.Short)
		said.Short = 0
		s.told = said
	}
	if whole {
		r.whole = false
	}
}

// State returns a workspace's allowance, how much of it was used within the window, and what is left of the lease.
func (r *Rates) State(now time.Time, name ident.Workspace) (allowed, used int, lease time.Duration) {
	r.lapse(now)
	if s := r.spaces[name]; s != nil {
		allowed, used = s.allowed, s.passed.Used(now, r.span())
	}
	return allowed, used, max(0, r.until.Sub(now))
}
