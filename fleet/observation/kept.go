package observation

import (
	"cmp"
	"slices"
	"time"

	"cuminfall.example/fleet/registry"
)

// Kinds of facts about requests that upstreams had when they crashed. Their subject identifies the request.
const (
	// Crash says that the process of an upstream's lifetime ended while it had the request.
	Crash Kind = "crash"
	// Answered says that an upstream answered the request after that crash.
	Answered Kind = "answered"
	// Claim says that a VM wants to send the quarantined request as the probe of a round. The claim that the leader
	// received first wins.
	Claim Kind = "claim"
)

const (
	// minKeptCrashes is the number of crashes with a request from which on they are kept.
	minKeptCrashes = 2
	// restoredAge is the age of facts that were restored. Their true age is not known, as no clock outlives a loss of
	// power, so that they are kept for another full lifetime. Crashes of this age are no simultaneous ones.
	restoredAge = 2 * time.Second
)

// request holds the facts about one request that crashes upstreams.
type request struct {
	crashes, claims []*record
	answered        bool // after at least one crash
}

func (q *request) add(r *record, answered bool) {
	switch {
	case r.fact.Kind == Claim:
		q.claims = append(q.claims, r)
	case answered:
		q.answered = true
	default:
		q.crashes = append(q.crashes, r)
	}
}

func (q *request) mustBeKept() bool {
	return len(q.crashes) >= minKeptCrashes || len(q.claims) > 0 && !q.answered
}

// answerOf returns the fact that a request was answered after a crash.
func answerOf(crash Fact) Fact {
	crash.Kind = Answered
	return crash
}

// Durable returns the facts that must outlive a loss of all VMs, in the order of receipt: the crashes of requests that
// may have caused several of them and were not answered since, and the claims to send these requests. If there are too
// many, requests with more crashes go first.
func (b *Board) Durable(now time.Time) []Fact {
	b.records.expire(now)
	requests := map[string]*request{}
	var order []*request
	for _, r := range b.records.order {
		if r.fact.Kind != Crash && r.fact.Kind != Claim {
			continue
		}
		q := requests[r.fact.Subject]
		if q == nil {
			q = &request{}
			requests[r.fact.Subject] = q
			order = append(order, q)
		}
		q.add(r, b.records.byFact[answerOf(r.fact)] != nil)
	}
	slices.SortStableFunc(order, func(a, b *request) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	var kept []*record
	for _, q := range order {
		if q.mustBeKept() && len(kept)+len(q.crashes)+len(q.claims) <= registry.MaxKeptFacts {
			kept = append(append(kept, q.crashes...), q.claims...)
		}
	}
	slices.SortFunc(kept, func(a, b *record) int { return cmp.Compare(a.serial, b.serial) })
	facts := make([]Fact, 0, len(kept))
	for _, r := range kept {
		facts = append(facts, r.fact)
	}
	return facts
}

// Restore adds facts that outlived a loss of VMs.
func (b *Board) Restore(now time.Time, facts []Fact) { b.records.restore(now, facts) }

// Restore adds facts that outlived a loss of VMs, and returns those that are new to this VM.
func (s *Set) Restore(now time.Time, facts []Fact) []Observation {
	return s.records.restore(now, facts)
}

// Restored reports whether this VM has a fact from Restore, so that it may be from before the VM's start.
func (s *Set) Restored(f Fact) bool {
	r := s.records.byFact[f]
	return r != nil && r.restored
}

func (s *records) restore(now time.Time, facts []Fact) (added []Observation) {
	for i, f := range facts {
		// Different ages preserve the order of the log.
		o := Observation{Fact: f, Age: restoredAge + time.Duration(len(facts)-i)*time.Millisecond, Left: maxLifetime}
		r, isNew := s.add(now, o)
		if r != nil {
			r.restored = true // also if the leader's reply came before the registry
		}
		if isNew {
			added = append(added, o)
		}
	}
	return added
}
