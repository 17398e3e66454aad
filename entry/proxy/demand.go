package proxy

import (
	"maps"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/throttle"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/protocol"
)

// maxAsked bounds the objects of one service that a report names, several times those that a VM is asked for between
// two reports: callers choose the names of objects.
const maxAsked = 512

// loggedPlaces bounds the places of objects in one line of the log.
const loggedPlaces = 8

// demand is what this VM's callers ask for.
type demand struct {
	busy  map[ident.Service]*throttle.Meter
	asked protocol.ObjectRequests // since the last report that was answered
}

// countDemand notes a request that begins, whether it gets an upstream or not: the flows between regions and the plan
// of objects follow what callers ask for, and not what is served. f.mu is held.
func (f *Proxy) countDemand(q *balancer.Query) {
	d := f.demand[q.PinnedRegion()]
	if d == nil {
		d = &demand{map[ident.Service]*throttle.Meter{}, protocol.ObjectRequests{}}
		f.demand[q.PinnedRegion()] = d
	}
	m := d.busy[q.Service]
	if m == nil {
		m = &throttle.Meter{}
		d.busy[q.Service] = m
	}
	m.Add(f.opts.LeaseClock.Now(), f.placer.ServiceTime(q.Service, q.Object != "").Seconds())
	if !q.UsesAssignment() {
		return
	}
	by := d.asked[q.Service]
	if by == nil {
		by = map[object.ID]int{}
		d.asked[q.Service] = by
	}
	id := object.IDOf(q.Object)
	if _, counted := by[id]; counted || len(by) < maxAsked {
		by[id]++
	}
}

// reportDemand adds to a report what callers ask for and what this VM sent; f.mu is held.
func (f *Proxy) reportDemand(now time.Time, r *protocol.Report) {
	r.Pinned, r.ServiceTimes = map[ident.Region]protocol.Demand{}, map[ident.Service]time.Duration{}
	for region, d := range f.demand {
		said := protocol.Demand{BusySlots: make(map[ident.Service]float64, len(d.busy)), ObjectRequests: make(protocol.ObjectRequests, len(d.asked))}
		for name, m := range d.busy {
			said.BusySlots[name] = math.Round(m.PerSecond(now)*1000) / 1000
			r.ServiceTimes[name] = f.placer.ServiceTime(name, true).Round(time.Millisecond)
		}
		for name, by := range d.asked {
			said.ObjectRequests[name] = maps.Clone(by)
		}
		if region == "" {
			r.Demand = said
		} else {
			r.Pinned[region] = said
		}
	}
	r.InFlight = f.placer.InFlight()
	if r.Full {
		r.RegionWeights, r.Assignments = f.flows, f.placer.Assignments()
	}
}

// reported forgets what a report said.
func (d *demand) reported(said protocol.ObjectRequests) {
	for name, by := range said {
		for id, n := range by {
			if d.asked[name][id] -= n; d.asked[name][id] <= 0 {
				delete(d.asked[name], id)
			}
		}
	}
}

// follow takes over what the leader answered to a report's demand; f.mu is held.
func (f *Proxy) follow(sent time.Time, q protocol.Report, r protocol.ReportReply) {
	for region, d := range f.demand {
		if region == "" {
			d.reported(q.ObjectRequests)
		} else {
			d.reported(q.Pinned[region].ObjectRequests)
		}
	}
	f.placer.SetReportedLoads(f.opts.Clock.Now().Add(-f.opts.LeaseClock.Now().Sub(sent)), r.Saturated, r.Utilization, q.InFlight)
	if len(r.RegionWeights) > 0 {
		next := maps.Clone(f.flows)
		if next == nil {
			next = protocol.RegionWeightsByService{}
		}
		maps.Copy(next, r.RegionWeights)
		f.flows = next
		f.opts.Log.Event(logrus.InfoLevel, "flows", logrus.Fields{"event": "flows", "flows": r.RegionWeights, "term": r.Term}, "flows between regions")
	}
	if len(r.Assignments) > 0 {
		f.placer.SetAssignments(r.Assignments)
		f.logPlaces(q, r)
	}
}

// logPlaces writes which objects moved, or how many where these are too many for a line.
func (f *Proxy) logPlaces(q protocol.Report, r protocol.ReportReply) {
	fields := logrus.Fields{"event": "places", "term": r.Term, "report": q.Sequence}
	n := 0
	for _, by := range r.Assignments {
		n += len(by)
	}
	if fields["objects"] = n; n <= loggedPlaces {
		fields["places"] = r.Assignments
	}
	f.opts.Log.Event(logrus.InfoLevel, "places", fields, "the leader moved objects")
}
