package follower

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

// knownAddresses returns the addresses of the last known members and of the seeds, without duplicates.
func (f *Follower) knownAddresses() []ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := slices.Concat(f.members, f.seeds)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// probeResult is a member's answer to a search.
type probeResult struct {
	search context.Context
	member ident.Address
	reply  protocol.FollowReply
	err    error
}

// findMember queries all known addresses concurrently and follows the first member that answers, has contact with a
// majority, has caught up and is not behind this VM; it returns false if there is none. A member that recently failed
// a follow request is followed only if no other can be. It requests no state, because the state of all members at once
// would saturate a small VM's link for longer than callers and the search itself wait. Answers to earlier searches that
// found no member count, too.
func (f *Follower) findMember(ctx context.Context) bool {
	if f.search == nil {
		f.search, f.endSearch = context.WithCancel(ctx)
	}
	for _, address := range f.knownAddresses() {
		f.startProbe(address)
	}
	ended := f.opts.Clock.After(probeTimeout)
	var failedBefore *probeResult // the first member that could be followed, but failed recently
	for waiting := true; waiting && f.openProbes+len(f.late) > 0; {
		select {
		case <-ctx.Done():
			return false
		case r := <-f.results:
			if f.endLateCall(r) {
				return true
			}
		case result := <-f.probes:
			if result.search != f.search {
				continue // another member was found meanwhile
			}
			f.openProbes--
			if result.err != nil {
				continue
			}
			f.setMembers(result.reply.Members)
			if checkReply(result.member, &result.reply) != nil || result.reply.Index < f.registry.Index {
				continue
			}
			if !f.failedRecently(result.member) {
				f.follow(result.member, result.reply)
				return true
			}
			if failedBefore == nil {
				failedBefore = &result
			}
		case <-ended:
			waiting = false
		}
	}
	if failedBefore == nil {
		return false
	}
	f.follow(failedBefore.member, failedBefore.reply)
	return true
}

// startProbe asks a member for its status, unless a late call is waiting for its answer: the probe would take the connection
// that brings this answer, and opening another one over a saturated link takes seconds.
func (f *Follower) startProbe(member ident.Address) {
	if slices.ContainsFunc(f.late, func(c *followCall) bool { return c.member == member }) {
		return
	}
	f.openProbes++
	result := probeResult{search: f.search, member: member}
	go func() {
		ctx, cancel := context.WithTimeout(result.search, lateProbeTimeout)
		defer cancel()
		result.err = f.client.Call(ctx, member, protocol.FollowPath, protocol.FollowRequest{StatusOnly: true}, &result.reply)
		select {
		case f.probes <- result:
		case <-result.search.Done():
		}
	}()
}

// failedRecently returns whether a follow request to the member failed within failedMemberPause.
func (f *Follower) failedRecently(member ident.Address) bool {
	failedAt, failed := f.lastFollowFailure[member]
	return failed && f.opts.Clock.Now().Sub(failedAt) < failedMemberPause
}

// follow makes a member that answered a search the followed one.
func (f *Follower) follow(member ident.Address, status protocol.FollowReply) {
	if f.search != nil {
		f.endSearch()
		f.search, f.openProbes = nil, 0
	}
	f.targetIndex = status.Index
	f.setLeader(status.Leader)
	f.setFollowedMember(member)
	f.opts.Log.WithFields(logrus.Fields{"event": "dependency_regained", "member": member, "index": f.registry.Index}).
		Info("following control member")
}
