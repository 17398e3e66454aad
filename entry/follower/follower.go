package follower

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

const (
	// longPollWait is how long a member may hold a follow request open while nothing changes.
	longPollWait = time.Second
	// longPollMargin is how much longer than longPollWait a reply may take: it covers the round trip when half a
	// second of other packets is queued in each direction, as on the busy link of a small VM.
	longPollMargin = 1500 * time.Millisecond
	// catchUpTimeout bounds the reply that carries everything a VM missed during a restart or a long network
	// partition: 60 KB over a 2 Mbit/s link that is saturated by callers.
	catchUpTimeout = 6 * time.Second
	// lateFollowTimeout bounds a call that the timeouts above did not end. Over a link that is saturated by uploads, packets wait
	// for seconds, and the registry of thousands of routes takes many more; a new request would begin anew.
	lateFollowTimeout = 20 * time.Second
	// maxLateCalls bounds the calls that were not given up after their time.
	maxLateCalls = 3
	// replySilence is the time without a byte of a reply after which it no longer counts as arriving.
	replySilence = longPollMargin
	// catchUpThreshold is the number of missing commands above which catchUpTimeout applies.
	catchUpThreshold = 50
	// probeTimeout is the time after which a search for a member to follow is repeated.
	probeTimeout = 1200 * time.Millisecond
	// lateProbeTimeout bounds the answers to a search. Over a saturated link, answers to earlier searches come first.
	lateProbeTimeout = 6 * time.Second
	// probeRetryDelay is the wait after a search that found no member.
	probeRetryDelay = 200 * time.Millisecond
	// reportInterval is the time between regular reports of demand. The leader adjusts allowances to a change in
	// demand within one or two reports.
	reportInterval = 500 * time.Millisecond
	// minReportInterval is the minimum time between two reports; triggers that arrive meanwhile share one report.
	minReportInterval = 60 * time.Millisecond
	// failedMemberPause is how long a member that did not answer a report or a follow request is skipped if another
	// member can be tried.
	failedMemberPause = 3 * time.Second
	// reportTimeout is the time after which the next report is sent, including the time in which a member forwards a
	// report to the leader.
	reportTimeout = 900 * time.Millisecond
	// lateReportTimeout bounds a report. On a link with seconds of packets queued, only a report that is not given up
	// arrives at all: a cancelled one closes its connection, and opening the next one takes as long.
	lateReportTimeout = 6 * time.Second
	// maxLateReports bounds the reports that were not given up after reportTimeout.
	maxLateReports = 6
)

// Handler uses the registry and exchanges reports with the leader through a Follower.
type Handler interface {
	// Update applies the current registry. The follower changes r after the call, so Update must not retain it.
	Update(r *registry.Registry)
	// Report returns the next report to the leader.
	Report() protocol.Report
	// HandleReply applies the leader's reply to a report. SentAt is the time just before Report was called for it.
	HandleReply(sentAt time.Time, report protocol.Report, reply protocol.ReportReply)
	// HandleLateReply renews what the reply to a report renews. Later reports were sent meanwhile, so the changes in the
	// reply must not be applied.
	HandleLateReply(sentAt time.Time, report protocol.Report, reply protocol.ReportReply)
}

// Options configures a Follower.
type Options struct {
	LocalAddr net.Addr
	Clock     clock.Clock
	Log       logrus.FieldLogger
	Seeds     []ident.Address // internal addresses of control members
	Handler   Handler
}

// Follower follows one member of the control group and sends reports to the group's leader.
type Follower struct {
	opts          Options
	client        protocol.Client
	reportClient  protocol.Client // opens connections also over a saturated link
	reportTrigger chan struct{}
	lateReports   chan struct{} // holds an element for each report that has not ended, except the newest

	mu          sync.Mutex
	seeds       []ident.Address
	members     []ident.Address
	followed    ident.Address               // the member being followed; empty if there is none
	leader      ident.Address               // as last reported by a member; empty if unknown
	lastFailure map[ident.Address]time.Time // when a report to a member last failed

	// The fields below are used only by Run's goroutine.
	registry    *registry.Registry
	targetIndex ident.Index // log index of the followed member when it was chosen
	// lastFollowFailure is when a follow request to a member last failed. A member may answer searches and nothing else.
	lastFollowFailure map[ident.Address]time.Time
	late              []*followCall // calls that were not given up after their time, oldest first
	results           chan followResult
	probes            chan probeResult
	search            context.Context // of the probes since a member was followed last; nil if there are none
	endSearch         context.CancelFunc
	openProbes        int // probes of search that have no result yet
}

