package consensus

import (
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Effect is an output of Node.Step. The caller performs the effects in the order returned.
type Effect interface{ isEffect() }

// Save requests a durable write; the caller reports its completion with Saved. Saves are written in the
// order of Seq; within one Save, the order is State, Snapshot, Entries.
type Save struct {
	Seq      uint64
	State    *wire.HardState // nil if unchanged
	Snapshot *wire.Snapshot  // from a leader, replaces the log; nil if there is none
	Entries  []*wire.Entry   // replace the log from the index of the first one on
}

// SendRequest sends a request to a member. The entries of an AppendRequest may be evicted; the caller loads them. The caller passes exactly one reply event for it back to the
// Node, except for a HandoverRequest.
type SendRequest struct {
	To      ident.Member
	Address ident.Address
	Message proto.Message
}

// SendReply sends the reply to the request with the same Token.
type SendReply struct {
	Token   Token
	Message proto.Message
}

// Apply passes committed entries to the state machine, in order and without gaps. They may be evicted. The caller reports
// their application with Applied.
type Apply struct{ Entries []*wire.Entry }

// Restore replaces the state of the state machine with that of an installed snapshot. Entries of an Apply before it
// that are not applied yet are no longer needed, nor on the disk.
type Restore struct{ Snapshot *wire.Snapshot }

// ProposalAccepted reports that a proposal was appended at Index in Term. The proposal succeeded if the
// entry that is applied at Index has the same term, and failed if it has another term.
type ProposalAccepted struct {
	Token Token
	Index ident.Index
	Term  ident.Term
}

// RequestRejected reports that a Proposal or Remove was not appended to the log and never will be.
type RequestRejected struct {
	Token  Token
	Code   fault.Code
	Reason string
}

// LeadershipLost reports that this member is no longer the leader. The outcome of accepted proposals
// that are not committed yet is unknown.
type LeadershipLost struct{}

func (Save) isEffect()             {}
func (SendRequest) isEffect()      {}
func (SendReply) isEffect()        {}
func (Apply) isEffect()            {}
func (Restore) isEffect()          {}
func (ProposalAccepted) isEffect() {}
func (RequestRejected) isEffect()  {}
func (LeadershipLost) isEffect()   {}
