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
		if err == nil && reply.Isolated {
			err = fault.New(fault.Isolated, "follow", string(member), "member has no contact with a majority of the control group")
		}
		if err == nil && reply.CatchingUp {
			err = fault.New(fault.Stale, "follow", string(member), "member may lack changes that others have")
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

// followCall is a follow request that has no result yet.
type followCall struct {
	member ident.Address
	cancel context.CancelFunc

	mu        sync.Mutex
	arrivedAt time.Time // when the last part of the reply arrived; zero before the first one
}

// followResult is the outcome of a follow request.
type followResult struct {
	call  *followCall
	reply protocol.FollowReply
	err   error
}

// isArriving returns whether parts of the reply have arrived recently.
func (c *followCall) isArriving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.arrivedAt.IsZero() && now.Sub(c.arrivedAt) < replySilence
}

func (f *Follower) startFollowCall(ctx context.Context, member ident.Address) *followCall {
	call := &followCall{member: member}
	callCtx, cancel := context.WithTimeout(ctx, lateFollowTimeout)
	call.cancel = cancel
	request := protocol.FollowRequest{Index: f.registry.Index, Wait: longPollWait}
	go func() {
		defer cancel()
		r := followResult{call: call}
		r.err = f.client.CallWatched(callCtx, member, protocol.FollowPath, request, &r.reply, func() {
			call.mu.Lock()
			defer call.mu.Unlock()
			call.arrivedAt = f.opts.Clock.Now()
		})
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	}()
	return call
}

// fetchChanges requests the changes of the registry. The reply is nil if a late one came first. A call that has no reply when its time is over is not given up, as the
// VM's own link may be the slow one. It may also be that of the member, so another member is asked meanwhile.
func (f *Follower) fetchChanges(ctx context.Context, member ident.Address) (*protocol.FollowReply, error) {
	timeout := longPollWait + longPollMargin
	if f.targetIndex > f.registry.Index+catchUpThreshold {
		timeout = catchUpTimeout
	}
	call := f.startFollowCall(ctx, member)
	expired := f.opts.Clock.After(timeout)
	for {
		select {
		case <-ctx.Done():
			return nil, fault.Wrap(ctx.Err(), fault.Unreachable, "follow", string(member))
		case r := <-f.results:
			if r.call == call {
				if r.err == nil && r.reply.Index > f.registry.Index {
					f.dropLateCalls()
				}
				return &r.reply, r.err
			}
			if f.endLateCall(r) {
				call.cancel() // it asks for what this reply brought
				return nil, nil
			}
		case <-expired:
			if f.keepsWaiting(call) {
				expired = f.opts.Clock.After(replySilence)
				continue
			}
			return nil, fault.New(fault.Unreachable, "follow", string(member), "no complete reply within %s", timeout)
		}
	}
}

// keepsWaiting decides about a call whose time is over. It makes it a late call, in place of a silent one if there are too
// many, or gives it up. It returns true if the call is to be waited for, as all replies are arriving.
func (f *Follower) keepsWaiting(call *followCall) bool {
	now := f.opts.Clock.Now()
	if len(f.late) >= maxLateCalls {
		if !call.isArriving(now) {
			call.cancel()
			return false
		}
		silent := slices.IndexFunc(f.late, func(c *followCall) bool { return !c.isArriving(now) })
		if silent < 0 {
			return true
		}
		f.late[silent].cancel()
		f.late = slices.Delete(f.late, silent, silent+1)
	}
	f.late = append(f.late, call)
	return false
}

// endLateCall takes the result of a late call, and returns whether it brought the registry forward. Its member is followed
// then: a search for one might get no answer over the link that made the reply late.
func (f *Follower) endLateCall(r followResult) bool {
	i := slices.Index(f.late, r.call)
	if i < 0 {
		return false // given up
	}
	f.late = slices.Delete(f.late, i, i+1)
	before := f.registry.Index
	err := r.err
	useful := err == nil && !r.reply.Isolated && !r.reply.CatchingUp && r.reply.Index > before
	if useful {
		err = f.applyReply(r.call.member, r.reply)
	}
	log := f.opts.Log.WithFields(logrus.Fields{"event": "late_reply", "member": r.call.member, "index": r.reply.Index, "before": before, "useful": useful})
	if err != nil {
		log.WithError(err).Warn("late call of a control member failed")
		return false
	}
	log.Info("late reply of a control member arrived")
	if useful {
		f.follow(r.call.member, r.reply)
	}
	return useful
}

