package direct

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/caller"
	"cuminfall.example/load/report"
)

// Paths of a comparison, as in Sample.Path.
const (
	entryPath  = "entry"
	directPath = "direct"
)

// alternatingPath sends every second request through entry VMs and the others directly to stand-in
// endpoints, so that both paths are measured under the same conditions.
type alternatingPath struct {
	entry  caller.Path
	direct caller.Path
	count  atomic.Uint64
}

// Do implements caller.Path.
func (a *alternatingPath) Do(ctx context.Context, r *caller.Request) caller.Result {
	name, path := entryPath, a.entry
	if a.count.Add(1)%2 == 0 {
		name, path = directPath, a.direct
	}
	result := path.Do(ctx, r)
	result.Path = name
	return result
}

// Latencies holds the latencies of the answered requests on one path.
type Latencies struct {
	Count     int           `json:"count"`
	P50       time.Duration `json:"p50"`
	P99       time.Duration `json:"p99"`
	histogram *hdrhistogram.Histogram
}

// Comparison compares the latencies of a service on both paths; JSON has durations in nanoseconds.
type Comparison struct {
	Service  ident.Service `json:"service"`
	Entry    Latencies     `json:"entry"`
	Direct   Latencies     `json:"direct"`
	AddedP50 time.Duration `json:"added50"` // difference of the medians
	AddedP99 time.Duration `json:"added99"` // difference of the 99th percentiles
	Failed   int           `json:"failed"`  // requests on either path that were not answered
}

// Compare returns a comparison for each service and one for all, from the samples intended at or after start.
func Compare(samples []report.Sample, start time.Duration) []Comparison {
	byService := make(map[ident.Service]*Comparison)
	all := newComparison("all")
	for i := range samples {
		s := &samples[i]
		if s.Intended < start {
			continue
		}
		if byService[s.Service] == nil {
			byService[s.Service] = newComparison(s.Service)
		}
		byService[s.Service].add(s)
		all.add(s)
	}
	list := make([]Comparison, 0, len(byService)+1)
	for _, c := range byService {
		list = append(list, c.finish())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	return append(list, all.finish())
}

func newComparison(name ident.Service) *Comparison {
	return &Comparison{
		Service: name, Entry: Latencies{histogram: report.NewHistogram()}, Direct: Latencies{histogram: report.NewHistogram()},
	}
}

// add measures latencies from the send, not from the intended time: the delay of the caller's
// timers affects both paths alike and exceeds the latency to be measured.
func (c *Comparison) add(s *report.Sample) {
	if s.Kind != report.Answered {
		c.Failed++
		return
	}
	l := &c.Entry
	if s.Path == directPath {
		l = &c.Direct
	}
	l.Count++
	l.histogram.RecordValue(max(1, (s.Done - s.Sent).Microseconds()))
}

func (c *Comparison) finish() Comparison {
	for _, l := range []*Latencies{&c.Entry, &c.Direct} {
		l.P50 = report.Quantile(l.histogram, 50)
		l.P99 = report.Quantile(l.histogram, 99)
	}
	c.AddedP50 = c.Entry.P50 - c.Direct.P50
	c.AddedP99 = c.Entry.P99 - c.Direct.P99
	return *c
}

func printComparisons(w io.Writer, list []Comparison) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tENTRY\tP50\tP99\tDIRECT\tP50\tP99\tADDED P50\tADDED P99\tFAILED")
	for _, c := range list {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\n", c.Service, c.Entry.Count, c.Entry.P50, c.Entry.P99,
			c.Direct.Count, c.Direct.P50, c.Direct.P99, c.AddedP50, c.AddedP99, c.Failed)
	}
	return fault.Wrap(t.Flush(), fault.Internal, "write comparison", "")
}
