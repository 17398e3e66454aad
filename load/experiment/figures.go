package experiment

import (
	"time"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/report"
)

func (r *run) figure(name string, value float64, unit, target string) {
	r.report.Figures = append(r.report.Figures, report.Figure{Name: name, Value: value, Unit: unit, Target: target})
}

// steadyFigures are those that every experiment has.
func steadyFigures(r *run) {
	r.figure("worst served", r.report.Worst.Served, "of entitlement", "at least 0.95")
	r.figure("refused within rate", float64(r.report.Wrongful), "requests", "0 without a fault")
	if r.watch.endpoint.seen {
		r.figure("least headroom of an endpoint", r.watch.endpoint.least, "of slots, over 5 s, at "+r.watch.endpoint.where, "")
		r.figure("least headroom of a domain", r.watch.domain.least, "of slots, over 5 s, at "+r.watch.domain.where, "")
	}
	r.figure("p99", float64(r.report.Total.P99)/float64(time.Millisecond), "ms", "")
	part, region := r.regionUse()
	r.figure("most of a region's capacity", part, "of the runs it may have at once, at "+string(region), "at most 1")
	part, link := r.linkUse()
	r.figure("bodies on a link", part, "of its rate, over 1 s, on "+link, "at most 1")
	if r.watch.linked {
		r.figure("most of a link", r.watch.link, "of its rate, over 1 s", "at most 1")
	}
}

// regionUse returns the most of a region's capacity that was in use at one moment, by the stand-ins' record.
func (r *run) regionUse() (float64, ident.Region) {
	regions := make(map[ident.Address]ident.Region)
	for _, e := range r.where {
		regions[e.Address] = r.shape.RegionOf(e.Domain)
	}
	most, where := 0.0, ident.Region("")
	for _, region := range r.shape.Regions {
		peak := report.Peak(r.runs, func(a ident.Address) bool { return regions[a] == region })
		if part := float64(peak) / float64(r.shape.RegionCapacity(region)); part > most {
			most, where = part, region
		}
	}
	return most, where
}

// linkUse returns the most of a link's rate that bodies took over a second, by the stand-ins' record.
// A request's body counts at the start of its run and an answer's at the end.
func (r *run) linkUse() (float64, string) {
	type second struct {
		link string
		at   int64
	}
	regions := make(map[ident.Address]ident.Region)
	for _, e := range r.where {
		regions[e.Address] = r.shape.RegionOf(e.Domain)
	}
	carried := make(map[second]ident.Bytes)
	for i := range r.runs {
		run := &r.runs[i]
		from, to := r.shape.RegionOfAddress(run.Source), regions[run.Endpoint]
		if from == "" || from == to || r.shape.LinkRate <= 0 {
			continue
		}
		carried[second{string(from + " to " + to), run.Start.Unix()}] += run.Received
		carried[second{string(to + " to " + from), run.End.Unix()}] += run.Sent
	}
	most, where := 0.0, "none"
	for s, bytes := range carried {
		if part := float64(bytes) / r.shape.LinkRate.BytesPerSecond(); part > most {
			most, where = part, s.link
		}
	}
	return most, where
}

// lastRun returns the start of the last run that chosen admits, since the start of the measurement's run.
func (r *run) lastRun(chosen func(ident.Domain) bool) (time.Duration, bool) {
	domains := make(map[ident.Address]ident.Domain)
	for _, e := range r.where {
		domains[e.Address] = e.Domain
	}
	var last time.Duration
	found := false
	for i := range r.runs {
		if !chosen(domains[r.runs[i].Endpoint]) {
			continue
		}
		// The record's times come over JSON without a monotonic reading; the wall clock serves here.
		if at := r.runs[i].Start.Sub(r.start.Round(0)); at > last || !found {
			last, found = at, true
		}
	}
	return last, found
}

// drainFigures give the time until the failure domain got its last run.
func drainFigures(r *run) {
	steadyFigures(r)
	at, ok := r.eventAt()
	if !ok {
		return
	}
	last, _ := r.lastRun(func(d ident.Domain) bool { return d == r.domain() })
	r.figure("empty of new work after", max(0, last-at).Seconds(), "s", "at most 2")
}

// lossWindow is the time after a loss in which refusals are counted.
const lossWindow = 10 * time.Second

// lossFigures count what callers lost in the ten seconds after the event.
func lossFigures(r *run) {
	steadyFigures(r)
	at, ok := r.eventAt()
	if !ok {
		return
	}
	var after []report.Sample
	for i := range r.samples {
		if r.samples[i].Intended >= at && r.samples[i].Intended < at+lossWindow {
			after = append(after, r.samples[i])
		}
	}
	s := report.Summarize(after, r.set.Call.Entitlements(), at, lossWindow)
	if s.Total.Offered == 0 {
		return
	}
	offered := float64(s.Total.Offered)
	r.figure("refused within rate in 10 s after", 100*float64(s.Wrongful)/offered, "% of requests", "at most 0.1 at the loss of a VM")
	r.figure("broken or cut in 10 s after", 100*float64(s.Total.Broken+s.Total.Aborted)/offered, "% of requests", "")
	r.figure("p99 in 10 s after", float64(s.Total.P99)/float64(time.Millisecond), "ms", "")
}

// shiftFigures compare the runs at the target before and after the shift with its cap.
func shiftFigures(r *run) {
	steadyFigures(r)
	at, ok := r.eventAt()
	if !ok {
		return
	}
	s := &r.set.Call
	domains := make(map[ident.Address]ident.Domain)
	for _, e := range r.where {
		domains[e.Address] = e.Domain
	}
	service := r.shape.Services[0]
	before, after := 0, 0
	for i := range r.runs {
		run := &r.runs[i]
		when := run.Start.Sub(r.start.Round(0))
		if run.Service != service.Name || r.shape.RegionOf(domains[run.Endpoint]) != r.target() || when < s.Warmup {
			continue
		}
		if when < at {
			before++
		} else {
			after++
		}
	}
	end := s.Warmup + s.Duration
	r.figure("runs at the target before", float64(before)/(at-s.Warmup).Seconds(), "per second", "")
	r.figure("runs at the target after", float64(after)/(end-at).Seconds(), "per second", "")
	r.figure("cap of the shift", service.Capacity()/4, "per second", "")
}

func linkFigures(r *run) {
	steadyFigures(r)
	var bytes ident.Bytes
	for i := range r.runs {
		bytes += r.runs[i].Received
	}
	total := r.set.Call.Warmup + r.set.Call.Duration
	r.figure("uploaded", float64(bytes)*8/1e6/total.Seconds(), "Mbit/s", "")
}
