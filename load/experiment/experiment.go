package experiment

import (
	"time"

	"cuminfall.example/load/caller"
)

// Experiment is a traffic pattern with events at fixed fractions of the measurement.
type Experiment struct {
	Name    string
	Summary string
	// NeedsFleet is set if the events act on the fleet itself, so that the experiment cannot run on a baseline.
	NeedsFleet bool
	setTraffic func(s *caller.Settings)
	events     []event
	addFigures func(r *run)
}

// event is an action at a fraction of the measurement, from 0 to 1.
type event struct {
	fraction    float64
	description string
	action      func(r *run) error
}

// Lengths of the measurement and of the warm-up, in which caches fill and the shares of the VMs stabilize.
const (
	longDuration  = 30 * time.Second
	longWarmup    = 8 * time.Second
	shortDuration = 8 * time.Second
	shortWarmup   = 2 * time.Second
)

// All returns all experiments in the order of the help text.
func All() []Experiment {
	return []Experiment{
		{Name: "steady", Summary: "60% of capacity", addFigures: addSteadyFigures},
		{Name: "burst", Summary: "all workspaces offer three times their traffic for ten seconds", setTraffic: burstTraffic, addFigures: addSteadyFigures},
		{Name: "tenant", Summary: "one workspace offers ten times its rate", setTraffic: tenantTraffic, addFigures: addSteadyFigures},
		{Name: "shift", Summary: "half of a service's traffic moves onto cold caches", NeedsFleet: true,
			events: []event{{0.3, "shift", addShift}}, addFigures: addShiftFigures},
		{Name: "drain", Summary: "one failure domain is drained", NeedsFleet: true,
			events: []event{{0.4, "drain", addDrain}}, addFigures: addDrainFigures},
		{Name: "vmloss", Summary: "one entry VM is lost", NeedsFleet: true,
			events: []event{{0.4, "vm lost", runHooks}}, addFigures: addLossFigures},
		{Name: "regionloss", Summary: "all endpoints of a region and the processes in the hooks are lost",
			events: []event{{0.4, "region lost", loseRegion}}, addFigures: addLossFigures},
		{Name: "reports", Summary: "load reports are 5 s late, then stop, then are false", events: []event{
			{0, "reports lag", setReportMode(`{"mode":"lag","lag":"5s"}`)},
			{0.34, "reports stop", setReportMode(`{"mode":"stop"}`)},
			{0.67, "reports lie", setReportMode(`{"mode":"lie","value":0}`)},
		}, addFigures: addSteadyFigures},
		{Name: "link", Summary: "uploads fill the links between regions to their rate", setTraffic: uploadTraffic, addFigures: addLinkFigures},
	}
}

// Names returns the names of all experiments.
func Names() []string {
	var names []string
	for _, e := range All() {
		names = append(names, e.Name)
	}
	return names
}

func findExperiment(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// burstTraffic triples the traffic of all workspaces for a third of the measurement, at most 10 s. The traffic is
// first reduced to 40% of the usual one, so that three times of it stay within the rates.
func burstTraffic(s *caller.Settings) {
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		w.Pattern, w.PeakFactor, w.OfferedFraction = "burst", 3, w.OfferedFraction*0.4
		w.PeakStart, w.PeakDuration = s.Duration/3, min(10*time.Second, s.Duration/3)
	}
}

// tenantTraffic makes the last workspace, which is a small one, offer ten times its rate.
func tenantTraffic(s *caller.Settings) {
	w := &s.Workspaces[len(s.Workspaces)-1]
	w.Pattern, w.PeakFactor, w.OfferedFraction = "tenant", 10, 1
	w.PeakStart, w.PeakDuration = 0, s.Duration
}

// uploadTraffic turns half of the requests to services with uploads into uploads of at least 256 KiB.
func uploadTraffic(s *caller.Settings) {
	for i := range s.Services {
		if s.Services[i].UploadFraction > 0 {
			s.Services[i].UploadFraction = 0.5
			s.Services[i].UploadSize = max(s.Services[i].UploadSize, 256<<10)
		}
	}
}
