package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// request is a message with a SendRequest.
type request = proto.Message

// pipeline is how many appends with entries may be on their way to one peer.
const pipeline = 4

// leadership is the state of a leader.
type leadership struct {
	peers    map[string]*peer
	first    uint64 // index of the first entry of the term
	since    time.Duration
	baseTime int64 // log time at since, in milliseconds
	round    uint64
	beats    []beat // rounds that may still extend the lease
	nextBeat time.Duration
	leaseEnd time.Duration
	target   string // member to hand over to
	giveUp   time.Duration
}

// beat is a heartbeat round and when it was sent.
type beat struct {
	round uint64
	at    time.Duration
}

// peer is the leader's view of another member.
type peer struct {
	id       string
	match    uint64 // last index that is known to be synced there
	next     uint64 // next index to send
	probing  bool   // next is a guess: one append at a time
	inflight int    // appends with entries on their way
	round    uint64 // last heartbeat round answered
	heard    time.Duration
	answered bool
	transfer *transfer
}

// transfer is a snapshot on its way to a peer.
type transfer struct {
	snapshot *wire.Snapshot
	offset   int
	asked    bool
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.lead = leadership{peers: map[string]*peer{}, first: n.log.last() + 1, since: n.now,
		baseTime: n.log.lastTime(), nextBeat: n.now + n.cfg.Heartbeat, round: 1}
	n.lead.beats = []beat{{1, n.now}}
	n.extend([]*wire.Entry{n.entry(wire.EntryKind_ENTRY_KIND_EMPTY, time.Time{})})
}

func (n *Node) tickLeader() {
	if n.now >= n.lead.nextBeat {
		n.lead.nextBeat = n.now + n.cfg.Heartbeat
		n.lead.round++
		n.lead.beats = append(n.lead.beats, beat{n.lead.round, n.now})
		n.renewLease() // a single voter has no answers to wait for
		n.sendAll(true)
		n.shrink()
	}
	if n.lead.target != "" {
		n.continueHandover()
	}
	if n.role == Leader && n.now-max(n.lead.since, n.lead.leaseEnd) > n.cfg.MaxElection {
		n.follow(n.term, "")
	}
}

// renewLease extends the lease from the send time of the last round that a majority answered. The
// margin of a tenth covers clocks that run 5% fast here and 5% slow elsewhere.
func (n *Node) renewLease() {
	for len(n.lead.beats) > 0 {
		b := n.lead.beats[0]
		if !n.quorum(func(id string) bool {
			return id == n.id || n.lead.peers[id] != nil && n.lead.peers[id].round >= b.round
		}) {
			return
		}
		n.lead.leaseEnd = b.at + n.cfg.MinElection - n.cfg.MinElection/10
		n.lead.beats = n.lead.beats[1:]
	}
}

// HasLease returns whether this member holds the leader lease at its monotonic time at.
func (n *Node) HasLease(at time.Duration) bool {
	return n.role == Leader && !n.failed && at < n.lead.leaseEnd
}

func (n *Node) entry(kind wire.EntryKind, wall time.Time) *wire.Entry {
	e := &wire.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind,
		LogMs: n.lead.baseTime + (n.now - n.lead.since).Milliseconds()}
	if !wall.IsZero() {
		e.TimeMs = wall.UnixMilli()
	}
	return e
}

// extend appends entries to the leader's log, saves them and sends them.
func (n *Node) extend(entries []*wire.Entry) {
	n.log.append(entries...)
	n.updatePeers()
	n.sendAll(false)
	n.save(Save{Entries: entries})
	n.renewLease()
}

// updatePeers makes the peers those of the latest membership. It runs after the append of a single
// entry, and a new peer is sent that entry at once, as its answer is what starts the lease.
func (n *Node) updatePeers() {
	for id := range n.lead.peers {
		if findID(n.members(), id) == nil {
			delete(n.lead.peers, id)
		}
	}
	for _, m := range n.members() {
		if m.Id != n.id && n.lead.peers[m.Id] == nil {
			n.lead.peers[m.Id] = &peer{id: m.Id, next: n.log.last(), probing: true}
		}
	}
}

