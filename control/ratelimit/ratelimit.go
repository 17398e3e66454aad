package ratelimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/protocol"
)

const (
	// LeaseDuration is how long a VM may use its allowances after the report that renewed them. It outlives losses of
	// the control group, in which VMs go on with what they have.
	LeaseDuration = 10 * time.Second
	// margin is added before a lease counts as lapsed, for clocks that run apart.
	margin = LeaseDuration / 40
	// idlePart is the part of an allowance that all VMs hold in equal parts without demand, so that a first
	// request needs no exchange. Where that is less than one request for each, some VMs hold one.
	idlePart = 0.35
	// reservePart is the part that only VMs with refused or waiting requests get; idle room goes first to them.
	reservePart = 0.12
	// pressure is the free part below which VMs give back what they do not use.
	pressure = 0.3
)

// Allocator is the leader's table of allowances; its zero value is ready for the first leader of a group that
// has never lent anything.
type Allocator struct {
	Tolerance limit.Tolerance

	holders map[ident.VM]*holder
	spaces  map[ident.Workspace]*space
	catalog *catalog.Catalog
	former  []former
	// unheard are the VMs that may hold allowances of an earlier leader and did not report since; settled is
	// when these have lapsed and what passed by them is out of the window.
	unheard map[ident.VM]bool
	settled time.Time
	began   time.Time // of the term
	anew    int       // VMs that reported a new run, whose runs before let an unknown number through
	kept    int       // the same, whose run went on
}

// space is one limited workspace.
type space struct {
	most  int // requests within a window
	bound int // sum of what the holders' allowances may let through
}

// holder is one run of an entry VM.
type holder struct {
	incarnation ident.Incarnation
	sequence    uint64 // of its newest report
	until       time.Time
	rates       map[ident.Workspace]*rate
}

// rate is one holder's part of a workspace.
type rate struct {
	granted int
	at      uint64 // the report whose answer granted it
	held    int    // as reported last
	bound   int    // the most that the VM may let through, as far as its reports show
	used    int
	short   int
	place   float64 // among the holders, for what is less than one request each
}

// former is what a holder that has gone may have let through within the window.
type former struct {
	until time.Time
	rates map[ident.Workspace]*rate
}

func (h *holder) rate(vm ident.VM, name ident.Workspace) *rate {
	a := h.rates[name]
	if a == nil {
		a = &rate{place: place(vm, name)}
		h.rates[name] = a
	}
	return a
}

// BeginTerm starts the term of a new leader; earlier ones lent to the VMs that are known.
func (l *Allocator) BeginTerm(now time.Time, known []ident.VM) {
	*l = Allocator{Tolerance: l.Tolerance, unheard: map[ident.VM]bool{}, began: now, settled: now.Add(l.HolderTimeout())}
	for _, vm := range known {
		l.unheard[vm] = true
	}
}

// SetCatalog takes over the workspaces' rates.
func (l *Allocator) SetCatalog(c *catalog.Catalog) {
	if c == nil || c == l.catalog {
		return
	}
	l.catalog = c
	if l.spaces == nil {
		l.spaces = map[ident.Workspace]*space{}
	}
	for name, s := range l.spaces {
		if w, known := c.Workspaces[name]; !known || w.Rate <= 0 {
			s.most = 0
		}
	}
	for name, w := range c.Workspaces {
		if w.Rate > 0 {
			l.space(name).most = l.Tolerance.MaxRequests(float64(w.Rate), w.Burst)
		}
	}
}

func (l *Allocator) space(name ident.Workspace) *space {
	s := l.spaces[name]
	if s == nil {
		s = &space{}
		if l.spaces == nil {
			l.spaces = map[ident.Workspace]*space{}
		}
		l.spaces[name] = s
	}
	return s
}

// Report takes over what a VM holds and uses, renews its lease and returns the allowances that it does not know
// yet. Known is false where the lender needs a whole report of the VM.
func (l *Allocator) Report(now time.Time, r *protocol.Report) (allow protocol.Allowances, known bool) {
	l.lapse(now)
	h := l.holders[r.VM.Name]
	if h == nil || h.incarnation != r.VM.Incarnation {
		if !r.Full {
			return nil, false
		}
		if h != nil {
			l.end(now, h)
		}
		h = &holder{incarnation: r.VM.Incarnation, rates: map[ident.Workspace]*rate{}}
		if l.holders == nil {
			l.holders = map[ident.VM]*holder{}
		}
		l.holders[r.VM.Name] = h
	}
	if l.unheard[r.VM.Name] {
		if r.RecentlyStarted {
			l.anew++
		} else {
			l.kept++
		}
		delete(l.unheard, r.VM.Name)
	}
	if r.Sequence < h.sequence {
		return nil, true // overtaken by a later report
	}
	h.sequence, h.until = r.Sequence, now.Add(LeaseDuration+margin)
	l.note(h, r)
	for name, s := range l.spaces {
		l.plan(now, h, h.rate(r.VM.Name, name), s, r.VM.Up)
	}
	allow = protocol.Allowances{}
	for name, a := range h.rates {
		if a.at > r.AppliedSequence {
			allow[name] = a.granted
		}
		a.short = 0
	}
	return allow, true
}

