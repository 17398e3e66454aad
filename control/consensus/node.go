package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// Role is the role of a member in its term.
type Role int

// Roles of a member. A PreCandidate asks whether it could win an election before it starts one.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Defaults of Config. The round trip between regions takes 110 ms; the leader lease lasts 90% of
// MinElection.
const (
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultMinElection     = 600 * time.Millisecond
	DefaultMaxElection     = 1200 * time.Millisecond
	DefaultRetainedEntries = 1024
	DefaultChunkSize       = 512 << 10
)

// evictedEntryBytes is the memory that an entry takes without its data, here and in the journal.
const evictedEntryBytes = 256

// maxPendingReplies limits the replies that wait for the disk. Senders wait for a second.
const maxPendingReplies = 1024

// Config holds the contents of a member's data folder and the settings of its Node. Zero intervals and
// sizes mean the defaults.
type Config struct {
	State               *wire.HardState
	Snapshot            *wire.Snapshot // nil if there is none
	Entries             []*wire.Entry  // log after the snapshot; the first ones may be evicted
	Sizes               []int          // encoded sizes of Entries in bytes; may be nil if none is evicted
	Now                 time.Duration  // monotonic time at the start
	Seed                uint64         // for the jitter of election timeouts
	Heartbeat           time.Duration  // interval between heartbeats
	MinElection         time.Duration  // shortest election timeout
	MaxElection         time.Duration  // longest election timeout
	RetainedEntries     uint64         // entries kept in memory before a snapshot, for members that lag behind
	ChunkSize           int            // bytes of a snapshot in one request
	HeldBytes           int            // entries in memory beyond which synced ones are evicted; 0 means no limit
	ApplyBytes          int            // entries passed to the state machine that it has not applied; 0 means no limit
	PendingBytes        int            // uncommitted or unsynced entries beyond which proposals are refused; 0 means no limit
	BacklogBytes        int            // committed entries that are not applied beyond which the log takes no others; 0 means no limit
	ReplaceSilentVoters bool           // replace silent voters by new members, and remove them from an even number of voters
}

// Node is the consensus state of one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	id          string
	now         time.Duration
	randomState uint64
	effects     []Effect

	role     Role
	term     uint64
	votedFor string
	leaderID string

	log          entryLog
	snapshot     *wire.Snapshot
	commitIndex  uint64
	appliedIndex uint64 // last index passed to the state machine
	doneIndex    uint64 // last index that the state machine has applied
	syncedIndex  uint64 // last index of the log that is synced

	lastSeq        uint64 // Seq of the last Save
	syncedSeq      uint64 // Seq of the last Save that is synced
	stateSeq       uint64 // Seq of the last Save with a hard state
	logSeq         uint64 // Seq of the last Save with entries or a snapshot
	unsyncedWrites []unsyncedWrite
	pendingReplies []pendingReply
	failed         bool

	leaderLastSeen   time.Duration // time of the last message from a leader, or of the start
	contact          uint64        // how often contact with a leader was regained
	electionDeadline time.Duration // end of the election timeout
	votes            map[string]bool
	votesRequested   bool // the vote requests of this election are sent
	isHandover       bool // the leader asked for this election

	incomingSnapshot *wire.Snapshot // chunks received so far
	leaderState      leaderState
}

// unsyncedWrite is a Save that is not synced yet and the last index of the log after it.
type unsyncedWrite struct {
	seq, lastIndex uint64
}

// pendingReply is a reply that is delayed until the Save with seq is synced.
type pendingReply struct {
	seq    uint64
	effect Effect
}

