package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// threeVoters returns the membership of voters a, b and c.
func threeVoters() *wire.Membership {
	set := &wire.Membership{}
	for _, id := range []string{"a", "b", "c"} {
		set.Members = append(set.Members, &wire.Member{Id: id, Name: id, Address: id, Voter: true})
	}
	return set
}

// entriesWithTerms returns a log with one entry for each term; the first entry is the membership.
func entriesWithTerms(terms ...uint64) []*wire.Entry {
	var list []*wire.Entry
	for i, term := range terms {
		list = append(list, &wire.Entry{Index: uint64(i) + 1, Term: term, Kind: wire.EntryKind_ENTRY_KIND_DATA})
	}
	list[0].Kind, list[0].Members = wire.EntryKind_ENTRY_KIND_MEMBERS, threeVoters()
	return list
}

// harness runs one node whose Saves are synced only when completeSaves is called.
type harness struct {
	*Node
	at time.Duration // monotonic time of the next event
}

// newHarness returns member a in a term with a log of the given terms. Its time is late enough after the
// start that the member may vote.
func newHarness(term uint64, terms ...uint64) *harness {
	h := &harness{Node: New(Config{State: &wire.HardState{Id: "a", Term: term}, Entries: entriesWithTerms(terms...)})}
	h.at = DefaultMinElection
	return h
}

// completeSaves reports all Saves so far as synced.
func (h *harness) completeSaves() []Effect { return h.Step(Saved{h.at, h.lastSeq}, nil) }

// winElection makes the node leader of the next term with a valid lease.
func (h *harness) winElection() {
	h.at += DefaultMaxElection
	h.Step(Tick{h.at}, nil)
	h.receiveVote("b", true)
	h.completeSaves()
	h.receiveVote("b", false)
	h.completeSaves()
	h.receiveAppendReply("b", h.log.lastIndex())
}

// receiveVote passes the node a granted vote, or pre-vote, in reply to a request to member b.
func (h *harness) receiveVote(from string, preVote bool) []Effect {
	term := h.term
	if preVote {
		term++
	}
	return h.Step(VoteReplied{h.at, "b", &wire.VoteRequest{Term: term, Pre: preVote}, &wire.VoteReply{Term: h.term, Granted: true, Voter: from}}, nil)
}

// receiveAppendReply passes the leader a reply to its latest heartbeat round from a member whose log
// matches up to an index.
func (h *harness) receiveAppendReply(from string, matched uint64) []Effect {
	request := &wire.AppendRequest{Term: h.term, Round: h.leaderState.round, PrevIndex: matched}
	return h.Step(AppendReplied{h.at, ident.Member(from), request,
		&wire.AppendReply{Term: h.term, Member: from, Ok: true, Matched: matched, Round: h.leaderState.round}}, nil)
}

// receiveAppend passes the node an append request from member b.
func (h *harness) receiveAppend(r *wire.AppendRequest) []Effect {
	r.Leader, r.To = "b", "a"
	return h.Step(AppendRequested{h.at, 1, r}, nil)
}

// firstReply returns the message of the first SendReply among effects, or nil.
func firstReply(effects []Effect) proto.Message {
	for _, e := range effects {
		if a, ok := e.(SendReply); ok {
			return a.Message
		}
	}
	return nil
}

// sentRequests returns the messages of all SendRequests among effects.
func sentRequests(effects []Effect) []proto.Message {
	var out []proto.Message
	for _, e := range effects {
		if a, ok := e.(SendRequest); ok {
			out = append(out, a.Message)
		}
	}
	return out
}

