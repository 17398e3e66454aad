package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// findMember returns the member with an id, or nil.
func findMember(members []*wire.Member, id string) *wire.Member {
	for _, m := range members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// findVoter returns the voter with a name, or nil.
func findVoter(members []*wire.Member, name string) *wire.Member {
	for _, m := range members {
		if m.Name == name && m.Voter {
			return m
		}
	}
	return nil
}

// removeMembers returns a new list without the members for which drop returns true.
func removeMembers(members []*wire.Member, drop func(*wire.Member) bool) []*wire.Member {
	var out []*wire.Member
	for _, m := range members {
		if !drop(m) {
			out = append(out, m)
		}
	}
	return out
}

// hasMajority returns whether agrees returns true for a majority of the voters.
func (n *Node) hasMajority(agrees func(id string) bool) bool {
	voters, count := 0, 0
	for _, m := range n.members() {
		if !m.Voter {
			continue
		}
		voters++
		if agrees(m.Id) {
			count++
		}
	}
	return count > voters/2
}

// canChangeMembership returns whether a membership change may start. The previous change must be
// committed, and so must an entry of this term: otherwise, two leaders could change different memberships.
func (n *Node) canChangeMembership() bool {
	return n.role == Leader && n.leaderState.handoverTarget == "" && n.log.membershipIndex <= n.commitIndex && n.leaderState.termStart <= n.commitIndex
}

// changeMembership appends an entry with a new membership and returns the entry.
func (n *Node) changeMembership(members []*wire.Member, wallTime time.Time) *wire.Entry {
	e := n.newEntry(wire.EntryKind_ENTRY_KIND_MEMBERS, wallTime)
	e.Members = &wire.Membership{Members: members}
	n.appendAndReplicate([]*wire.Entry{e})
	return e
}

func (n *Node) handleRemove(e Remove) {
	if code, reason := n.proposalRefusal(); code != "" {
		n.emit(RequestRejected{Token: e.Token, Code: code, Reason: reason})
		return
	}
	hasName := func(m *wire.Member) bool { return m.Name == e.Name }
	remaining := removeMembers(n.members(), hasName)
	removedVoters := 0
	for _, m := range n.members() {
		if m.Voter && hasName(m) {
			removedVoters++
		}
	}
	switch {
	case len(remaining) == len(n.members()):
		n.emit(RequestRejected{Token: e.Token, Code: fault.NotFound, Reason: "the group has no member of this name"})
	case n.self() != nil && n.self().Name == e.Name:
		n.emit(RequestRejected{Token: e.Token, Code: fault.Conflict, Reason: "the leader cannot remove itself; hand over first"})
	case removedVoters > 1 || !n.canChangeMembership():
		n.emit(RequestRejected{Token: e.Token, Code: fault.Busy, Reason: "another membership change is in progress"})
	default:
		entry := n.changeMembership(remaining, e.WallTime)
		n.emit(ProposalAccepted{Token: e.Token, Index: ident.Index(entry.Index), Term: ident.Term(entry.Term)})
	}
}

// handleJoinRequest adds a new identity as a learner. It replaces a learner of the same name at once; a
// voter of the same name stays until the new learner has caught up.
func (n *Node) handleJoinRequest(e JoinRequested) {
	reply := &wire.JoinReply{Leader: string(n.leaderAddress())}
	if code, _ := n.proposalRefusal(); code == "" {
		reply.Accepted = n.acceptJoin(e.Request.GetMember(), e.WallTime)
	}
	n.emit(SendReply{Token: e.Token, Message: reply})
}

// acceptJoin returns whether the member is in the group at its present address, or an entry for that was
// appended.
func (n *Node) acceptJoin(m *wire.Member, wallTime time.Time) bool {
	if m.GetId() == "" || m.Name == "" || m.Address == "" {
		return false
	}
	members := n.members()
	if known := findMember(members, m.Id); known != nil {
		if known.Address == m.Address {
			return true
		}
		return n.canChangeMembership() && n.updateAddress(m, wallTime)
	}
	if old := findVoter(members, m.Name); old != nil && n.recentlySeen(old.Id) {
		return false // the old identity still replies, so the request comes from a second process with its name
	}
	if !n.canChangeMembership() {
		return false
	}
	members = removeMembers(members, func(o *wire.Member) bool { return o.Name == m.Name && !o.Voter })
	n.changeMembership(append(members, &wire.Member{Id: m.Id, Name: m.Name, Address: m.Address}), wallTime)
	return true
}

// updateAddress appends a membership with a member's new address.
func (n *Node) updateAddress(m *wire.Member, wallTime time.Time) bool {
	list := make([]*wire.Member, 0, len(n.members()))
	for _, o := range n.members() {
		if o.Id == m.Id {
			o = proto.Clone(o).(*wire.Member)
			o.Address = m.Address
		}
		list = append(list, o)
	}
	n.changeMembership(list, wallTime)
	return true
}

// promoteLearner makes a learner a voter once it has caught up. The old identity of its name, or a silent
// voter that it replaces, is removed first, and that change must be committed before the promotion.
func (n *Node) promoteLearner(p *peer) {
	m := findMember(n.members(), p.id)
	if m == nil || m.Voter || !n.canChangeMembership() || p.matchIndex < n.commitIndex {
		return
	}
	if old := findVoter(n.members(), m.Name); old != nil {
		if old.Id == n.id || n.recentlySeen(old.Id) {
			return
		}
		n.changeMembership(removeMembers(n.members(), func(o *wire.Member) bool { return o.Id == old.Id }), time.Time{})
		return
	}
	if silent := n.findSilentVoter(replaceSilentAfter); silent != nil {
		n.changeMembership(removeMembers(n.members(), func(o *wire.Member) bool { return o.Id == silent.Id }), time.Time{})
		return
	}
	list := removeMembers(n.members(), func(o *wire.Member) bool { return o.Id == m.Id })
	m = proto.Clone(m).(*wire.Member)
	m.Voter = true
	n.changeMembership(append(list, m), time.Time{})
}

// recentlySeen returns whether a member is this leader or has replied to it within MinElection.
func (n *Node) recentlySeen(id string) bool {
	p := n.leaderState.peers[id]
	return id == n.id || p != nil && p.hasReplied && n.now-p.lastSeen < n.cfg.MinElection
}

// Silence timeouts after which a voter may be replaced or removed. They exceed the restart time of a
// killed process, which is less than a second. In a group with an odd number of voters, a silent voter
// stays until a new member replaces it, because its removal would lower the number of failures that the
// group tolerates.
const (
	replaceSilentAfter = 2 * time.Second
	removeSilentAfter  = 2500 * time.Millisecond
)

// findSilentVoter returns a voter that has not replied to this leader for the duration of silence, or
// nil if there is none or the other voters are too few to remove it.
func (n *Node) findSilentVoter(silence time.Duration) *wire.Member {
	if !n.cfg.ReplaceSilentVoters || n.now-n.leaderState.electedAt < silence {
		return nil
	}
	var silent *wire.Member
	responsive, voters := 0, 0
	for _, m := range n.members() {
		if !m.Voter {
			continue
		}
		voters++
		p := n.leaderState.peers[m.Id]
		switch {
		case m.Id == n.id || p != nil && p.hasReplied && n.now-p.lastSeen < silence:
			responsive++
		default:
			silent = m
		}
	}
	if silent == nil || responsive <= (voters-1)/2 {
		return nil
	}
	return silent
}

// removeSurplusVoter removes a silent voter from a group with an even number of voters, which tolerates
// as many failures without it.
func (n *Node) removeSurplusVoter() {
	voters := 0
	for _, m := range n.members() {
		if m.Voter {
			voters++
		}
	}
	if voters%2 != 0 || voters < 4 || !n.canChangeMembership() {
		return
	}
	if silent := n.findSilentVoter(removeSilentAfter); silent != nil {
		n.changeMembership(removeMembers(n.members(), func(o *wire.Member) bool { return o.Id == silent.Id }), time.Time{})
	}
}
