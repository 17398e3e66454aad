package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/report"
)

// Throughput is what a closed loop of workers got from one entry VM.
type Throughput struct {
	Mode    string            `json:"mode"` // requests or lookups
	VM      ident.Address     `json:"vm"`
	Workers int               `json:"workers"`
	Span    time.Duration     `json:"span"`
	Done    uint64            `json:"done"`
	Failed  uint64            `json:"failed"`
	Rate    ident.RequestRate `json:"rate"` // answered per second
	P50     time.Duration     `json:"p50"`
	P99     time.Duration     `json:"p99"`
}

// loop is a closed loop of workers that each do one thing after another.
type loop struct {
	clock   clock.Clock
	workers int
	span    time.Duration
	do      func(ctx context.Context, n uint64) bool
}

// run repeats do until the span has passed.
func (l *loop) run(ctx context.Context) Throughput {
	ctx, cancel := context.WithTimeout(ctx, l.span)
	defer cancel()
	var count, done, failed atomic.Uint64
	var mu sync.Mutex
	all := report.NewHistogram()
	start := l.clock.Now()
	var working sync.WaitGroup
	for range l.workers {
		working.Go(func() {
			own := report.NewHistogram()
			for ctx.Err() == nil {
				l.once(ctx, own, count.Add(1), &done, &failed)
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(own)
		})
	}
	working.Wait()
	span := l.clock.Now().Sub(start)
	return Throughput{
		Workers: l.workers, Span: span, Done: done.Load(), Failed: failed.Load(),
		Rate: ident.RequestRate(float64(done.Load()) / span.Seconds()),
		P50:  report.Quantile(all, 50), P99: report.Quantile(all, 99),
	}
}

func (l *loop) once(ctx context.Context, hist *hdrhistogram.Histogram, n uint64, done, failed *atomic.Uint64) {
	from := l.clock.Now()
	ok := l.do(ctx, n)
	if ctx.Err() != nil {
		return // cut off by the end of the measurement
	}
	if !ok {
		failed.Add(1)
		return
	}
	done.Add(1)
	hist.RecordValue(max(1, l.clock.Now().Sub(from).Microseconds()))
}

// requests sends requests of the first workspace and service to one entry VM.
func requests(s *caller.Settings, c clock.Clock, tag string) func(context.Context, uint64) bool {
	client := &http.Client{Transport: caller.NewTransport(netip.Addr{})}
	w := &s.Workspaces[0]
	headers := map[string]string{"Authorization": "Bearer " + w.Key}
	return func(ctx context.Context, n uint64) bool {
		r := &caller.Request{ID: fmt.Sprintf("%s-%d", tag, n), Workspace: w, Service: &s.Services[0], BodySize: s.Services[0].BodySize}
		ctx, cancel := context.WithTimeout(ctx, r.Service.Timeout)
		defer cancel()
		x := caller.Exchange{Client: client, Clock: c, Peer: ident.Address(s.EntryAddresses[0]), Attempt: 1, Headers: headers}
		result := x.Do(ctx, r)
		return result.Kind == report.Answered
	}
}

// lookups asks one entry VM for lookups of all services and workspaces in turn.
func lookups(s *caller.Settings) func(context.Context, uint64) bool {
	client := &http.Client{Transport: caller.NewTransport(netip.Addr{})}
	return func(ctx context.Context, n uint64) bool {
		service := s.Services[n%uint64(len(s.Services))].Name
		workspace := s.Workspaces[n%uint64(len(s.Workspaces))].Name
		target := fmt.Sprintf("http://%s/cuminfall/v1/lookup?service=%s&workspace=%s", s.EntryAddresses[0], service, workspace)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return false
		}
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}
}