// refusal returns why this member takes no proposals, or an empty code.
func (n *Node) refusal() (fault.Code, string) {
	switch {
	case n.failed:
		return fault.Internal, "the disk failed"
	case n.role != Leader:
		return fault.Leader, "this member does not lead"
	case n.lead.target != "":
		return fault.Leader, "this member is handing over"
	case !n.HasLease(n.now) && n.lead.leaseEnd > 0:
		return fault.Isolated, "no contact with a majority"
	case !n.HasLease(n.now):
		return fault.Leader, "this member has just been elected"
	}
	return "", ""
}

func (n *Node) propose(e Propose) {
	if code, why := n.refusal(); code != "" {
		for _, p := range e.Items {
			n.emit(RequestRejected{Token: p.Token, Code: code, Reason: why})
		}
		return
	}
	entries := make([]*wire.Entry, 0, len(e.Items))
	for i, p := range e.Items {
		entry := n.entry(wire.EntryKind_ENTRY_KIND_DATA, e.WallTime)
		entry.Index += uint64(i)
		entry.Data = p.Data
		entries = append(entries, entry)
		n.emit(ProposalAccepted{Token: p.Token, Index: ident.Index(entry.Index), Term: ident.Term(n.term)})
	}
	n.extend(entries)
}

func (n *Node) sendAll(beat bool) {
	for _, m := range n.members() {
		if p := n.lead.peers[m.Id]; p != nil {
			n.send(m, p, beat)
		}
	}
}

// send sends what the peer lacks, as far as the pipeline allows. A heartbeat is always sent.
func (n *Node) send(m *wire.Member, p *peer, beat bool) {
	sent := false
	if p.next <= n.log.base && n.snapshot != nil {
		n.sendSnapshot(m, p)
	} else {
		for p.inflight < pipeline && p.next <= n.log.last() && (!p.probing || p.inflight == 0) {
			entries := n.log.from(p.next-1, n.log.last(), batchEntries, batchBytes)
			n.sendAppend(m, p.next-1, entries)
			p.next += uint64(len(entries))
			p.inflight++
			sent = true
		}
	}
	if beat && !sent {
		prev := max(p.match, n.log.base)
		if p.probing {
			prev = max(p.next-1, n.log.base)
		}
		n.sendAppend(m, min(prev, n.log.last()), nil)
	}
}

func (n *Node) sendAppend(m *wire.Member, prev uint64, entries []*wire.Entry) {
	term, _ := n.log.term(prev)
	n.ask(m, &wire.AppendRequest{Term: n.term, Leader: n.id, PrevIndex: prev, PrevTerm: term,
		Entries: entries, Commit: n.commit, Round: n.lead.round, To: m.Id})
}

func (n *Node) sendSnapshot(m *wire.Member, p *peer) {
	if p.transfer == nil || p.transfer.snapshot.Index <= n.log.base && p.transfer.snapshot != n.snapshot {
		p.transfer = &transfer{snapshot: n.snapshot}
	}
	t := p.transfer
	if t.asked {
		return
	}
	t.asked = true
	s := t.snapshot
	part := &wire.Snapshot{Index: s.Index, Term: s.Term, LogMs: s.LogMs, Members: s.Members}
	part.State = s.State[t.offset:min(t.offset+n.cfg.Chunk, len(s.State))]
	n.ask(m, &wire.InstallRequest{Term: n.term, Leader: n.id, Snapshot: part, Offset: uint64(t.offset),
		Size: uint64(len(s.State)), Round: n.lead.round, To: m.Id})
}

// hear notes a peer's answer of this term, and returns nil for any other.
func (n *Node) hear(to ident.Member, asked, term uint64, member string, round uint64) *peer {
	if term > n.term && member == string(to) {
		n.follow(term, "")
		n.saveState()
		return nil
	}
	p := n.lead.peers[member]
	if n.role != Leader || asked != n.term || term != n.term || p == nil || member != string(to) {
		return nil
	}
	p.heard, p.answered = n.now, true
	if round > p.round {
		p.round = round
		n.renewLease()
	}
	return p
}

