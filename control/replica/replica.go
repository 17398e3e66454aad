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
	tickInterval     = 20 * time.Millisecond // a fifth of the heartbeat interval
	exchangeTimeout  = time.Second
	joinInterval     = 500 * time.Millisecond
	defaultSnapEvery = 4096
)

// Options is what a Replica needs.
type Options struct {
	Name                string          // unique in the group; a new identity replaces the member of its name
	Address             ident.Address   // under which the other members reach Handler
	Folder              string          // data folder
	Peers               []ident.Address // control addresses from the settings, asked when joining
	StateMachine        StateMachine
	Clock               clock.Clock
	Log                 logrus.FieldLogger
	Metrics             metrics.Registry
	LocalAddr           net.Addr          // of connections to other members; nil lets the host choose
	SnapshotEvery       int               // entries between snapshots; 0 means 4096
	ReplaceSilentVoters bool              // the group replaces silent voters by newcomers, and removed members join again
	Heartbeat           time.Duration     // of the leader; 0 means the default
	Disk                journal.Disk      // in place of Folder, for tests
	Transport           http.RoundTripper // in place of one transport per peer, for tests
}

// Replica is one member of the control group.
type Replica struct {
	opts    Options
	start   time.Time
	id      ident.Member
	folder  *journal.Folder // nil with Options.Disk
	journal *journal.Journal
	peers   *peers
	baseSet *wire.Membership // of the snapshot that the member started from
	meters  meters

	applyMu sync.Mutex // held while the machine is called

	mu         sync.Mutex // guards everything below
	node       *consensus.Node
	effects    []consensus.Effect
	token      consensus.Token
	answers    map[consensus.Token]chan proto.Message
	proposals  []consensus.Proposal
	decisions  map[consensus.Token]*waiter
	waiters    map[ident.Index]*waiter
	barriers   []barrier
	disk       []diskWork
	apply      []consensus.Effect
	applied    ident.Index
	wasMember  bool
	failure    error
	closed     bool
	lastStatus consensus.Status

	wakeDisk, wakeApply, wakePropose chan struct{}
	failed                           chan struct{}
	ctx                              context.Context // of Run, for exchanges with peers
	running                          sync.WaitGroup
}

// Open reads the data folder; a folder that is empty gets a new identity, which joins the group. The
// member takes no part until Run.
func Open(opts Options) (*Replica, error) {
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapEvery
	}
	r := &Replica{opts: opts, start: opts.Clock.Now(), meters: newMeters(opts.Metrics),
		answers: map[consensus.Token]chan proto.Message{}, decisions: map[consensus.Token]*waiter{},
		waiters: map[ident.Index]*waiter{}, failed: make(chan struct{}), ctx: context.Background(),
		wakeDisk: make(chan struct{}, 1), wakeApply: make(chan struct{}, 1), wakePropose: make(chan struct{}, 1)}
	r.peers = newPeers(opts.Transport, opts.LocalAddr)
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
		r.opts.Log.WithField("member", c.State.Id).Info("empty data folder: joining under a new identity")
	}
	if c.Snapshot != nil {
		if err := r.opts.StateMachine.Restore(c.Snapshot.State); err != nil {
			return err
		}
		r.applied, r.baseSet = ident.Index(c.Snapshot.Index), c.Snapshot.Members
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return err
	}
	r.id = ident.Member(c.State.Id)
	r.wasMember = wasMember(c)
	r.node = consensus.New(consensus.Config{State: c.State, Snapshot: c.Snapshot, Entries: c.Entries,
		Seed: binary.LittleEndian.Uint64(seed[:]), ReplaceSilentVoters: r.opts.ReplaceSilentVoters, Heartbeat: r.opts.Heartbeat,
		Now: r.at()})
	return nil
}

