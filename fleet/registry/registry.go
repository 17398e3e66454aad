package registry

import (
	"encoding/json"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

const (
	// maxAccepted bounds the remembered orders; a day holds hundreds of changes.
	maxAcceptedDigests = 4096
	// maxGone bounds the remembered departures, which keep late announcements from bringing an upstream back.
	maxDepartures = 4096
)

// Registry is the shared state; it is not safe for concurrent use.
type Registry struct {
	Index           ident.Index                  `json:"index"` // of the last command applied
	Catalog         *catalog.Catalog             `json:"catalog,omitempty"`
	AcceptedDigests []string                     `json:"accepted,omitempty"` // digests of accepted orders, oldest first
	Drained         map[ident.Domain]bool        `json:"drained,omitempty"`
	Upstreams       map[UpstreamID]Upstream      `json:"upstreams,omitempty"`
	Departed        []Departure                  `json:"gone,omitempty"` // oldest first
	VMs             map[ident.VM]VM              `json:"vms,omitempty"`
	DrainEnded      map[ident.Domain]ident.Index `json:"since,omitempty"` // last end of a drain
	ChangedIndex    ident.Index                  `json:"moved"`           // when Upstreams or VMs changed last
	idByAddress     map[ident.Address]UpstreamID
	acceptedSet     map[string]bool
	departedRuns    map[UpstreamID]int64
}

// New returns an empty register.
func New() *Registry {
	r := &Registry{}
	r.rebuildIndexes()
	return r
}

// index makes what is derived from the exported fields.
func (r *Registry) rebuildIndexes() {
	if r.Drained == nil {
		r.Drained = map[ident.Domain]bool{}
	}
	if r.DrainEnded == nil {
		r.DrainEnded = map[ident.Domain]ident.Index{}
	}
	if r.Upstreams == nil {
		r.Upstreams = map[UpstreamID]Upstream{}
	}
	if r.VMs == nil {
		r.VMs = map[ident.VM]VM{}
	}
	r.idByAddress = map[ident.Address]UpstreamID{}
	for id, u := range r.Upstreams {
		r.idByAddress[u.Address] = id
	}
	r.acceptedSet = map[string]bool{}
	for _, d := range r.AcceptedDigests {
		r.acceptedSet[d] = true
	}
	r.departedRuns = map[UpstreamID]int64{}
	for _, g := range r.Departed {
		r.departedRuns[g.ID] = max(r.departedRuns[g.ID], g.StartedAt)
	}
}

// Encode returns the whole state.
func (r *Registry) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, fault.Wrap(err, fault.Internal, "encode register", "")
}

// Restore replaces the state by an encoded one.
func (r *Registry) Restore(data []byte) error {
	next := &Registry{}
	if err := json.Unmarshal(data, next); err != nil {
		return fault.Wrap(err, fault.Internal, "restore register", "")
	}
	next.rebuildIndexes()
	*r = *next
	return nil
}

// Apply performs a command. Its outcome depends on the state and the command alone.
func (r *Registry) Apply(index ident.Index, c Command) Result {
	r.Index = index
	switch {
	case c.Change != nil:
		return r.change(c.Change)
	case c.Drain != nil:
		return r.drain(index, *c.Drain)
	case c.Join != nil:
		r.ChangedIndex = index
		return r.join(*c.Join)
	case c.Leave != nil:
		r.ChangedIndex = index
		return r.leave(*c.Leave)
	case c.VM != nil:
		r.ChangedIndex = index
		r.VMs[c.VM.Name] = *c.VM
		return Result{}
	}
	return Result{Code: fault.Invalid, Reason: "empty command"}
}

// Version returns the catalog's version, 0 without one.
func (r *Registry) Version() catalog.Version {
	if r.Catalog == nil {
		return 0
	}
	return r.Catalog.Version
}

