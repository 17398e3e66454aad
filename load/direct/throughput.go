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

// Throughput is the result of a closed loop of workers against one entry VM; JSON has durations in nanoseconds.
type Throughput struct {
	Mode        string            `json:"mode"` // requests or lookups
	VM          ident.Address     `json:"vm"`
	Workers     int               `json:"workers"`
	Duration    time.Duration     `json:"span"`
	Done        uint64            `json:"done"`
	Failed      uint64            `json:"failed"`
	RequestRate ident.RequestRate `json:"rate"` // completed operations per second
	P50         time.Duration     `json:"p50"`
	P99         time.Duration     `json:"p99"`
}

// closedLoop runs operations on several workers, each of which starts the next when the previous one ends.
type closedLoop struct {
	clock     clock.Clock
	workers   int
	duration  time.Duration
	operation func(ctx context.Context, n uint64) bool
}

// run repeats the operation on all workers until the duration has passed.
func (l *closedLoop) run(ctx context.Context) Throughput {
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	var count, done, failed atomic.Uint64
	var mu sync.Mutex
	histogram := report.NewHistogram()
	start := l.clock.Now()
	var workers sync.WaitGroup
	for range l.workers {
		workers.Go(func() {
			workerHistogram := report.NewHistogram()
			for ctx.Err() == nil {
				l.runOnce(ctx, workerHistogram, count.Add(1), &done, &failed)
			}
			mu.Lock()
			defer mu.Unlock()
			histogram.Merge(workerHistogram)
		})
	}
	workers.Wait()
	elapsed := l.clock.Now().Sub(start)
	return Throughput{
		Workers: l.workers, Duration: elapsed, Done: done.Load(), Failed: failed.Load(),
		RequestRate: ident.RequestRate(float64(done.Load()) / elapsed.Seconds()),
		P50:         report.Quantile(histogram, 50), P99: report.Quantile(histogram, 99),
	}
}

func (l *closedLoop) runOnce(ctx context.Context, histogram *hdrhistogram.Histogram, n uint64, done, failed *atomic.Uint64) {
	start := l.clock.Now()
	ok := l.operation(ctx, n)
	if ctx.Err() != nil {
		return // interrupted by the end of the measurement
	}
	if !ok {
		failed.Add(1)
		return
	}
	done.Add(1)
	histogram.RecordValue(max(1, l.clock.Now().Sub(start).Microseconds()))
}

// requestOperation returns an operation that sends a request of the first workspace and service to the first entry VM.
func requestOperation(s *caller.Settings, c clock.Clock, tag string) func(context.Context, uint64) bool {
	client := &http.Client{Transport: caller.NewTransport(netip.Addr{})}
	w := &s.Workspaces[0]
	headers := map[string]string{"Authorization": "Bearer " + w.Key}
	return func(ctx context.Context, n uint64) bool {
		r := &caller.Request{ID: fmt.Sprintf("%s-%d", tag, n), Workspace: w, Service: &s.Services[0], BodySize: s.Services[0].BodySize}
		ctx, cancel := context.WithTimeout(ctx, r.Service.Timeout)
		defer cancel()
		exchange := caller.Exchange{Client: client, Clock: c, Peer: ident.Address(s.EntryAddresses[0]), Attempt: 1, Headers: headers}
		result := exchange.Do(ctx, r)
		return result.Kind == report.Answered
	}
}

// lookupOperation returns an operation that requests a lookup from the first entry VM, with services and workspaces in turn.
func lookupOperation(s *caller.Settings) func(context.Context, uint64) bool {
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