// dropLateCalls gives up all late calls.
func (f *Follower) dropLateCalls() {
	for _, c := range f.late {
		c.cancel()
	}
	f.late = nil
}

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
			if result.reply.Isolated || result.reply.CatchingUp || result.reply.Index < f.registry.Index {
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

func (f *Follower) runReports(ctx context.Context) {
	ticks, stop := f.opts.Clock.Every(reportInterval)
	defer stop()
	failing := false
	for {
		err := f.SendReport(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			if failing {
				f.opts.Log.WithField("event", "dependency_lost").WithError(err).Warn("failed to send report to the control leader")
			} else {
				f.opts.Log.WithField("event", "dependency_regained").Info("reports to the control leader succeed again")
			}
		}
		if clock.Sleep(ctx, f.opts.Clock, minReportInterval) != nil {
			return
		}
		if failing && f.followedMember() != "" {
			continue // retry at once, because another member may accept the report
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-f.reportTrigger:
		}
	}
}

// SendReport sends a report immediately, followed by a full report if the leader requires one.
func (f *Follower) SendReport(ctx context.Context) error {
	for range 2 {
		fullRequired, err := f.sendReportOnce(ctx)
		if err != nil || !fullRequired {
			return err
		}
	}
	return nil
}

// reportTarget returns the member that gets the next report: the leader, or a member that forwards the report if the
// leader is unknown or failed recently. If all failed recently, it is the one whose failure is the oldest. It is empty
// if no member is known.
func (f *Follower) reportTarget(now time.Time) ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var leastRecent ident.Address
	for _, member := range slices.Concat([]ident.Address{f.leader, f.followed}, f.members) {
		failedAt, failed := f.lastFailure[member]
		switch {
		case member == "":
		case !failed || now.Sub(failedAt) >= failedMemberPause:
			return member
		case leastRecent == "" || failedAt.Before(f.lastFailure[leastRecent]):
			leastRecent = member
		}
	}
	return leastRecent
}

// sendReportOnce sends one report and returns whether the leader requires a full one next.
func (f *Follower) sendReportOnce(ctx context.Context) (fullRequired bool, err error) {
	sentAt := f.opts.Clock.Now()
	target := f.reportTarget(sentAt)
	if target == "" {
		return false, fault.New(fault.Unreachable, "report", "", "no control member is known")
	}
	report := f.opts.Handler.Report()
	reply, err := f.exchangeReport(ctx, sentAt, target, report)
	if err != nil {
		f.mu.Lock()
		f.lastFailure[target] = f.opts.Clock.Now()
		f.mu.Unlock()
		return false, err
	}
	f.opts.Handler.HandleReply(sentAt, report, reply)
	return reply.FullReportRequired, nil
}

// reportResult is the outcome of one report.
type reportResult struct {
	reply protocol.ReportReply
	err   error
}

// exchangeReport sends a report and waits for the reply until reportTimeout. After that the exchange goes on in the
// background, because the report still shows the leader that this VM is up.
func (f *Follower) exchangeReport(ctx context.Context, sentAt time.Time, target ident.Address, report protocol.Report) (protocol.ReportReply, error) {
	exchangeCtx, cancel := context.WithTimeout(ctx, lateReportTimeout)
	results := make(chan reportResult, 1)
	go func() {
		defer cancel()
		var r reportResult
		r.err = f.reportClient.Call(exchangeCtx, target, protocol.ReportPath, report, &r.reply)
		results <- r
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return protocol.ReportReply{}, fault.Wrap(ctx.Err(), fault.Unreachable, "report", string(target))
	case <-f.opts.Clock.After(reportTimeout):
	}
	select {
	case f.lateReports <- struct{}{}:
		go f.awaitLateReply(sentAt, report, results)
	default:
		cancel()
	}
	return protocol.ReportReply{}, fault.New(fault.Unreachable, "report", string(target), "no reply within %s", reportTimeout)
}

func (f *Follower) awaitLateReply(sentAt time.Time, report protocol.Report, results <-chan reportResult) {
	r := <-results
	<-f.lateReports
	if r.err == nil {
		f.opts.Handler.HandleLateReply(sentAt, report, r.reply)
	}
}
