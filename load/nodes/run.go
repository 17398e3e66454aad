package nodes

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/report"
)

// registrationTimeout limits the wait until all sessions have their first reply, and propagationTimeout the wait
// until all sessions have received the last change.
const (
	registrationTimeout = 30 * time.Second
	propagationTimeout  = 7 * time.Second
)

// runner executes one run of load nodes.
type runner struct {
	options   *Options
	clock     clock.Clock
	runID     uint64 // distinguishes the incarnations and change IDs of this run from those of others
	traffic   traffic
	tracker   *changeTracker
	measuring atomic.Bool
	sessions  []*session
	operator  *operator
}

func newRunner(o *Options, c clock.Clock) *runner {
	r := &runner{options: o, clock: c, runID: uint64(c.Now().UnixNano()), tracker: newChangeTracker(o.Sessions)}
	r.operator = newOperator(o, c, fmt.Sprint("nodes-", r.runID))
	return r
}

// counters holds the values of all counters at one time.
type counters struct {
	at             time.Time
	sent, received int64
	processes      []usage
	members        []memberMetrics
	own            usage
}

func (r *runner) readCounters() (counters, error) {
	m := counters{at: r.clock.Now(), sent: r.traffic.sent.Load(), received: r.traffic.received.Load()}
	for _, id := range r.options.ProcessIDs {
		u, err := readUsage(procDirectory, id)
		if err != nil {
			return m, err
		}
		m.processes = append(m.processes, u)
	}
	client := &http.Client{Timeout: exchangeTimeout}
	for _, a := range r.options.AdminAddresses {
		g, err := readMetrics(client, a)
		if err != nil {
			return m, err
		}
		m.members = append(m.members, g)
	}
	m.own, _ = readUsage(procDirectory, "self") // for information only, so a failure is ignored
	return m, nil
}

// run prepares the document, runs the sessions and returns the report.
func (r *runner) run(ctx context.Context) (*Report, error) {
	o := r.options
	if err := r.operator.prepare(ctx, r.runID); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop := func() {
		cancel()
		running.Wait()
	}
	defer stop()
	start := r.clock.Now()
	for i := range o.Sessions {
		s := newSession(o, i, r)
		r.sessions = append(r.sessions, s)
		running.Go(func() { s.loop(ctx, o.SyncInterval*time.Duration(i)/time.Duration(o.Sessions), o.SyncInterval) })
	}
	if err := r.await(ctx, registrationTimeout, r.allRegistered); err != nil {
		return nil, fault.New(fault.Deadline, "register sessions", "", "not all sessions had a reply within %s", registrationTimeout)
	}
	registered := r.clock.Now().Sub(start)
	if err := clock.Sleep(ctx, r.clock, o.WarmUp); err != nil {
		return nil, err
	}
	before, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	r.measuring.Store(true)
	if err := r.measure(ctx); err != nil {
		return nil, err
	}
	r.measuring.Store(false)
	after, err := r.readCounters()
	if err != nil {
		return nil, err
	}
	// A timeout is no error here, because the report shows the missing changes.
	_ = r.await(ctx, propagationTimeout, r.tracker.allReceived)
	stop()
	return r.summarize(registered, &before, &after), nil
}

func (r *runner) allRegistered() bool {
	for _, s := range r.sessions {
		if !s.registered.Load() {
			return false
		}
	}
	return true
}

// await polls until done returns true, and returns an error after the timeout.
func (r *runner) await(ctx context.Context, timeout time.Duration, done func() bool) error {
	for end := r.clock.Now().Add(timeout); !done(); {
		if !r.clock.Now().Before(end) {
			return context.DeadlineExceeded
		}
		if err := clock.Sleep(ctx, r.clock, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// measure applies changes at the configured rate and returns at the end of the measurement.
func (r *runner) measure(ctx context.Context) error {
	o := r.options
	duration := time.Duration(o.Seconds * float64(time.Second))
	start := r.clock.Now()
	if o.ChangeRate > 0 {
		base, err := r.operator.revision(ctx, document.DrainsSection)
		if err != nil {
			return err
		}
		for i := 0; ; i++ {
			due := start.Add(time.Duration(float64(i) / o.ChangeRate * float64(time.Second)))
			if due.Sub(start) >= duration {
				break
			}
			if err := clock.Sleep(ctx, r.clock, due.Sub(r.clock.Now())); err != nil {
				return err
			}
			r.tracker.addSent(base+1, r.clock.Now())
			if err := r.operator.apply(ctx, uniqueDrain(base+1), document.DrainsSection, base); err != nil {
				r.tracker.remove(base + 1)
				return err
			}
			base++
		}
	}
	return clock.Sleep(ctx, r.clock, start.Add(duration).Sub(r.clock.Now()))
}

func (r *runner) summarize(registered time.Duration, before, after *counters) *Report {
	o := r.options
	seconds := after.at.Sub(before.at).Seconds()
	sessionSeconds := seconds * float64(o.Sessions)
	f := &Report{
		Sessions: o.Sessions, Seconds: seconds, RegistrationSeconds: registered.Seconds(), HostLoad: hostLoad(procDirectory),
		Sent: float64(after.sent-before.sent) / sessionSeconds, Received: float64(after.received-before.received) / sessionSeconds,
		OwnCPU: (after.own.cpu - before.own.cpu).Seconds(), Propagation: r.tracker.summarize(),
	}
	hist := report.NewHistogram()
	for _, s := range r.sessions {
		hist.Merge(s.hist)
		f.Exchanges += float64(s.exchanges) / seconds
		f.Failed += s.failed
		f.Parts.Config += s.parts.Config
		f.Parts.Registry += s.parts.Registry
		f.Parts.Members += s.parts.Members
		f.Parts.Allotments += s.parts.Allotments
	}
	f.Latency = quantiles(hist)
	for i, id := range o.ProcessIDs {
		a, b := after.processes[i], before.processes[i]
		f.Processes = append(f.Processes, Process{
			ID: id, CPU: (a.cpu - b.cpu).Seconds(), Cores: (a.cpu - b.cpu).Seconds() / seconds,
			Resident: a.resident, Peak: a.peak, Written: a.written - b.written,
		})
	}
	for i, address := range o.AdminAddresses {
		a, b := after.members[i], before.members[i]
		f.Members = append(f.Members, Member{
			Admin: address, DiskSyncs: a.DiskSync.Count - b.DiskSync.Count, SyncedEntries: a.SyncedEntries.Count - b.SyncedEntries.Count,
			Plans: a.Plan.Count - b.Plan.Count, PlanMilliseconds: a.Plan.Mean / 1e6, ShareChanges: a.ShareChanges.Count - b.ShareChanges.Count,
		})
	}
	return f
}
