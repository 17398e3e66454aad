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

// Names of the two paths.
const (
	throughEntry = "entry"
	straight     = "direct"
)

// alternating sends every second request through entry VMs and the others straight to
// stand-ins, so that both paths meet the same state of the machine.
type alternating struct {
	entry  caller.Path
	direct caller.Path
	count  atomic.Uint64
}

// Do implements caller.Path.
func (a *alternating) Do(ctx context.Context, r *caller.Request) caller.Result {
	name, path := throughEntry, a.entry
	if a.count.Add(1)%2 == 0 {
		name, path = straight, a.direct
	}
	result := path.Do(ctx, r)
	result.Path = name
	return result
}

// Latencies are those of the answered requests of one path.
type Latencies struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	hist  *hdrhistogram.Histogram
}

// Comparison is the added latency of one service, in nanoseconds.
type Comparison struct {
	Service ident.Service `json:"service"`
	Entry   Latencies     `json:"entry"`
	Direct  Latencies     `json:"direct"`
	Added50 time.Duration `json:"added50"` // difference of the medians
	Added99 time.Duration `json:"added99"` // difference of the 99th percentiles
	Failed  int           `json:"failed"`  // requests of either path without an answer
}

// Compare computes the added latencies of a run whose measurement started at from.
func Compare(samples []report.Sample, from time.Duration) []Comparison {
	byService := make(map[ident.Service]*Comparison)
	all := newComparison("all")
	for i := range samples {
		s := &samples[i]
		if s.Intended < from {
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
		Service: name, Entry: Latencies{hist: report.NewHistogram()}, Direct: Latencies{hist: report.NewHistogram()},
	}
}

// add counts from the send and not from the intended time, because the delay of the
// caller's own timers is the same for both paths and larger than what is looked for.
func (c *Comparison) add(s *report.Sample) {
	if s.Kind != report.Answered {
		c.Failed++
		return
	}
	l := &c.Entry
	if s.Path == straight {
		l = &c.Direct
	}
	l.Count++
	l.hist.RecordValue(max(1, (s.Done - s.Sent).Microseconds()))
}

func (c *Comparison) finish() Comparison {
	for _, l := range []*Latencies{&c.Entry, &c.Direct} {
		l.P50 = report.Quantile(l.hist, 50)
		l.P99 = report.Quantile(l.hist, 99)
	}
	c.Added50 = c.Entry.P50 - c.Direct.P50
	c.Added99 = c.Entry.P99 - c.Direct.P99
	return *c
}

func printComparisons(w io.Writer, list []Comparison) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tENTRY\tP50\tP99\tDIRECT\tP50\tP99\tADDED P50\tADDED P99\tFAILED")
	for _, c := range list {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\n", c.Service, c.Entry.Count, c.Entry.P50, c.Entry.P99,
			c.Direct.Count, c.Direct.P50, c.Direct.P99, c.Added50, c.Added99, c.Failed)
	}
	return fault.Wrap(t.Flush(), fault.Internal, "write comparison", "")
}
