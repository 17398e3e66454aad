package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Report is the result of one load test. Durations are encoded in nanoseconds.
type Report struct {
	Name             string        `json:"name"`
	Path             string        `json:"path"` // how requests reached the stand-ins, for example "entry" or a baseline
	Seed             uint64        `json:"seed"`
	Duration         time.Duration `json:"span"`
	Total            Service       `json:"total"`
	Services         []Service     `json:"services"`
	Workspaces       []Workspace   `json:"workspaces"`
	WorstServed      WorstServed   `json:"worst"`
	WrongfulRefusals int           `json:"wrongful"` // refusals of requests within the rate
	Repeats          int           `json:"repeats"`  // requests sent a second time on purpose with the same idempotency key
	SentLate         int           `json:"held"`     // requests that the caller sent more than 10 ms after the intended time
	Runs             *Runs         `json:"runs,omitempty"`
	Figures          []Figure      `json:"figures,omitempty"`
	Events           []Event       `json:"events,omitempty"`
}

// Event is an action of an experiment; At counts from the start of the run, which includes the warm-up.
type Event struct {
	At          time.Duration `json:"at"`
	Description string        `json:"what"`
}

// Figure is a measured value of an experiment with its unit and target.
type Figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target string  `json:"target,omitempty"`
}

// Service counts the outcomes of the requests to one service and holds the latencies of the answered ones.
type Service struct {
	Service    ident.Service      `json:"service"`
	Offered    int                `json:"offered"`
	Answered   int                `json:"answered"`
	Refused    map[fault.Code]int `json:"refused"`
	NoResponse int                `json:"broken"`
	Truncated  int                `json:"cut"`
	Aborted    int                `json:"aborted"`
	Mismatched int                `json:"foreign"`
	Retried    int                `json:"resent"` // requests that needed more than one attempt
	P50        time.Duration      `json:"p50"`
	P99        time.Duration      `json:"p99"`
	P999       time.Duration      `json:"p999"`
	Max        time.Duration      `json:"most"`
	hist       *hdrhistogram.Histogram
}

// Workspace compares the answered requests of a workspace with its entitlement.
type Workspace struct {
	Entitlement
	Offered          int     `json:"offered"`
	Entitled         int     `json:"entitled"`
	Answered         int     `json:"answered"`
	Refused          int     `json:"refused"`
	WrongfulRefusals int     `json:"wrongful"` // refusals of requests within the rate
	ServedFraction   float64 `json:"served"`   // answered divided by entitled, at most 1
}

// WorstServed names the workspace with the lowest served fraction.
type WorstServed struct {
	Workspace      ident.Workspace `json:"workspace"`
	ServedFraction float64         `json:"served"`
}

// NewHistogram returns a histogram of latencies in microseconds, up to ten minutes.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// Quantile returns the latency at percentile q, from 0 to 100, of a histogram in microseconds.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(q)) * time.Microsecond
}

// lateSendThreshold is the delay of a send beyond which the caller itself counts as too slow.
const lateSendThreshold = 10 * time.Millisecond

// Summarize computes the figures of the samples whose intended time is at or after from; earlier ones belong
// to the warm-up.
func Summarize(samples []Sample, entitlements []Entitlement, from, span time.Duration) *Report {
	measured := make([]Sample, 0, len(samples))
	for i := range samples {
		if samples[i].Intended >= from {
			measured = append(measured, samples[i])
		}
	}
	sort.SliceStable(measured, func(i, j int) bool { return measured[i].Intended < measured[j].Intended })
	r := &Report{Duration: span, Total: newService("all")}
	services := make(map[ident.Service]*Service)
	for i := range measured {
		s := &measured[i]
		if services[s.Service] == nil {
			added := newService(s.Service)
			services[s.Service] = &added
		}
		services[s.Service].addSample(s)
		r.Total.addSample(s)
		if s.Sent-s.Intended > lateSendThreshold {
			r.SentLate++
		}
		if s.IsRepeat {
			r.Repeats++
		}
	}
	r.Total.setLatencies()
	for _, s := range services {
		s.setLatencies()
		r.Services = append(r.Services, *s)
	}
	sort.Slice(r.Services, func(i, j int) bool { return r.Services[i].Service < r.Services[j].Service })
	r.summarizeWorkspaces(measured, entitlements)
	return r
}

func newService(name ident.Service) Service {
	return Service{Service: name, Refused: make(map[fault.Code]int), hist: NewHistogram()}
}

func (s *Service) addSample(sample *Sample) {
	s.Offered++
	if sample.Attempts > 1 {
		s.Retried++
	}
	switch sample.Kind {
	case Answered:
		s.Answered++
		// Measured from the intended time, so that a caller that falls behind does not hide the waiting time
		// (coordinated omission).
		s.hist.RecordValue(max(1, (sample.Done - sample.Intended).Microseconds()))
	case Refused:
		s.Refused[sample.Code]++
	case NoResponse:
		s.NoResponse++
	case Truncated:
		s.Truncated++
	case Aborted:
		s.Aborted++
	case Mismatched:
		s.Mismatched++
	}
}

func (s *Service) setLatencies() {
	s.P50 = Quantile(s.hist, 50)
	s.P99 = Quantile(s.hist, 99)
	s.P999 = Quantile(s.hist, 99.9)
	s.Max = time.Duration(s.hist.Max()) * time.Microsecond
}

// summarizeWorkspaces compares the answered requests of each workspace with its entitlement. Where a workspace
// offers more than its rate, no single refusal can be called wrongful, so the number of wrongful refusals is
// the number of entitled requests minus the number of answered ones.
func (r *Report) summarizeWorkspaces(samples []Sample, entitlements []Entitlement) {
	r.WorstServed.ServedFraction = 1
	answeredRepeats := make(map[string]bool)
	for i := range samples {
		if samples[i].IsRepeat && samples[i].Kind == Answered {
			answeredRepeats[samples[i].Request] = true
		}
	}
	for _, e := range entitlements {
		w := Workspace{Entitlement: e, ServedFraction: 1}
		var offered []time.Duration
		for i := range samples {
			if samples[i].Workspace != e.Workspace {
				continue
			}
			offered = append(offered, samples[i].Intended)
			switch {
			case samples[i].Kind == Answered || samples[i].isExpectedPending(answeredRepeats):
				w.Answered++
			case samples[i].Kind == Refused:
				w.Refused++
			}
		}
		w.Offered = len(offered)
		w.Entitled = CountEntitled(e, offered)
		w.WrongfulRefusals = min(w.Refused, max(0, w.Entitled-w.Answered))
		if w.Entitled > 0 {
			w.ServedFraction = min(1, float64(w.Answered)/float64(w.Entitled))
		}
		if w.ServedFraction < r.WorstServed.ServedFraction || r.WorstServed.Workspace == "" {
			r.WorstServed = WorstServed{Workspace: e.Workspace, ServedFraction: w.ServedFraction}
		}
		r.WrongfulRefusals += w.WrongfulRefusals
		r.Workspaces = append(r.Workspaces, w)
	}
}
