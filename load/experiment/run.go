package experiment

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/load/baseline"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/deployment"
	"cuminfall.example/load/report"
	"cuminfall.example/load/upstream"
)

// throughEntry is the path through the fleet, as opposed to a baseline.
const throughEntry = "entry"

// run is one performance of an experiment.
type run struct {
	Experiment
	set    *Settings
	shape  *deployment.Deployment
	path   string
	clock  clock.Clock
	client *http.Client
	tag    string
	ctx    context.Context

	start   time.Time
	report  *report.Report
	samples []report.Sample
	runs    []upstream.Run
	where   []upstream.Status
	mu      sync.Mutex
	events  []report.Event
	watch   watch
	failed  error // of the first event that failed
}

// perform sends the traffic, makes the events happen and computes the figures.
func (r *run) perform() (*report.Report, error) {
	s := &r.set.Call
	if r.traffic != nil {
		r.traffic(s)
	}
	stands := report.Stands{Addresses: s.Upstreams, Client: r.client}
	var err error
	if r.where, err = stands.Endpoints(r.ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var beside sync.WaitGroup
	runner := &caller.Runner{Settings: s, Path: r.newPath(ctx, &beside), Clock: r.clock, Tag: r.tag}
	runner.Begin = func(start time.Time) {
		r.start = start
		beside.Go(func() { r.conduct(ctx) })
		beside.Go(func() { r.observe(ctx, stands) })
	}
	r.report, r.samples, err = runner.Measure(r.ctx)
	cancel()
	beside.Wait()
	if err != nil {
		return nil, err
	}
	if r.failed != nil {
		return nil, r.failed
	}
	if r.runs, _, err = stands.Runs(r.ctx, r.tag+"-"); err != nil {
		return nil, err
	}
	r.report.Name, r.report.Path, r.report.Events = r.Name+" on "+r.shape.Name, r.path, r.events
	r.figures(r)
	return r.report, nil
}

func (r *run) newPath(ctx context.Context, beside *sync.WaitGroup) caller.Path {
	if r.path == throughEntry {
		return caller.NewEntry(&r.set.Call, r.clock)
	}
	d := baseline.New(r.path, r.where, r.set.VMs, r.clock, r.set.Call.Seed)
	beside.Go(func() { d.PollLoads(ctx) })
	return d
}

// conduct makes the events happen at their times.
func (r *run) conduct(ctx context.Context) {
	s := &r.set.Call
	for _, e := range r.Experiment.events {
		at := r.start.Add(s.Warmup + time.Duration(e.at*float64(s.Duration)))
		if clock.Sleep(ctx, r.clock, max(0, at.Sub(r.clock.Now()))) != nil {
			return
		}
		err := e.do(r)
		r.mu.Lock()
		what := e.what
		if err != nil {
			what += ": " + err.Error()
			if r.failed == nil {
				r.failed = err
			}
		}
		r.events = append(r.events, report.Event{At: r.clock.Now().Sub(r.start), What: what})
		r.mu.Unlock()
	}
}

// eventAt returns when the first event had happened, since the start of the run.
func (r *run) eventAt() (time.Duration, bool) {
	if len(r.events) == 0 {
		return 0, false
	}
	return r.events[0].At, true
}

func (r *run) restore() error {
	// Experiments leave the stand-ins as they were, so that the next one starts from the same state.
	if err := r.stands(http.MethodPut, "/v1/report", `{"mode":"honest"}`); err != nil {
		return err
	}
	return fault.Wrap(r.stands(http.MethodPost, "/v1/start", ""), fault.Unreachable, "restore stand-ins", "")
}
