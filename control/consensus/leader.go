package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// request is the message of a SendRequest.
type request = proto.Message

// maxInFlightAppends is how many appends with entries may await replies from one peer.
const maxInFlightAppends = 4

// backlogPause is how long a peer that did not take all entries of an append gets no others.
const backlogPause = 500 * time.Millisecond

// leaderState is the state of a leader.
type leaderState struct {
	peers                 map[string]*peer
	termStart             uint64 // index of the first entry of the term
	electedAt             time.Duration
	baseLogTime           int64       // log time at electedAt, in milliseconds
	round                 uint64      // latest heartbeat round
	unconfirmedHeartbeats []heartbeat // not yet acknowledged by a majority, oldest first
	nextHeartbeat         time.Duration
	leaseExpiry           time.Duration
	handoverTarget        string // id of the member that is to become leader; empty without a handover
	handoverDeadline      time.Duration
}

// heartbeat is a heartbeat round and the time at which it was sent.
type heartbeat struct {
	round  uint64
	sentAt time.Duration
}

// peer is the leader's view of another member.
type peer struct {
	id         string
	matchIndex uint64        // last index that is known to be synced by the peer
	nextIndex  uint64        // next index to send
	probing    bool          // nextIndex is a guess, so only one append is sent at a time
	inFlight   int           // appends with entries that await replies
	largeSent  bool          // one of them exceeds maxBatchBytes
	fullUntil  time.Duration // until then the peer gets no entries, as its state machine is too far behind
	ackedRound uint64        // last heartbeat round that the peer acknowledged
	lastSeen   time.Duration // time of the last reply
	hasReplied bool          // the peer has replied to this leader in its term
	transfer   *snapshotTransfer
}

// snapshotTransfer is a snapshot that is being sent to a peer in chunks.
type snapshotTransfer struct {
	snapshot      *wire.Snapshot
	offset        int
	chunkInFlight bool
}

// becomeLeader starts the node's leadership of its term with an empty entry.
func (n *Node) becomeLeader() {
	n.role, n.leaderID = Leader, n.id
	n.leaderState = leaderState{peers: map[string]*peer{}, termStart: n.log.lastIndex() + 1, electedAt: n.now,
		baseLogTime: n.log.lastLogTime(), nextHeartbeat: n.now + n.cfg.Heartbeat, round: 1}
	n.leaderState.unconfirmedHeartbeats = []heartbeat{{1, n.now}}
	n.appendAndReplicate([]*wire.Entry{n.newEntry(wire.EntryKind_ENTRY_KIND_EMPTY, time.Time{})})
}

func (n *Node) tickLeader() {
	if n.now >= n.leaderState.nextHeartbeat {
		n.leaderState.nextHeartbeat = n.now + n.cfg.Heartbeat
		n.leaderState.round++
		n.leaderState.unconfirmedHeartbeats = append(n.leaderState.unconfirmedHeartbeats, heartbeat{n.leaderState.round, n.now})
		n.renewLease() // a single voter has no replies to wait for
		n.replicateAll(true)
		n.removeSurplusVoter()
	}
	if n.leaderState.handoverTarget != "" {
		n.continueHandover()
	}
	if n.role == Leader && n.now-max(n.leaderState.electedAt, n.leaderState.leaseExpiry) > n.cfg.MaxElection {
		n.becomeFollower(n.term, "")
	}
}

// renewLease extends the lease to 90% of MinElection after the send time of the last heartbeat that a
// majority acknowledged. The margin of 10% allows for clock rates that are off by up to 5% in opposite
// directions on the leader and on a voter.
func (n *Node) renewLease() {
	for len(n.leaderState.unconfirmedHeartbeats) > 0 {
		oldest := n.leaderState.unconfirmedHeartbeats[0]
		if !n.hasMajority(func(id string) bool {
			return id == n.id || n.leaderState.peers[id] != nil && n.leaderState.peers[id].ackedRound >= oldest.round
		}) {
			return
		}
		n.leaderState.leaseExpiry = oldest.sentAt + n.cfg.MinElection - n.cfg.MinElection/10
		n.leaderState.unconfirmedHeartbeats = n.leaderState.unconfirmedHeartbeats[1:]
	}
}