// New returns a node that continues from the contents of its data folder.
func New(cfg Config) *Node {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.MinElection, DefaultMinElection)
	setDefault(&cfg.MaxElection, DefaultMaxElection)
	if cfg.RetainedEntries == 0 {
		cfg.RetainedEntries = DefaultRetainedEntries
	}
	if cfg.ChunkSize == 0 {
		cfg.ChunkSize = DefaultChunkSize
	}
	// The time of the last heartbeat is not durable. A restarted member therefore treats its start as
	// one, because it may have acknowledged a lease just before it crashed.
	n := &Node{cfg: cfg, id: cfg.State.Id, term: cfg.State.Term, votedFor: cfg.State.Vote,
		now: cfg.Now, leaderLastSeen: cfg.Now, randomState: cfg.Seed}
	if cfg.Snapshot != nil {
		n.snapshot = cfg.Snapshot
		n.log.reset(cfg.Snapshot)
		n.commitIndex, n.appliedIndex, n.doneIndex = cfg.Snapshot.Index, cfg.Snapshot.Index, cfg.Snapshot.Index
	}
	for i, e := range cfg.Entries {
		if e.Index != n.log.lastIndex()+1 {
			continue
		}
		if len(cfg.Sizes) > 0 {
			n.log.appendSized(e, cfg.Sizes[i])
		} else {
			n.log.append(e)
		}
	}
	n.syncedIndex = n.log.lastIndex()
	n.resetElectionDeadline()
	return n
}

func setDefault(interval *time.Duration, value time.Duration) {
	if *interval == 0 {
		*interval = value
	}
}

// Step processes one event, appends the resulting effects to out and returns the extended slice.
func (n *Node) Step(event Event, out []Effect) []Effect {
	n.effects = out
	if at := event.eventTime(); at > n.now {
		n.now = at
	}
	if !n.failed {
		n.step(event)
	} else {
		n.rejectAfterFailure(event)
	}
	out, n.effects = n.effects, nil
	return out
}

