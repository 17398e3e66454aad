package consensus

import (
	"time"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// Event is an input of Node.Step. The field At of each event is the member's monotonic time.
type Event interface{ eventTime() time.Duration }

// Token identifies the request or proposal that a reply or result belongs to.
type Token uint64

// Tick reports that time has passed; the node checks its timers.
type Tick struct{ At time.Duration }

// Propose asks the leader to append data entries. WallTime is stored in the entries.
type Propose struct {
	At       time.Duration
	WallTime time.Time
	Items    []Proposal
}

// Proposal is the data of one proposed entry.
type Proposal struct {
	Token Token
	Data  []byte
}

// Remove asks the leader to remove the members with a name from the group.
type Remove struct {
	At       time.Duration
	WallTime time.Time
	Token    Token
	Name     string
}

// StartHandover asks the leader to transfer leadership to another voter.
type StartHandover struct{ At time.Duration }

// Saved reports that all Saves up to and including Seq are synced to disk.
type Saved struct {
	At  time.Duration
	Seq uint64
}

// DiskFailed reports that a write or sync failed. From then on the node acknowledges nothing.
type DiskFailed struct{ At time.Duration }

// Applied reports that the state machine has applied the entries up to and including Index, or was restored to it.
type Applied struct {
	At    time.Duration
	Index ident.Index
}

// Compacted reports that a snapshot of the member's own state machine is synced to disk.
type Compacted struct {
	At       time.Duration
	Snapshot *wire.Snapshot
}

// VoteRequested is a request for a vote or a pre-vote.
type VoteRequested struct {
	At      time.Duration
	Token   Token
	Request *wire.VoteRequest
}

// AppendRequested is a request from a leader to append entries; without entries, it is a heartbeat.
type AppendRequested struct {
	At      time.Duration
	Token   Token
	Request *wire.AppendRequest
}

// InstallRequested carries a chunk of a leader's snapshot.
type InstallRequested struct {
	At      time.Duration
	Token   Token
	Request *wire.InstallRequest
}

// HandoverRequested is a leader's request to start an election at once.
type HandoverRequested struct {
	At      time.Duration
	Token   Token
	Request *wire.HandoverRequest
}

// JoinRequested is the request of a new member to be added as a learner.
type JoinRequested struct {
	At       time.Duration
	WallTime time.Time
	Token    Token
	Request  *wire.JoinRequest
}

// VoteReplied is the outcome of a SendRequest with a VoteRequest; Reply is nil if the request failed.
type VoteReplied struct {
	At      time.Duration
	To      ident.Member
	Request *wire.VoteRequest
	Reply   *wire.VoteReply
}

// AppendReplied is the outcome of a SendRequest with an AppendRequest; Reply is nil if the request failed.
type AppendReplied struct {
	At      time.Duration
	To      ident.Member
	Request *wire.AppendRequest
	Reply   *wire.AppendReply
}

// InstallReplied is the outcome of a SendRequest with an InstallRequest; Reply is nil if the request failed.
type InstallReplied struct {
	At      time.Duration
	To      ident.Member
	Request *wire.InstallRequest
	Reply   *wire.InstallReply
}

func (e Tick) eventTime() time.Duration              { return e.At }
func (e Propose) eventTime() time.Duration           { return e.At }
func (e Remove) eventTime() time.Duration            { return e.At }
func (e StartHandover) eventTime() time.Duration     { return e.At }
func (e Saved) eventTime() time.Duration             { return e.At }
func (e DiskFailed) eventTime() time.Duration        { return e.At }
func (e Applied) eventTime() time.Duration           { return e.At }
func (e Compacted) eventTime() time.Duration         { return e.At }
func (e VoteRequested) eventTime() time.Duration     { return e.At }
func (e AppendRequested) eventTime() time.Duration   { return e.At }
func (e InstallRequested) eventTime() time.Duration  { return e.At }
func (e HandoverRequested) eventTime() time.Duration { return e.At }
func (e JoinRequested) eventTime() time.Duration     { return e.At }
func (e VoteReplied) eventTime() time.Duration       { return e.At }
func (e AppendReplied) eventTime() time.Duration     { return e.At }
func (e InstallReplied) eventTime() time.Duration    { return e.At }