// Guards against votes that violate a leader's lease, elect a leader without committed entries, elect
// two leaders in a term, come from a member that lost its disk, or are sent before they are durable.
func TestVotes(t *testing.T) {
	heartbeat := &wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4}
	newRequest := func(change func(*wire.VoteRequest)) *wire.VoteRequest {
		r := &wire.VoteRequest{Term: 6, Candidate: "c", LastIndex: 2, LastTerm: 4, To: "a"}
		change(r)
		return r
	}
	for name, c := range map[string]struct {
		request *wire.VoteRequest
		prepare func(*harness)
		granted bool
		term    uint64 // expected after the request
	}{
		"later term":   {newRequest(func(*wire.VoteRequest) {}), nil, true, 6},
		"same term":    {newRequest(func(r *wire.VoteRequest) { r.Term = 5 }), nil, true, 5},
		"earlier term": {newRequest(func(r *wire.VoteRequest) { r.Term = 4 }), nil, false, 5},
		"leader seen recently": {newRequest(func(*wire.VoteRequest) {}), func(h *harness) {
			h.receiveAppend(heartbeat)
			h.at += DefaultMinElection - 1
		}, false, 5},
		"leader seen recently, pre-vote": {newRequest(func(r *wire.VoteRequest) { r.Pre = true }), func(h *harness) {
			h.receiveAppend(heartbeat)
			h.at += DefaultMinElection - 1
		}, false, 5},
		"leader not seen for the minimum election timeout": {newRequest(func(*wire.VoteRequest) {}), func(h *harness) {
			h.receiveAppend(heartbeat)
			h.at += DefaultMinElection
		}, true, 6},
		"leader seen recently hands over": {newRequest(func(r *wire.VoteRequest) { r.Handover = true }), func(h *harness) { h.receiveAppend(heartbeat) }, true, 6},
		"just started":                    {newRequest(func(*wire.VoteRequest) {}), func(h *harness) { h.at = DefaultMinElection - 1 }, false, 5},
		"leader with a lease":             {newRequest(func(r *wire.VoteRequest) { r.Term, r.LastTerm = 7, 7 }), (*harness).winElection, false, 6},
		"leader without a lease": {newRequest(func(r *wire.VoteRequest) { r.Term, r.LastTerm = 7, 7 }), func(h *harness) {
			h.winElection()
			h.at += DefaultMinElection
		}, true, 7},
		"shorter log":                      {newRequest(func(r *wire.VoteRequest) { r.LastIndex = 1 }), nil, false, 6},
		"longer log of an earlier term":    {newRequest(func(r *wire.VoteRequest) { r.LastIndex, r.LastTerm = 9, 3 }), nil, false, 6},
		"log of an earlier term, pre-vote": {newRequest(func(r *wire.VoteRequest) { r.LastTerm, r.Pre = 3, true }), nil, false, 5},
		"pre-vote":                         {newRequest(func(r *wire.VoteRequest) { r.Pre = true }), nil, true, 5},
		"request to another identity":      {newRequest(func(r *wire.VoteRequest) { r.To = "old" }), nil, false, 5},
		"voted for another candidate": {newRequest(func(*wire.VoteRequest) {}), func(h *harness) {
			h.Step(VoteRequested{h.at, 9, newRequest(func(r *wire.VoteRequest) { r.Candidate = "b" })}, nil)
			h.completeSaves()
		}, false, 6},
		"voted for the same candidate": {newRequest(func(*wire.VoteRequest) {}), func(h *harness) {
			h.Step(VoteRequested{h.at, 9, newRequest(func(*wire.VoteRequest) {})}, nil)
		}, true, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(5, 1, 4)
			if c.prepare != nil {
				c.prepare(h)
			}
			effects := h.Step(VoteRequested{h.at, 1, c.request}, nil)
			if c.granted && !c.request.Pre {
				is.Equal(firstReply(effects), nil) // not before the vote is synced
				effects = h.completeSaves()
			} else if firstReply(effects) == nil {
				effects = h.completeSaves()
			}
			reply := firstReply(effects).(*wire.VoteReply)
			is.Equal(reply.Granted, c.granted)
			is.Equal(reply.Voter, "a")
			is.Equal(h.term, c.term)
		})
	}
}

