package consensus

import (
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now < n.deadline {
		return
	}
	n.resetDeadline()
	if m := n.self(); m != nil && m.Voter {
		n.campaign(PreCandidate, false)
	}
}

// campaign starts an election: a PreCandidate asks without a new term whether it could win, so that a
// member that was cut off does not depose a working leader when it comes back.
func (n *Node) campaign(role Role, handover bool) {
	n.role, n.leader, n.handover = role, "", handover
	n.votes = map[string]bool{n.id: true}
	n.asked = false
	n.resetDeadline()
	if role == PreCandidate {
		n.askVotes()
		return
	}
	n.term++
	n.vote = n.id
	n.saveState() // the own vote counts, and the others are asked, once this is synced
}

func (n *Node) askVotes() {
	n.asked = true
	pre := n.role == PreCandidate
	term := n.term
	if pre {
		term++
	}
	for _, m := range n.members() {
		if m.Id == n.id || !m.Voter {
			continue
		}
		n.ask(m, &wire.VoteRequest{Term: term, Candidate: n.id, LastIndex: n.log.last(),
			LastTerm: n.log.lastTerm(), Pre: pre, Handover: n.handover, To: m.Id})
	}
	n.finishElection()
}

func (n *Node) finishElection() {
	if !n.quorum(func(id string) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) countVote(e VoteReplied) {
	r := e.Reply
	if r == nil || r.Voter != string(e.To) {
		return
	}
	if r.Term > n.term {
		n.follow(r.Term, "")
		n.saveState()
		return
	}
	pre := n.role == PreCandidate && e.Request.Pre && e.Request.Term == n.term+1
	real := n.role == Candidate && n.asked && !e.Request.Pre && e.Request.Term == n.term
	if r.Granted && (pre || real) {
		n.votes[r.Voter] = true
		n.finishElection()
	}
}

func (n *Node) answerVote(e VoteRequested) {
	r := e.Request
	reply := &wire.VoteReply{Voter: n.id, Term: n.term}
	// The leader lease rests on refusing here, before the term of the request is taken over.
	if r.To != n.id || r.Term < n.term || n.bound() && !r.Handover {
		n.answerAfter(n.stateSeq, e.Token, reply)
		return
	}
	fresh := r.LastTerm > n.log.lastTerm() ||
		r.LastTerm == n.log.lastTerm() && r.LastIndex >= n.log.last()
	if r.Pre {
		reply.Granted = fresh && r.Term > n.term
		n.answerAfter(n.stateSeq, e.Token, reply)
		return
	}
	changed := r.Term > n.term
	if changed {
		n.follow(r.Term, "")
	}
	if fresh && (n.vote == "" || n.vote == r.Candidate) {
		changed = changed || n.vote == ""
		n.vote = r.Candidate
		n.resetDeadline()
		reply.Granted = true
	}
	if changed {
		n.saveState()
	}
	reply.Term = n.term
	n.answerAfter(n.stateSeq, e.Token, reply)
}

// bound returns whether a leader may hold a lease that rests on this member.
func (n *Node) bound() bool {
	if n.role == Leader {
		return n.HasLease(n.now)
	}
	return n.now-n.heard < n.cfg.MinElection
}

// follow makes the node a follower in a term. A new term is not yet saved.
func (n *Node) follow(term uint64, leader string) {
	if n.role == Leader {
		n.lead = leadership{}
		n.emit(LeadershipLost{})
	}
	if n.role != Follower {
		n.resetDeadline()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.incoming = nil
	}
	n.role, n.leader = Follower, leader
}

func (n *Node) ask(m *wire.Member, message request) {
	n.emit(SendRequest{To: ident.Member(m.Id), Address: ident.Address(m.Address), Message: message})
}
