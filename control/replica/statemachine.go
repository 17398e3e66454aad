package replica

import (
	"time"

	"cuminfall.example/fleet/ident"
)

// Entry is a committed log entry that is passed to the state machine.
type Entry struct {
	Index    ident.Index
	LogTime  time.Duration // elapsed time of the log; advances with the leaders' monotonic clocks only
	WallTime time.Time     // wall clock time of the leader, for the audit trail only
	Data     []byte
}

// StateMachine is the replicated state. Its methods are never called concurrently.
type StateMachine interface {
	// Apply applies one entry; its result is returned to the proposer.
	Apply(e Entry) any
	// MemberJoined records that a committed entry, which has no data, added a member to
	// the group or changed the identity or address of one.
	MemberJoined(e Entry, name string, address ident.Address)
	// Snapshot serializes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(state []byte) error
}