// New returns a follower with an empty registry; Run starts it.
func New(o Options) *Follower {
	return &Follower{opts: o, client: protocol.Client{LocalAddr: o.LocalAddr, DialTimeout: lateProbeTimeout}, reportClient: protocol.Client{LocalAddr: o.LocalAddr, DialTimeout: lateReportTimeout},
		seeds: o.Seeds, registry: registry.New(), reportTrigger: make(chan struct{}, 1), lateReports: make(chan struct{}, maxLateReports),
		lastFailure: map[ident.Address]time.Time{}, lastFollowFailure: map[ident.Address]time.Time{}, results: make(chan followResult), probes: make(chan probeResult)}
}

// TriggerReport makes Run send the next report without waiting for the regular interval.
func (f *Follower) TriggerReport() {
	select {
	case f.reportTrigger <- struct{}{}:
	default:
	}
}

// HasLeader reports whether a member is being followed and that member knows a leader.
func (f *Follower) HasLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed != "" && f.leader != ""
}

// SetSeeds replaces the control members' addresses that come from the settings.
func (f *Follower) SetSeeds(seeds []ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run follows control members and sends reports until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var reports sync.WaitGroup
	reports.Go(func() { f.runReports(ctx) })
	defer reports.Wait()
	for ctx.Err() == nil {
		member := f.followedMember()
		if member == "" {
			if !f.findMember(ctx) && clock.Sleep(ctx, f.opts.Clock, probeRetryDelay) != nil {
				return
			}
			continue
		}
		reply, err := f.fetchChanges(ctx, member)
		if err != nil {
			f.lastFollowFailure[member] = f.opts.Clock.Now()
		}
		if err == nil && reply == nil {
			continue
		}
		if err == nil {
			err = checkReply(member, reply)
		}
		if err == nil {
			err = f.applyReply(member, *reply)
		}
		if err != nil && ctx.Err() == nil {
			f.opts.Log.WithFields(logrus.Fields{"event": "dependency_lost", "member": member, "index": f.registry.Index}).
				WithError(err).Warn("stopped following control member")
			f.setFollowedMember("")
		}
	}
}

func (f *Follower) followedMember() ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followed
}

func (f *Follower) setFollowedMember(member ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followed = member
}

// setLeader stores the leader's address. A new leader grants no allowances before all VMs have reported to it, so a
// change of leader triggers a report.
func (f *Follower) setLeader(leader ident.Address) {
	f.mu.Lock()
	changed := leader != "" && leader != f.leader
	f.leader = leader
	f.mu.Unlock()
	if changed {
		f.TriggerReport()
	}
}

// setMembers stores the group's addresses, unless the list is empty.
func (f *Follower) setMembers(members []ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(members) > 0 {
		f.members = members
	}
}

// checkReply returns an error if a member answered that others may have newer changes: a fault.Isolated or a fault.Stale.
func checkReply(member ident.Address, reply *protocol.FollowReply) error {
	switch {
	case reply.Isolated:
		return fault.New(fault.Isolated, "follow", string(member), "member has no contact with a majority of the control group")
	case reply.CatchingUp:
		return fault.New(fault.Stale, "follow", string(member), "member may lack changes that others have")
	}
	return nil
}

// applyReply applies a reply to the registry and passes a changed registry to the handler. State and entries that are
// older than the registry are ignored, so its index never decreases.
func (f *Follower) applyReply(member ident.Address, reply protocol.FollowReply) error {
	f.setMembers(reply.Members)
	f.setLeader(reply.Leader)
	previous := f.registry.Index
	if len(reply.State) > 0 && reply.Index > previous {
		if err := f.registry.Restore(reply.State); err != nil {
			return err
		}
	}
	for _, entry := range reply.Entries {
		if entry.Index <= f.registry.Index {
			continue
		}
		command, err := registry.Decode(entry.Command)
		if err != nil {
			// Members skip it too, so the copies of the registry stay equal.
			f.opts.Log.WithFields(logrus.Fields{"event": "register", "member": member, "index": entry.Index}).WithError(err).Warn("command skipped")
			f.registry.Index = entry.Index
			continue
		}
		f.registry.Apply(entry.Index, command)
	}
	if f.registry.Index == previous {
		return nil
	}
	f.opts.Log.WithFields(logrus.Fields{"event": "register", "member": member, "index": f.registry.Index, "before": previous,
		"version": f.registry.Version(), "drained": len(f.registry.Drained), "upstreams": len(f.registry.Upstreams)}).
		Info("registry updated")
	f.opts.Handler.Update(f.registry)
	return nil
}
