package consensus

import (
	"time"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// Event is an input of a Node. At is always the member's own monotonic time.
type Event interface{ event() time.Duration }

// Token ties an answer to the request or proposal that it belongs to.
type Token uint64

// Tick lets timers run.
type Tick struct{ At time.Duration }

// Propose asks the leader to append data entries.
type Propose struct {
	At    time.Duration
	Wall  time.Time
	Items []Proposal
}

// Proposal is the data of one entry.
type Proposal struct {
	Token Token
	Data  []byte
}

// Remove asks the leader to remove the member of a name.
type Remove struct {
	At    time.Duration
	Wall  time.Time
	Token Token
	Name  string
}

// HandOver asks the leader to let another member lead.
type HandOver struct{ At time.Duration }

// Saved reports that every Save up to Seq is synced.
type Saved struct {
	At  time.Duration
	Seq uint64
}

// DiskFailed reports that a write or sync failed; the node acknowledges nothing from then on.
type DiskFailed struct{ At time.Duration }

// Compacted reports that the shell has a synced snapshot of its own state machine.
type Compacted struct {
	At       time.Duration
	Snapshot *wire.Snapshot
}

// VoteAsked is a request for a vote or a pre-vote.
type VoteAsked struct {
	At      time.Duration
	Token   Token
	Request *wire.VoteRequest
}

// AppendAsked is a request from a leader to append entries, or its heartbeat.
type AppendAsked struct {
	At      time.Duration
	Token   Token
	Request *wire.AppendRequest
}

// InstallAsked is a part of a leader's snapshot.
type InstallAsked struct {
	At      time.Duration
	Token   Token
	Request *wire.InstallRequest
}

// HandoverAsked is a leader's request to start an election at once.
type HandoverAsked struct {
	At      time.Duration
	Token   Token
	Request *wire.HandoverRequest
}

// JoinAsked is a request of a new identity to be added as a learner.
type JoinAsked struct {
	At      time.Duration
	Wall    time.Time
	Token   Token
	Request *wire.JoinRequest
}

// VoteAnswered is the outcome of an Ask with a VoteRequest; Reply is nil if the exchange failed.
type VoteAnswered struct {
	At      time.Duration
	To      ident.Member
	Request *wire.VoteRequest
	Reply   *wire.VoteReply
}

// AppendAnswered is the outcome of an Ask with an AppendRequest; Reply is nil if the exchange failed.
type AppendAnswered struct {
	At      time.Duration
	To      ident.Member
	Request *wire.AppendRequest
	Reply   *wire.AppendReply
}

// InstallAnswered is the outcome of an Ask with an InstallRequest; Reply is nil if the exchange failed.
type InstallAnswered struct {
	At      time.Duration
	To      ident.Member
	Request *wire.InstallRequest
	Reply   *wire.InstallReply
}

func (e Tick) event() time.Duration            { return e.At }
func (e Propose) event() time.Duration         { return e.At }
func (e Remove) event() time.Duration          { return e.At }
func (e HandOver) event() time.Duration        { return e.At }
func (e Saved) event() time.Duration           { return e.At }
func (e DiskFailed) event() time.Duration      { return e.At }
func (e Compacted) event() time.Duration       { return e.At }
func (e VoteAsked) event() time.Duration       { return e.At }
func (e AppendAsked) event() time.Duration     { return e.At }
func (e InstallAsked) event() time.Duration    { return e.At }
func (e HandoverAsked) event() time.Duration   { return e.At }
func (e JoinAsked) event() time.Duration       { return e.At }
func (e VoteAnswered) event() time.Duration    { return e.At }
func (e AppendAnswered) event() time.Duration  { return e.At }
func (e InstallAnswered) event() time.Duration { return e.At }
