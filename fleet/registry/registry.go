package registry

import (
	"encoding/json"
	"fmt"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/jsonscan"
)

const (
	// maxAcceptedDigests limits the digests kept to recognize retries of catalog changes. There are hundreds of changes
	// in a day.
	maxAcceptedDigests = 4096
	// maxDepartures limits the departures kept. They prevent late announcements from adding a departed upstream again.
	maxDepartures = 4096
	// MaxCatalogBytes limits the encoded catalog. VMs read the whole registry in one reply of process.MaxReplyBytes.
	MaxCatalogBytes = ident.Bytes(12 << 20)
)

// Registry is the state that the VMs of a deployment share; it is not safe for concurrent use.
type Registry struct {
	Index           ident.Index                  `json:"index"` // of the last command applied
	Catalog         *catalog.Catalog             `json:"catalog,omitempty"`
	AcceptedDigests []string                     `json:"accepted,omitempty"` // digests of accepted changes, oldest first
	Drained         map[ident.Domain]bool        `json:"drained,omitempty"`
	Upstreams       map[UpstreamID]Upstream      `json:"upstreams,omitempty"`
	Departed        []Departure                  `json:"gone,omitempty"` // oldest first
	VMs             map[ident.VM]VM              `json:"vms,omitempty"`
	DrainEnded      map[ident.Domain]ident.Index `json:"since,omitempty"` // index of the command that last ended a drain of the domain
	ChangedIndex    ident.Index                  `json:"moved"`           // index of the last command on Upstreams or VMs
	Kept            []Fact                       `json:"kept,omitempty"`  // facts that outlive a loss of all VMs, in the order of the log
	idByAddress     map[ident.Address]UpstreamID
	acceptedSet     map[string]bool
	departedRuns    map[UpstreamID]int64
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{}
	r.rebuildIndexes()
	return r
}

// rebuildIndexes computes the unexported fields from the exported ones and creates missing maps.
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

// Encode returns the complete state as JSON.
func (r *Registry) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, fault.Wrap(err, fault.Internal, "encode register", "")
}

// Restore replaces the state by one that Encode returned.
func (r *Registry) Restore(data []byte) error {
	next := scanRegistry(data)
	if next == nil {
		next = &Registry{}
		if err := json.Unmarshal(data, next); err != nil {
			return fault.Wrap(err, fault.Internal, "restore register", "")
		}
	}
	next.rebuildIndexes()
	*r = *next
	return nil
}

// registryKeys are the keys of an encoded registry, in the order in which encoding/json writes them.
var registryKeys = []string{"index", "catalog", "accepted", "drained", "upstreams", "gone", "vms", "since", "moved", "kept"}

// scanRegistry decodes a registry, or returns nil if it is not as Encode writes it. The catalog is most of it, and VMs with a
// fraction of a core decode it.
func scanRegistry(data []byte) *Registry {
	r := &Registry{}
	others := []any{nil, nil, &r.AcceptedDigests, &r.Drained, &r.Upstreams, &r.Departed, &r.VMs, &r.DrainEnded, nil, &r.Kept}
	s := jsonscan.New(data)
	s.Struct(registryKeys, func(key int) {
		switch key {
		case 0:
			r.Index = ident.Index(s.Uint(64))
		case 1:
			r.Catalog = &catalog.Catalog{}
			r.Catalog.Scan(s)
		case 8:
			r.ChangedIndex = ident.Index(s.Uint(64))
		default:
			if json.Unmarshal(s.Raw(), others[key]) != nil {
				s.Fail()
			}
		}
	})
	if !s.End() {
		return nil
	}
	return r
}

// Apply applies the command at an index of the log. The result depends only on the state and the command, so that all
// copies of the registry stay equal.
func (r *Registry) Apply(index ident.Index, c Command) Result {
	r.Index = index
	switch {
	case c.Change != nil:
		return r.applyChange(c.Change)
	case c.Drain != nil:
		return r.applyDrain(index, *c.Drain)
	case c.Join != nil:
		r.ChangedIndex = index
		return r.applyJoin(*c.Join)
	case c.Leave != nil:
		r.ChangedIndex = index
		return r.applyLeave(*c.Leave)
	case c.VM != nil:
		r.ChangedIndex = index
		r.VMs[c.VM.Name] = *c.VM
		return Result{}
	case c.Keep != nil:
		return r.applyKeep(*c.Keep)
	}
	return Result{Code: fault.Invalid, Reason: "empty command"}
}

// Version returns the version of the catalog, or 0 if there is no catalog.
func (r *Registry) Version() catalog.Version {
	if r.Catalog == nil {
		return 0
	}
	return r.Catalog.Version
}

