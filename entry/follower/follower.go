package follower

import (
	"context"
	"net"
	"slices"
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
	// followWait is how long a member may hold an answer back while nothing changes.
	followWait = time.Second
	// followGrace is what an answer may take beyond followWait: the way there and back behind half a second of
	// other packets in each direction, as on the busy link of a small VM.
	followGrace = 1500 * time.Millisecond
	// catchUpTime bounds the answer that carries all that a VM lacks after a restart or a long cut: 60 KB over a
	// link of 2 Mbit/s that callers fill.
	catchUpTime = 6 * time.Second
	// catchUpFrom is how many commands a VM lacks from which catchUpTime holds.
	catchUpFrom = 50
	// probeTime bounds the search for another member.
	probeTime = 1200 * time.Millisecond
	// retryPause is the wait after a search that found none.
	retryPause = 200 * time.Millisecond
	// reportPeriod is how often demand is reported; lent shares follow it one or two reports later.
	reportPeriod = 500 * time.Millisecond
	// wakePause is the least time between two reports, which carry what came up meanwhile.
	wakePause = 60 * time.Millisecond
	// failedPause is how long a member that did not take a report gets no other while there is one to try.
	failedPause = 3 * time.Second
	// reportTime bounds one report, which a member may pass on to the leader.
	reportTime = 900 * time.Millisecond
)

// Handler is what the follower serves.
type Handler interface {
	// Update takes over the register; it must not keep it.
	Update(r *registry.Registry)
	// Report returns what this VM has to say to the leader.
	Report() protocol.Report
	// HandleReply takes over the answer to a report that was begun at sent.
	HandleReply(sent time.Time, r protocol.Report, reply protocol.ReportReply)
}

// Options configures a Follower.
type Options struct {
	LocalAddr net.Addr
	Clock     clock.Clock
	Log       logrus.FieldLogger
	Seeds     []ident.Address // internal addresses of control members
	Handler   Handler
}

// Follower talks to the control group.
type Follower struct {
	opts   Options
	client protocol.Client
	wake   chan struct{}

	mu      sync.Mutex
	seeds   []ident.Address
	members []ident.Address
	current ident.Address               // the member that is followed; empty while there is none
	leader  ident.Address               // as the followed member said last
	failed  map[ident.Address]time.Time // when a report to a member failed last

	// Run's goroutine owns these.
	register *registry.Registry
	ahead    ident.Index // how far the followed member was when it was chosen
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower {
	return &Follower{opts: o, client: protocol.Client{LocalAddr: o.LocalAddr}, seeds: o.Seeds, register: registry.New(), wake: make(chan struct{}, 1), failed: map[ident.Address]time.Time{}}
}

// TriggerReport makes the next report go out at once.
func (f *Follower) TriggerReport() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// HasLeader reports whether a leader is known, as far as the followed member says.
func (f *Follower) HasLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current != "" && f.leader != ""
}

// SetSeeds replaces the addresses from the settings.
func (f *Follower) SetSeeds(seeds []ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Run follows and reports until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var reports sync.WaitGroup
	reports.Go(func() { f.reports(ctx) })
	defer reports.Wait()
	for ctx.Err() == nil {
		member := f.member()
		if member == "" {
			if !f.search(ctx) && clock.Sleep(ctx, f.opts.Clock, retryPause) != nil {
				return
			}
			continue
		}
		reply, err := f.follow(ctx, member)
		if err == nil && reply.Isolated {
			err = fault.New(fault.Isolated, "follow", string(member), "the member has no contact with a majority")
		}
		if err == nil {
			err = f.take(member, reply)
		}
		if err != nil && ctx.Err() == nil {
			f.opts.Log.WithFields(logrus.Fields{"event": "dependency_lost", "member": member, "index": f.register.Index}).
				WithError(err).Warn("stopped following a control member")
			f.setMember("")
		}
	}
}

func (f *Follower) member() ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *Follower) setMember(a ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = a
}

func (f *Follower) follow(ctx context.Context, member ident.Address) (protocol.FollowReply, error) {
	limit := followWait + followGrace
	if f.ahead > f.register.Index+catchUpFrom {
		limit = catchUpTime
	}
	return f.ask(ctx, member, protocol.FollowRequest{Index: f.register.Index, Wait: followWait}, limit)
}

func (f *Follower) ask(ctx context.Context, member ident.Address, q protocol.FollowRequest, limit time.Duration) (protocol.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply protocol.FollowReply
	err := f.client.Call(ctx, member, protocol.FollowPath, q, &reply)
	return reply, err
}

// candidates returns all addresses that may belong to members.
func (f *Follower) candidates() []ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Concat(f.members, f.seeds)
	slices.Sort(list)
	return slices.Compact(list)
}

