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

// three returns the membership of voters a, b and c.
func three() *wire.Membership {
	set := &wire.Membership{}
	for _, id := range []string{"a", "b", "c"} {
		set.Members = append(set.Members, &wire.Member{Id: id, Name: id, Address: id, Voter: true})
	}
	return set
}

// logOf returns entries of the given terms; the first one is the membership.
func logOf(terms ...uint64) []*wire.Entry {
	var list []*wire.Entry
	for i, term := range terms {
		list = append(list, &wire.Entry{Index: uint64(i) + 1, Term: term, Kind: wire.EntryKind_ENTRY_KIND_DATA})
	}
	list[0].Kind, list[0].Members = wire.EntryKind_ENTRY_KIND_MEMBERS, three()
	return list
}

// harness steps one node whose writes are synced only when sync is called.
type harness struct {
	*Node
	at time.Duration
}

// newHarness returns member a in a term with a log of the given terms, past its start's promise.
func newHarness(term uint64, terms ...uint64) *harness {
	h := &harness{Node: New(Config{State: &wire.HardState{Id: "a", Term: term}, Entries: logOf(terms...)})}
	h.at = DefaultMinElection
	return h
}

func (h *harness) sync() []Effect { return h.Step(Saved{h.at, h.seq}, nil) }

// win makes the node leader of the next term, with the lease of its first round.
func (h *harness) win() {
	h.at += DefaultMaxElection
	h.Step(Tick{h.at}, nil)
	h.vote("b", true)
	h.sync()
	h.vote("b", false)
	h.sync()
	h.reply("b", h.log.last())
}

func (h *harness) vote(from string, pre bool) []Effect {
	term := h.term
	if pre {
		term++
	}
	return h.Step(VoteReplied{h.at, "b", &wire.VoteRequest{Term: term, Pre: pre}, &wire.VoteReply{Term: h.term, Granted: true, Voter: from}}, nil)
}

// reply answers the leader's latest round as a member that matches up to an index.
func (h *harness) reply(from string, matched uint64) []Effect {
	request := &wire.AppendRequest{Term: h.term, Round: h.lead.round, PrevIndex: matched}
	return h.Step(AppendReplied{h.at, ident.Member(from), request,
		&wire.AppendReply{Term: h.term, Member: from, Ok: true, Matched: matched, Round: h.lead.round}}, nil)
}

func (h *harness) append(r *wire.AppendRequest) []Effect {
	r.Leader, r.To = "b", "a"
	return h.Step(AppendRequested{h.at, 1, r}, nil)
}

// answer returns the first SendReply's message among effects, or nil.
func answer(effects []Effect) proto.Message {
	for _, e := range effects {
		if a, ok := e.(SendReply); ok {
			return a.Message
		}
	}
	return nil
}

// asks returns the messages of all Asks.
func asks(effects []Effect) []proto.Message {
	var out []proto.Message
	for _, e := range effects {
		if a, ok := e.(SendRequest); ok {
			out = append(out, a.Message)
		}
	}
	return out
}