// Validate returns the catalog and the result that a change would have, without applying it. The catalog is nil if the
// change is rejected or was already accepted.
func (r *Registry) Validate(ch *catalog.Change) (*catalog.Catalog, Result) {
	if r.acceptedSet[ch.Digest] {
		return nil, Result{}
	}
	if ch.Base != r.Version() {
		return nil, baseConflict
	}
	if ch.Version <= r.Version() {
		return nil, Result{Code: fault.Invalid, Reason: "the new version must be greater than the current version"}
	}
	next := r.baseCatalog().Apply(ch)
	if err := next.Check(); err != nil {
		return nil, Result{Code: fault.Invalid, Reason: fault.Of(err).Message}
	}
	return next, Result{}
}

// Assessment says what is known about a change of the catalog before it is replicated.
type Assessment int

// Assessments.
const (
	Acceptable  Assessment = iota // it builds on the current version, and nothing speaks against it
	Settled                       // it was accepted before or replaces an earlier version; no later command can alter that
	Refused                       // it builds on the current version and is invalid
	BaseUnknown                   // it builds on a version that this registry does not have yet, or that does not exist
)

// String returns the name of an assessment for log lines.
func (a Assessment) String() string {
	return [...]string{"acceptable", "settled", "refused", "base unknown"}[a]
}

// Assess returns what is known about a change, and the result that its sender gets unless the change is Acceptable. An
// objection is an error of the change's text.
//
// Each version number is that of one catalog only, so what holds on top of the base still holds when the change is applied: there it
// is accepted on this base or not at all. Apply does not repeat what is stricter here than in Validate, as members and VMs of earlier
// builds, which must reach the same state from the same log, accept more.
func (r *Registry) Assess(ch *catalog.Change, objection error) (Assessment, Result) {
	switch version := r.Version(); {
	case r.acceptedSet[ch.Digest]:
		return Settled, Result{}
	case ch.Base < version:
		return Settled, baseConflict
	case ch.Base > version:
		return BaseUnknown, baseConflict
	case objection != nil:
		return Refused, Result{Code: fault.Invalid, Reason: fault.Of(objection).Message}
	}
	next, result := r.Validate(ch)
	if next == nil {
		return Refused, result
	}
	if err := next.CheckChange(ch); err != nil {
		return Refused, Result{Code: fault.Invalid, Reason: fault.Of(err).Message}
	}
	if size := next.EncodedSize(); size > MaxCatalogBytes && size >= r.baseCatalog().EncodedSize() { // one that is too long may be shortened
		return Refused, Result{Code: fault.Invalid, Reason: fmt.Sprintf("the configuration would have %d bytes, expected at most %d", size, MaxCatalogBytes)}
	}
	return Acceptable, Result{}
}

var baseConflict = Result{Code: fault.Conflict, Reason: "the base version is not the current version"}

// baseCatalog returns the catalog, which is empty before the first change.
func (r *Registry) baseCatalog() *catalog.Catalog {
	if r.Catalog == nil {
		return &catalog.Catalog{}
	}
	return r.Catalog
}

func (r *Registry) applyChange(ch *catalog.Change) Result {
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

func (r *Registry) applyDrain(index ident.Index, d Drain) Result {
	if d.Active {
		r.Drained[d.Domain] = true
		return Result{}
	}
	if r.Drained[d.Domain] {
		delete(r.Drained, d.Domain)
		r.DrainEnded[d.Domain] = index
	}
	return Result{}
}

// WouldChange reports whether an upstream's announcement would change the registry.
func (r *Registry) WouldChange(u Upstream) bool {
	old, known := r.Upstreams[u.ID]
	if !known {
		return !r.outdated(u)
	}
	if r.outdated(u) {
		return false
	}
	return old.Address != u.Address || old.StartedAt != u.StartedAt || old.State != u.State || old.Slots != u.Slots ||
		old.Service != u.Service || old.Domain != u.Domain || old.RemainingColdTime != 0 || u.RemainingColdTime != 0
}

// outdated reports whether an announcement must be ignored. This is the case if its run has departed, if the same or
// a newer announcement of the upstream is known, or if a newer upstream uses its address.
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

func (r *Registry) applyJoin(u Upstream) Result {
	if r.outdated(u) {
		return Result{}
	}
	old, known := r.Upstreams[u.ID]
	if known && old.StartedAt == u.StartedAt && old.State == Leaving {
		u.State = Leaving // an upstream that is leaving cannot become ready again in the same run
	}
	if known {
		r.removeUpstream(u.ID)
	}
	if holder, taken := r.idByAddress[u.Address]; taken {
		r.removeUpstream(holder) // the announced upstream now uses the address
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

func (r *Registry) applyLeave(d Departure) Result {
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