// HasLease returns whether this member holds the leader lease at its monotonic time at.
func (n *Node) HasLease(at time.Duration) bool {
	return n.role == Leader && !n.failed && at < n.leaderState.leaseExpiry
}

func (n *Node) newEntry(kind wire.EntryKind, wallTime time.Time) *wire.Entry {
	e := &wire.Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind,
		LogMs: n.leaderState.baseLogTime + (n.now - n.leaderState.electedAt).Milliseconds()}
	if !wallTime.IsZero() {
		e.TimeMs = wallTime.UnixMilli()
	}
	return e
}

// appendAndReplicate appends entries to the leader's log, saves them and sends them to the peers.
func (n *Node) appendAndReplicate(entries []*wire.Entry) {
	n.log.append(entries...)
	n.updatePeers()
	n.replicateAll(false)
	n.save(Save{Entries: entries})
	n.renewLease()
}

// updatePeers aligns the peers with the latest membership. It runs right after a single entry was
// appended, and a new peer is sent that entry at once, because the replies to it start the lease.
func (n *Node) updatePeers() {
	for id := range n.leaderState.peers {
		if findMember(n.members(), id) == nil {
			delete(n.leaderState.peers, id)
		}
	}
	for _, m := range n.members() {
		if m.Id != n.id && n.leaderState.peers[m.Id] == nil {
			n.leaderState.peers[m.Id] = &peer{id: m.Id, nextIndex: n.log.lastIndex(), probing: true}
		}
	}
}

// proposalRefusal returns the code and reason for refusing proposals, or an empty code if the member
// accepts them.
func (n *Node) proposalRefusal() (fault.Code, string) {
	switch {
	case n.failed:
		return fault.Internal, "this member stopped after a failure of its disk or state"
	case n.role != Leader:
		return fault.NotLeader, "this member does not lead"
	case n.leaderState.handoverTarget != "":
		return fault.NotLeader, "this member is handing over leadership"
	case !n.HasLease(n.now) && n.leaderState.leaseExpiry > 0:
		return fault.Isolated, "no contact with a majority"
	case !n.HasLease(n.now):
		return fault.NotLeader, "this member was just elected and does not hold the leader lease yet"
	}
	return "", ""
}

// overload returns why the leader takes no proposals for now, or an empty text if it does.
func (n *Node) overload() string {
	limit := n.cfg.PendingBytes
	switch {
	case limit > 0 && n.log.bytesBetween(min(n.commitIndex, n.syncedIndex), n.log.lastIndex()) > limit:
		return "earlier changes are not committed or not on disk yet"
	case n.isBacklogged():
		return "earlier changes are not applied yet"
	}
	return ""
}

func (n *Node) handlePropose(e Propose) {
	code, reason := n.proposalRefusal()
	if code == "" {
		code, reason = fault.Busy, n.overload()
	}
	if reason != "" {
		for _, p := range e.Items {
			n.emit(RequestRejected{Token: p.Token, Code: code, Reason: reason})
		}
		return
	}
	entries := make([]*wire.Entry, 0, len(e.Items))
	for i, p := range e.Items {
		entry := n.newEntry(wire.EntryKind_ENTRY_KIND_DATA, e.WallTime)
		entry.Index += uint64(i)
		entry.Data = p.Data
		entries = append(entries, entry)
		n.emit(ProposalAccepted{Token: p.Token, Index: ident.Index(entry.Index), Term: ident.Term(n.term)})
	}
	n.appendAndReplicate(entries)
}

func (n *Node) replicateAll(isHeartbeat bool) {
	for _, m := range n.members() {
		if p := n.leaderState.peers[m.Id]; p != nil {
			n.replicate(m, p, isHeartbeat)
		}
	}
}

