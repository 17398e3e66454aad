package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Report is the outcome of one run; durations are in nanoseconds.
type Report struct {
	Name       string        `json:"name"`
	Path       string        `json:"path"` // how requests reached the stand-ins
	Seed       uint64        `json:"seed"`
	Span       time.Duration `json:"span"`
	Total      Service       `json:"total"`
	Services   []Service     `json:"services"`
	Workspaces []Workspace   `json:"workspaces"`
	Worst      Worst         `json:"worst"`
	Wrongful   int           `json:"wrongful"` // refusals although within the rate
	Repeats    int           `json:"repeats"`  // requests sent again on purpose with the same idempotency key
	Held       int           `json:"held"`     // requests sent over 10 ms late by the caller itself
	Runs       *Runs         `json:"runs,omitempty"`
	Figures    []Figure      `json:"figures,omitempty"`
	Events     []Event       `json:"events,omitempty"`
}

// Event is something an experiment did, at a time since the start of the run.
type Event struct {
	At   time.Duration `json:"at"`
	What string        `json:"what"`
}

// Figure is one measured value of an experiment beside its target.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
}

// Service is what callers of one service saw.
type Service struct {
	Service  ident.Service      `json:"service"`
	Offered  int                `json:"offered"`
	Answered int                `json:"answered"`
	Refused  map[fault.Code]int `json:"refused"`
	Broken   int                `json:"broken"`
	Cut      int                `json:"cut"`
	Aborted  int                `json:"aborted"`
	Foreign  int                `json:"foreign"`
	Resent   int                `json:"resent"` // requests that needed more than one attempt
	P50      time.Duration      `json:"p50"`
	P99      time.Duration      `json:"p99"`
	P999     time.Duration      `json:"p999"`
	Most     time.Duration      `json:"most"`
	hist     *hdrhistogram.Histogram
}

// Workspace is what one workspace got of its entitlement.
type Workspace struct {
	Entitlement
	Offered  int     `json:"offered"`
	Entitled int     `json:"entitled"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	Wrongful int     `json:"wrongful"` // refusals although within the rate
	Served   float64 `json:"served"`   // answered over entitled, at most 1
}

// Worst is the worst-served workspace.
type Worst struct {
	Workspace ident.Workspace `json:"workspace"`
	Served    float64         `json:"served"`
}

// NewHistogram returns a histogram of latencies in microseconds up to ten minutes.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// Quantile returns the latency at quantile q, from 0 to 100.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// heldAfter is the delay of a send from which the caller itself counts as too slow.
const heldAfter = 10 * time.Millisecond

// Summarize computes the figures of a run that started its measurement at from.
func Summarize(samples []Sample, entitlements []Entitlement, from, span time.Duration) *Report {
	kept := make([]Sample, 0, len(samples))
	for i := range samples {
		if samples[i].Intended >= from {
			kept = append(kept, samples[i])
		}
	}
	sort.SliceStable(kept, func(i, j int) bool { return kept[i].Intended < kept[j].Intended })
	r := &Report{Span: span, Total: newService("all")}
	services := make(map[ident.Service]*Service)
	for i := range kept {
		s := &kept[i]
		if services[s.Service] == nil {
			one := newService(s.Service)
			services[s.Service] = &one
		}
		services[s.Service].add(s)
		r.Total.add(s)
		if s.Sent-s.Intended > heldAfter {
			r.Held++
		}
		if s.Repeat {
			r.Repeats++
		}
	}
	r.Total.finish()
	for _, s := range services {
		s.finish()
		r.Services = append(r.Services, *s)
	}
	sort.Slice(r.Services, func(i, j int) bool { return r.Services[i].Service < r.Services[j].Service })
	r.workspaces(kept, entitlements)
	return r
}

func newService(name ident.Service) Service {
	return Service{Service: name, Refused: make(map[fault.Code]int), hist: NewHistogram()}
}

func (s *Service) add(sample *Sample) {
	s.Offered++
	if sample.Attempts > 1 {
		s.Resent++
	}
	switch sample.Kind {
	case Answered:
		s.Answered++
		// Measured from the intended time, so that a caller that falls behind does not hide waiting.
		s.hist.RecordValue(max(1, (sample.Done - sample.Intended).Microseconds()))
	case Refused:
		s.Refused[sample.Code]++
	case Broken:
		s.Broken++
	case Cut:
		s.Cut++
	case Aborted:
		s.Aborted++
	case Foreign:
		s.Foreign++
	}
}

func (s *Service) finish() {
	s.P50 = Quantile(s.hist, 50)
	s.P99 = Quantile(s.hist, 99)
	s.P999 = Quantile(s.hist, 99.9)
	s.Most = time.Duration(s.hist.Max()) * time.Microsecond
}

// workspaces compares what each workspace got with its entitlement. Where a workspace
// offers more than its rate, no single refusal is wrongful by itself, so the number
// is what its answers fall short of the entitlement.
func (r *Report) workspaces(samples []Sample, entitlements []Entitlement) {
	r.Worst.Served = 1
	answeredRepeats := make(map[string]bool)
	for i := range samples {
		if samples[i].Repeat && samples[i].Kind == Answered {
			answeredRepeats[samples[i].Request] = true
		}
	}
	for _, e := range entitlements {
		w := Workspace{Entitlement: e, Served: 1}
		var offered []time.Duration
		for i := range samples {
			if samples[i].Workspace != e.Workspace {
				continue
			}
			offered = append(offered, samples[i].Intended)
			switch {
			case samples[i].Kind == Answered || samples[i].duePending(answeredRepeats):
				w.Answered++
			case samples[i].Kind == Refused:
				w.Refused++
			}
		}
		w.Offered = len(offered)
		w.Entitled = Entitled(e, offered)
		w.Wrongful = min(w.Refused, max(0, w.Entitled-w.Answered))
		if w.Entitled > 0 {
			w.Served = min(1, float64(w.Answered)/float64(w.Entitled))
		}
		if w.Served < r.Worst.Served || r.Worst.Workspace == "" {
			r.Worst = Worst{Workspace: e.Workspace, Served: w.Served}
		}
		r.Wrongful += w.Wrongful
		r.Workspaces = append(r.Workspaces, w)
	}
}
