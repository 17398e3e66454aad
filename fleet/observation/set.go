package observation

import (
	"time"

	"cuminfall.example/fleet/ident"
)

// Set holds the facts that a VM knows. The zero value is empty. All times must be read from a clock that counts the time
// while the VM is suspended.
type Set struct {
	records records
	term    ident.Term // of the newest leader that replied
	applied uint64     // serial number up to which the VM has that leader's facts
	ordered uint64     // number of facts that this leader sent
}

// Add adds a fact that this VM learned just now and returns whether it is new. The next report should be sent at once if
// it is.
func (s *Set) Add(now time.Time, f Fact, lifetime time.Duration) bool {
	_, added := s.records.add(now, Observation{Fact: f, Left: lifetime})
	return added
}

// Report returns the facts that the leader may lack, newest first.
func (s *Set) Report(now time.Time) *Report {
	s.records.expire(now)
	report := &Report{Term: s.term, Applied: s.applied}
	for i := len(s.records.order) - 1; i >= 0 && len(report.Facts) < maxReportFacts; i-- {
		if r := s.records.order[i]; !r.confirmed {
			report.Facts = append(report.Facts, r.observation(now))
		}
	}
	return report
}

// Apply applies the reply of the leader of a term to a report, and returns the facts that are new to this VM. Both may
// be nil, as processes of earlier builds send neither.
func (s *Set) Apply(now time.Time, term ident.Term, report *Report, reply *Reply) []Observation {
	if report == nil || reply == nil || term < s.term {
		return nil
	}
	if term > s.term {
		s.term, s.applied, s.ordered = term, 0, 0
		for _, r := range s.records.order {
			r.confirmed, r.leaderOrder = false, 0
		}
	}
	for _, o := range report.Facts {
		if r := s.records.byFact[o.Fact]; r != nil {
			r.confirmed = true
		}
	}
	var added []Observation
	for _, o := range reply.Facts {
		r, isNew := s.records.add(now, o)
		if r != nil {
			r.confirmed = isNew || !o.Restored // else this VM may know better when it expires
		}
		if r != nil && r.leaderOrder == 0 {
			s.ordered++
			r.leaderOrder = s.ordered
		}
		if isNew {
			added = append(added, o)
		}
	}
	s.applied = max(s.applied, reply.Applied)
	return added
}

// All calls f for each fact that has not expired, in the order in which this VM received them, with the time at which a
// VM learned it.
func (s *Set) All(now time.Time, f func(fact Fact, learnedAt time.Time)) {
	for _, r := range s.records.order {
		if now.Before(r.expiresAt) {
			f(r.fact, r.learnedAt)
		}
	}
}

// LeaderOrder returns the position of a fact in the order in which the leader received its facts, or 0 if the leader has
// not returned it. Of several VMs' facts, all VMs with the same leader see the same one first.
func (s *Set) LeaderOrder(f Fact) uint64 {
	if r := s.records.byFact[f]; r != nil {
		return r.leaderOrder
	}
	return 0
}

// Len returns the number of facts, including those that have expired since the last change.
func (s *Set) Len() int { return len(s.records.order) }
