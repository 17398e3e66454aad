package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

const (
	tickInterval         = 20 * time.Millisecond // a fifth of the heartbeat interval
	requestTimeout       = time.Second
	joinInterval         = 500 * time.Millisecond
	defaultSnapshotEvery = 4096
	defaultMemory        = 256 << 20
)

// Parts of a VM's memory and disk that a member's log may take. The rest is for the state machine, its snapshots and the
// requests that are being served.
const (
	heldPart     = 16 // entries that are kept for members that lag behind
	applyPart    = 32 // entries that wait for the state machine
	pendingPart  = 16 // entries that are not committed or not on disk
	snapshotPart = 16 // entries on the disk between two snapshots
	backlogPart  = 4  // entries on the disk that are committed and not applied
)

// Options are the settings and dependencies of a Replica.
type Options struct {
	Name                string          // unique in the group; a new identity replaces the old one of the same name
	Address             ident.Address   // at which other members reach Handler
	Folder              string          // data folder
	Peers               []ident.Address // control addresses from the settings, for join requests
	StateMachine        StateMachine
	Clock               clock.Clock // for leases and elections
	WallClock           clock.Clock // for the time of day of entries; nil means the system's clock
	Log                 logrus.FieldLogger
	Metrics             metrics.Registry
	LocalAddr           net.Addr          // local address of connections to other members; nil lets the operating system choose
	SnapshotEvery       int               // entries between snapshots at most; 0 means 4096
	Memory              ident.Bytes       // of the VM; 0 means 256 MiB
	DiskSize            ident.Bytes       // of the disk with Folder; 0 means that it is not smaller than Memory
	ReplaceSilentVoters bool              // new members replace silent voters, and a member that was removed while isolated rejoins
	Heartbeat           time.Duration     // interval of the leader's heartbeats; 0 means consensus.DefaultHeartbeat
	Disk                journal.Disk      // replaces Folder in tests
	Transport           http.RoundTripper // replaces the transports of all peers in tests
}

// Replica is one member of the control group.
type Replica struct {
	opts           Options
	startTime      time.Time
	id             ident.Member
	folder         *journal.Folder // nil if Options.Disk is set
	journal        *journal.Journal
	peers          *peerClients
	baseMembership *wire.Membership // membership of the snapshot that the member started from
	metrics        replicaMetrics

	savedSnapshot uint64 // index of the snapshot on the disk; used by the goroutine that writes

	applyMu sync.Mutex // held while the state machine is called

	mu              sync.Mutex // guards everything below
	node            *consensus.Node
	effects         []consensus.Effect
	lastToken       consensus.Token
	replies         map[consensus.Token]chan proto.Message
	queuedProposals []consensus.Proposal
	pendingByToken  map[consensus.Token]*pendingProposal
	pendingByIndex  map[ident.Index]*pendingProposal
	barriers        []barrier
	diskQueue       []diskWrite
	applyQueue      []consensus.Effect
	appliedIndex    ident.Index
	wasMember       bool  // any known membership contained this identity
	failure         error // why the member stopped, if its disk or state machine failed
	closed          bool
	lastStatus      consensus.Status

	diskSignal, applySignal, proposalSignal chan struct{} // signal that the queue has work
	failed                                  chan struct{}
	ctx                                     context.Context // context of Run, for requests to peers
	workers                                 sync.WaitGroup
}