// replicate sends a peer the entries or the snapshot that it lacks, up to the limit of appends in flight.
// If isHeartbeat is set, it sends an append in any case.
func (n *Node) replicate(m *wire.Member, p *peer, isHeartbeat bool) {
	sent := false
	if p.nextIndex <= n.log.baseIndex && n.snapshot != nil {
		n.sendSnapshotChunk(m, p)
	} else {
		for n.now >= p.fullUntil && p.inFlight < maxInFlightAppends && p.nextIndex <= n.log.lastIndex() && (!p.probing || p.inFlight == 0) {
			entries := n.log.entriesAfter(p.nextIndex-1, n.log.lastIndex(), maxBatchEntries, maxBatchBytes)
			isLarge := n.log.bytesBetween(p.nextIndex-1, p.nextIndex) > maxBatchBytes
			if p.inFlight > 0 && (isLarge || p.largeSent) {
				break // a large append is sent alone, as each one is encoded in memory
			}
			p.largeSent = isLarge
			n.sendAppend(m, p.nextIndex-1, entries)
			p.nextIndex += uint64(len(entries))
			p.inFlight++
			sent = true
		}
	}
	if isHeartbeat && !sent {
		prev := max(p.matchIndex, n.log.baseIndex)
		if p.probing {
			prev = max(p.nextIndex-1, n.log.baseIndex)
		}
		n.sendAppend(m, min(prev, n.log.lastIndex()), nil)
	}
}

func (n *Node) sendAppend(m *wire.Member, prev uint64, entries []*wire.Entry) {
	term, _ := n.log.termAt(prev)
	n.sendRequest(m, &wire.AppendRequest{Term: n.term, Leader: n.id, PrevIndex: prev, PrevTerm: term,
		Entries: entries, Commit: n.commitIndex, Round: n.leaderState.round, To: m.Id})
}

func (n *Node) sendSnapshotChunk(m *wire.Member, p *peer) {
	if p.transfer == nil || p.transfer.snapshot.Index <= n.log.baseIndex && p.transfer.snapshot != n.snapshot {
		p.transfer = &snapshotTransfer{snapshot: n.snapshot}
	}
	t := p.transfer
	if t.chunkInFlight {
		return
	}
	t.chunkInFlight = true
	s := t.snapshot
	chunk := &wire.Snapshot{Index: s.Index, Term: s.Term, LogMs: s.LogMs, Members: s.Members}
	chunk.State = s.State[t.offset:min(t.offset+n.cfg.ChunkSize, len(s.State))]
	n.sendRequest(m, &wire.InstallRequest{Term: n.term, Leader: n.id, Snapshot: chunk, Offset: uint64(t.offset),
		Size: uint64(len(s.State)), Round: n.leaderState.round, To: m.Id})
}

// acceptReply records that a peer replied and returns the peer. It returns nil if the reply does not
// belong to the current term or comes from another identity.
func (n *Node) acceptReply(to ident.Member, requestTerm, term uint64, member string, round uint64) *peer {
	if term > n.term && member == string(to) {
		n.becomeFollower(term, "")
		n.saveState()
		return nil
	}
	p := n.leaderState.peers[member]
	if n.role != Leader || requestTerm != n.term || term != n.term || p == nil || member != string(to) {
		return nil
	}
	p.lastSeen, p.hasReplied = n.now, true
	if round > p.ackedRound {
		p.ackedRound = round
		n.renewLease()
	}
	return p
}

