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
	// LeaseDuration is how long a VM may use its allowances after the report that renewed them. It is long enough for
	// VMs to keep admitting requests through an outage of the control group.
	LeaseDuration = 10 * time.Second
	// clockMargin is added to a lease before the leader treats it as expired, because clocks run at slightly
	// different speeds.
	clockMargin = LeaseDuration / 40
	// idleFraction is the part of a limit that all VMs hold in equal shares without demand, so that a first request
	// need not wait for a report. If a share is less than one request, only some VMs hold one.
	idleFraction = 0.35
	// reserveFraction is the part of a limit that is reserved for VMs with refused or waiting requests. Allowances
	// without demand are granted only from the rest.
	reserveFraction = 0.12
	// fullRoomFraction is the free part of a limit from which VMs get their full room for further requests.
	fullRoomFraction = 2 * reserveFraction
	// lateFraction is the part of a limit's slack that is not granted: requests that a link holds back for longer than
	// protocol.RateJitter arrive in a later window than the one that they count in.
	lateFraction = 0.2
	// reclaimThreshold is the free part of a limit below which unused allowances are reclaimed from VMs.
	reclaimThreshold = 0.3
)

// Allocator is the leader's table of allowances. The zero value is ready for the first leader of a group that has
// never granted any allowance.
type Allocator struct {
	Tolerance limit.Tolerance

	holders  map[ident.VM]*holder
	budgets  map[ident.Workspace]*budget
	catalog  *catalog.Catalog
	departed []departedHolder
	// unreported are the VMs that may hold allowances from an earlier leader and have not reported to this one. At
	// unreportedExpiry their leases have expired and the requests that they admitted have left the window.
	unreported       map[ident.VM]bool
	unreportedExpiry time.Time
	termStart        time.Time
	// restartExpiries has an entry for each VM known at the start of the term that reported that it had just started: when
	// the requests of its earlier run have left the window. That run admitted an unknown number of requests, some perhaps
	// during this term, under the lease of an earlier leader.
	restartExpiries []time.Time
	// continuingVMs counts the VMs known at the start of the term that reported and served before it, so that not all VMs
	// failed together: they have run for longer than a window or hold an allowance of an earlier leader.
	continuingVMs int
}

// budget is the limit of one workspace and how much of it is granted.
type budget struct {
	maxRequests int // within a window
	committed   int // requests that all holders together may admit within a window
}

// holder is one run of an entry VM that holds allowances.
type holder struct {
	incarnation ident.Incarnation
	sequence    uint64 // of its newest report
	leaseExpiry time.Time
	allowances  map[ident.Workspace]*allowance
}

// allowance is one holder's part of a workspace's budget.
type allowance struct {
	granted       int
	grantSequence uint64 // sequence of the report whose reply granted it
	reported      int    // allowance in the last report
	committed     int    // requests that the VM may still admit, judging by its reports
	used          int
	unmet         int
	position      float64 // from 0 to 1, decides which holders get an idle request if there is less than one for each
}

// departedHolder keeps the allowances of a holder that restarted or whose lease expired, because its admitted
// requests may still be within the window.
type departedHolder struct {
	expiry     time.Time
	allowances map[ident.Workspace]*allowance
}

// allowance returns the holder's entry for a workspace, which it adds if needed.
func (h *holder) allowance(vm ident.VM, name ident.Workspace) *allowance {
	a := h.allowances[name]
	if a == nil {
		a = &allowance{position: idlePosition(vm, name)}
		h.allowances[name] = a
	}
	return a
}

// BeginTerm starts the term of a new leader. Earlier leaders may have granted allowances to the given VMs.
func (l *Allocator) BeginTerm(now time.Time, knownVMs []ident.VM) {
	*l = Allocator{Tolerance: l.Tolerance, unreported: map[ident.VM]bool{}, termStart: now, unreportedExpiry: now.Add(l.HolderTimeout())}
	for _, vm := range knownVMs {
		l.unreported[vm] = true
	}
}

// SetCatalog updates the limits of all workspaces from the catalog.
func (l *Allocator) SetCatalog(c *catalog.Catalog) {
	if c == nil || c == l.catalog {
		return
	}
	l.catalog = c
	if l.budgets == nil {
		l.budgets = map[ident.Workspace]*budget{}
	}
	for name, b := range l.budgets {
		if w, known := c.Workspaces[name]; !known || w.Rate <= 0 {
			b.maxRequests = 0
		}
	}
	for name, w := range c.Workspaces {
		if w.Rate > 0 {
			l.budget(name).maxRequests = l.Tolerance.MaxRequests(float64(w.Rate), w.Burst) - int(lateFraction*l.Tolerance.Slack)
		}
	}
}