// Validate returns what a change would come to, without making it.
func (r *Registry) Validate(ch *catalog.Change) (*catalog.Catalog, Result) {
	if r.acceptedSet[ch.Digest] {
		return nil, Result{}
	}
	if ch.Base != r.Version() {
		return nil, Result{Code: fault.Conflict, Reason: "another version is current"}
	}
	if ch.Version <= r.Version() {
		return nil, Result{Code: fault.Invalid, Reason: "the version does not grow"}
	}
	base := r.Catalog
	if base == nil {
		base = &catalog.Catalog{}
	}
	next := base.Apply(ch)
	if err := next.Check(); err != nil {
		return nil, Result{Code: fault.Invalid, Reason: fault.Of(err).Message}
	}
	return next, Result{}
}

func (r *Registry) change(ch *catalog.Change) Result {
	next, result := r.Validate(ch)
	if next == nil {
		return result
	}
	r.Catalog = next
	r.acceptedSet[ch.Digest] = true
	r.AcceptedDigests = append(r.AcceptedDigests, ch.Digest)
	if len(r.AcceptedDigests) > maxAcceptedDigests {
		delete(r.acceptedSet, r.AcceptedDigests[0])
		r.AcceptedDigests = r.AcceptedDigests[1:]
	}
	return result
}

func (r *Registry) drain(index ident.Index, d Drain) Result {
	if d.On {
		r.Drained[d.Domain] = true
		return Result{}
	}
	if r.Drained[d.Domain] {
		delete(r.Drained, d.Domain)
		r.DrainEnded[d.Domain] = index
	}
	return Result{}
}

// WouldChange reports whether an announcement would change the register.
func (r *Registry) WouldChange(u Upstream) bool {
	old, known := r.Upstreams[u.ID]
	if !known {
		return !r.outdated(u)
	}
	if r.outdated(u) {
		return false
	}
	return old.Address != u.Address || old.StartedAt != u.StartedAt || old.State != u.State || old.Slots != u.Slots ||
		old.Service != u.Service || old.Domain != u.Domain || old.ColdRemaining != 0 || u.ColdRemaining != 0
}

// outdated reports whether an announcement is of an earlier run, or older than what is known of the run.
func (r *Registry) outdated(u Upstream) bool {
	if startedAt, departed := r.departedRuns[u.ID]; departed && u.StartedAt <= startedAt {
		return true
	}
	if old, known := r.Upstreams[u.ID]; known {
		if u.StartedAt < old.StartedAt || u.StartedAt == old.StartedAt && u.Sequence <= old.Sequence {
			return true
		}
	}
	holder, taken := r.idByAddress[u.Address]
	return taken && holder != u.ID && r.Upstreams[holder].StartedAt > u.StartedAt
}

func (r *Registry) join(u Upstream) Result {
	if r.outdated(u) {
		return Result{}
	}
	old, known := r.Upstreams[u.ID]
	if known && old.StartedAt == u.StartedAt && old.State == Leaving {
		u.State = Leaving // an upstream that leaves does not come back in the same run
	}
	if known {
		r.removeUpstream(u.ID)
	}
	if holder, taken := r.idByAddress[u.Address]; taken {
		r.removeUpstream(holder) // its address went to this one
	}
	r.Upstreams[u.ID] = u
	r.idByAddress[u.Address] = u.ID
	return Result{}
}

func (r *Registry) removeUpstream(id UpstreamID) {
	if u, known := r.Upstreams[id]; known {
		if r.idByAddress[u.Address] == id {
			delete(r.idByAddress, u.Address)
		}
		delete(r.Upstreams, id)
	}
}

func (r *Registry) leave(d Departure) Result {
	u, known := r.Upstreams[d.ID]
	if known && (d.StartedAt == 0 || d.StartedAt >= u.StartedAt) {
		d.StartedAt = u.StartedAt
		r.removeUpstream(d.ID)
	}
	if d.TimedOut || d.StartedAt == 0 {
		return Result{}
	}
	r.departedRuns[d.ID] = max(r.departedRuns[d.ID], d.StartedAt)
	r.Departed = append(r.Departed, d)
	if len(r.Departed) > maxDepartures {
		delete(r.departedRuns, r.Departed[0].ID)
		r.Departed = r.Departed[1:]
	}
	return Result{}
}
