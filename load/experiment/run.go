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

// throughEntry is the name of the path through the entry VMs. Other paths are baselines.
const throughEntry = "entry"

// run is one execution of an experiment.
type run struct {
	Experiment
	settings   *Settings
	deployment *deployment.Deployment
	path       string
	clock      clock.Clock
	client     *http.Client
	idPrefix   string
	ctx        context.Context

	start           time.Time
	report          *report.Report
	samples         []report.Sample
	runs            []upstream.Run
	endpoints       []upstream.Status
	mu              sync.Mutex
	performedEvents []report.Event
	observed        observations
	eventErr        error // error of the first event that failed
}

// perform sends the traffic, performs the events at their times and computes the figures.
func (r *run) perform() (*report.Report, error) {
	s := &r.settings.Call
	if r.setTraffic != nil {
		r.setTraffic(s)
	}
	standIns := report.StandIns{Addresses: s.StandInAdmins, Client: r.client}
	var err error
	if r.endpoints, err = standIns.Endpoints(r.ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var background sync.WaitGroup
	runner := &caller.Runner{Settings: s, Path: r.newPath(ctx, &background), Clock: r.clock, IDPrefix: r.idPrefix}
	runner.OnStart = func(start time.Time) {
		r.start = start
		background.Go(func() { r.performEvents(ctx) })
		background.Go(func() { r.observe(ctx, standIns) })
	}
	r.report, r.samples, err = runner.Measure(r.ctx)
	cancel()
	background.Wait()
	if err != nil {
		return nil, err
	}
	if r.eventErr != nil {
		return nil, r.eventErr
	}
	if r.runs, _, err = standIns.Runs(r.ctx, r.idPrefix+"-"); err != nil {
		return nil, err
	}
	r.report.Name, r.report.Path, r.report.Events = r.Name+" on "+r.deployment.Name, r.path, r.performedEvents
	r.addFigures(r)
	return r.report, nil
}

func (r *run) newPath(ctx context.Context, background *sync.WaitGroup) caller.Path {
	if r.path == throughEntry {
		return caller.NewEntryPath(&r.settings.Call, r.clock)
	}
	d := baseline.New(r.path, r.endpoints, r.settings.VMs, r.clock, r.settings.Call.Seed)
	background.Go(func() { d.PollLoads(ctx) })
	return d
}

// performEvents performs the events at their times.
func (r *run) performEvents(ctx context.Context) {
	s := &r.settings.Call
	for _, e := range r.Experiment.events {
		at := r.start.Add(s.Warmup + time.Duration(e.fraction*float64(s.Duration)))
		if clock.Sleep(ctx, r.clock, max(0, at.Sub(r.clock.Now()))) != nil {
			return
		}
		err := e.action(r)
		r.mu.Lock()
		description := e.description
		if err != nil {
			description += ": " + err.Error()
			if r.eventErr == nil {
				r.eventErr = err
			}
		}
		r.performedEvents = append(r.performedEvents, report.Event{At: r.clock.Now().Sub(r.start), Description: description})
		r.mu.Unlock()
	}
}

// firstEventTime returns the time at which the first event was complete, counted from the start of the run, and
// false if there was none.
func (r *run) firstEventTime() (time.Duration, bool) {
	if len(r.performedEvents) == 0 {
		return 0, false
	}
	return r.performedEvents[0].At, true
}

func (r *run) restoreStandIns() error {
	// The next experiment must find the stand-ins in their initial state.
	if err := r.sendToStandIns(http.MethodPut, "/v1/report", `{"mode":"honest"}`); err != nil {
		return err
	}
	return fault.Wrap(r.sendToStandIns(http.MethodPost, "/v1/start", ""), fault.Unreachable, "restore stand-ins", "")
}