// Guards against a member that lost its disk and, under its new identity, acknowledges entries or a lease
// on behalf of the old one.
func TestAppendToOldIdentity(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	effects := h.Step(AppendRequested{h.at, 1, &wire.AppendRequest{Term: 6, Leader: "b", To: "old", PrevIndex: 2, PrevTerm: 4}}, nil)
	reply := firstReply(effects).(*wire.AppendReply)
	is.True(!reply.Ok)
	is.Equal(reply.Member, "a")
	is.Equal(h.term, uint64(5))
	is.True(!h.mustRespectLease())
}

// Guards against a candidate that counts its own vote, or requests other votes, before its vote is durable.
func TestCandidateSyncsFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	h.receiveAppend(&wire.AppendRequest{Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 1}}}) // unsynced
	h.at += DefaultMaxElection + 1
	is.Equal(len(sentRequests(h.Step(Tick{h.at}, nil))), 2) // pre-votes need no sync
	is.Equal(len(sentRequests(h.receiveVote("b", true))), 0)
	is.Equal(h.role, Candidate)
	is.True(!h.votesRequested)
	is.Equal(len(sentRequests(h.Step(Saved{h.at, h.lastSeq - 1}, nil))), 0)
	is.Equal(len(sentRequests(h.completeSaves())), 2)
	h.receiveVote("stranger", false)
	is.Equal(h.role, Candidate)
	h.receiveVote("b", false)
	is.Equal(h.role, Leader)
}

// Guards against the loss of a committed entry of an earlier term. If it is committed before an entry of
// the leader's own term, a member without it can still be elected and overwrite it.
func TestCommitOwnTerm(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 1, 2)
	h.winElection()
	h.commitIndex, h.leaderState.peers["b"].matchIndex = 0, 2 // as if b had acknowledged entry 2 only
	h.receiveAppendReply("c", 2)
	is.Equal(h.commitIndex, uint64(0))
	h.receiveAppendReply("c", 3)
	is.Equal(h.commitIndex, uint64(3))
}

// Guards against a follower or leader that acknowledges an entry before it is synced, so that a crash can
// still lose it.
func TestSyncBeforeAcknowledgement(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	entry := &wire.Entry{Index: 3, Term: 5}
	is.Equal(firstReply(h.receiveAppend(&wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{entry}})), nil)
	is.Equal(firstReply(h.receiveAppend(&wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{entry}})), nil) // resent
	is.Equal(firstReply(h.receiveAppend(&wire.AppendRequest{Term: 5, PrevIndex: 3, PrevTerm: 5})), nil)                                // heartbeat
	is.Equal(firstReply(h.completeSaves()).(*wire.AppendReply).Matched, uint64(3))
	// An entry that replaces a synced one is not synced itself.
	h.receiveAppend(&wire.AppendRequest{Term: 6, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{{Index: 3, Term: 6}}})
	is.Equal(h.syncedIndex, uint64(2))
	is.Equal(firstReply(h.receiveAppend(&wire.AppendRequest{Term: 6, PrevIndex: 3, PrevTerm: 6})), nil)

	l := newHarness(5, 1, 4)
	l.winElection()
	commitBefore := l.commitIndex
	l.Step(Propose{At: l.at, Items: []Proposal{{Token: 1}}}, nil)
	l.receiveAppendReply("b", l.log.lastIndex())
	is.Equal(l.commitIndex, commitBefore) // only b has synced the entry
	l.completeSaves()
	is.Equal(l.commitIndex, commitBefore+1)
}

// Guards against a lease that starts when a delayed reply arrives, although the follower's promise began
// when it received the heartbeat.
func TestLeaseFromSendTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	h.at += DefaultMinElection
	h.Step(Tick{h.at}, nil)
	sentAt := h.at
	is.True(!h.HasLease(sentAt))
	h.at += DefaultMinElection / 2
	h.receiveAppendReply("b", h.log.lastIndex())
	is.True(h.HasLease(sentAt + DefaultMinElection*9/10 - 1))
	is.True(!h.HasLease(sentAt + DefaultMinElection*9/10))
}

