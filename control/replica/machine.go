package replica

import (
	"time"

	"cuminfall.example/fleet/ident"
)

// Entry is a committed log entry as the state machine sees it.
type Entry struct {
	Index    ident.Index
	LogTime  time.Duration // log time; advances with the leaders' monotonic clocks only
	WallTime time.Time     // leader's wall clock, for the audit trail only
	Data     []byte
}

// StateMachine is the replicated state; calls come one at a time.
type StateMachine interface {
	// Apply performs one entry and returns its result to the proposer.
	Apply(e Entry) any
	// MemberJoined notes that a committed entry, which has no data, added a member to
	// the group, or gave one another identity or address.
	MemberJoined(e Entry, name string, address ident.Address)
	// Snapshot serializes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot's.
	Restore(state []byte) error
}