// Guards against votes that break a leader's lease, elect a leader that lacks committed entries, elect
// two in a term, speak for a lost disk, or are given before they are durable.
func TestVotes(t *testing.T) {
	beat := &wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4}
	ask := func(change func(*wire.VoteRequest)) *wire.VoteRequest {
		r := &wire.VoteRequest{Term: 6, Candidate: "c", LastIndex: 2, LastTerm: 4, To: "a"}
		change(r)
		return r
	}
	for name, c := range map[string]struct {
		request *wire.VoteRequest
		prepare func(*harness)
		granted bool
		term    uint64 // afterwards
	}{
		"plain":     {ask(func(*wire.VoteRequest) {}), nil, true, 6},
		"same term": {ask(func(r *wire.VoteRequest) { r.Term = 5 }), nil, true, 5},
		"old term":  {ask(func(r *wire.VoteRequest) { r.Term = 4 }), nil, false, 5},
		"heard a leader": {ask(func(*wire.VoteRequest) {}), func(h *harness) {
			h.append(beat)
			h.at += DefaultMinElection - 1
		}, false, 5},
		"heard a leader, pre-vote": {ask(func(r *wire.VoteRequest) { r.Pre = true }), func(h *harness) {
			h.append(beat)
			h.at += DefaultMinElection - 1
		}, false, 5},
		"heard a leader long ago": {ask(func(*wire.VoteRequest) {}), func(h *harness) {
			h.append(beat)
			h.at += DefaultMinElection
		}, true, 6},
		"heard a leader that hands over": {ask(func(r *wire.VoteRequest) { r.Handover = true }), func(h *harness) { h.append(beat) }, true, 6},
		"just started":                   {ask(func(*wire.VoteRequest) {}), func(h *harness) { h.at = DefaultMinElection - 1 }, false, 5},
		"leads under a lease":            {ask(func(r *wire.VoteRequest) { r.Term, r.LastTerm = 7, 7 }), (*harness).win, false, 6},
		"leads without a lease": {ask(func(r *wire.VoteRequest) { r.Term, r.LastTerm = 7, 7 }), func(h *harness) {
			h.win()
			h.at += DefaultMinElection
		}, true, 7},
		"shorter log":    {ask(func(r *wire.VoteRequest) { r.LastIndex = 1 }), nil, false, 6},
		"older log":      {ask(func(r *wire.VoteRequest) { r.LastIndex, r.LastTerm = 9, 3 }), nil, false, 6},
		"older, pre":     {ask(func(r *wire.VoteRequest) { r.LastTerm, r.Pre = 3, true }), nil, false, 5},
		"pre-vote":       {ask(func(r *wire.VoteRequest) { r.Pre = true }), nil, true, 5},
		"other identity": {ask(func(r *wire.VoteRequest) { r.To = "old" }), nil, false, 5},
		"voted already": {ask(func(*wire.VoteRequest) {}), func(h *harness) {
			h.Step(VoteRequested{h.at, 9, ask(func(r *wire.VoteRequest) { r.Candidate = "b" })}, nil)
			h.sync()
		}, false, 6},
		"voted for it": {ask(func(*wire.VoteRequest) {}), func(h *harness) {
			h.Step(VoteRequested{h.at, 9, ask(func(*wire.VoteRequest) {})}, nil)
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
				is.Equal(answer(effects), nil) // not before the vote is synced
				effects = h.sync()
			} else if answer(effects) == nil {
				effects = h.sync()
			}
			reply := answer(effects).(*wire.VoteReply)
			is.Equal(reply.Granted, c.granted)
			is.Equal(reply.Voter, "a")
			is.Equal(h.term, c.term)
		})
	}
}

// Guards against a new identity that acknowledges entries or a lease for the one that lost its disk.
func TestAppendToOldIdentity(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	effects := h.Step(AppendRequested{h.at, 1, &wire.AppendRequest{Term: 6, Leader: "b", To: "old", PrevIndex: 2, PrevTerm: 4}}, nil)
	reply := answer(effects).(*wire.AppendReply)
	is.True(!reply.Ok)
	is.Equal(reply.Member, "a")
	is.Equal(h.term, uint64(5))
	is.True(!h.bound())
}

// Guards against a candidate that counts its own vote, or asks for others, before it is durable.
func TestCandidateSyncsFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(1, 1)
	h.append(&wire.AppendRequest{Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 1}}}) // unsynced
	h.at += DefaultMaxElection + 1
	is.Equal(len(asks(h.Step(Tick{h.at}, nil))), 2) // pre-votes change nothing durable
	is.Equal(len(asks(h.vote("b", true))), 0)
	is.Equal(h.role, Candidate)
	is.True(!h.asked)
	is.Equal(len(asks(h.Step(Saved{h.at, h.seq - 1}, nil))), 0)
	is.Equal(len(asks(h.sync())), 2)
	h.vote("stranger", false)
	is.Equal(h.role, Candidate)
	h.vote("b", false)
	is.Equal(h.role, Leader)
}

