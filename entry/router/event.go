package router

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// RequestID tells the requests of one process apart.
type RequestID uint64

// KeyHash is the SHA-256 of a key's secret.
type KeyHash [32]byte

// Event is something that happened; events are passed as pointers so that none is allocated per decision.
type Event interface{ event() }

// RequestArrived reports a caller's request.
type RequestArrived struct {
	At             time.Time
	ID             RequestID
	Path           string
	KeyID          ident.KeyID
	KeyHash        KeyHash
	IdempotencyKey string      // the caller's idempotency key, or ""
	Deadline       time.Time   // end of the caller's time-out
	Size           ident.Bytes // declared body size, or -1
}

// ClaimResult reports the answer to a Claim effect; Failure is set when control gave
// none. A stored outcome is passed on by the caller of Step and ends in Done. A
// claim that is granted after its request was refused must be abandoned.
type ClaimResult struct {
	At      time.Time
	ID      RequestID
	State   rpc.ClaimState
	Failure *fault.Error
}

// Outcome is how one attempt at an upstream ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered  Outcome = iota + 1 // a whole answer was passed on
	NotSent                      // no byte reached the upstream
	Shed                         // the upstream refused and said that it did not run the request
	Broken                       // failed after a byte was sent, with no byte of an answer passed on
	Truncated                    // failed after part of an answer was passed on
	Abandoned                    // the caller went away
)

// AttemptEnded reports the end of the attempt that a Send effect began. Resendable says
// that the body can still be sent again from its start.
type AttemptEnded struct {
	At         time.Time
	ID         RequestID
	Attempt    uint8 // copied from Send; 0 means the current attempt
	Outcome    Outcome
	Resendable bool
	Aborted    bool          // this VM ended the attempt, and the upstream may run it until it sees the connection close
	Reused     bool          // the connection had served an earlier request, so its end says little of the upstream
	Elapsed    time.Duration // from the send to the first byte of the answer
}

// TransferRequested asks to move body bytes of a request over its link.
type TransferRequested struct {
	At           time.Time
	ID           RequestID
	Bytes        ident.Bytes
	FromUpstream bool // from the upstream to the caller
}

// RequestCancelled reports that the caller of a waiting request went away.
type RequestCancelled struct {
	At time.Time
	ID RequestID
}

// Synced reports control's answer to a session exchange that was begun at Sent.
type Synced struct {
	At    time.Time
	Sent  time.Time
	Reply *rpc.SyncReply
}

// Tick lets time pass; it is due every few milliseconds while requests wait.
type Tick struct{ At time.Time }

// StopRequested begins a planned stop.
type StopRequested struct{ At time.Time }

func (*RequestArrived) event()    {}
func (*ClaimResult) event()       {}
func (*AttemptEnded) event()      {}
func (*TransferRequested) event() {}
func (*RequestCancelled) event()  {}
func (*Synced) event()            {}
func (*Tick) event()              {}
func (*StopRequested) event()     {}

// Effect is something that the caller must do; an effect is valid until the next Step for its request.
type Effect interface{ effect() }

// Refuse answers a request with an error; it is the last effect for the request.
type Refuse struct {
	ID    RequestID
	Fault *fault.Error
}

// Claim asks control for the right to run a non-idempotent request.
type Claim struct {
	ID        RequestID
	Workspace ident.Workspace
	Service   ident.Service
}

// Send begins one attempt at an upstream and is answered with AttemptEnded.
type Send struct {
	ID            RequestID
	Attempt       uint8 // 1 for the first; AttemptEnded carries it back, so that a late report of an earlier attempt is ignored
	Endpoint      ident.Address
	Incarnation   ident.Incarnation
	Workspace     ident.Workspace
	Service       ident.Service
	NonIdempotent bool        // non-idempotent
	MaxBody       ident.Bytes // largest body
	ThrottleBody  bool        // body bytes need TransferRequested first
	NewConnection bool        // an earlier attempt broke on an old connection to this endpoint; use a new one
	Deadline      time.Time
}

// PauseTransfer tells a transfer to ask again after a delay; without it the bytes may
// move. Where MaxBytes is above 0 the next request must be for at most that many
// bytes, because the share can never hold more at a time.
type PauseTransfer struct {
	ID       RequestID
	Delay    time.Duration
	MaxBytes ident.Bytes
}

// Done says that nothing more follows for a request whose answer was passed on, cut or abandoned.
type Done struct {
	ID        RequestID
	Truncated bool // the caller's connection must be aborted
}

// RequestSync wants a session exchange at once, because requests wait for a share or
// others wait until this VM confirms a lowered one.
type RequestSync struct{}

func (*Refuse) effect()        {}
func (*Claim) effect()         {}
func (*Send) effect()          {}
func (*PauseTransfer) effect() {}
func (*Done) effect()          {}
func (*RequestSync) effect()   {}
