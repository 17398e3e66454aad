package consensus

import (
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Effect is an output of a Node, to be performed by the shell in order.
type Effect interface{ effect() }

// Save asks for a durable write, reported by Saved. Saves are performed in the order of Seq; within
// one Save, the order is State, Snapshot, Entries.
type Save struct {
	Seq      uint64
	State    *wire.HardState // nil if unchanged
	Snapshot *wire.Snapshot  // installed by a leader; replaces the log. Nil if there is none
	Entries  []*wire.Entry   // replace everything from the first one's index on
}

// SendRequest sends a request to a member. The shell feeds exactly one answer event back for it,
// except for a HandoverRequest.
type SendRequest struct {
	To      ident.Member
	Address ident.Address
	Message proto.Message
}

// SendReply is the reply to the request with the Token.
type SendReply struct {
	Token   Token
	Message proto.Message
}

// Apply hands committed entries to the state machine, in order and without gaps.
type Apply struct{ Entries []*wire.Entry }

// Restore replaces the state machine's state by an installed snapshot.
type Restore struct{ Snapshot *wire.Snapshot }

// ProposalAccepted says that a proposal was appended at Index in Term. Its outcome is known when an entry at
// that index is applied: it is the proposal's if the term is the same.
type ProposalAccepted struct {
	Token Token
	Index ident.Index
	Term  ident.Term
}

// RequestRejected says that a proposal was not appended and never will be.
type RequestRejected struct {
	Token  Token
	Code   fault.Code
	Reason string
}

// LeadershipLost says that this member stopped leading; the outcome of accepted proposals that are not yet
// applied is unknown.
type LeadershipLost struct{}

func (Save) effect()             {}
func (SendRequest) effect()      {}
func (SendReply) effect()        {}
func (Apply) effect()            {}
func (Restore) effect()          {}
func (ProposalAccepted) effect() {}
func (RequestRejected) effect()  {}
func (LeadershipLost) effect()   {}