// wasMember returns whether any membership in the folder names its identity. Such a member does not
// join again by itself after its removal.
func wasMember(c journal.Contents) bool {
	has := func(set *wire.Membership) bool {
		for _, m := range set.GetMembers() {
			if m.Id == c.State.Id {
				return true
			}
		}
		return false
	}
	for _, e := range c.Entries {
		if has(e.Members) {
			return true
		}
	}
	return has(c.Snapshot.GetMembers())
}

// Run takes part in the group until ctx ends, or until the disk fails, which is the error returned.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	for _, work := range []func(context.Context){r.runTicks, r.runDisk, r.runApply, r.runProposals, r.runJoin} {
		r.running.Go(func() { work(ctx) })
	}
	select {
	case <-ctx.Done():
	case <-r.failed:
	}
	cancel()
	r.close()
	r.running.Wait()
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

// close fails everything that waits.
func (r *Replica) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.failWaiters(0, fault.Stopping, "this member stops")
	for _, p := range r.proposals {
		r.decide(p.Token, nil, fault.New(fault.Stopping, "propose", string(r.opts.Address), "this member stops"), fault.NotExecuted)
	}
	r.proposals = nil
	for _, b := range r.barriers {
		b.done <- fault.New(fault.Stopping, "barrier", string(r.opts.Address), "this member stops")
	}
	r.barriers = nil
}

// fail records the error of a disk or a machine, after which the member takes no further part.
func (r *Replica) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure != nil {
		return
	}
	r.failure = err
	r.opts.Log.WithError(err).Error("the member stops: its disk or state failed")
	r.failWaiters(0, fault.Internal, "the disk or state failed") // before the step, which would call it a lost lead
	r.step(consensus.DiskFailed{At: r.at()})
	close(r.failed)
}

// at returns the monotonic time of the node.
func (r *Replica) at() time.Duration { return r.opts.Clock.Now().Sub(r.start) }

func (r *Replica) runTicks(ctx context.Context) {
	ticks, stop := r.opts.Clock.Every(tickInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			r.feed(consensus.Tick{At: r.at()})
		}
	}
}

// feed gives an event to the node.
func (r *Replica) feed(e consensus.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(e)
}

// step gives an event to the node and performs or queues the effects; the caller holds mu.
func (r *Replica) step(e consensus.Event) {
	if r.closed {
		return
	}
	r.effects = r.node.Step(e, r.effects[:0])
	for _, effect := range r.effects {
		switch f := effect.(type) {
		case consensus.Save:
			r.disk = append(r.disk, diskWork{save: f})
			wake(r.wakeDisk)
		case consensus.Apply, consensus.Restore:
			r.apply = append(r.apply, f)
			wake(r.wakeApply)
		case consensus.SendRequest:
			r.running.Go(func() { r.exchange(r.ctx, f) })
		case consensus.SendReply:
			if ch := r.answers[f.Token]; ch != nil {
				ch <- f.Message
				delete(r.answers, f.Token)
			}
		case consensus.ProposalAccepted:
			r.accept(f)
		case consensus.RequestRejected:
			r.decide(f.Token, nil, r.refusal(f), fault.NotExecuted)
		case consensus.LeadershipLost:
			r.failWaiters(r.node.Committed(), fault.Leader, "this member lost the lead")
		}
	}
	r.observe()
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// observe logs changes of role, leader and contact.
func (r *Replica) observe() {
	s, last := r.node.Status(r.at()), r.lastStatus
	r.lastStatus = s
	for _, m := range s.Members {
		if m.Id == string(r.id) {
			r.wasMember = true
		}
	}
	if s.Role == last.Role && s.Term == last.Term && s.LeaderID == last.LeaderID && s.Isolated == last.Isolated {
		return
	}
	log := r.opts.Log.WithFields(logrus.Fields{"role": s.Role.String(), "term": s.Term, "leader": s.Leader, "member": r.id})
	if s.Isolated && !last.Isolated {
		log.WithField("code", fault.Isolated).Warn("no contact with a majority of the control group")
		return
	}
	log.Info("changed role or leader")
}
