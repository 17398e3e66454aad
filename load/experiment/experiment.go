package experiment

import (
	"time"

	"cuminfall.example/load/caller"
)

// Experiment is a pattern of traffic with events at parts of its length.
type Experiment struct {
	Name    string
	Summary string
	// Fleet is set where the events act on the fleet itself, so that baselines cannot run it.
	Fleet   bool
	traffic func(s *caller.Settings)
	events  []event
	figures func(r *run)
}

// event happens at a part of the measurement, from 0 to 1.
type event struct {
	at   float64
	what string
	do   func(r *run) error
}

// Length of the measurement and of the warm-up, which heats caches and lets shares settle.
const (
	longSpan    = 30 * time.Second
	longWarmup  = 8 * time.Second
	shortSpan   = 8 * time.Second
	shortWarmup = 2 * time.Second
)

// All lists the experiments.
func All() []Experiment {
	return []Experiment{
		{Name: "steady", Summary: "60% of capacity", figures: steadyFigures},
		{Name: "burst", Summary: "all workspaces offer three times their traffic for ten seconds", traffic: burst, figures: steadyFigures},
		{Name: "tenant", Summary: "one workspace offers ten times its rate", traffic: tenant, figures: steadyFigures},
		{Name: "shift", Summary: "half of a service's traffic moves onto cold caches", Fleet: true,
			events: []event{{0.3, "shift", shift}}, figures: shiftFigures},
		{Name: "drain", Summary: "one failure domain is drained", Fleet: true,
			events: []event{{0.4, "drain", drain}}, figures: drainFigures},
		{Name: "vmloss", Summary: "one entry VM is lost", Fleet: true,
			events: []event{{0.4, "vm lost", hook}}, figures: lossFigures},
		{Name: "regionloss", Summary: "all endpoints of a region are lost, and what the hooks end",
			events: []event{{0.4, "region lost", loseRegion}}, figures: lossFigures},
		{Name: "reports", Summary: "load reports lag by 5 s, then stop, then lie", events: []event{
			{0, "reports lag", reporting(`{"mode":"lag","lag":"5s"}`)},
			{0.34, "reports stop", reporting(`{"mode":"stop"}`)},
			{0.67, "reports lie", reporting(`{"mode":"lie","value":0}`)},
		}, figures: steadyFigures},
		{Name: "link", Summary: "links between regions at their limit with uploads", traffic: uploads, figures: linkFigures},
	}
}

// Names lists the names of the experiments.
func Names() []string {
	var names []string
	for _, e := range All() {
		names = append(names, e.Name)
	}
	return names
}

func find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// burst starts from a lower level, so that three times of it stays within the rates.
func burst(s *caller.Settings) {
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		w.Pattern, w.Factor, w.Offered = "burst", 3, w.Offered*0.4
		w.From, w.Span = s.Duration/3, min(10*time.Second, s.Duration/3)
	}
}

// tenant lets the last workspace, which is a small one, offer ten times its rate.
func tenant(s *caller.Settings) {
	w := &s.Workspaces[len(s.Workspaces)-1]
	w.Pattern, w.Factor, w.Offered = "tenant", 10, 1
	w.From, w.Span = 0, s.Duration
}

// uploads turns half of the upload services' requests into uploads.
func uploads(s *caller.Settings) {
	for i := range s.Services {
		if s.Services[i].Uploads > 0 {
			s.Services[i].Uploads = 0.5
			s.Services[i].Upload = max(s.Services[i].Upload, 256<<10)
		}
	}
}