// Guards against two lease holders after a handover: the old leader and the winner of the election that
// it requested.
func TestHandoverEndsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	h.Step(Propose{At: h.at, Items: []Proposal{{Token: 1}}}, nil)
	is.Equal(len(sentRequests(h.Step(StartHandover{h.at}, nil))), 0) // the entry is not committed yet
	rejected := h.Step(Propose{At: h.at, Items: []Proposal{{Token: 2}}}, nil)[0].(RequestRejected)
	is.Equal(rejected.Code, fault.NotLeader)
	h.completeSaves()
	h.receiveAppendReply("b", h.log.lastIndex())
	effects := h.Step(Tick{h.at}, nil)
	requests := sentRequests(effects)
	is.Equal(len(requests), 1)
	is.Equal(requests[0].(*wire.HandoverRequest).To, "b")
	is.True(!h.HasLease(h.at))
}

// Guards against membership changes that overlap, that start before the leader knows the committed
// membership, or that promote a learner without the complete log.
func TestMembershipChanges(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	join := func(id string) bool {
		e := JoinRequested{At: h.at, Token: 1, Request: &wire.JoinRequest{Member: &wire.Member{Id: id, Name: id, Address: id}}}
		return firstReply(h.Step(e, nil)).(*wire.JoinReply).Accepted
	}
	savedCommit := h.commitIndex
	h.commitIndex = h.leaderState.termStart - 1
	is.True(!join("d"))
	h.commitIndex = savedCommit
	is.True(join("d"))
	is.True(!join("e"))
	rejected := h.Step(Remove{At: h.at, Token: 2, Name: "c"}, nil)[0].(RequestRejected)
	is.Equal(rejected.Code, fault.Busy)
	h.completeSaves()
	h.receiveAppendReply("b", h.log.lastIndex())
	is.Equal(h.commitIndex, h.log.membershipIndex)
	h.receiveAppendReply("d", h.commitIndex-1)
	is.True(!findMember(h.members(), "d").Voter)
	h.receiveAppendReply("d", h.commitIndex)
	is.True(findMember(h.members(), "d").Voter)
	is.True(!join("e")) // the promotion is not committed
}

// Guards against the replacement of a member that still replies, as when its configuration was copied to
// another VM, and against an old identity that stays a voter alongside the new one.
func TestReplacement(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	join := JoinRequested{At: h.at, Token: 1, Request: &wire.JoinRequest{Member: &wire.Member{Id: "b2", Name: "b", Address: "b"}}}
	is.True(!firstReply(h.Step(join, nil)).(*wire.JoinReply).Accepted)
	for range 8 {
		h.at += DefaultHeartbeat
		h.Step(Tick{h.at}, nil)
		h.receiveAppendReply("c", h.log.lastIndex())
	}
	is.True(firstReply(h.Step(join, nil)).(*wire.JoinReply).Accepted)
	commitAll := func() {
		h.completeSaves()
		h.receiveAppendReply("c", h.log.lastIndex())
		h.receiveAppendReply("b2", h.log.lastIndex())
	}
	commitAll()
	is.True(findMember(h.members(), "b") == nil) // removed before the promotion
	is.True(!findMember(h.members(), "b2").Voter)
	commitAll()
	is.True(findMember(h.members(), "b2").Voter)
	is.Equal(len(h.members()), 3)
}

