package registry

import (
	"encoding/json"
	"time"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/jsonscan"
)

// UpstreamID identifies an upstream. An upstream may have the same id after a restart.
type UpstreamID string

// State is the state that an upstream announces.
type State string

// States of an upstream.
const (
	Ready   State = "ready"
	Leaving State = "leaving" // gets no new requests and is about to stop
)

// Upstream is an endpoint of a service, as described by its latest announcement.
type Upstream struct {
	ID                UpstreamID    `json:"id"`
	Service           ident.Service `json:"service"`
	Address           ident.Address `json:"address"`
	Domain            ident.Domain  `json:"domain"`
	Slots             ident.Slots   `json:"slots"`
	StartedAt         int64         `json:"born,omitempty"` // start of the upstream's run in Unix milliseconds; 0 if not announced
	Sequence          uint64        `json:"sequence"`       // increases with each announcement of a run
	State             State         `json:"state"`
	RemainingColdTime time.Duration `json:"cold,omitempty"` // time for which the upstream stays cold
}

// Departure removes an upstream from the registry.
type Departure struct {
	ID        UpstreamID `json:"id"`
	StartedAt int64      `json:"born,omitempty"` // start of the run that ended; 0 means the run that the registry knows
	TimedOut  bool       `json:"lost,omitempty"` // the upstream stopped sending announcements; a later one adds it again
}

// Drain starts or ends the drain of a failure domain.
type Drain struct {
	Domain ident.Domain `json:"domain"`
	Active bool         `json:"on"`
	Before ident.Index  `json:"before,omitempty"` // orders about the domain from this index on came later; 0 if that is not known
}

// VM is an entry VM, as described by its latest report.
type VM struct {
	Name        ident.VM          `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     ident.Address     `json:"address"` // address for callers
	Domain      ident.Domain      `json:"domain"`
	Up          bool              `json:"up"` // reachable and not stopping
}

// Command is one replicated change of the registry; exactly one field is set.
type Command struct {
	Change *catalog.Change `json:"change,omitempty"`
	Drain  *Drain          `json:"drain,omitempty"`
	Join   *Upstream       `json:"join,omitempty"`
	Leave  *Departure      `json:"leave,omitempty"`
	VM     *VM             `json:"vm,omitempty"`
	Keep   *Keep           `json:"keep,omitempty"`
}

// Encode returns the command encoded for the replicated log.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // only invalid raw JSON can fail, and it was parsed before
	}
	return data
}

// Decode decodes a command from the replicated log.
func Decode(data []byte) (Command, error) {
	if change := scanChange(data); change != nil {
		return Command{Change: change}, nil
	}
	var c Command
	err := json.Unmarshal(data, &c)
	return c, fault.Wrap(err, fault.Internal, "decode command", "")
}

// scanChange decodes a command with a change of the catalog, or returns nil if it is another one or unusual. A start on a long
// log decodes hundreds of changes of thousands of routes each.
func scanChange(data []byte) *catalog.Change {
	var change *catalog.Change
	s := jsonscan.New(data)
	s.Struct([]string{"change"}, func(int) {
		change = &catalog.Change{}
		change.Scan(s)
	})
	if !s.End() {
		return nil
	}
	return change
}

// Result is the outcome of a command. If the command was accepted, Code and Reason are empty.
type Result struct {
	Code   fault.Code `json:"code,omitempty"`
	Reason string     `json:"why,omitempty"`
}
