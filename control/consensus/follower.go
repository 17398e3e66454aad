package consensus

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

// acceptLeader follows the leader that sent a message. It returns false if the message is addressed to
// another identity or does not come from another leader of the node's term or a later one.
func (n *Node) acceptLeader(term uint64, leader, to string) bool {
	if to != n.id || term < n.term || term == n.term && n.role == Leader {
		return false
	}
	newTerm := term > n.term
	n.becomeFollower(term, leader)
	if newTerm {
		n.saveState()
	}
	if n.lostLeader(n.now) {
		n.contact++
	}
	n.leaderLastSeen = n.now
	n.resetElectionDeadline()
	return true
}

// lostLeader returns whether the member has heard from no leader for the longest election timeout.
func (n *Node) lostLeader(at time.Duration) bool { return at-n.leaderLastSeen > n.cfg.MaxElection }

func (n *Node) handleAppendRequest(e AppendRequested) {
	r := e.Request
	reply := &wire.AppendReply{Member: n.id, Round: r.Round}
	if !n.acceptLeader(r.Term, r.Leader, r.To) {
		reply.Term = n.term
		n.replyAfterSync(n.stateSeq, e.Token, reply)
		return
	}
	reply.Term = n.term
	prev, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	for prev < n.log.baseIndex && len(entries) > 0 { // entries up to baseIndex are committed
		prev, prevTerm, entries = entries[0].Index, entries[0].Term, entries[1:]
	}
	if n.isBacklogged() {
		entries = n.knownEntries(entries)
	}
	matched := prev + uint64(len(entries))
	if prev >= n.log.baseIndex {
		if term, ok := n.log.termAt(prev); !ok || term != prevTerm {
			reply.Matched = n.log.conflictHint(prev, n.commitIndex)
			n.replyAfterSync(n.stateSeq, e.Token, reply)
			return
		}
		n.appendMissing(entries)
	}
	if n.failed {
		n.emit(SendReply{Token: e.Token, Message: &wire.AppendReply{}})
		return
	}
	reply.Ok, reply.Matched = true, matched
	requiredSeq := n.stateSeq
	if matched > n.syncedIndex {
		requiredSeq = max(requiredSeq, n.logSeq)
	}
	n.replyAfterSync(requiredSeq, e.Token, reply)
	n.commitThrough(min(r.Commit, matched))
}

// knownEntries returns the entries before the first one that is not in the log.
func (n *Node) knownEntries(entries []*wire.Entry) []*wire.Entry {
	for i, e := range entries {
		if term, ok := n.log.termAt(e.Index); e.Index > n.log.baseIndex && (!ok || term != e.Term) {
			return entries[:i]
		}
	}
	return entries
}

// appendMissing appends the entries that are not in the log yet.
func (n *Node) appendMissing(entries []*wire.Entry) {
	for i, e := range entries {
		if term, ok := n.log.termAt(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.commitIndex {
			n.fail() // the leader contradicts a committed entry: stop rather than diverge
			return
		}
		n.truncateLog(e.Index)
		n.log.append(entries[i:]...)
		n.save(Save{Entries: entries[i:]})
		return
	}
}

func (n *Node) handleInstallRequest(e InstallRequested) {
	r := e.Request
	reply := &wire.InstallReply{Member: n.id, Round: r.Round}
	if r.Snapshot == nil || !n.acceptLeader(r.Term, r.Leader, r.To) {
		reply.Term = n.term
		n.replyAfterSync(n.stateSeq, e.Token, reply)
		return
	}
	reply.Term = n.term
	s := r.Snapshot
	// A log that already contains the snapshot's last entry is kept, as its later entries may be committed.
	if term, ok := n.log.termAt(s.Index); s.Index <= n.commitIndex || ok && term == s.Term {
		n.incomingSnapshot = nil
		n.commitThrough(s.Index)
		reply.Matched, reply.Offset = s.Index, r.Size
		n.replyAfterSync(max(n.stateSeq, n.logSeq), e.Token, reply)
		return
	}
	if n.incomingSnapshot == nil || n.incomingSnapshot.Index != s.Index || n.incomingSnapshot.Term != s.Term {
		n.incomingSnapshot = proto.Clone(&wire.Snapshot{Index: s.Index, Term: s.Term, LogMs: s.LogMs, Members: s.Members}).(*wire.Snapshot)
	}
	if received := uint64(len(n.incomingSnapshot.State)); r.Offset <= received && received < r.Offset+uint64(len(s.State)) {
		n.incomingSnapshot.State = append(n.incomingSnapshot.State, bytes.Clone(s.State[received-r.Offset:])...)
	}
	reply.Offset = uint64(len(n.incomingSnapshot.State))
	if reply.Offset == r.Size {
		n.installSnapshot(n.incomingSnapshot)
		n.incomingSnapshot = nil
		reply.Matched = s.Index
	}
	n.replyAfterSync(max(n.stateSeq, n.logSeq), e.Token, reply)
}

// installSnapshot replaces the log and the state with a leader's snapshot.
func (n *Node) installSnapshot(s *wire.Snapshot) {
	n.snapshot = s
	n.truncateLog(n.commitIndex + 1)
	n.log.reset(s)
	n.commitIndex, n.appliedIndex = s.Index, s.Index
	n.save(Save{Snapshot: s})
	n.emit(Restore{Snapshot: s})
}

// handleHandoverRequest starts an election at once. The leader gave up its lease before it sent the
// request, so the voters may ignore their promise to that leader, but only in the next term.
func (n *Node) handleHandoverRequest(e HandoverRequested) {
	n.emit(SendReply{Token: e.Token, Message: &wire.HandoverReply{}})
	r := e.Request
	m := n.self()
	if r.To != n.id || r.Term != n.term || n.role != Follower || n.leaderID != r.Leader || m == nil || !m.Voter {
		return
	}
	n.startElection(Candidate, true)
}

// rejectAfterFailure answers requests after a failure without acknowledging anything.
func (n *Node) rejectAfterFailure(event Event) {
	switch e := event.(type) {
	case Propose:
		n.handlePropose(e)
	case Remove:
		n.handleRemove(e)
	case VoteRequested:
		n.emit(SendReply{Token: e.Token, Message: &wire.VoteReply{}})
	case AppendRequested:
		n.emit(SendReply{Token: e.Token, Message: &wire.AppendReply{}})
	case InstallRequested:
		n.emit(SendReply{Token: e.Token, Message: &wire.InstallReply{}})
	case HandoverRequested:
		n.emit(SendReply{Token: e.Token, Message: &wire.HandoverReply{}})
	case JoinRequested:
		n.emit(SendReply{Token: e.Token, Message: &wire.JoinReply{}})
	}
}