// Open reads the data folder and returns a member that takes no part in the group until Run. An empty
// folder gets a new identity, which joins the group.
func Open(opts Options) (*Replica, error) {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.WallClock == nil {
		opts.WallClock = clock.System{}
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapshotEvery
	}
	if opts.Memory <= 0 {
		opts.Memory = defaultMemory
	}
	if opts.DiskSize <= 0 {
		opts.DiskSize = opts.Memory
	}
	r := &Replica{opts: opts, startTime: opts.Clock.Now(), metrics: newReplicaMetrics(opts.Metrics),
		replies: map[consensus.Token]chan proto.Message{}, pendingByToken: map[consensus.Token]*pendingProposal{},
		pendingByIndex: map[ident.Index]*pendingProposal{}, failed: make(chan struct{}), ctx: context.Background(),
		diskSignal: make(chan struct{}, 1), applySignal: make(chan struct{}, 1), proposalSignal: make(chan struct{}, 1)}
	r.peers = newPeerClients(opts.Transport, opts.LocalAddr)
	if err := r.open(); err != nil {
		if r.folder != nil {
			_ = r.folder.Close()
		}
		return nil, fault.Wrap(err, fault.Internal, "open", opts.Folder)
	}
	return r, nil
}

func (r *Replica) open() error {
	disk := r.opts.Disk
	if disk == nil {
		folder, err := journal.OpenFolder(r.opts.Folder)
		if err != nil {
			return err
		}
		r.folder, disk = folder, folder
	}
	j, c, err := journal.Open(disk)
	if err != nil {
		return err
	}
	r.journal = j
	if c.TruncatedBytes > 0 {
		r.opts.Log.WithField("bytes", c.TruncatedBytes).Warn("removed an unfinished write from the end of the log")
	}
	if c.State == nil {
		c.State = &wire.HardState{Id: newID()}
		if err := j.Save(c.State, nil, nil); err != nil {
			return err
		}
		r.opts.Log.WithField("member", c.State.Id).Info("data folder is empty: joining the group under a new identity")
	}
	if c.Snapshot != nil {
		if err := r.opts.StateMachine.Restore(c.Snapshot.State); err != nil {
			return err
		}
		r.appliedIndex, r.baseMembership = ident.Index(c.Snapshot.Index), c.Snapshot.Members
		r.savedSnapshot = c.Snapshot.Index
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return err
	}
	r.id = ident.Member(c.State.Id)
	r.wasMember = wasMember(c)
	memory := int(r.opts.Memory)
	r.node = consensus.New(consensus.Config{State: c.State, Snapshot: c.Snapshot, Entries: c.Entries, Sizes: c.Sizes,
		HeldBytes: memory / heldPart, ApplyBytes: memory / applyPart, PendingBytes: memory / pendingPart,
		BacklogBytes: int(r.opts.DiskSize) / backlogPart,
		Seed:         binary.LittleEndian.Uint64(seed[:]), ReplaceSilentVoters: r.opts.ReplaceSilentVoters, Heartbeat: r.opts.Heartbeat,
		Now: r.nodeTime()})
	return nil
}

// wasMember returns whether any membership in the data folder contains the identity of the folder. Such a
// member does not rejoin by itself after it was removed.
func wasMember(c journal.Contents) bool {
	contains := func(membership *wire.Membership) bool {
		for _, m := range membership.GetMembers() {
			if m.Id == c.State.Id {
				return true
			}
		}
		return false
	}
	for _, e := range c.Entries {
		if contains(e.Members) {
			return true
		}
	}
	return contains(c.Snapshot.GetMembers())
}

// Run takes part in the group until ctx ends or the state machine fails. It returns that failure. While its disk refuses
// writes, the member acknowledges nothing that must be durable, and tries again until they succeed.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	for _, run := range []func(context.Context){r.runTicks, r.runDiskWrites, r.runApply, r.runProposals, r.runJoin} {
		r.workers.Go(func() { run(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-r.failed:
	}
	cancel()
	r.close()
	r.workers.Wait()
	r.peers.close()
	err := r.journal.Close()
	if r.folder != nil {
		_ = r.folder.Close()
	}
	if r.failure != nil {
		err = r.failure
	}
	return fault.Wrap(err, fault.Internal, "run", r.opts.Folder)
}

// close ends all pending proposals and barriers with an error.
func (r *Replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.failPendingAfter(0, fault.Stopping, "this member stopped")
	for _, p := range r.queuedProposals {
		r.rejectProposal(p.Token, nil, fault.New(fault.Stopping, "propose", string(r.opts.Address), "this member is stopping"), fault.NotExecuted)
	}
	r.queuedProposals = nil
	for _, b := range r.barriers {
		b.done <- fault.New(fault.Stopping, "barrier", string(r.opts.Address), "this member is stopping")
	}
	r.barriers = nil
}

// fail records an error of the state machine, after which the member takes no part in the group.
func (r *Replica) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure != nil {
		return
	}
	r.failure = err
	r.opts.Log.WithError(err).Error("member stopped after a failure of its state machine")
	r.failPendingAfter(0, fault.Internal, "the state machine failed") // before stepLocked, which would report lost leadership instead
	r.stepLocked(consensus.DiskFailed{At: r.nodeTime()})
	close(r.failed)
}