// Guards against the loss of an entry of an earlier term that a majority holds: without an entry of the
// leader's own term, a member that lacks both could still be elected and overwrite it.
func TestCommitOwnTerm(t *testing.T) {
	is := is.New(t)
	h := newHarness(2, 1, 2)
	h.win()
	h.commit, h.lead.peers["b"].match = 0, 2 // as if b had answered for entry 2 only
	h.reply("c", 2)
	is.Equal(h.commit, uint64(0))
	h.reply("c", 3)
	is.Equal(h.commit, uint64(3))
}

// Guards against acknowledging an entry that a crash can still lose, on the follower and on the leader.
func TestSyncBeforeAcknowledgement(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	entry := &wire.Entry{Index: 3, Term: 5}
	is.Equal(answer(h.append(&wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{entry}})), nil)
	is.Equal(answer(h.append(&wire.AppendRequest{Term: 5, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{entry}})), nil) // resent
	is.Equal(answer(h.append(&wire.AppendRequest{Term: 5, PrevIndex: 3, PrevTerm: 5})), nil)                                // heartbeat
	is.Equal(answer(h.sync()).(*wire.AppendReply).Matched, uint64(3))
	// An entry in place of a synced one is not synced.
	h.append(&wire.AppendRequest{Term: 6, PrevIndex: 2, PrevTerm: 4, Entries: []*wire.Entry{{Index: 3, Term: 6}}})
	is.Equal(h.synced, uint64(2))
	is.Equal(answer(h.append(&wire.AppendRequest{Term: 6, PrevIndex: 3, PrevTerm: 6})), nil)

	l := newHarness(5, 1, 4)
	l.win()
	first := l.commit
	l.Step(Propose{At: l.at, Items: []Proposal{{Token: 1}}}, nil)
	l.reply("b", l.log.last())
	is.Equal(l.commit, first) // one of three: the own write is not synced
	l.sync()
	is.Equal(l.commit, first+1)
}

// Guards against a lease that counts from a late answer: the follower's promise began earlier.
func TestLeaseFromSendTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.win()
	h.at += DefaultMinElection
	h.Step(Tick{h.at}, nil)
	sent := h.at
	is.True(!h.HasLease(sent))
	h.at += DefaultMinElection / 2
	h.reply("b", h.log.last())
	is.True(h.HasLease(sent + DefaultMinElection*9/10 - 1))
	is.True(!h.HasLease(sent + DefaultMinElection*9/10))
}

// Guards against two lease holders: the old leader and the winner of the election that it asked for.
func TestHandoverEndsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.win()
	h.Step(Propose{At: h.at, Items: []Proposal{{Token: 1}}}, nil)
	is.Equal(len(asks(h.Step(StartHandover{h.at}, nil))), 0) // the entry is not committed yet
	refused := h.Step(Propose{At: h.at, Items: []Proposal{{Token: 2}}}, nil)[0].(RequestRejected)
	is.Equal(refused.Code, fault.Leader)
	h.sync()
	h.reply("b", h.log.last())
	effects := h.Step(Tick{h.at}, nil)
	sent := asks(effects)
	is.Equal(len(sent), 1)
	is.Equal(sent[0].(*wire.HandoverRequest).To, "b")
	is.True(!h.HasLease(h.at))
}