// search asks all known members at once and follows the first that answers, has contact with its group and
// is not behind this VM. The answers carry no state: that of all members at once would fill a small VM's link for
// longer than callers and the search itself wait.
func (f *Follower) search(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	type found struct {
		member ident.Address
		reply  protocol.FollowReply
		err    error
	}
	list := f.candidates()
	answers := make(chan found, len(list))
	for _, a := range list {
		go func() {
			reply, err := f.ask(ctx, a, protocol.FollowRequest{StatusOnly: true}, probeTime)
			answers <- found{a, reply, err}
		}()
	}
	chosen := false
	for range list {
		a := <-answers
		if a.err != nil || chosen {
			continue
		}
		f.note(a.reply.Members)
		if a.reply.Isolated || a.reply.Index < f.register.Index {
			continue
		}
		f.ahead = a.reply.Index
		f.setLeader(a.reply.Leader)
		chosen = true
		f.setMember(a.member)
		f.opts.Log.WithFields(logrus.Fields{"event": "dependency_regained", "member": a.member, "index": f.register.Index}).
			Info("following a control member")
		cancel()
	}
	return chosen
}

// setLeader notes who leads. A new leader lends nothing before it has heard of all VMs, so it is told at once.
func (f *Follower) setLeader(a ident.Address) {
	f.mu.Lock()
	changed := a != "" && a != f.leader
	f.leader = a
	f.mu.Unlock()
	if changed {
		f.TriggerReport()
	}
}

// note remembers the group's addresses.
func (f *Follower) note(members []ident.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(members) > 0 {
		f.members = members
	}
}

// take applies an answer to the register, which never goes back.
func (f *Follower) take(member ident.Address, reply protocol.FollowReply) error {
	f.note(reply.Members)
	f.setLeader(reply.Leader)
	before := f.register.Index
	if len(reply.State) > 0 && reply.Index > before {
		if err := f.register.Restore(reply.State); err != nil {
			return err
		}
	}
	for _, e := range reply.Entries {
		if e.Index <= f.register.Index {
			continue
		}
		c, err := registry.Decode(e.Command)
		if err != nil {
			return err
		}
		f.register.Apply(e.Index, c)
	}
	if f.register.Index == before {
		return nil
	}
	f.opts.Log.WithFields(logrus.Fields{"event": "register", "member": member, "index": f.register.Index, "before": before,
		"version": f.register.Version(), "drained": len(f.register.Drained), "upstreams": len(f.register.Upstreams)}).
		Info("register moved on")
	f.opts.Handler.Update(f.register)
	return nil
}

func (f *Follower) reports(ctx context.Context) {
	ticks, stop := f.opts.Clock.Every(reportPeriod)
	defer stop()
	failing := false
	for {
		err := f.Report(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			if failing {
				f.opts.Log.WithField("event", "dependency_lost").WithError(err).Warn("reports do not reach the control leader")
			} else {
				f.opts.Log.WithField("event", "dependency_regained").Info("reports reach the control leader")
			}
		}
		if clock.Sleep(ctx, f.opts.Clock, wakePause) != nil {
			return
		}
		if failing && f.member() != "" {
			continue // another member may take it
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-f.wake:
		}
	}
}

// Report sends one report now, and a whole one where the leader asks for that.
func (f *Follower) Report(ctx context.Context) error {
	for range 2 {
		again, err := f.report(ctx)
		if err != nil || !again {
			return err
		}
	}
	return nil
}

// reportTo returns the member for the next report: the leader, or one that passes it on where the leader is not
// known or did not answer lately.
func (f *Follower) reportTo(now time.Time) ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best ident.Address
	for _, a := range slices.Concat([]ident.Address{f.leader, f.current}, f.members) {
		at, failed := f.failed[a]
		switch {
		case a == "":
		case !failed || now.Sub(at) >= failedPause:
			return a
		case best == "" || at.Before(f.failed[best]):
			best = a
		}
	}
	return best
}

// report sends one report.
func (f *Follower) report(ctx context.Context) (again bool, err error) {
	sent := f.opts.Clock.Now()
	to := f.reportTo(sent)
	if to == "" {
		return false, fault.New(fault.Unreachable, "report", "", "no control member is in reach")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	q := f.opts.Handler.Report()
	var reply protocol.ReportReply
	if err = f.client.Call(ctx, to, protocol.ReportPath, q, &reply); err != nil {
		f.mu.Lock()
		f.failed[to] = f.opts.Clock.Now()
		f.mu.Unlock()
		return false, err
	}
	f.opts.Handler.HandleReply(sent, q, reply)
	return reply.FullReportRequired, nil
}
