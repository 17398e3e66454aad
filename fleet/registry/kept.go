package registry

import (
	"slices"

	"cuminfall.example/fleet/ident"
)

// MaxKeptFacts limits the facts that the registry keeps. Beyond it, the oldest ones are dropped.
const MaxKeptFacts = 512

// FactKind says what a fact is about. VMs ignore kinds that they don't know.
type FactKind string

// Fact is something that a VM learned from its traffic. Facts that two VMs learn about the same event are equal.
type Fact struct {
	Kind      FactKind   `json:"kind"`
	Subject   string     `json:"subject,omitempty"`  // as defined by the kind, at most 128 bytes
	Upstream  UpstreamID `json:"upstream,omitempty"` // the upstream that it concerns
	StartedAt int64      `json:"born,omitempty"`     // start of that upstream's lifetime, as in Upstream
	VM        ident.VM   `json:"vm,omitempty"`       // the VM that it concerns
	Round     int        `json:"round,omitempty"`    // tells repeated events apart
}

// Keep changes the facts that outlive a loss of all VMs.
type Keep struct {
	Add    []Fact `json:"add,omitempty"`
	Forget []Fact `json:"forget,omitempty"`
}

func (r *Registry) applyKeep(k Keep) Result {
	r.Kept = slices.DeleteFunc(r.Kept, func(f Fact) bool { return slices.Contains(k.Forget, f) })
	for _, f := range k.Add {
		if !slices.Contains(r.Kept, f) {
			r.Kept = append(r.Kept, f)
		}
	}
	r.Kept = slices.Delete(r.Kept, 0, max(len(r.Kept)-MaxKeptFacts, 0))
	return Result{}
}