// Guards against membership changes that overlap, that start before the leader knows the committed
// membership, or that make a voter of a learner without the log.
func TestMembershipChanges(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.win()
	join := func(id string) bool {
		e := JoinRequested{At: h.at, Token: 1, Request: &wire.JoinRequest{Member: &wire.Member{Id: id, Name: id, Address: id}}}
		return answer(h.Step(e, nil)).(*wire.JoinReply).Accepted
	}
	commit := h.commit
	h.commit = h.lead.first - 1
	is.True(!join("d"))
	h.commit = commit
	is.True(join("d"))
	is.True(!join("e"))
	refused := h.Step(Remove{At: h.at, Token: 2, Name: "c"}, nil)[0].(RequestRejected)
	is.Equal(refused.Code, fault.Busy)
	h.sync()
	h.reply("b", h.log.last())
	is.Equal(h.commit, h.log.setIndex)
	h.reply("d", h.commit-1)
	is.True(!findID(h.members(), "d").Voter)
	h.reply("d", h.commit)
	is.True(findID(h.members(), "d").Voter)
	is.True(!join("e")) // the promotion is not committed
}

// Guards against the replacement of a member that still answers, as after a copied configuration, and
// against an old identity that stays a voter beside the new one.
func TestReplacement(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.win()
	join := JoinRequested{At: h.at, Token: 1, Request: &wire.JoinRequest{Member: &wire.Member{Id: "b2", Name: "b", Address: "b"}}}
	is.True(!answer(h.Step(join, nil)).(*wire.JoinReply).Accepted)
	for range 8 {
		h.at += DefaultHeartbeat
		h.Step(Tick{h.at}, nil)
		h.reply("c", h.log.last())
	}
	is.True(answer(h.Step(join, nil)).(*wire.JoinReply).Accepted)
	commit := func() {
		h.sync()
		h.reply("c", h.log.last())
		h.reply("b2", h.log.last())
	}
	commit()
	is.True(findID(h.members(), "b") == nil) // removed before the promotion
	is.True(!findID(h.members(), "b2").Voter)
	commit()
	is.True(findID(h.members(), "b2").Voter)
	is.Equal(len(h.members()), 3)
}

// Guards against any acknowledgement after a failed write.
func TestDiskFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4)
	h.win()
	h.Step(Propose{At: h.at, Items: []Proposal{{Token: 1}}}, nil)
	effects := h.Step(DiskFailed{h.at}, nil)
	is.Equal(effects[0], LeadershipLost{})
	is.True(!h.HasLease(h.at))
	is.Equal(len(h.sync()), 0)
	is.Equal(h.Step(Propose{At: h.at, Items: []Proposal{{Token: 2}}}, nil)[0].(RequestRejected).Code, fault.Internal)
	is.True(proto.Equal(answer(h.append(&wire.AppendRequest{Term: 9})), &wire.AppendReply{}))
	vote := VoteRequested{h.at + time.Hour, 1, &wire.VoteRequest{Term: 9, LastTerm: 9, To: "a"}}
	is.True(proto.Equal(answer(h.Step(vote, nil)), &wire.VoteReply{}))
	is.Equal(len(h.Step(Tick{h.at + 2*time.Hour}, nil)), 0)
}

// Guards against a snapshot that drops synced entries after its index, which a leader may count.
func TestInstallKeepsLaterEntries(t *testing.T) {
	is := is.New(t)
	h := newHarness(5, 1, 4, 5, 5)
	install := func(index, term uint64) *wire.InstallReply {
		effects := h.Step(InstallRequested{h.at, 1, &wire.InstallRequest{Term: 6, Leader: "b", To: "a",
			Snapshot: &wire.Snapshot{Index: index, Term: term, Members: three()}}}, nil)
		effects = append(effects, h.sync()...)
		return answer(effects).(*wire.InstallReply)
	}
	is.Equal(install(3, 5).Matched, uint64(3))
	is.Equal(h.log.last(), uint64(4))
	is.Equal(h.commit, uint64(3))
	is.Equal(install(4, 6).Matched, uint64(4)) // another entry 4 is committed
	is.Equal(h.log.base, uint64(4))
	is.Equal(h.log.last(), uint64(4))
}
