package caller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/load/report"
	"cuminfall.example/load/upstream"
)

// Runner sends the requests of a plan at their intended times and records a sample of each.
type Runner struct {
	Settings *Settings
	Path     Path
	Clock    clock.Clock
	IDPrefix string // first part of the request IDs, unique per run

	// OnStart, if set, is called when the run starts.
	OnStart func(start time.Time)

	mu      sync.Mutex
	samples []report.Sample
}

// NewIDPrefix returns a prefix for the request IDs of one run, derived from the current time.
func NewIDPrefix(c clock.Clock) string { return fmt.Sprintf("r%x", c.Now().UnixMilli()) }

// Send sends all planned requests and returns their samples, whose times count from the call of Send. If ctx
// ends, it omits the requests that are not yet sent.
func (r *Runner) Send(ctx context.Context) []report.Sample {
	plan := Plan(r.Settings, r.IDPrefix)
	r.samples = make([]report.Sample, 0, len(plan))
	start := r.Clock.Now()
	if r.OnStart != nil {
		r.OnStart(start)
	}
	inFlight := make(chan struct{}, r.Settings.MaxInFlight)
	var senders sync.WaitGroup
	for i := range plan {
		if wait := start.Add(plan[i].SendAt).Sub(r.Clock.Now()); wait > 0 && clock.Sleep(ctx, r.Clock, wait) != nil {
			break
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		senders.Go(func() {
			r.sendOne(ctx, start, &plan[i])
			<-inFlight
		})
	}
	senders.Wait()
	return r.samples
}

func (r *Runner) sendOne(ctx context.Context, start time.Time, request *Request) {
	sent := r.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, request.Service.Timeout+deadlineMargin)
	result := r.Path.Do(ctx, request)
	cancel()
	done := r.Clock.Now()
	s := report.Sample{
		Request: request.ID, Workspace: request.Workspace.Name, Service: request.Service.Name, NonIdempotent: request.Service.NonIdempotent,
		Intended: request.SendAt, Sent: sent.Sub(start), Done: done.Sub(start),
		Kind: result.Kind, Status: result.Status, Code: result.Code, Execution: result.Execution,
		Attempts: result.Attempts, Peer: result.Peer, IsRepeat: request.IsRepeat, Message: result.Message, Path: result.Path,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// Measure sends all planned requests and summarizes the samples. If the settings name stand-ins, it compares the
// samples with their run records, and returns an error if a stand-in can't be read.
func (r *Runner) Measure(ctx context.Context) (*report.Report, []report.Sample, error) {
	standIns := report.StandIns{Addresses: r.Settings.StandInAdmins, Client: &http.Client{Timeout: 10 * time.Second}}
	before, err := standIns.Endpoints(ctx)
	if err != nil {
		return nil, nil, err
	}
	samples := r.Send(ctx)
	s := r.Settings
	out := report.Summarize(samples, s.Entitlements(), s.Warmup, s.Duration)
	out.Seed = s.Seed
	if len(s.StandInAdmins) == 0 {
		return out, samples, nil
	}
	after, err := standIns.Endpoints(ctx)
	if err != nil {
		return nil, samples, err
	}
	runs, dropped, err := standIns.Runs(ctx, r.IDPrefix+"-")
	if err != nil {
		return nil, samples, err
	}
	out.Runs = report.Compare(samples, runs, s.Entitlements(), s.RateSlack)
	out.Runs.Dropped = dropped
	out.Runs.OverSlots, out.Runs.OverConnections = limitViolations(after, before)
	return out, samples, nil
}

// limitViolations returns how many requests exceeded the endpoints' slots and how many connections exceeded their
// connection limits between two states.
func limitViolations(after, before []upstream.Status) (overSlots, overConnections uint64) {
	for _, s := range after {
		overSlots += s.Counts.SaturatedArrivals
		overConnections += s.Counts.RefusedConnections
	}
	for _, s := range before {
		overSlots -= s.Counts.SaturatedArrivals
		overConnections -= s.Counts.RefusedConnections
	}
	return overSlots, overConnections
}
