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

// registerTime bounds the wait until all sessions have been answered, and
// graceTime the wait for the last change to reach all of them.
const (
	registerTime = 30 * time.Second
	graceTime    = 7 * time.Second
)

// runner is one run of load nodes.
type runner struct {
	options   *Options
	clock     clock.Clock
	tag       uint64 // distinguishes incarnations and change ids of runs
	traffic   traffic
	tracker   *tracker
	measuring atomic.Bool
	sessions  []*session
	operator  *operator
}

func newRunner(o *Options, c clock.Clock) *runner {
	r := &runner{options: o, clock: c, tag: uint64(c.Now().UnixNano()), tracker: newTracker(o.Count)}
	r.operator = newOperator(o, c, fmt.Sprint("nodes-", r.tag))
	return r
}

// moment is the state of all counters at one time.
type moment struct {
	at             time.Time
	sent, received int64
	processes      []usage
	members        []memberMetrics
	own            usage
}

func (r *runner) look() (moment, error) {
	m := moment{at: r.clock.Now(), sent: r.traffic.sent.Load(), received: r.traffic.received.Load()}
	for _, id := range r.options.Processes {
		u, err := readUsage(procFolder, id)
		if err != nil {
			return m, err
		}
		m.processes = append(m.processes, u)
	}
	client := &http.Client{Timeout: timeout}
	for _, a := range r.options.Admin {
		g, err := readMetrics(client, a)
		if err != nil {
			return m, err
		}
		m.members = append(m.members, g)
	}
	m.own, _ = readUsage(procFolder, "self") // for information only
	return m, nil
}

// run prepares the document, runs the sessions and returns the figures.
func (r *runner) run(ctx context.Context) (*Report, error) {
	o := r.options
	if err := r.operator.prepare(ctx, r.tag); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop := func() {
		cancel()
		running.Wait()
	}
	defer stop()
	begun := r.clock.Now()
	for i := range o.Count {
		s := newSession(o, i, r)
		r.sessions = append(r.sessions, s)
		running.Go(func() { s.loop(ctx, o.Period*time.Duration(i)/time.Duration(o.Count), o.Period) })
	}
	if err := r.await(ctx, registerTime, r.registered); err != nil {
		return nil, fault.New(fault.Deadline, "register sessions", "", "not all were answered within %s", registerTime)
	}
	registered := r.clock.Now().Sub(begun)
	if err := clock.Sleep(ctx, r.clock, o.Warm); err != nil {
		return nil, err
	}
	before, err := r.look()
	if err != nil {
		return nil, err
	}
	r.measuring.Store(true)
	if err := r.measure(ctx); err != nil {
		return nil, err
	}
	r.measuring.Store(false)
	after, err := r.look()
	if err != nil {
		return nil, err
	}
	// Missing changes are reported, so a passed grace time is no error.
	_ = r.await(ctx, graceTime, r.tracker.complete)
	stop()
	return r.summarize(registered, &before, &after), nil
}

func (r *runner) registered() bool {
	for _, s := range r.sessions {
		if !s.first.Load() {
			return false
		}
	}
	return true
}

// await polls until done holds.
func (r *runner) await(ctx context.Context, most time.Duration, done func() bool) error {
	for end := r.clock.Now().Add(most); !done(); {
		if !r.clock.Now().Before(end) {
			return context.DeadlineExceeded
		}
		if err := clock.Sleep(ctx, r.clock, 20*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// measure lets the time pass and makes changes at their rate.
func (r *runner) measure(ctx context.Context) error {
	o := r.options
	span := time.Duration(o.Seconds * float64(time.Second))
	begin := r.clock.Now()
	if o.Changes > 0 {
		base, err := r.operator.revision(ctx, document.DrainsSection)
		if err != nil {
			return err
		}
		for i := 0; ; i++ {
			due := begin.Add(time.Duration(float64(i) / o.Changes * float64(time.Second)))
			if due.Sub(begin) >= span {
				break
			}
			if err := clock.Sleep(ctx, r.clock, due.Sub(r.clock.Now())); err != nil {
				return err
			}
			r.tracker.send(base+1, r.clock.Now())
			if err := r.operator.apply(ctx, drains(base+1), document.DrainsSection, base); err != nil {
				r.tracker.drop(base + 1)
				return err
			}
			base++
		}
	}
	return clock.Sleep(ctx, r.clock, begin.Add(span).Sub(r.clock.Now()))
}

func (r *runner) summarize(registered time.Duration, before, after *moment) *Report {
	o := r.options
	seconds := after.at.Sub(before.at).Seconds()
	each := seconds * float64(o.Count)
	f := &Report{
		Sessions: o.Count, Seconds: seconds, Registered: registered.Seconds(), Load: machineLoad(procFolder),
		Sent: float64(after.sent-before.sent) / each, Received: float64(after.received-before.received) / each,
		Own: (after.own.cpu - before.own.cpu).Seconds(), Spread: r.tracker.spread(),
	}
	hist := report.NewHistogram()
	for _, s := range r.sessions {
		hist.Merge(s.hist)
		f.Exchanges += float64(s.done) / seconds
		f.Failed += s.failed
		f.Parts.Config += s.parts.Config
		f.Parts.Registry += s.parts.Registry
		f.Parts.Members += s.parts.Members
		f.Parts.Allotments += s.parts.Allotments
	}
	f.Latency = quantiles(hist)
	for i, id := range o.Processes {
		a, b := after.processes[i], before.processes[i]
		f.Processes = append(f.Processes, Process{
			ID: id, CPU: (a.cpu - b.cpu).Seconds(), Cores: (a.cpu - b.cpu).Seconds() / seconds,
			Resident: a.resident, Peak: a.peak, Written: a.written - b.written,
		})
	}
	for i, address := range o.Admin {
		a, b := after.members[i], before.members[i]
		f.Members = append(f.Members, Member{
			Admin: address, Syncs: a.Syncs.Count - b.Syncs.Count, Entries: a.Entries.Count - b.Entries.Count,
			Plans: a.Plan.Count - b.Plan.Count, Plan: a.Plan.Mean / 1e6, Allots: a.Allots.Count - b.Allots.Count,
		})
	}
	return f
}
