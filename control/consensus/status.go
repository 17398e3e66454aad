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
	TermStart   ident.Index // first entry of the leader's term; 0 if this member does not lead
	LeaderSince time.Duration
	Members     []*wire.Member
	Isolated    bool // no contact with a majority, or with a leader
	Failed      bool
}

// Status returns the node's view at its monotonic time at.
func (n *Node) Status(at time.Duration) Status {
	s := Status{Role: n.role, Term: ident.Term(n.term), Leader: n.leaderAddress(),
		LeaderID: ident.Member(n.leader), Committed: ident.Index(n.commit), Members: n.members(), Failed: n.failed}
	s.Isolated = at-n.heard > n.cfg.MaxElection
	if n.role == Leader {
		s.TermStart, s.LeaderSince = ident.Index(n.lead.first), n.lead.since
		s.Isolated = !n.HasLease(at) && at-max(n.lead.since, n.lead.leaseEnd) > n.cfg.Heartbeat
	}
	return s
}

// Committed returns the last committed index.
func (n *Node) Committed() ident.Index { return ident.Index(n.commit) }

func (n *Node) leaderAddress() ident.Address {
	if m := findID(n.members(), n.leader); m != nil {
		return ident.Address(m.Address)
	}
	return ""
}

// HandingOver returns whether a planned hand-over is in progress.
func (n *Node) HandingOver() bool { return n.lead.target != "" }