// budget returns the entry of a workspace, which it adds if needed.
func (l *Allocator) budget(name ident.Workspace) *budget {
	b := l.budgets[name]
	if b == nil {
		b = &budget{}
		if l.budgets == nil {
			l.budgets = map[ident.Workspace]*budget{}
		}
		l.budgets[name] = b
	}
	return b
}

// Report records what a VM holds and uses, renews its lease and returns the allowances that it has not applied yet.
// If ok is false, the VM must send a full report.
func (l *Allocator) Report(now time.Time, r *protocol.Report) (changed protocol.Allowances, ok bool) {
	l.removeExpired(now)
	h := l.holders[r.VM.Name]
	if h == nil || h.incarnation != r.VM.Incarnation {
		if !r.Full {
			return nil, false
		}
		if h != nil {
			l.retire(now, h)
		}
		h = &holder{incarnation: r.VM.Incarnation, allowances: map[ident.Workspace]*allowance{}}
		if l.holders == nil {
			l.holders = map[ident.VM]*holder{}
		}
		l.holders[r.VM.Name] = h
	}
	if l.unreported[r.VM.Name] {
		if r.RecentlyStarted {
			l.restartExpiries = append(l.restartExpiries, now.Add(l.Tolerance.Window+protocol.RateJitter))
		}
		if !r.RecentlyStarted || holdsAllowance(r) {
			l.continuingVMs++
		}
		delete(l.unreported, r.VM.Name)
	}
	if r.Sequence < h.sequence {
		return nil, true // overtaken by a later report
	}
	h.sequence, h.leaseExpiry = r.Sequence, now.Add(LeaseDuration+clockMargin)
	l.recordUsage(h, r)
	for name, b := range l.budgets {
		l.updateAllowance(now, h, h.allowance(r.VM.Name, name), b, r.VM.Up)
	}
	changed = protocol.Allowances{}
	for name, a := range h.allowances {
		if a.grantSequence > r.AppliedSequence {
			changed[name] = a.granted
		}
		a.unmet = 0
	}
	return changed, true
}

// holdsAllowance reports whether a VM has an allowance of any workspace.
func holdsAllowance(r *protocol.Report) bool {
	for _, usage := range r.RateUsage {
		if usage.Allowance > 0 {
			return true
		}
	}
	return false
}

// recordUsage records the reported figures and lowers what the VM can still admit once it has confirmed a smaller
// allowance.
func (l *Allocator) recordUsage(h *holder, r *protocol.Report) {
	for name, reported := range r.RateUsage {
		if h.allowances[name] == nil {
			h.allowance(r.VM.Name, name).granted = reported.Allowance
		}
		a := h.allowances[name]
		a.reported, a.used, a.unmet = reported.Allowance, reported.Used, reported.UnmetRequests
	}
	for name, a := range h.allowances {
		if _, reported := r.RateUsage[name]; !reported && r.Full {
			a.reported, a.used = 0, 0
		}
		if r.Full {
			if r.AppliedSequence >= a.grantSequence {
				a.granted = a.reported // the VM's lease may have expired in the meantime
			}
			a.grantSequence = max(a.grantSequence, r.Sequence) // so that the reply contains the allowance
		}
		committed := max(a.granted, a.reported)
		if r.AppliedSequence < a.grantSequence && !r.Full {
			committed = max(committed, a.committed) // the VM may still use its earlier allowance
		}
		b := l.budget(name)
		b.committed += committed - a.committed
		a.committed = committed
	}
}

// updateAllowance sets a holder's allowance of one workspace.
func (l *Allocator) updateAllowance(now time.Time, h *holder, a *allowance, b *budget, up bool) {
	free := l.freeRequests(now, b)
	target := l.targetAllowance(b, a, free, up)
	switch {
	case target > a.granted:
		// Requests that wait now take precedence over room for future ones.
		pending := min(a.used+a.unmet, target)
		if spare := free - int(reserveFraction*float64(b.maxRequests)); spare < target-a.committed {
			target = max(a.committed+max(spare, 0), min(pending, a.committed+max(free, 0)))
		}
		if target <= a.granted {
			return
		}
	case target < a.granted:
		if up && (float64(free) > reclaimThreshold*float64(b.maxRequests) || l.awaitsReports(now) && b.committed <= b.maxRequests) {
			return
		}
	default:
		return
	}
	a.granted, a.grantSequence = target, h.sequence
	b.committed += max(a.committed, target) - a.committed
	a.committed = max(a.committed, target)
}