// Guards against a node that acknowledges anything after a failed write.
func TestDiskFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	h.Step(Propose{At: h.at, Items: []Proposal{{Token: 1}}}, nil)
	effects := h.Step(DiskFailed{h.at}, nil)
	is.Equal(effects[0], LeadershipLost{})
	is.True(!h.HasLease(h.at))
	is.Equal(len(h.completeSaves()), 0)
	is.Equal(h.Step(Propose{At: h.at, Items: []Proposal{{Token: 2}}}, nil)[0].(RequestRejected).Code, fault.Internal)
	is.True(proto.Equal(firstReply(h.receiveAppend(&wire.AppendRequest{Term: 9})), &wire.AppendReply{}))
	vote := VoteRequested{h.at + time.Hour, 1, &wire.VoteRequest{Term: 9, LastTerm: 9, To: "a"}}
	is.True(proto.Equal(firstReply(h.Step(vote, nil)), &wire.VoteReply{}))
	is.Equal(len(h.Step(Tick{h.at + 2*time.Hour}, nil)), 0)
}

// Guards against a snapshot that removes synced entries after its index, which a leader may already have
// counted towards a majority.
func TestInstallKeepsLaterEntries(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4, 5, 5)
	install := func(index, term uint64) *wire.InstallReply {
		effects := h.Step(InstallRequested{h.at, 1, &wire.InstallRequest{Term: 6, Leader: "b", To: "a",
			Snapshot: &wire.Snapshot{Index: index, Term: term, Members: threeVoters()}}}, nil)
		effects = append(effects, h.completeSaves()...)
		return firstReply(effects).(*wire.InstallReply)
	}
	is.Equal(install(3, 5).Matched, uint64(3))
	is.Equal(h.log.lastIndex(), uint64(4))
	is.Equal(h.commitIndex, uint64(3))
	is.Equal(install(4, 6).Matched, uint64(4)) // the committed entry 4 differs from the log's
	is.Equal(h.log.baseIndex, uint64(4))
	is.Equal(h.log.lastIndex(), uint64(4))
}

// Guards against a state machine that falls behind and lets all committed entries pile up in memory, and against one that
// gets none any more.
func TestEntriesForTheStateMachineAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.cfg.ApplyBytes, h.cfg.HeldBytes = 3000, 2000
	var entries []*wire.Entry
	for i := uint64(3); i <= 40; i++ {
		entries = append(entries, &wire.Entry{Index: i, Term: 5, Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: make([]byte, 1000)})
	}
	applied, evicted, waiting := uint64(0), 0, 0
	take := func(effects []Effect) {
		for _, effect := range effects {
			a, ok := effect.(Apply)
			for _, e := range a.Entries {
				is.Equal(e.Index, max(applied+1, e.Index)) // in order
				applied = e.Index
				waiting += len(e.Data)
				if IsEvicted(e) {
					evicted++
				}
			}
			is.True(!ok || waiting <= 3000+1000)
		}
	}
	take(h.receiveAppend(&wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4, Entries: entries, Commit: 40}))
	is.True(applied < 10)
	take(h.completeSaves())
	is.True(h.log.heldBytes <= 2000)
	for range 40 {
		waiting = 0
		take(h.Step(Applied{h.at, ident.Index(applied)}, nil))
	}
	is.Equal(applied, uint64(40))
	is.True(evicted > 20)
}

// Guards against a leader that accepts proposals without end while its group can't commit them.
func TestPendingProposalsAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.cfg.PendingBytes = 5000
	h.winElection()
	accepted := 0
	for i := range 20 {
		effects := h.Step(Propose{At: h.at, Items: []Proposal{{Token: Token(i + 1), Data: make([]byte, 1000)}}}, nil)
		switch e := effects[0].(type) {
		case ProposalAccepted:
			accepted++
		case RequestRejected:
			is.Equal(e.Code, fault.Busy)
		}
	}
	is.True(accepted >= 4 && accepted <= 6)
	h.completeSaves()
	h.receiveAppendReply("b", h.log.lastIndex())
	_, ok := h.Step(Propose{At: h.at, Items: []Proposal{{Token: 99, Data: make([]byte, 1000)}}}, nil)[0].(ProposalAccepted)
	is.True(ok)
}

