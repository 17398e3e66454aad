package quarantine

import (
	"slices"
	"time"

	"cuminfall.example/fleet/observation"
)

// Table holds the cases that follow from a VM's facts. The zero value has none.
type Table struct {
	cases        map[Fingerprint]*Case
	suspectHeads map[Head]bool
}

// Empty reports whether no request is in any case.
func (t *Table) Empty() bool { return len(t.cases) == 0 }

// Case returns the case of a request, or nil.
func (t *Table) Case(f Fingerprint) *Case { return t.cases[f] }

// Suspects reports whether a request with this head is suspect or quarantined.
func (t *Table) Suspects(h Head) bool { return t.suspectHeads[h] }

// Count returns the number of requests in each state.
func (t *Table) Count(now time.Time) map[State]int {
	counts := map[State]int{}
	for _, c := range t.cases {
		counts[c.State(now)]++
	}
	return counts
}

// All calls f for each case.
func (t *Table) All(f func(Fingerprint, *Case)) {
	for fingerprint, c := range t.cases {
		f(fingerprint, c)
	}
}

// crashes are the times at which upstreams crashed.
type crashes map[lifetime]time.Time

// Judge returns the cases that follow from the facts of a VM.
//
// Several requests are in flight at an upstream when it crashes, and one of them at most is the cause. A crash counts
// against those requests in flight that had most crashes in all; the others had bad luck. A request that was answered
// since is not the cause.
func Judge(now time.Time, facts *observation.Set) Table {
	byRequest, present := map[Fingerprint]crashes{}, map[lifetime][]Fingerprint{}
	facts.All(now, func(f observation.Fact, learnedAt time.Time) {
		if f.Kind != Crash {
			return
		}
		id := Fingerprint(f.Subject)
		if byRequest[id] == nil {
			byRequest[id] = crashes{}
		}
		byRequest[id][lifetime{f.Upstream, f.StartedAt}] = learnedAt
	})
	facts.All(now, func(f observation.Fact, _ time.Time) {
		if f.Kind == Answered {
			delete(byRequest[Fingerprint(f.Subject)], lifetime{f.Upstream, f.StartedAt})
		}
	})
	for id, list := range byRequest {
		for l := range list {
			present[l] = append(present[l], id)
		}
	}
	t := Table{cases: map[Fingerprint]*Case{}, suspectHeads: map[Head]bool{}}
	for id, list := range byRequest {
		if len(list) == 0 {
			continue
		}
		c := &Case{}
		for l, at := range list {
			c.unanswered = append(c.unanswered, l)
			explained := slices.ContainsFunc(present[l], func(other Fingerprint) bool { return len(byRequest[other]) > len(list) })
			if !explained {
				c.crashes = append(c.crashes, at)
			}
		}
		slices.SortFunc(c.crashes, time.Time.Compare)
		slices.SortFunc(c.unanswered, func(a, b lifetime) int { return list[a].Compare(list[b]) })
		t.cases[id] = c
		if len(c.crashes) >= suspectCrashes {
			t.suspectHeads[id.Head()] = true
		}
	}
	t.addClaims(now, facts)
	return t
}

// addClaims adds the claims to the cases.
func (t *Table) addClaims(now time.Time, facts *observation.Set) {
	facts.All(now, func(f observation.Fact, learnedAt time.Time) {
		c := t.cases[Fingerprint(f.Subject)]
		if f.Kind != Claim || c == nil {
			return
		}
		i := slices.IndexFunc(c.rounds, func(r probeRound) bool { return r.round == f.Round })
		if i < 0 {
			i = len(c.rounds)
			c.rounds = append(c.rounds, probeRound{round: f.Round, claimedAt: learnedAt})
		}
		r := &c.rounds[i]
		r.claimants = append(r.claimants, f.VM)
		r.restored = r.restored || facts.Restored(f)
		if learnedAt.Before(r.claimedAt) {
			r.claimedAt = learnedAt
		}
		if order := facts.LeaderOrder(f); order > 0 && (r.winner == "" || order < r.winnerOrder) {
			r.winner, r.winnerOrder = f.VM, order
		}
	})
	for _, c := range t.cases {
		slices.SortFunc(c.rounds, func(a, b probeRound) int { return a.round - b.round })
		if n := len(c.rounds); n > 0 {
			c.lastRound = c.rounds[n-1].round
		}
		c.rounds = slices.DeleteFunc(c.rounds, func(r probeRound) bool { return len(c.crashes) == 0 || r.claimedAt.Before(c.crashes[0]) })
	}
}
