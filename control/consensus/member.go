package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

func findID(list []*wire.Member, id string) *wire.Member {
	for _, m := range list {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// findVoter returns the voter of a name, or nil.
func findVoter(list []*wire.Member, name string) *wire.Member {
	for _, m := range list {
		if m.Name == name && m.Voter {
			return m
		}
	}
	return nil
}

// without returns the list less the members for which drop holds.
func without(list []*wire.Member, drop func(*wire.Member) bool) []*wire.Member {
	var out []*wire.Member
	for _, m := range list {
		if !drop(m) {
			out = append(out, m)
		}
	}
	return out
}

// quorum returns whether the voters for which has holds are a majority.
func (n *Node) quorum(has func(id string) bool) bool {
	voters, count := 0, 0
	for _, m := range n.members() {
		if !m.Voter {
			continue
		}
		voters++
		if has(m.Id) {
			count++
		}
	}
	return count > voters/2
}

// mayChange returns whether a membership change may start: the previous one is committed, and so is
// an entry of this term, without which two leaders could change different memberships.
func (n *Node) mayChange() bool {
	return n.role == Leader && n.lead.target == "" && n.log.setIndex <= n.commit && n.lead.first <= n.commit
}

// change appends a membership and returns its entry.
func (n *Node) change(list []*wire.Member, wall time.Time) *wire.Entry {
	e := n.entry(wire.EntryKind_ENTRY_KIND_MEMBERS, wall)
	e.Members = &wire.Membership{Members: list}
	n.extend([]*wire.Entry{e})
	return e
}

func (n *Node) remove(e Remove) {
	if code, why := n.refusal(); code != "" {
		n.emit(RequestRejected{Token: e.Token, Code: code, Reason: why})
		return
	}
	drop := func(m *wire.Member) bool { return m.Name == e.Name }
	rest := without(n.members(), drop)
	gone := 0
	for _, m := range n.members() {
		if m.Voter && drop(m) {
			gone++
		}
	}
	switch {
	case len(rest) == len(n.members()):
		n.emit(RequestRejected{Token: e.Token, Code: fault.NotFound, Reason: "no member of this name"})
	case n.self() != nil && n.self().Name == e.Name:
		n.emit(RequestRejected{Token: e.Token, Code: fault.Conflict, Reason: "the leader cannot remove itself; hand over first"})
	case gone > 1 || !n.mayChange():
		n.emit(RequestRejected{Token: e.Token, Code: fault.Busy, Reason: "another membership change is in progress"})
	default:
		entry := n.change(rest, e.WallTime)
		n.emit(ProposalAccepted{Token: e.Token, Index: ident.Index(entry.Index), Term: ident.Term(entry.Term)})
	}
}

// answerJoin adds a new identity as a learner. A learner with its name gives way to it; a voter with
// its name stays until the learner has caught up.
func (n *Node) answerJoin(e JoinRequested) {
	reply := &wire.JoinReply{Leader: string(n.leaderAddress())}
	if code, _ := n.refusal(); code == "" {
		reply.Accepted = n.join(e.Request.GetMember(), e.WallTime)
	}
	n.emit(SendReply{Token: e.Token, Message: reply})
}

func (n *Node) join(m *wire.Member, wall time.Time) bool {
	if m.GetId() == "" || m.Name == "" || m.Address == "" {
		return false
	}
	list := n.members()
	if known := findID(list, m.Id); known != nil {
		if known.Address == m.Address {
			return true
		}
		return n.mayChange() && n.move(m, wall)
	}
	if old := findVoter(list, m.Name); old != nil && n.alive(old.Id) {
		return false // the old identity still answers, so this is a second process of that name
	}
	if !n.mayChange() {
		return false
	}
	list = without(list, func(o *wire.Member) bool { return o.Name == m.Name && !o.Voter })
	n.change(append(list, &wire.Member{Id: m.Id, Name: m.Name, Address: m.Address}), wall)
	return true
}

// move records a member's new address.
func (n *Node) move(m *wire.Member, wall time.Time) bool {
	list := make([]*wire.Member, 0, len(n.members()))
	for _, o := range n.members() {
		if o.Id == m.Id {
			o = proto.Clone(o).(*wire.Member)
			o.Address = m.Address
		}
		list = append(list, o)
	}
	n.change(list, wall)
	return true
}

// promote continues the replacement of a caught-up learner: the old identity of its name is removed
// first, and the learner becomes a voter once that is committed.
func (n *Node) promote(p *peer) {
	m := findID(n.members(), p.id)
	if m == nil || m.Voter || !n.mayChange() || p.match < n.commit {
		return
	}
	if old := findVoter(n.members(), m.Name); old != nil {
		if old.Id == n.id || n.alive(old.Id) {
			return
		}
		n.change(without(n.members(), func(o *wire.Member) bool { return o.Id == old.Id }), time.Time{})
		return
	}
	if gone := n.silentVoter(replaceSilence); gone != nil {
		n.change(without(n.members(), func(o *wire.Member) bool { return o.Id == gone.Id }), time.Time{})
		return
	}
	list := without(n.members(), func(o *wire.Member) bool { return o.Id == m.Id })
	m = proto.Clone(m).(*wire.Member)
	m.Voter = true
	n.change(append(list, m), time.Time{})
}

// alive returns whether a member is the leader or has answered it lately.
func (n *Node) alive(id string) bool {
	p := n.lead.peers[id]
	return id == n.id || p != nil && p.answered && n.now-p.heard < n.cfg.MinElection
}

// Silence after which a voter may be replaced or removed. A killed process is back within a second; a
// voter of an odd-sized group stays until a newcomer takes its place, since its removal would lower the
// number of losses that the group bears.
const (
	replaceSilence = 2 * time.Second
	shrinkSilence  = 2500 * time.Millisecond
)

// silentVoter returns a voter that has not answered this leader for a time and can be spared, or nil.
func (n *Node) silentVoter(silence time.Duration) *wire.Member {
	if !n.cfg.ReplaceSilentVoters || n.now-n.lead.since < silence {
		return nil
	}
	var silent *wire.Member
	answering, voters := 0, 0
	for _, m := range n.members() {
		if !m.Voter {
			continue
		}
		voters++
		p := n.lead.peers[m.Id]
		switch {
		case m.Id == n.id || p != nil && p.answered && n.now-p.heard < silence:
			answering++
		default:
			silent = m
		}
	}
	if silent == nil || answering <= (voters-1)/2 {
		return nil
	}
	return silent
}

// shrink removes a silent voter from an even number of them, which bears as many losses without it.
func (n *Node) shrink() {
	voters := 0
	for _, m := range n.members() {
		if m.Voter {
			voters++
		}
	}
	if voters%2 != 0 || voters < 4 || !n.mayChange() {
		return
	}
	if gone := n.silentVoter(shrinkSilence); gone != nil {
		n.change(without(n.members(), func(o *wire.Member) bool { return o.Id == gone.Id }), time.Time{})
	}
}
