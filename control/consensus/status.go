package consensus

import (
	"time"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// Status is a node's view of the group at one moment.
type Status struct {
	Role        Role
	Term        ident.Term
	Leader      ident.Address // empty if unknown
	LeaderID    ident.Member
	Committed   ident.Index
	TermStart   ident.Index   // first entry of the leader's term; 0 if this member does not lead
	LeaderSince time.Duration // monotonic time of this member's election; 0 if it does not lead
	Members     []*wire.Member
	Isolated    bool   // a leader has no contact with a majority, or another member has none with a leader
	Contact     uint64 // how often this member regained contact with a leader since its start
	Backlogged  bool   // the log takes no entries, as the state machine is too far behind
	Failed      bool   // the member stopped after a failure of its disk or state
}

// Status returns the node's view of the group at its monotonic time at.
func (n *Node) Status(at time.Duration) Status {
	s := Status{Role: n.role, Term: ident.Term(n.term), Leader: n.leaderAddress(),
		LeaderID: ident.Member(n.leaderID), Committed: ident.Index(n.commitIndex), Members: n.members(), Contact: n.contact,
		Backlogged: n.isBacklogged(), Failed: n.failed}
	s.Isolated = n.lostLeader(at)
	if n.role == Leader {
		s.TermStart, s.LeaderSince = ident.Index(n.leaderState.termStart), n.leaderState.electedAt
		s.Isolated = !n.HasLease(at) && at-max(n.leaderState.electedAt, n.leaderState.leaseExpiry) > n.cfg.Heartbeat
	}
	return s
}

// Committed returns the last committed index.
func (n *Node) Committed() ident.Index { return ident.Index(n.commitIndex) }

func (n *Node) leaderAddress() ident.Address {
	if m := findMember(n.members(), n.leaderID); m != nil {
		return ident.Address(m.Address)
	}
	return ""
}

// HandingOver returns whether this member is handing over leadership.
func (n *Node) HandingOver() bool { return n.leaderState.handoverTarget != "" }
