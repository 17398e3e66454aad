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

// Has reports whether a fact has not expired.
func (b *Board) Has(now time.Time, f Fact) bool {
	r := b.records.byFact[f]
	return r != nil && now.Before(r.expiresAt)
}