func (n *Node) finishAppend(e AppendReplied) {
	if p := n.lead.peers[string(e.To)]; p != nil && e.Request.Term == n.term && len(e.Request.Entries) > 0 {
		p.inflight = max(0, p.inflight-1)
		if e.Reply == nil {
			p.probing, p.next = true, p.match+1
		}
	}
	if e.Reply == nil {
		return
	}
	r := e.Reply
	p := n.hear(e.To, e.Request.Term, r.Term, r.Member, r.Round)
	if p == nil {
		return
	}
	if r.Ok {
		p.match = max(p.match, r.Matched)
		p.next = max(p.next, p.match+1)
		if p.probing {
			// The peer answers again; appends sent before may still wait for their time-out.
			p.probing, p.inflight = false, 0
		}
		n.advanceCommit()
		n.promote(p)
	} else if e.Request.PrevIndex > p.match || len(e.Request.Entries) > 0 {
		// An append that overtook the one before it is refused, and has to be sent again even if the
		// peer has the earlier one by now.
		p.next = max(p.match+1, min(p.next, e.Request.PrevIndex, r.Matched+1))
		p.probing, p.inflight = true, 0
	}
	if m := findID(n.members(), p.id); m != nil && n.role == Leader {
		n.send(m, p, false)
	}
}

func (n *Node) finishInstall(e InstallReplied) {
	p := n.lead.peers[string(e.To)]
	if p == nil || e.Request.Term != n.term || p.transfer == nil || p.transfer.snapshot.Index != e.Request.Snapshot.Index {
		return
	}
	p.transfer.asked = false
	if e.Reply == nil {
		return // the next heartbeat tries again
	}
	r := e.Reply
	if n.hear(e.To, e.Request.Term, r.Term, r.Member, r.Round) == nil {
		return
	}
	p.transfer.offset = min(int(r.Offset), len(p.transfer.snapshot.State))
	if r.Matched >= p.transfer.snapshot.Index {
		p.match = max(p.match, r.Matched)
		p.next = max(p.next, p.match+1)
		p.transfer, p.probing = nil, false
	}
	if m := findID(n.members(), p.id); m != nil {
		n.send(m, p, false)
	}
}

// advanceCommit commits what a majority has synced. Entries of earlier terms commit only together
// with one of this term: a later leader without them could still win otherwise.
func (n *Node) advanceCommit() {
	var synced []uint64
	for _, m := range n.members() {
		switch p := n.lead.peers[m.Id]; {
		case !m.Voter:
		case m.Id == n.id:
			synced = append(synced, n.synced)
		case p != nil:
			synced = append(synced, p.match)
		default:
			synced = append(synced, 0)
		}
	}
	if len(synced) == 0 {
		return
	}
	slices.Sort(synced)
	index := synced[(len(synced)-1)/2]
	if term, ok := n.log.term(index); ok && term == n.term {
		n.applyTo(index)
	}
}

// startHandover stops taking proposals; continueHandover waits until the best other voter has the
// whole log.
func (n *Node) startHandover() {
	if n.role != Leader || n.lead.target != "" {
		return
	}
	var best *peer
	for _, m := range n.members() {
		p := n.lead.peers[m.Id]
		if m.Voter && p != nil && n.alive(p.id) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if best == nil {
		return
	}
	n.lead.target, n.lead.giveUp = best.id, n.now+n.cfg.MaxElection
	n.continueHandover()
}

func (n *Node) continueHandover() {
	p, m := n.lead.peers[n.lead.target], findID(n.members(), n.lead.target)
	if p == nil || n.now > n.lead.giveUp {
		n.lead.target = ""
		return
	}
	if p.match < n.log.last() || n.commit < n.log.last() {
		return
	}
	// The target's election ignores the lease, so the lease ends before the request is sent.
	n.follow(n.term, "")
	n.ask(m, &wire.HandoverRequest{Term: n.term, Leader: n.id, To: m.Id})
}