func (n *Node) step(event Event) {
	switch e := event.(type) {
	case Tick:
		n.tick()
	case Propose:
		n.handlePropose(e)
	case Remove:
		n.handleRemove(e)
	case StartHandover:
		n.startHandover()
	case Saved:
		n.handleSaved(e.Seq)
	case DiskFailed:
		n.fail()
	case Applied:
		n.doneIndex = max(n.doneIndex, uint64(e.Index))
		n.deliver()
	case Compacted:
		n.handleCompacted(e.Snapshot)
	case VoteRequested:
		n.handleVoteRequest(e)
	case AppendRequested:
		n.handleAppendRequest(e)
	case InstallRequested:
		n.handleInstallRequest(e)
	case HandoverRequested:
		n.handleHandoverRequest(e)
	case JoinRequested:
		n.handleJoinRequest(e)
	case VoteReplied:
		n.handleVoteReply(e)
	case AppendReplied:
		n.handleAppendReply(e)
	case InstallReplied:
		n.handleInstallReply(e)
	}
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

// save emits a Save and records which parts of the state it makes durable.
func (n *Node) save(s Save) {
	n.lastSeq++
	s.Seq = n.lastSeq
	if s.State != nil {
		n.stateSeq = n.lastSeq
	}
	if s.Snapshot != nil || len(s.Entries) > 0 {
		n.logSeq = n.lastSeq
	}
	n.unsyncedWrites = append(n.unsyncedWrites, unsyncedWrite{n.lastSeq, n.log.lastIndex()})
	n.emit(s)
}

func (n *Node) saveState() {
	n.save(Save{State: &wire.HardState{Id: n.id, Term: n.term, Vote: n.votedFor}})
}

// replyAfterSync emits a reply once the Save with seq is synced.
func (n *Node) replyAfterSync(seq uint64, token Token, message proto.Message) {
	reply := SendReply{Token: token, Message: message}
	if seq <= n.syncedSeq {
		n.emit(reply)
		return
	}
	n.pendingReplies = append(n.pendingReplies, pendingReply{seq, reply})
	if over := len(n.pendingReplies) - maxPendingReplies; over > 0 {
		n.pendingReplies = append(n.pendingReplies[:0], n.pendingReplies[over:]...) // the oldest senders no longer wait
	}
}

// handleSaved emits the replies that waited for the Saves up to seq, and continues an election or commits
// entries that depended on them.
func (n *Node) handleSaved(seq uint64) {
	if seq <= n.syncedSeq {
		return
	}
	n.syncedSeq = seq
	for len(n.unsyncedWrites) > 0 && n.unsyncedWrites[0].seq <= seq {
		n.syncedIndex = max(n.syncedIndex, n.unsyncedWrites[0].lastIndex)
		n.unsyncedWrites = n.unsyncedWrites[1:]
	}
	if n.cfg.HeldBytes > 0 {
		n.log.evict(n.syncedIndex, n.cfg.HeldBytes)
		n.dropEvicted()
	}
	stillPending := n.pendingReplies[:0]
	for _, w := range n.pendingReplies {
		if w.seq <= seq {
			n.emit(w.effect)
		} else {
			stillPending = append(stillPending, w)
		}
	}
	n.pendingReplies = stillPending
	if n.role == Candidate && !n.votesRequested && n.stateSeq <= n.syncedSeq {
		n.requestVotes()
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// truncateLog removes the log from index on and no longer counts those entries as synced.
func (n *Node) truncateLog(index uint64) {
	n.log.truncate(index)
	n.syncedIndex = min(n.syncedIndex, index-1)
	for i := range n.unsyncedWrites {
		n.unsyncedWrites[i].lastIndex = min(n.unsyncedWrites[i].lastIndex, index-1)
	}
}

// commitThrough commits the entries up to and including index and passes them to the state machine.
func (n *Node) commitThrough(index uint64) {
	if index > n.commitIndex {
		n.commitIndex = index
		n.deliver()
	}
}

// deliver passes committed entries to the state machine, as many as may wait there.
func (n *Node) deliver() {
	for n.appliedIndex < n.commitIndex {
		maxBytes := 1 << 62
		if n.cfg.ApplyBytes > 0 {
			if maxBytes = n.cfg.ApplyBytes - n.log.bytesBetween(n.doneIndex, n.appliedIndex); maxBytes <= 0 {
				return // continued when the state machine has applied some
			}
		}
		entries := n.log.entriesAfter(n.appliedIndex, n.commitIndex, int(n.commitIndex-n.appliedIndex), maxBytes)
		n.emit(Apply{Entries: entries})
		n.appliedIndex += uint64(len(entries))
	}
}

// isBacklogged returns whether the state machine is so far behind that the log must not grow, because only applied entries
// can be compacted. Entries that are not committed do not count: they may need further ones to be committed.
func (n *Node) isBacklogged() bool {
	first := max(n.doneIndex, n.log.baseIndex)
	if n.cfg.BacklogBytes == 0 || n.commitIndex <= first {
		return false
	}
	memory := evictedEntryBytes * int(n.commitIndex-first)
	return n.log.bytesBetween(first, n.commitIndex)+memory > n.cfg.BacklogBytes
}

// handleCompacted keeps a new snapshot of the member's state machine and drops the entries that are no
// longer needed, and those that the disk no longer holds.
func (n *Node) handleCompacted(s *wire.Snapshot) {
	if s.Index > n.appliedIndex || s.Index <= n.snapshot.GetIndex() {
		return
	}
	n.snapshot = s
	if s.Index > n.cfg.RetainedEntries {
		n.log.compact(s.Index - n.cfg.RetainedEntries)
	}
	n.dropEvicted()
}

// dropEvicted drops the evicted entries that the snapshot covers, as the disk may no longer hold them.
func (n *Node) dropEvicted() {
	n.log.compact(min(n.snapshot.GetIndex(), n.log.evictedIndex))
}

// fail stops the node from acknowledging anything further, because the contents of its disk are unknown.
func (n *Node) fail() {
	n.becomeFollower(n.term, "")
	n.failed = true
	n.pendingReplies = nil
}

// random returns a pseudo-random duration of at least 0 and less than limit.
func (n *Node) random(limit time.Duration) time.Duration {
	n.randomState += 0x9e3779b97f4a7c15 // splitmix64
	z := n.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(limit))
}

// resetElectionDeadline starts a new election timeout of random length.
func (n *Node) resetElectionDeadline() {
	n.electionDeadline = n.now + n.cfg.MinElection + n.random(n.cfg.MaxElection-n.cfg.MinElection+1)
}

// members returns the latest membership, committed or not.
func (n *Node) members() []*wire.Member { return n.log.membership.GetMembers() }

func (n *Node) self() *wire.Member { return findMember(n.members(), n.id) }

// ID returns the member's identity.
func (n *Node) ID() ident.Member { return ident.Member(n.id) }