// targetAllowance returns the allowance that fits a holder's demand, with room for more requests. Callers go on to ask a
// VM that leaves until they learn of it, so that it keeps what they ask, without a share for others.
func (l *Allocator) targetAllowance(b *budget, a *allowance, free int, up bool) int {
	idle := 0
	if up && float64(free) > reserveFraction*float64(b.maxRequests) {
		equalPart := idleFraction * float64(b.maxRequests) / float64(max(len(l.holders)+len(l.unreported), 1))
		idle = int(equalPart)
		if a.position < equalPart-float64(idle) {
			idle++
		}
	}
	demand := a.used + a.unmet
	if demand == 0 {
		return idle
	}
	target := max(idle, demand+room(demand, float64(free)/float64(max(b.maxRequests, 1))))
	if b.committed > b.maxRequests { // the limit was lowered
		target = min(target, a.granted*b.maxRequests/b.committed)
	}
	return target
}

// room returns how many requests beyond its demand a VM may admit without asking. It shrinks as the free part of the limit
// does: where many VMs share a small limit, their unused room would otherwise add up to requests that are refused
// elsewhere.
func room(demand int, freePart float64) int {
	full := 1 + math.Ceil(math.Sqrt(float64(demand)))
	return int(full * min(max(freePart, 0)/fullRoomFraction, 1))
}

// idlePosition hashes a VM's position for single idle requests evenly over 0 to 1, differently for each workspace.
func idlePosition(vm ident.VM, name ident.Workspace) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(string(vm)+"/"+string(name))%steps) / steps
}

// awaitsReports reports whether VMs that have not reported yet may hold allowances from an earlier leader.
func (l *Allocator) awaitsReports(now time.Time) bool {
	return len(l.unreported) > 0 && now.Before(l.unreportedExpiry) && !l.allRestarted()
}

const (
	// restartedRatio is the smallest ratio of restarted VMs to VMs without a report at which the leader assumes that
	// all VMs failed together, provided that no VM has reported that it kept running. Without this rule, a few VMs on
	// congested links would block the others.
	restartedRatio = 3
	// unknownShares is how many equal shares of a limit the leader then sets aside for each unreported VM, which
	// may be isolated and still running, and for the earlier run of each restarted VM if others kept running. A VM
	// seldom holds more where callers choose among all VMs.
	unknownShares = 2
)

// allRestarted reports whether all VMs appear to have failed together, judging by the reports so far.
func (l *Allocator) allRestarted() bool {
	return l.continuingVMs == 0 && len(l.restartExpiries) >= restartedRatio*len(l.unreported)
}

// freeRequests returns how many requests of a limit are not committed to any holder.
func (l *Allocator) freeRequests(now time.Time, b *budget) int {
	if l.awaitsReports(now) {
		return 0
	}
	available := float64(b.maxRequests)
	if len(l.restartExpiries) > 0 && now.Sub(l.termStart) < l.Tolerance.Window {
		available *= min(1, (now.Sub(l.termStart)+initialWindow).Seconds()/l.Tolerance.Window.Seconds())
	}
	available -= unknownShares * float64(b.maxRequests) * float64(l.unknownHolders(now)) / float64(len(l.holders)+len(l.unreported)+1)
	return int(available) - b.committed
}

// unknownHolders returns how many runs of VMs may have admitted requests within the window that this leader does not
// know of. Where all VMs failed together, their earlier runs ended before the term, and the limit grows over a window.
func (l *Allocator) unknownHolders(now time.Time) int {
	count := 0
	if now.Before(l.unreportedExpiry) {
		count = len(l.unreported)
	}
	if l.continuingVMs == 0 {
		return count
	}
	for _, expiry := range l.restartExpiries {
		if now.Before(expiry) {
			count++
		}
	}
	return count
}

// initialWindow is the part of a window whose requests a new leader grants at once, because restarted VMs hold no
// allowance.
const initialWindow = time.Second

// removeExpired retires holders whose leases have expired, and forgets departed ones whose requests have left the
// window.
func (l *Allocator) removeExpired(now time.Time) {
	for name, h := range l.holders {
		if now.After(h.leaseExpiry) {
			l.retire(now, h)
			delete(l.holders, name)
		}
	}
	kept := l.departed[:0]
	for _, d := range l.departed {
		if now.Before(d.expiry) {
			kept = append(kept, d)
			continue
		}
		for name, a := range d.allowances {
			l.budget(name).committed -= a.committed
		}
	}
	l.departed = kept
}

// retire keeps the requests that a holder may have admitted counted until they have left the window.
func (l *Allocator) retire(now time.Time, h *holder) {
	l.departed = append(l.departed, departedHolder{expiry: now.Add(l.Tolerance.Window + protocol.RateJitter), allowances: h.allowances})
}

// HolderTimeout returns how long the allowances of a VM remain counted after its last report.
func (l *Allocator) HolderTimeout() time.Duration {
	return LeaseDuration + clockMargin + l.Tolerance.Window + protocol.RateJitter
}

// HolderCount returns the number of VMs that hold allowances.
func (l *Allocator) HolderCount() int { return len(l.holders) }
