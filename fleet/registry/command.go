package registry

import (
	"encoding/json"
	"time"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// UpstreamID names one upstream; a restart may keep it.
type UpstreamID string

// State is what an upstream says of itself.
type State string

// States of an upstream.
const (
	Ready   State = "ready"
	Leaving State = "leaving" // gets no new work, and ends soon
)

// Upstream is an endpoint of a service as it announced itself.
type Upstream struct {
	ID            UpstreamID    `json:"id"`
	Service       ident.Service `json:"service"`
	Address       ident.Address `json:"address"`
	Domain        ident.Domain  `json:"domain"`
	Slots         ident.Slots   `json:"slots"`
	StartedAt     int64         `json:"born,omitempty"` // start of this run in Unix milliseconds; 0 where it is not told
	Sequence      uint64        `json:"sequence"`       // grows with each announcement of one run
	State         State         `json:"state"`
	ColdRemaining time.Duration `json:"cold,omitempty"` // how much longer it stays cold
}

// Departure removes an upstream.
type Departure struct {
	ID        UpstreamID `json:"id"`
	StartedAt int64      `json:"born,omitempty"` // 0 means whichever run is known
	TimedOut  bool       `json:"lost,omitempty"` // it fell silent; a later announcement brings it back
}

// Drain takes a failure domain out of use or back.
type Drain struct {
	Domain ident.Domain `json:"domain"`
	On     bool         `json:"on"`
}

// VM is an entry VM as it last reported.
type VM struct {
	Name        ident.VM          `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     ident.Address     `json:"address"` // where callers connect
	Domain      ident.Domain      `json:"domain"`
	Up          bool              `json:"up"` // in reach and not stopping
}

// Command is one replicated change; exactly one field is set.
type Command struct {
	Change *catalog.Change `json:"change,omitempty"`
	Drain  *Drain          `json:"drain,omitempty"`
	Join   *Upstream       `json:"join,omitempty"`
	Leave  *Departure      `json:"leave,omitempty"`
	VM     *VM             `json:"vm,omitempty"`
}

// Encode returns the command's bytes for the log.
func (c Command) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // only raw JSON that was not parsed before could fail
	}
	return data
}

// Decode reads a command from the log.
func Decode(data []byte) (Command, error) {
	var c Command
	err := json.Unmarshal(data, &c)
	return c, fault.Wrap(err, fault.Internal, "decode command", "")
}

// Result is the outcome of a command; an empty Code means accepted.
type Result struct {
	Code   fault.Code `json:"code,omitempty"`
	Reason string     `json:"why,omitempty"`
}
