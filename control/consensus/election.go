package consensus

import (
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// tick starts an election if the election timeout has passed, and runs the timers of a leader.
func (n *Node) tick() {
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now < n.electionDeadline {
		return
	}
	n.resetElectionDeadline()
	if m := n.self(); m != nil && m.Voter {
		n.startElection(PreCandidate, false)
	}
}

// startElection starts an election. A PreCandidate asks without raising its term whether it could win,
// so that a member that was isolated does not depose a working leader when it reconnects.
func (n *Node) startElection(role Role, handover bool) {
	n.role, n.leaderID, n.isHandover = role, "", handover
	n.votes = map[string]bool{n.id: true}
	n.votesRequested = false
	n.resetElectionDeadline()
	if role == PreCandidate {
		n.requestVotes()
		return
	}
	n.term++
	n.votedFor = n.id
	n.saveState() // handleSaved requests votes once the member's own vote is synced
}

func (n *Node) requestVotes() {
	n.votesRequested = true
	isPreVote := n.role == PreCandidate
	term := n.term
	if isPreVote {
		term++
	}
	for _, m := range n.members() {
		if m.Id == n.id || !m.Voter {
			continue
		}
		n.sendRequest(m, &wire.VoteRequest{Term: term, Candidate: n.id, LastIndex: n.log.lastIndex(),
			LastTerm: n.log.lastTerm(), Pre: isPreVote, Handover: n.isHandover, To: m.Id})
	}
	n.concludeElection()
}

// concludeElection moves to the next role if a majority of the voters granted their votes.
func (n *Node) concludeElection() {
	if !n.hasMajority(func(id string) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.startElection(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) handleVoteReply(e VoteReplied) {
	r := e.Reply
	if r == nil || r.Voter != string(e.To) {
		return
	}
	if r.Term > n.term {
		n.becomeFollower(r.Term, "")
		n.saveState()
		return
	}
	isPreVote := n.role == PreCandidate && e.Request.Pre && e.Request.Term == n.term+1
	isVote := n.role == Candidate && n.votesRequested && !e.Request.Pre && e.Request.Term == n.term
	if r.Granted && (isPreVote || isVote) {
		n.votes[r.Voter] = true
		n.concludeElection()
	}
}

func (n *Node) handleVoteRequest(e VoteRequested) {
	r := e.Request
	reply := &wire.VoteReply{Voter: n.id, Term: n.term}
	// The leader lease depends on this refusal, which must come before the term of the request is adopted.
	if r.To != n.id || r.Term < n.term || n.mustRespectLease() && !r.Handover {
		n.replyAfterSync(n.stateSeq, e.Token, reply)
		return
	}
	logUpToDate := r.LastTerm > n.log.lastTerm() ||
		r.LastTerm == n.log.lastTerm() && r.LastIndex >= n.log.lastIndex()
	if r.Pre {
		reply.Granted = logUpToDate && r.Term > n.term
		n.replyAfterSync(n.stateSeq, e.Token, reply)
		return
	}
	stateChanged := r.Term > n.term
	if stateChanged {
		n.becomeFollower(r.Term, "")
	}
	if logUpToDate && (n.votedFor == "" || n.votedFor == r.Candidate) {
		stateChanged = stateChanged || n.votedFor == ""
		n.votedFor = r.Candidate
		n.resetElectionDeadline()
		reply.Granted = true
	}
	if stateChanged {
		n.saveState()
	}
	reply.Term = n.term
	n.replyAfterSync(n.stateSeq, e.Token, reply)
}

// mustRespectLease returns whether a leader may hold a lease that this member acknowledged or holds itself.
func (n *Node) mustRespectLease() bool {
	if n.role == Leader {
		return n.HasLease(n.now)
	}
	return n.now-n.leaderLastSeen < n.cfg.MinElection
}

// becomeFollower makes the node a follower in a term. It doesn't save a new term; the caller must.
func (n *Node) becomeFollower(term uint64, leader string) {
	if n.role == Leader {
		n.leaderState = leaderState{}
		n.emit(LeadershipLost{})
	}
	if n.role != Follower {
		n.resetElectionDeadline()
	}
	if term > n.term {
		n.term, n.votedFor = term, ""
		n.incomingSnapshot = nil
	}
	n.role, n.leaderID = Follower, leader
}

func (n *Node) sendRequest(m *wire.Member, message request) {
	n.emit(SendRequest{To: ident.Member(m.Id), Address: ident.Address(m.Address), Message: message})
}