// Guards against several large entries that are encoded in memory for one member at the same time.
func TestLargeEntriesAreSentOneAtATime(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.winElection()
	h.completeSaves()
	h.receiveAppendReply("b", h.log.lastIndex())
	sent := 0
	for i := range 5 {
		for _, r := range sentRequests(h.Step(Propose{At: h.at, Items: []Proposal{{Token: Token(i + 1), Data: make([]byte, maxBatchBytes+1)}}}, nil)) {
			if a, ok := r.(*wire.AppendRequest); ok && a.To == "b" && len(a.Entries) > 0 {
				sent++
			}
		}
	}
	is.Equal(sent, 1)
}

// Guards against a member whose disk fills up with committed entries because its state machine is slow.
func TestBacklogOfTheStateMachineIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.cfg.BacklogBytes = 4000
	lastIndex, commit := uint64(2), uint64(2)
	receive := func(count int) *wire.AppendReply {
		request := &wire.AppendRequest{Term: 5, PrevIndex: lastIndex, PrevTerm: h.log.lastTerm(), Commit: commit}
		for i := range count {
			request.Entries = append(request.Entries, &wire.Entry{Index: lastIndex + uint64(i) + 1, Term: 5, Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: make([]byte, 1000)})
		}
		reply := firstReply(append(h.receiveAppend(request), h.completeSaves()...)).(*wire.AppendReply)
		is.True(reply.Ok)
		is.Equal(reply.Matched, h.log.lastIndex())
		lastIndex = h.log.lastIndex()
		return reply
	}
	is.Equal(receive(8).Matched, uint64(10)) // what is not committed does not count, as it may need more entries for that
	commit = 10
	is.Equal(receive(1).Matched, uint64(11))
	is.Equal(receive(1).Matched, uint64(11)) // too much is committed and not applied
	h.Step(Applied{h.at, 9}, nil)
	is.Equal(receive(1).Matched, uint64(12))
}

// Guards against a leader that sends a member the same entries without a pause while that member takes none, and against one that
// accepts proposals without end while its own state machine is behind.
func TestLeaderPausesWhileStateMachinesAreBehind(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.cfg.BacklogBytes = 4000
	h.winElection()
	h.completeSaves()
	first := h.log.lastIndex()
	h.receiveAppendReply("b", first)
	propose := func() []Effect {
		return h.Step(Propose{At: h.at, Items: []Proposal{{Token: 1, Data: make([]byte, 1000)}}}, nil)
	}
	request := func(effects []Effect) *wire.AppendRequest {
		for _, r := range sentRequests(effects) {
			if a, ok := r.(*wire.AppendRequest); ok && a.To == "b" {
				return a
			}
		}
		return nil
	}
	sent := request(propose())
	is.Equal(len(sent.Entries), 1)
	refuse := func(sent *wire.AppendRequest) []Effect {
		return h.Step(AppendReplied{At: h.at, To: "b", Request: sent, Reply: &wire.AppendReply{Term: h.term, Member: "b", Ok: true, Matched: first, Round: sent.Round}}, nil)
	}
	is.True(request(refuse(sent)) == nil)
	resent := 0
	for start := h.at; h.at < start+2*backlogPause; h.at += DefaultHeartbeat {
		sent = request(h.Step(Tick{h.at}, nil))
		if sent == nil {
			continue
		}
		if len(sent.Entries) > 0 {
			resent++
			is.True(h.at >= start+backlogPause)
		}
		refuse(sent)
	}
	is.Equal(resent, 1)
	h.at += backlogPause
	h.Step(Tick{h.at}, nil)
	h.receiveAppendReply("b", h.log.lastIndex())
	accepted := 0
	for range 20 {
		if _, ok := propose()[0].(ProposalAccepted); ok {
			accepted++
		}
		h.completeSaves()
		h.receiveAppendReply("b", h.log.lastIndex())
	}
	is.True(accepted <= 4)
	h.Step(Applied{h.at, ident.Index(h.log.lastIndex())}, nil)
	_, ok := propose()[0].(ProposalAccepted)
	is.True(ok)
}
