package balancer

import (
	"strconv"
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/registry"
)

const (
	// maxReturnSpread is the largest part of a quiet span by which this VM waits longer than the upstream asked. Many
	// VMs get spans that end together, and would all take the upstream for idle.
	maxReturnSpread = 0.25
	// maxReturnDelay bounds that wait, so that an upstream that has recovered does not stay idle for long.
	maxReturnDelay = time.Second
	// maxTrial is how long an upstream whose span has ended gets no second request while the first one is unanswered.
	maxTrial = time.Second
	// maxCarriedQuiet is how long after it was asked for a quiet span also holds for the next run at the address. That run
	// may have asked for it before its announcement reached this VM.
	maxCarriedQuiet = 5 * time.Second
	// noticeRetention is how long a leaving mark outlives the upstream's registration. An upstream that control lost
	// sight of may announce itself again in the same run.
	noticeRetention = 10 * time.Minute
)

// Restriction is the reason for which an upstream gets no new work from this VM.
type Restriction int

// Restrictions of upstreams.
const (
	Unrestricted Restriction = iota
	Gone                     // this run of the upstream is not registered any more
	Leaving                  // it announced or answered that it leaves
	Quiet                    // it asked for no requests until a time that has not come
	Drained                  // its failure domain is being drained
	Excluded                 // its region may not serve the request
)

// String implements fmt.Stringer.
func (r Restriction) String() string {
	return [...]string{"unrestricted", "gone", "leaving", "quiet", "drained", "excluded"}[r]
}

// notice is what one run of an upstream said about itself.
type notice struct {
	leaving    bool
	quietAsked time.Time // by Query.LeaseNow
	quietUntil time.Time // includes this VM's return delay
	returning  bool      // no request was answered since quietUntil
	trialUntil time.Time // while returning, until then the upstream gets no second request
}

// isQuiet reports whether an upstream gets no request now because it asked for none. After a span it first gets one
// request at a time.
func (n *notice) isQuiet(leaseNow time.Time) bool {
	return leaseNow.Before(n.quietUntil) || n.returning && leaseNow.Before(n.trialUntil)
}

// returnsIn returns the time until isQuiet is false.
func (n *notice) returnsIn(leaseNow time.Time) time.Duration {
	until := n.quietUntil
	if n.returning && n.trialUntil.After(until) {
		until = n.trialUntil
	}
	return until.Sub(leaseNow)
}

// forNextRun returns what holds for the next run of the upstream at the same address.
func (n *notice) forNextRun() notice {
	next := notice{quietAsked: n.quietAsked, quietUntil: n.quietUntil, returning: n.returning}
	if latest := n.quietAsked.Add(maxCarriedQuiet); latest.Before(next.quietUntil) {
		next.quietUntil = latest
	}
	return next
}

// requestSent begins the trial of an upstream whose span has ended.
func (n *notice) requestSent(leaseNow time.Time) {
	if n.returning {
		n.trialUntil = leaseNow.Add(maxTrial)
	}
}

// requestEnded ends the trial. The upstream has returned if it ran the request.
func (n *notice) requestEnded(leaseNow time.Time, outcome Outcome) {
	if !n.returning || leaseNow.Before(n.quietUntil) {
		return
	}
	n.trialUntil = time.Time{}
	n.returning = outcome != Answered && outcome != Failed
}

// departedNotice is the notice of a run that is not registered any more.
type departedNotice struct {
	notice
	startedAt  int64
	address    ident.Address
	departedAt time.Time
}

// keepNotices moves notices between runs that are registered and those that were dropped. Previous are the upstreams
// before the registry changed.
func (b *Balancer) keepNotices(now time.Time, previous map[registry.UpstreamID]*upstream) {
	for id, u := range previous {
		if b.upstreams[id] == nil && (u.leaving || !u.quietUntil.IsZero()) {
			if b.departed == nil {
				b.departed = map[registry.UpstreamID]*departedNotice{}
			}
			b.departed[id] = &departedNotice{u.notice, u.StartedAt, u.Address, now}
		}
	}
	for id, d := range b.departed {
		if d.departedAt.IsZero() {
			d.departedAt = now
		}
		u := b.upstreams[id]
		if u != nil && u.StartedAt == d.startedAt && u.Address == d.address {
			u.notice = d.notice
		}
		if u != nil || now.Sub(d.departedAt) > noticeRetention {
			delete(b.departed, id)
		}
	}
}

// registeredRun returns the upstream if the given run of it is registered, and otherwise nil.
func (b *Balancer) registeredRun(run registry.Upstream) *upstream {
	if u := b.upstreams[run.ID]; u != nil && u.StartedAt == run.StartedAt && u.Address == run.Address {
		return u
	}
	return nil
}

