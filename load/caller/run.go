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

// Runner sends the requests of a plan at their times and keeps a sample of each.
type Runner struct {
	Settings *Settings
	Path     Path
	Clock    clock.Clock
	Tag      string // first part of the request ids, unique per run

	// Begin, if set, is called when the run starts.
	Begin func(start time.Time)

	mu      sync.Mutex
	samples []report.Sample
}

// NewTag returns a tag for the requests of one run.
func NewTag(c clock.Clock) string { return fmt.Sprintf("r%x", c.Now().UnixMilli()) }

// Send performs the plan and returns the samples; times count from the call.
func (r *Runner) Send(ctx context.Context) []report.Sample {
	plan := Plan(r.Settings, r.Tag)
	r.samples = make([]report.Sample, 0, len(plan))
	start := r.Clock.Now()
	if r.Begin != nil {
		r.Begin(start)
	}
	places := make(chan struct{}, r.Settings.Most)
	var sending sync.WaitGroup
	for i := range plan {
		if wait := start.Add(plan[i].At).Sub(r.Clock.Now()); wait > 0 && clock.Sleep(ctx, r.Clock, wait) != nil {
			break
		}
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		sending.Go(func() {
			r.one(ctx, start, &plan[i])
			<-places
		})
	}
	sending.Wait()
	return r.samples
}

func (r *Runner) one(ctx context.Context, start time.Time, request *Request) {
	sent := r.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, request.Service.Timeout+deadlineMargin)
	result := r.Path.Do(ctx, request)
	cancel()
	done := r.Clock.Now()
	s := report.Sample{
		Request: request.ID, Workspace: request.Workspace.Name, Service: request.Service.Name, Once: request.Service.Once,
		Intended: request.At, Sent: sent.Sub(start), Done: done.Sub(start),
		Kind: result.Kind, Status: result.Status, Code: result.Code, Run: result.Run,
		Attempts: result.Attempts, Peer: result.Peer, Repeat: request.Repeat, Message: result.Message, Path: result.Path,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

// Measure performs the plan and compares it with the records of the stand-ins, if any are named.
func (r *Runner) Measure(ctx context.Context) (*report.Report, []report.Sample, error) {
	stands := report.Stands{Addresses: r.Settings.Upstreams, Client: &http.Client{Timeout: 10 * time.Second}}
	before, err := stands.Endpoints(ctx)
	if err != nil {
		return nil, nil, err
	}
	samples := r.Send(ctx)
	s := r.Settings
	out := report.Summarize(samples, s.Entitlements(), s.Warmup, s.Duration)
	out.Seed = s.Seed
	if len(s.Upstreams) == 0 {
		return out, samples, nil
	}
	after, err := stands.Endpoints(ctx)
	if err != nil {
		return nil, samples, err
	}
	runs, dropped, err := stands.Runs(ctx, r.Tag+"-")
	if err != nil {
		return nil, samples, err
	}
	out.Runs = report.Compare(samples, runs, s.Entitlements(), s.Slack)
	out.Runs.Dropped = dropped
	out.Runs.Over, out.Runs.Connections = passed(after, before)
	return out, samples, nil
}

// passed returns how often the endpoints' limits on slots and connections were passed between two states.
func passed(after, before []upstream.Status) (over, connections uint64) {
	for _, s := range after {
		over += s.Counts.SaturatedArrivals
		connections += s.Counts.RefusedConnections
	}
	for _, s := range before {
		over -= s.Counts.SaturatedArrivals
		connections -= s.Counts.RefusedConnections
	}
	return over, connections
}