// nodeTime returns the monotonic time that is passed to the node: the time since startTime.
func (r *Replica) nodeTime() time.Duration { return r.opts.Clock.Now().Sub(r.startTime) }

func (r *Replica) runTicks(ctx context.Context) {
	ticks, stop := r.opts.Clock.Every(tickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			r.handleEvent(consensus.Tick{At: r.nodeTime()})
		}
	}
}

// handleEvent passes an event to the node and performs or queues the effects.
func (r *Replica) handleEvent(e consensus.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepLocked(e)
}

// stepLocked is handleEvent for a caller that holds mu.
func (r *Replica) stepLocked(e consensus.Event) {
	if r.closed {
		return
	}
	r.effects = r.node.Step(e, r.effects[:0])
	for _, effect := range r.effects {
		switch f := effect.(type) {
		case consensus.Save:
			r.diskQueue = append(r.diskQueue, diskWrite{save: f})
			notify(r.diskSignal)
		case consensus.Apply:
			r.applyQueue = append(r.applyQueue, f)
			notify(r.applySignal)
		case consensus.Restore:
			r.applyQueue = []consensus.Effect{f} // the snapshot covers what was queued before
			notify(r.applySignal)
		case consensus.SendRequest:
			r.workers.Go(func() { r.performRequest(r.ctx, f) })
		case consensus.SendReply:
			if ch := r.replies[f.Token]; ch != nil {
				ch <- f.Message
				delete(r.replies, f.Token)
			}
		case consensus.ProposalAccepted:
			r.recordAppended(f)
		case consensus.RequestRejected:
			r.rejectProposal(f.Token, nil, r.rejectionError(f), fault.NotExecuted)
		case consensus.LeadershipLost:
			r.failPendingAfter(r.node.Committed(), fault.NotLeader, "this member lost leadership")
		}
	}
	r.logStatusChange()
}

// notify puts a signal into a channel with a buffer of one, unless it already holds one.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// logStatusChange logs changes of the role, the term, the leader and the contact with a majority.
func (r *Replica) logStatusChange() {
	s, last := r.node.Status(r.nodeTime()), r.lastStatus
	r.lastStatus = s
	for _, m := range s.Members {
		if m.Id == string(r.id) {
			r.wasMember = true
		}
	}
	if s.Backlogged != last.Backlogged {
		r.opts.Log.WithFields(logrus.Fields{"event": "backlog", "behind": s.Backlogged, "committed": s.Committed, "applied": r.appliedIndex}).
			Warn("whether the state machine is too far behind for further entries changed")
	}
	if s.Role == last.Role && s.Term == last.Term && s.LeaderID == last.LeaderID && s.Isolated == last.Isolated {
		return
	}
	log := r.opts.Log.WithFields(logrus.Fields{"role": s.Role.String(), "term": s.Term, "leader": s.Leader, "member": r.id})
	if s.Isolated && !last.Isolated {
		log.WithField("code", fault.Isolated).Warn("no contact with a majority of the control group")
		return
	}
	log.Info("role, term, leader or contact with a majority changed")
}