// noticeOf returns the notice of a run that is registered or may announce itself again, and otherwise nil.
func (b *Balancer) noticeOf(run registry.Upstream) *notice {
	if b.upstreams[run.ID] != nil {
		if u := b.registeredRun(run); u != nil {
			return &u.notice
		}
		return nil
	}
	d := b.departed[run.ID]
	switch {
	case d == nil || d.startedAt < run.StartedAt:
		d = &departedNotice{startedAt: run.StartedAt, address: run.Address}
		if b.departed == nil {
			b.departed = map[registry.UpstreamID]*departedNotice{}
		}
		b.departed[run.ID] = d
	case d.startedAt != run.StartedAt || d.address != run.Address:
		return nil
	}
	return &d.notice
}

// MarkLeaving records that a run of an upstream leaves, so that it gets no new work whatever the registry says. It
// reports whether that is news.
func (b *Balancer) MarkLeaving(run registry.Upstream) bool {
	u := b.registeredRun(run)
	if u == nil || u.leaving {
		return false
	}
	u.leaving = true
	return true
}

// SetQuiet records that a run of an upstream wants no requests for a span that begins now. A span never ends an earlier
// one that lasts longer. It returns when this VM sends again, and whether that is news.
func (b *Balancer) SetQuiet(now time.Time, run registry.Upstream, span time.Duration) (time.Time, bool) {
	if span <= 0 {
		return time.Time{}, false
	}
	n := b.noticeOf(run)
	if n == nil {
		return time.Time{}, false
	}
	until := now.Add(span + b.returnDelay(now, run, span))
	if !until.After(n.quietUntil) {
		return n.quietUntil, false
	}
	n.quietAsked, n.quietUntil, n.returning = now, until, true
	return until, true
}

// returnDelay returns how much longer than a span this VM sends nothing. It differs between VMs and spans.
func (b *Balancer) returnDelay(now time.Time, run registry.Upstream, span time.Duration) time.Duration {
	return Spread(string(b.VM)+" "+string(run.ID)+" "+strconv.FormatInt(now.UnixNano(), 36), span)
}

// Spread returns a part of a span, at most maxReturnSpread of it and maxReturnDelay, that is the same for equal keys and
// uniform over different ones.
func Spread(key string, span time.Duration) time.Duration {
	longest := min(time.Duration(maxReturnSpread*float64(span)), maxReturnDelay)
	return time.Duration(float64(longest) * (float64(object.IDOf(key)>>11) / (1 << 53)))
}

// RestrictionOf returns why a run of an upstream must not get a request now. A request that was chosen for the upstream
// asks again right before it is sent. The time is that of Query.LeaseNow.
func (b *Balancer) RestrictionOf(leaseNow time.Time, run registry.Upstream) Restriction {
	u := b.registeredRun(run)
	switch {
	case u == nil:
		return Gone
	case u.leaving || u.State != registry.Ready:
		return Leaving
	case leaseNow.Before(u.quietUntil):
		return Quiet
	}
	return Unrestricted
}

// RestrictionFor is RestrictionOf for the request of a query, for which drains and the allowed regions count too.
func (b *Balancer) RestrictionFor(q *Query, run registry.Upstream) Restriction {
	switch {
	case q.DrainedDomains[run.Domain]:
		return Drained
	case !regionAllowed(q.AllowedRegions, b.Regions[run.Domain]):
		return Excluded
	}
	return b.RestrictionOf(q.LeaseNow, run)
}

// IsCold reports whether a run of an upstream counts as just started.
func (b *Balancer) IsCold(now time.Time, q *Query, run registry.Upstream) bool {
	u := b.registeredRun(run)
	return u != nil && u.isCold(now, q)
}

// EarliestReturn returns how long it takes until an upstream may get the query. It returns false if one may get it now,
// or if none will. Upstreams outside the query's region count only if that has none.
func (b *Balancer) EarliestReturn(q *Query) (time.Duration, bool) {
	s := b.services[q.Service]
	if s == nil {
		return 0, false
	}
	region := b.targetRegion(s, q)
	var earliest time.Duration
	found := false
	for _, u := range s.upstreams {
		if !u.mayServe(b, q) || !q.AllowOutOfRegion && b.Regions[u.Domain] != region {
			continue
		}
		if !u.isQuiet(q.LeaseNow) {
			return 0, false
		}
		if wait := u.returnsIn(q.LeaseNow); !found || wait < earliest {
			earliest, found = wait, true
		}
	}
	return earliest, found
}

// Restricted returns the numbers of registered upstreams that are marked as leaving, and that are quiet.
func (b *Balancer) Restricted(leaseNow time.Time) (leaving, quiet int) {
	for _, u := range b.upstreams {
		switch {
		case u.leaving:
			leaving++
		case leaseNow.Before(u.quietUntil):
			quiet++
		}
	}
	return leaving, quiet
}