func (n *Node) handleAppendReply(e AppendReplied) {
	if p := n.leaderState.peers[string(e.To)]; p != nil && e.Request.Term == n.term && len(e.Request.Entries) > 0 {
		p.inFlight = max(0, p.inFlight-1)
		if e.Reply == nil {
			p.probing, p.nextIndex = true, p.matchIndex+1
		}
	}
	if e.Reply == nil {
		return
	}
	r := e.Reply
	p := n.acceptReply(e.To, e.Request.Term, r.Term, r.Member, r.Round)
	if p == nil {
		return
	}
	if r.Ok {
		p.matchIndex = max(p.matchIndex, r.Matched)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		if p.probing {
			// The peer replies again; appends sent earlier may still be waiting for their timeout.
			p.probing, p.inFlight = false, 0
		}
		if r.Matched < e.Request.PrevIndex+uint64(len(e.Request.Entries)) {
			p.nextIndex, p.fullUntil = p.matchIndex+1, n.now+backlogPause
		}
		n.advanceCommit()
		n.promoteLearner(p)
	} else if e.Request.PrevIndex > p.matchIndex || len(e.Request.Entries) > 0 {
		// An append that overtook the one before it is refused. It must be resent even if the peer has
		// received the earlier one by now.
		p.nextIndex = max(p.matchIndex+1, min(p.nextIndex, e.Request.PrevIndex, r.Matched+1))
		p.probing, p.inFlight = true, 0
	}
	if m := findMember(n.members(), p.id); m != nil && n.role == Leader {
		n.replicate(m, p, false)
	}
}

func (n *Node) handleInstallReply(e InstallReplied) {
	p := n.leaderState.peers[string(e.To)]
	if p == nil || e.Request.Term != n.term || p.transfer == nil || p.transfer.snapshot.Index != e.Request.Snapshot.Index {
		return
	}
	p.transfer.chunkInFlight = false
	if e.Reply == nil {
		return // the next heartbeat resends the chunk
	}
	r := e.Reply
	if n.acceptReply(e.To, e.Request.Term, r.Term, r.Member, r.Round) == nil {
		return
	}
	p.transfer.offset = min(int(r.Offset), len(p.transfer.snapshot.State))
	if r.Matched >= p.transfer.snapshot.Index {
		p.matchIndex = max(p.matchIndex, r.Matched)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		p.transfer, p.probing = nil, false
	}
	if m := findMember(n.members(), p.id); m != nil {
		n.replicate(m, p, false)
	}
}

// advanceCommit commits the entries that a majority has synced. Entries of earlier terms are committed
// only together with one of this term, because a member without them could otherwise still be elected.
func (n *Node) advanceCommit() {
	var synced []uint64
	for _, m := range n.members() {
		switch p := n.leaderState.peers[m.Id]; {
		case !m.Voter:
		case m.Id == n.id:
			synced = append(synced, n.syncedIndex)
		case p != nil:
			synced = append(synced, p.matchIndex)
		default:
			synced = append(synced, 0)
		}
	}
	if len(synced) == 0 {
		return
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if term, ok := n.log.termAt(index); ok && term == n.term {
		n.commitThrough(index)
	}
}

// startHandover begins to transfer leadership to the most up-to-date voter in contact. From then on,
// proposals are refused.
func (n *Node) startHandover() {
	if n.role != Leader || n.leaderState.handoverTarget != "" {
		return
	}
	var best *peer
	for _, m := range n.members() {
		p := n.leaderState.peers[m.Id]
		if m.Voter && p != nil && n.recentlySeen(p.id) && (best == nil || p.matchIndex > best.matchIndex) {
			best = p
		}
	}
	if best == nil {
		return
	}
	n.leaderState.handoverTarget, n.leaderState.handoverDeadline = best.id, n.now+n.cfg.MaxElection
	n.continueHandover()
}

// continueHandover completes the handover once its target has the whole log and everything is
// committed. It cancels the handover after the deadline.
func (n *Node) continueHandover() {
	p, m := n.leaderState.peers[n.leaderState.handoverTarget], findMember(n.members(), n.leaderState.handoverTarget)
	if p == nil || n.now > n.leaderState.handoverDeadline {
		n.leaderState.handoverTarget = ""
		return
	}
	if p.matchIndex < n.log.lastIndex() || n.commitIndex < n.log.lastIndex() {
		return
	}
	// The target's election ignores the lease, so the lease must end before the request is sent.
	n.becomeFollower(n.term, "")
	n.sendRequest(m, &wire.HandoverRequest{Term: n.term, Leader: n.id, To: m.Id})
}
