package router

import (
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// RequestID identifies a request within one process.
type RequestID uint64

// KeyHash is the SHA-256 hash of a key's secret.
type KeyHash [32]byte

// Event is an input of Step. Events are passed as pointers, so that no event needs
// an allocation.
type Event interface{ event() }

// RequestArrived reports a caller's request.
type RequestArrived struct {
	At             time.Time
	ID             RequestID
	Path           string
	KeyID          ident.KeyID
	KeyHash        KeyHash
	IdempotencyKey string      // empty if the caller gave none
	Deadline       time.Time   // when the caller's timeout ends
	Size           ident.Bytes // declared body size, or -1
}

// ClaimResult reports control's reply to a Claim effect. Failure is set if control gave
// no reply. If State says that the request has a stored outcome, Step returns Done
// and its caller passes the outcome on. A claim that is granted after its request
// was refused must be abandoned.
type ClaimResult struct {
	At      time.Time
	ID      RequestID
	State   rpc.ClaimState
	Failure *fault.Error
}

// Outcome says how one attempt at an upstream ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered  Outcome = iota + 1 // the full response was passed on
	NotSent                      // no byte reached the upstream
	Shed                         // the upstream was overloaded and said that it did not run the request
	Broken                       // failed after a byte was sent and before a byte of a response was passed on
	Truncated                    // failed after part of a response was passed on
	Abandoned                    // the caller disconnected
	Lapsed                       // no byte was sent, because Send.StartBy had passed or Step returned Lapse
	Withheld                     // not sent, because the upstream left or asked for quiet after it was chosen
)

// AttemptEnded reports the end of the attempt that a Send effect began.
type AttemptEnded struct {
	At         time.Time
	ID         RequestID
	Attempt    uint8 // copied from Send; 0 means the current attempt
	Outcome    Outcome
	Resendable bool          // the request's body can still be sent again from its start
	Aborted    bool          // this VM ended the attempt; the upstream may run it until it sees the connection close
	Reused     bool          // the connection had served an earlier request, so its end says little about the upstream
	Elapsed    time.Duration // from sending to the first byte of the response; 0 if not measured
}

// SendStarting asks, right before the first byte of an attempt is written, whether it may be. Step returns Lapse if not.
type SendStarting struct {
	At      time.Time
	ID      RequestID
	Attempt uint8 // copied from Send
}

// NoticeReceived reports what an upstream said about itself in a response.
type NoticeReceived struct {
	At          time.Time
	Endpoint    ident.Address
	Incarnation ident.Incarnation // of the upstream that was asked
	Leaving     bool              // it wants no new requests
	QuietFor    time.Duration     // it wants no requests of this VM for so long; 0 if it asked for no such span
}

// TransferRequested asks whether bytes of a request's or a response's body may be
// sent over the link between two regions.
type TransferRequested struct {
	At           time.Time
	ID           RequestID
	Bytes        ident.Bytes
	FromUpstream bool // direction: true from the upstream to the caller
}

// RequestCancelled reports that the caller of a waiting request disconnected.
type RequestCancelled struct {
	At time.Time
	ID RequestID
}

// Synced reports control's reply to a session exchange that began at Sent.
type Synced struct {
	At    time.Time
	Sent  time.Time
	Reply *rpc.SyncReply
}

// Tick reports the time when no other event does. NextTick says when it is due.
type Tick struct{ At time.Time }

// StopRequested reports that a graceful shutdown begins.
type StopRequested struct{ At time.Time }

func (*RequestArrived) event()    {}
func (*ClaimResult) event()       {}
func (*AttemptEnded) event()      {}
func (*SendStarting) event()      {}
func (*NoticeReceived) event()    {}
func (*TransferRequested) event() {}
func (*RequestCancelled) event()  {}
func (*Synced) event()            {}
func (*Tick) event()              {}
func (*StopRequested) event()     {}

// Effect is an action that the caller of Step must perform. It is valid until the next Step for its request.
type Effect interface{ effect() }

// Refuse answers a request with an error. It is the last effect for the request.
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

// Send begins one attempt at an upstream. The caller reports the end with AttemptEnded.
type Send struct {
	ID            RequestID
	Attempt       uint8 // 1 for the first; AttemptEnded returns it, so that a late report of an earlier attempt is ignored
	Endpoint      ident.Address
	Incarnation   ident.Incarnation
	Workspace     ident.Workspace
	Service       ident.Service
	NonIdempotent bool        // the service must not run the request twice
	MaxBody       ident.Bytes // maximum size of the request's body
	ThrottleBody  bool        // body bytes may move only after TransferRequested allows them
	NewConnection bool        // an earlier attempt failed on a reused connection to this endpoint, so a new one must be used
	Deadline      time.Time
	StartBy       time.Time // end of the configuration's age and of the lease; the first byte must be written before
}

// Lapse answers SendStarting: the attempt must not be sent and ends as Lapsed.
type Lapse struct{ ID RequestID }

// PauseTransfer answers TransferRequested: the bytes may not move yet, and the
// transfer must be requested again after Delay. Without this effect the bytes may
// move. If MaxBytes is above 0, the next request must be for at most that many
// bytes, because the link's share never holds more at once.
type PauseTransfer struct {
	ID       RequestID
	Delay    time.Duration
	MaxBytes ident.Bytes
}

// Done is the last effect for a request whose response was passed on, fully or in
// part, or whose caller disconnected.
type Done struct {
	ID        RequestID
	Truncated bool // the caller's connection must be aborted
}

// RequestSync asks for a session exchange without delay, because requests here wait
// for a share, or other VMs wait until this VM confirms that its share was lowered.
type RequestSync struct{}

func (*Refuse) effect()        {}
func (*Claim) effect()         {}
func (*Send) effect()          {}
func (*Lapse) effect()         {}
func (*PauseTransfer) effect() {}
func (*Done) effect()          {}
func (*RequestSync) effect()   {}
