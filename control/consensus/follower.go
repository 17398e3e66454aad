package consensus

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

// accept takes a leader's message of at least the own term and returns false for any other.
func (n *Node) accept(term uint64, leader, to string) bool {
	if to != n.id || term < n.term || term == n.term && n.role == Leader {
		return false
	}
	changed := term > n.term
	n.follow(term, leader)
	if changed {
		n.saveState()
	}
	n.heard = n.now
	n.resetDeadline()
	return true
}

func (n *Node) answerAppend(e AppendRequested) {
	r := e.Request
	reply := &wire.AppendReply{Member: n.id, Round: r.Round}
	if !n.accept(r.Term, r.Leader, r.To) {
		reply.Term = n.term
		n.answerAfter(n.stateSeq, e.Token, reply)
		return
	}
	reply.Term = n.term
	prev, prevTerm, entries := r.PrevIndex, r.PrevTerm, r.Entries
	for prev < n.log.base && len(entries) > 0 { // what lies before base is committed
		prev, prevTerm, entries = entries[0].Index, entries[0].Term, entries[1:]
	}
	matched := prev + uint64(len(entries))
	if prev >= n.log.base {
		if term, ok := n.log.term(prev); !ok || term != prevTerm {
			reply.Matched = n.log.conflict(prev, n.commit)
			n.answerAfter(n.stateSeq, e.Token, reply)
			return
		}
		n.take(entries)
	}
	if n.failed {
		n.emit(SendReply{Token: e.Token, Message: &wire.AppendReply{}})
		return
	}
	reply.Ok, reply.Matched = true, matched
	after := n.stateSeq
	if matched > n.synced {
		after = max(after, n.logSeq)
	}
	n.answerAfter(after, e.Token, reply)
	n.applyTo(min(r.Commit, matched))
}

// take appends the entries that the log does not have yet.
func (n *Node) take(entries []*wire.Entry) {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.commit {
			n.fail() // the leader contradicts what was committed: stop rather than diverge
			return
		}
		n.truncate(e.Index)
		n.log.append(entries[i:]...)
		n.save(Save{Entries: entries[i:]})
		return
	}
}

func (n *Node) answerInstall(e InstallRequested) {
	r := e.Request
	reply := &wire.InstallReply{Member: n.id, Round: r.Round}
	if r.Snapshot == nil || !n.accept(r.Term, r.Leader, r.To) {
		reply.Term = n.term
		n.answerAfter(n.stateSeq, e.Token, reply)
		return
	}
	reply.Term = n.term
	s := r.Snapshot
	// A log that already agrees with the snapshot is kept: its later entries may be committed.
	if term, ok := n.log.term(s.Index); s.Index <= n.commit || ok && term == s.Term {
		n.incoming = nil
		n.applyTo(s.Index)
		reply.Matched, reply.Offset = s.Index, r.Size
		n.answerAfter(max(n.stateSeq, n.logSeq), e.Token, reply)
		return
	}
	if n.incoming == nil || n.incoming.Index != s.Index || n.incoming.Term != s.Term {
		n.incoming = proto.Clone(&wire.Snapshot{Index: s.Index, Term: s.Term, LogMs: s.LogMs, Members: s.Members}).(*wire.Snapshot)
	}
	if held := uint64(len(n.incoming.State)); r.Offset <= held && held < r.Offset+uint64(len(s.State)) {
		n.incoming.State = append(n.incoming.State, bytes.Clone(s.State[held-r.Offset:])...)
	}
	reply.Offset = uint64(len(n.incoming.State))
	if reply.Offset == r.Size {
		n.install(n.incoming)
		n.incoming = nil
		reply.Matched = s.Index
	}
	n.answerAfter(max(n.stateSeq, n.logSeq), e.Token, reply)
}

// install replaces the log and the state by a leader's snapshot.
func (n *Node) install(s *wire.Snapshot) {
	n.snapshot = s
	n.truncate(n.commit + 1)
	n.log.reset(s)
	n.commit, n.applied = s.Index, s.Index
	n.save(Save{Snapshot: s})
	n.emit(Restore{Snapshot: s})
}

// answerHandover starts an election at once. The leader gave its lease up before it asked, so the
// election may pass over the voters' promise to it, but only in the very next term.
func (n *Node) answerHandover(e HandoverRequested) {
	n.emit(SendReply{Token: e.Token, Message: &wire.HandoverReply{}})
	r := e.Request
	m := n.self()
	if r.To != n.id || r.Term != n.term || n.role != Follower || n.leader != r.Leader || m == nil || !m.Voter {
		return
	}
	n.campaign(Candidate, true)
}

// refuse answers requests after a disk failure without acknowledging anything.
func (n *Node) refuse(event Event) {
	switch e := event.(type) {
	case Propose:
		n.propose(e)
	case Remove:
		n.remove(e)
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