// note takes over the reported figures, and what they show to have been given up.
func (l *Allocator) note(h *holder, r *protocol.Report) {
	for name, reported := range r.RateUsage {
		if h.rates[name] == nil {
			h.rate(r.VM.Name, name).granted = reported.Allowance
		}
		a := h.rates[name]
		a.held, a.used, a.short = reported.Allowance, reported.Used, reported.UnmetRequests
	}
	for name, a := range h.rates {
		if _, reported := r.RateUsage[name]; !reported && r.Full {
			a.held, a.used = 0, 0
		}
		if r.Full {
			if r.AppliedSequence >= a.at {
				a.granted = a.held // its lease may have ended meanwhile
			}
			a.at = max(a.at, r.Sequence) // the answer says what it may go on with
		}
		bound := max(a.granted, a.held)
		if r.AppliedSequence < a.at && !r.Full {
			bound = max(bound, a.bound) // the VM may still use what it had before
		}
		s := l.space(name)
		s.bound += bound - a.bound
		a.bound = bound
	}
}

// plan sets a holder's allowance of one workspace.
func (l *Allocator) plan(now time.Time, h *holder, a *rate, s *space, up bool) {
	target, free := 0, l.free(now, s)
	if up {
		target = l.target(s, a, free)
	}
	switch {
	case target > a.granted:
		// Room for what waits now comes before room for what may come.
		urgent := min(a.used+a.short, target)
		if spare := free - int(reservePart*float64(s.most)); spare < target-a.bound {
			target = max(a.bound+max(spare, 0), min(urgent, a.bound+max(free, 0)))
		}
		if target <= a.granted {
			return
		}
	case target < a.granted:
		if up && (float64(free) > pressure*float64(s.most) || l.waits(now) && s.bound <= s.most) {
			return
		}
	default:
		return
	}
	a.granted, a.at = target, h.sequence
	s.bound += max(a.bound, target) - a.bound
	a.bound = max(a.bound, target)
}

// target is what a holder should have by its demand, with room for more of it.
func (l *Allocator) target(s *space, a *rate, free int) int {
	idle := 0
	if float64(free) > reservePart*float64(s.most) {
		part := idlePart * float64(s.most) / float64(max(len(l.holders)+len(l.unheard), 1))
		idle = int(part)
		if a.place < part-float64(idle) {
			idle++
		}
	}
	demand := a.used + a.short
	if demand == 0 {
		return idle
	}
	target := max(idle, demand+1+int(math.Ceil(math.Sqrt(float64(demand)))))
	if s.bound > s.most { // the rate was lowered
		target = min(target, a.granted*s.most/s.bound)
	}
	return target
}

// place spreads the holders of single requests evenly from 0 to 1, differently for each workspace.
func place(vm ident.VM, name ident.Workspace) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(string(vm)+"/"+string(name))%steps) / steps
}

// waits reports whether VMs may hold what this leader has not heard of.
func (l *Allocator) waits(now time.Time) bool {
	return len(l.unheard) > 0 && now.Before(l.settled) && !l.restarted()
}

const (
	// restartedRatio is how many VMs must run anew for each one that is unheard, where none went on, until the leader
	// takes all to have been lost together: then a few on busy links must not stop the others.
	restartedRatio = 3
	// unheardParts are the even parts of a rate that each unheard VM is taken to use then. It may be cut off and go
	// on instead; VMs whose callers choose among all seldom hold more.
	unheardParts = 2
)

// restarted reports whether all VMs were lost together, as far as they have been heard.
func (l *Allocator) restarted() bool { return l.kept == 0 && l.anew >= restartedRatio*len(l.unheard) }

// free returns the requests that no holder may let through.
func (l *Allocator) free(now time.Time, s *space) int {
	if l.waits(now) {
		return 0
	}
	most := float64(s.most)
	if l.anew > 0 && now.Sub(l.began) < l.Tolerance.Window {
		most *= min(1, (now.Sub(l.began)+startRoom).Seconds()/l.Tolerance.Window.Seconds())
	}
	if now.Before(l.settled) {
		most -= unheardParts * float64(s.most) * float64(len(l.unheard)) / float64(len(l.holders)+len(l.unheard)+1)
	}
	return int(most) - s.bound
}

// startRoom is the time of a window whose requests a new leader gives out at once: VMs that run anew have none.
const startRoom = time.Second

// lapse forgets holders whose lease is over, and what has left the window since.
func (l *Allocator) lapse(now time.Time) {
	for name, h := range l.holders {
		if now.After(h.until) {
			l.end(now, h)
			delete(l.holders, name)
		}
	}
	kept := l.former[:0]
	for _, f := range l.former {
		if now.Before(f.until) {
			kept = append(kept, f)
			continue
		}
		for name, a := range f.rates {
			l.space(name).bound -= a.bound
		}
	}
	l.former = kept
}

// end keeps what a holder may have let through counted until it is out of the window.
func (l *Allocator) end(now time.Time, h *holder) {
	l.former = append(l.former, former{until: now.Add(l.Tolerance.Window + protocol.RateJitter), rates: h.rates})
}

// HolderTimeout returns how long a VM that reports no more may go on to count.
func (l *Allocator) HolderTimeout() time.Duration {
	return LeaseDuration + margin + l.Tolerance.Window + protocol.RateJitter
}

// HolderCount returns how many VMs hold allowances.
func (l *Allocator) HolderCount() int { return len(l.holders) }
