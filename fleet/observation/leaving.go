package observation

import (
	"time"

	"cuminfall.example/fleet/registry"
)

// Leaving is the kind of a fact that a run of an upstream said that it leaves. Its subject is the upstream's address.
const Leaving Kind = "leaving"

// LeavingLifetime is how long VMs tell each other that a run of an upstream leaves. The run ends within seconds, or within
// minutes if it finishes long work.
const LeavingLifetime = 10 * time.Minute

// LeavingFact returns the fact that a run of an upstream leaves.
func LeavingFact(run registry.Upstream) Fact {
	return Fact{Kind: Leaving, Subject: string(run.Address), Upstream: run.ID, StartedAt: run.StartedAt}
}

// Has reports whether the leader has a fact that has not expired.
func (b *Board) Has(now time.Time, f Fact) bool { return b.records.has(now, f) }

// Has reports whether the VM knows a fact that has not expired.
func (s *Set) Has(now time.Time, f Fact) bool { return s.records.has(now, f) }

func (s *records) has(now time.Time, f Fact) bool {
	r := s.byFact[f]
	return r != nil && now.Before(r.expiresAt)
}
