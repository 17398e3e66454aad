package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// Role is what a member does in its term.
type Role int

// Roles of a member.
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

// Default intervals. Regions are 110 ms apart round trip; the lease is MinElection less a tenth.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultMinElection = 600 * time.Millisecond
	DefaultMaxElection = 1200 * time.Millisecond
	DefaultTrail       = 1024
	DefaultChunk       = 512 << 10
)

// Config is what a Node starts with: the contents of its data folder and its intervals.
type Config struct {
	State               *wire.HardState
	Snapshot            *wire.Snapshot // nil if there is none
	Entries             []*wire.Entry
	At                  time.Duration
	Seed                uint64 // for the jitter of election time-outs
	Heartbeat           time.Duration
	MinElection         time.Duration
	MaxElection         time.Duration
	Trail               uint64 // entries kept in memory before a snapshot, for members that lag
	Chunk               int    // bytes of a snapshot in one exchange
	ReplaceSilentVoters bool   // silent voters give way to newcomers and to an odd number of voters
}

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	id   string
	now  time.Duration
	seed uint64
	out  []Effect

	role   Role
	term   uint64
	vote   string
	leader string

	log      entryLog
	snapshot *wire.Snapshot
	commit   uint64
	applied  uint64 // last index handed to the state machine
	synced   uint64 // last index of the log that is synced

	seq      uint64 // of the last Save
	saved    uint64 // of the last Save that is synced
	stateSeq uint64 // of the last Save with a hard state
	logSeq   uint64 // of the last Save with entries or a snapshot
	writes   []write
	waiting  []waiting
	failed   bool

	heard    time.Duration // last message from a leader, or the start
	deadline time.Duration // of the election time-out
	votes    map[string]bool
	asked    bool // vote requests of this campaign are sent
	handover bool // this campaign was asked for by the leader

	incoming *wire.Snapshot // parts received of a snapshot
	lead     leadership
}

// write is an unsynced Save and the last index of the log after it.
type write struct {
	seq, last uint64
}

// waiting is an answer held back until a Save is synced.
type waiting struct {
	seq    uint64
	effect Effect
}

// New returns a node with the contents of its data folder.
func New(cfg Config) *Node {
	setDefault(&cfg.Heartbeat, DefaultHeartbeat)
	setDefault(&cfg.MinElection, DefaultMinElection)
	setDefault(&cfg.MaxElection, DefaultMaxElection)
	if cfg.Trail == 0 {
		cfg.Trail = DefaultTrail
	}
	if cfg.Chunk == 0 {
		cfg.Chunk = DefaultChunk
	}
	// The time of the last heartbeat is not durable, so a restarted member counts its start as
	// one: it may have acknowledged a lease just before it died.
	n := &Node{cfg: cfg, id: cfg.State.Id, term: cfg.State.Term, vote: cfg.State.Vote,
		now: cfg.At, heard: cfg.At, seed: cfg.Seed}
	if cfg.Snapshot != nil {
		n.snapshot = cfg.Snapshot
		n.log.reset(cfg.Snapshot)
		n.commit, n.applied = cfg.Snapshot.Index, cfg.Snapshot.Index
	}
	for _, e := range cfg.Entries {
		if e.Index == n.log.last()+1 {
			n.log.append(e)
		}
	}
	n.synced = n.log.last()
	n.resetDeadline()
	return n
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Step performs one event and appends the effects to out.
func (n *Node) Step(event Event, out []Effect) []Effect {
	n.out = out
	if at := event.event(); at > n.now {
		n.now = at
	}
	if !n.failed {
		n.step(event)
	} else {
		n.refuse(event)
	}
	out, n.out = n.out, nil
	return out
}

func (n *Node) step(event Event) {
	switch e := event.(type) {
	case Tick:
		n.tick()
	case Propose:
		n.propose(e)
	case Remove:
		n.remove(e)
	case StartHandover:
		n.startHandover()
	case Saved:
		n.finishSave(e.Seq)
	case DiskFailed:
		n.fail()
	case Compacted:
		n.compact(e.Snapshot)
	case VoteRequested:
		n.answerVote(e)
	case AppendRequested:
		n.answerAppend(e)
	case InstallRequested:
		n.answerInstall(e)
	case HandoverRequested:
		n.answerHandover(e)
	case JoinRequested:
		n.answerJoin(e)
	case VoteReplied:
		n.countVote(e)
	case AppendReplied:
		n.finishAppend(e)
	case InstallReplied:
		n.finishInstall(e)
	}
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

// save emits a Save and notes what it makes durable.
func (n *Node) save(s Save) {
	n.seq++
	s.Seq = n.seq
	if s.State != nil {
		n.stateSeq = n.seq
	}
	if s.Snapshot != nil || len(s.Entries) > 0 {
		n.logSeq = n.seq
	}
	n.writes = append(n.writes, write{n.seq, n.log.last()})
	n.emit(s)
}

func (n *Node) saveState() {
	n.save(Save{State: &wire.HardState{Id: n.id, Term: n.term, Vote: n.vote}})
}

// answerAfter emits an answer once the Save with seq is synced.
func (n *Node) answerAfter(seq uint64, token Token, message proto.Message) {
	a := SendReply{Token: token, Message: message}
	if seq <= n.saved {
		n.emit(a)
		return
	}
	n.waiting = append(n.waiting, waiting{seq, a})
}

func (n *Node) finishSave(seq uint64) {
	if seq <= n.saved {
		return
	}
	n.saved = seq
	for len(n.writes) > 0 && n.writes[0].seq <= seq {
		n.synced = max(n.synced, n.writes[0].last)
		n.writes = n.writes[1:]
	}
	held := n.waiting[:0]
	for _, w := range n.waiting {
		if w.seq <= seq {
			n.emit(w.effect)
		} else {
			held = append(held, w)
		}
	}
	n.waiting = held
	if n.role == Candidate && !n.asked && n.stateSeq <= n.saved {
		n.askVotes()
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// truncate drops the log from index on, and with it the claim that those entries are synced.
func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.synced = min(n.synced, index-1)
	for i := range n.writes {
		n.writes[i].last = min(n.writes[i].last, index-1)
	}
}

// applyTo commits up to index and hands the entries to the state machine.
func (n *Node) applyTo(index uint64) {
	if index <= n.commit {
		return
	}
	n.commit = index
	n.emit(Apply{Entries: n.log.from(n.applied, index, int(index-n.applied), 1<<62)})
	n.applied = index
}

// compact notes a snapshot of the own state machine and drops old entries.
func (n *Node) compact(s *wire.Snapshot) {
	if s.Index > n.applied || s.Index <= n.snapshot.GetIndex() {
		return
	}
	n.snapshot = s
	if s.Index > n.cfg.Trail {
		n.log.compact(s.Index - n.cfg.Trail)
	}
}

// fail makes the node acknowledge nothing more: what the disk holds is no longer known.
func (n *Node) fail() {
	n.follow(n.term, "")
	n.failed = true
	n.waiting = nil
}

func (n *Node) random(bound time.Duration) time.Duration {
	n.seed += 0x9e3779b97f4a7c15 // splitmix64
	z := n.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(bound))
}

func (n *Node) resetDeadline() {
	n.deadline = n.now + n.cfg.MinElection + n.random(n.cfg.MaxElection-n.cfg.MinElection+1)
}

// members returns the latest membership, committed or not.
func (n *Node) members() []*wire.Member { return n.log.set.GetMembers() }

func (n *Node) self() *wire.Member { return findID(n.members(), n.id) }

// ID returns the member's identity.
func (n *Node) ID() ident.Member { return ident.Member(n.id) }
