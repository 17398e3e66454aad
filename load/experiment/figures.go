package experiment

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/report"
)

func (r *run) addFigure(name string, value float64, unit, target string) {
	r.report.Figures = append(r.report.Figures, report.Figure{Name: name, Value: value, Unit: unit, Target: target})
}

// addSteadyFigures adds the figures that all experiments have.
func addSteadyFigures(r *run) {
	r.addFigure("worst served", r.report.WorstServed.ServedFraction, "of entitlement", "at least 0.95")
	r.addFigure("refused within rate", float64(r.report.WrongfulRefusals), "requests", "0 without a fault")
	if r.observed.endpointHeadroom.measured {
		r.addFigure("least headroom of an endpoint", r.observed.endpointHeadroom.min, "of slots, over 5 s, at "+r.observed.endpointHeadroom.location, "")
		r.addFigure("least headroom of a domain", r.observed.domainHeadroom.min, "of slots, over 5 s, at "+r.observed.domainHeadroom.location, "")
	}
	r.addFigure("p99", float64(r.report.Total.P99)/float64(time.Millisecond), "ms", "")
	utilization, region := r.peakRegionUtilization()
	r.addFigure("most of a region's capacity", utilization, "of the runs it may have at once, at "+string(region), "at most 1")
	utilization, link := r.peakLinkUtilization()
	r.addFigure("bodies on a link", utilization, "of its rate, over 1 s, on "+link, "at most 1")
	if r.observed.linkMeasured {
		r.addFigure("most of a link", r.observed.maxLinkUtilization, "of its rate, over 1 s", "at most 1")
	}
}

// peakRegionUtilization returns the maximum fraction of a region's capacity that was in use at one moment, according
// to the run records of the stand-ins, and the region.
func (r *run) peakRegionUtilization() (float64, ident.Region) {
	regions := make(map[ident.Address]ident.Region)
	for _, e := range r.endpoints {
		regions[e.Address] = r.deployment.RegionOf(e.Domain)
	}
	highest, highestRegion := 0.0, ident.Region("")
	for _, region := range r.deployment.Regions {
		peak := report.PeakConcurrency(r.runs, func(a ident.Address) bool { return regions[a] == region })
		if utilization := float64(peak) / float64(r.deployment.RegionCapacity(region)); utilization > highest {
			highest, highestRegion = utilization, region
		}
	}
	return highest, highestRegion
}

// peakLinkUtilization returns the maximum fraction of a link's rate that request and response bodies used in one
// second, according to the run records of the stand-ins, and the link. A request body counts at the start of its
// run and a response body at the end.
func (r *run) peakLinkUtilization() (float64, string) {
	type linkSecond struct {
		link string
		at   int64
	}
	regions := make(map[ident.Address]ident.Region)
	for _, e := range r.endpoints {
		regions[e.Address] = r.deployment.RegionOf(e.Domain)
	}
	carried := make(map[linkSecond]ident.Bytes)
	for i := range r.runs {
		run := &r.runs[i]
		from, to := r.deployment.RegionOfAddress(run.Source), regions[run.Endpoint]
		if from == "" || from == to || r.deployment.LinkRate <= 0 {
			continue
		}
		carried[linkSecond{string(from + " to " + to), run.Start.Unix()}] += run.Received
		carried[linkSecond{string(to + " to " + from), run.End.Unix()}] += run.Sent
	}
	highest, highestLink := 0.0, "none"
	for s, bytes := range carried {
		if utilization := float64(bytes) / r.deployment.LinkRate.BytesPerSecond(); utilization > highest {
			highest, highestLink = utilization, s.link
		}
	}
	return highest, highestLink
}

// lastRunStart returns the start of the last run in the failure domains that include selects, counted from the start
// of the experiment, and false if there is none.
func (r *run) lastRunStart(include func(ident.Domain) bool) (time.Duration, bool) {
	domains := make(map[ident.Address]ident.Domain)
	for _, e := range r.endpoints {
		domains[e.Address] = e.Domain
	}
	var last time.Duration
	found := false
	for i := range r.runs {
		if !include(domains[r.runs[i].Endpoint]) {
			continue
		}
		// Times of run records were decoded from JSON and have no monotonic clock reading, so wall times are compared.
		if at := r.runs[i].Start.Sub(r.start.Round(0)); at > last || !found {
			last, found = at, true
		}
	}
	return last, found
}

// addDrainFigures adds the time from the drain until the last run started in the drained failure domain.
func addDrainFigures(r *run) {
	addSteadyFigures(r)
	at, ok := r.firstEventTime()
	if !ok {
		return
	}
	last, _ := r.lastRunStart(func(d ident.Domain) bool { return d == r.drainDomain() })
	r.addFigure("empty of new work after", max(0, last-at).Seconds(), "s", "at most 2")
}

// lossWindow is the time after a loss in which failed requests are counted.
const lossWindow = 10 * time.Second

// addLossFigures adds the refused and failed requests and the p99 latency in the lossWindow after the event.
func addLossFigures(r *run) {
	addSteadyFigures(r)
	at, ok := r.firstEventTime()
	if !ok {
		return
	}
	var after []report.Sample
	for i := range r.samples {
		if r.samples[i].Intended >= at && r.samples[i].Intended < at+lossWindow {
			after = append(after, r.samples[i])
		}
	}
	s := report.Summarize(after, r.settings.Call.Entitlements(), at, lossWindow)
	if s.Total.Offered == 0 {
		return
	}
	offered := float64(s.Total.Offered)
	r.addFigure("refused within rate in 10 s after", 100*float64(s.WrongfulRefusals)/offered, "% of requests", "at most 0.1 at the loss of a VM")
	r.addFigure("broken or cut in 10 s after", 100*float64(s.Total.NoResponse+s.Total.Aborted)/offered, "% of requests", "")
	r.addFigure("p99 in 10 s after", float64(s.Total.P99)/float64(time.Millisecond), "ms", "")
}

// addShiftFigures adds the rate of runs in the target region before and after the shift, and the cap of the shift.
func addShiftFigures(r *run) {
	addSteadyFigures(r)
	at, ok := r.firstEventTime()
	if !ok {
		return
	}
	s := &r.settings.Call
	domains := make(map[ident.Address]ident.Domain)
	for _, e := range r.endpoints {
		domains[e.Address] = e.Domain
	}
	service := r.deployment.Services[0]
	before, after := 0, 0
	for i := range r.runs {
		run := &r.runs[i]
		startedAt := run.Start.Sub(r.start.Round(0))
		if run.Service != service.Name || r.deployment.RegionOf(domains[run.Endpoint]) != r.targetRegion() || startedAt < s.Warmup {
			continue
		}
		if startedAt < at {
			before++
		} else {
			after++
		}
	}
	end := s.Warmup + s.Duration
	r.addFigure("runs at the target before", float64(before)/(at-s.Warmup).Seconds(), "per second", "")
	r.addFigure("runs at the target after", float64(after)/(end-at).Seconds(), "per second", "")
	r.addFigure("cap of the shift", service.Capacity()/4, "per second", "")
}

func addLinkFigures(r *run) {
	addSteadyFigures(r)
	var bytes ident.Bytes
	for i := range r.runs {
		bytes += r.runs[i].Received
	}
	total := r.settings.Call.Warmup + r.settings.Call.Duration
	r.addFigure("uploaded", float64(bytes)*8/1e6/total.Seconds(), "Mbit/s", "")
}
