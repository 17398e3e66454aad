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

// maxReportedObjects bounds the objects of one service that a report names, because callers choose the names of objects.
// It is several times the number of objects that a VM's callers request between two reports.
const maxReportedObjects = 512

// maxLoggedAssignments is the largest number of objects whose assignments are listed in one log line.
const maxLoggedAssignments = 8

// demand is the demand of this VM's callers, served or not.
type demand struct {
	busySlots      map[ident.Service]*throttle.Meter
	objectRequests protocol.ObjectRequests // since the last report that got a reply
}

// countDemand counts a new request, whether it gets an upstream or not, because the leader bases region weights and
// assignments on what callers request and not on what is served. p.mu is held.
func (p *Proxy) countDemand(query *balancer.Query) {
	d := p.demand[query.PinnedRegion()]
	if d == nil {
		d = &demand{map[ident.Service]*throttle.Meter{}, protocol.ObjectRequests{}}
		p.demand[query.PinnedRegion()] = d
	}
	meter := d.busySlots[query.Service]
	if meter == nil {
		meter = &throttle.Meter{}
		d.busySlots[query.Service] = meter
	}
	meter.Add(p.opts.LeaseClock.Now(), p.balancer.ServiceTime(query.Service, query.Object != "").Seconds())
	if !query.UsesAssignment() {
		return
	}
	counts := d.objectRequests[query.Service]
	if counts == nil {
		counts = map[object.ID]int{}
		d.objectRequests[query.Service] = counts
	}
	id := object.IDOf(query.Object)
	if _, counted := counts[id]; counted || len(counts) < maxReportedObjects {
		counts[id]++
	}
}

// addDemand adds the callers' demand and this VM's requests in flight to a report, and to a full report also the region
// weights and assignments in use; p.mu is held.
func (p *Proxy) addDemand(now time.Time, report *protocol.Report) {
	report.Pinned, report.ServiceTimes = map[ident.Region]protocol.Demand{}, map[ident.Service]time.Duration{}
	for region, d := range p.demand {
		reported := protocol.Demand{BusySlots: make(map[ident.Service]float64, len(d.busySlots)), ObjectRequests: make(protocol.ObjectRequests, len(d.objectRequests))}
		for service, meter := range d.busySlots {
			reported.BusySlots[service] = math.Round(meter.PerSecond(now)*1000) / 1000
			report.ServiceTimes[service] = p.balancer.ServiceTime(service, true).Round(time.Millisecond)
		}
		for service, counts := range d.objectRequests {
			reported.ObjectRequests[service] = maps.Clone(counts)
		}
		if region == "" {
			report.Demand = reported
		} else {
			report.Pinned[region] = reported
		}
	}
	report.InFlight = p.balancer.InFlight()
	if report.Full {
		report.RegionWeights, report.Assignments = p.regionWeights, p.balancer.Assignments()
	}
}

// subtractReported removes the counts that the leader has received with a report.
func (d *demand) subtractReported(reported protocol.ObjectRequests) {
	for service, counts := range reported {
		for id, count := range counts {
			if d.objectRequests[service][id] -= count; d.objectRequests[service][id] <= 0 {
				delete(d.objectRequests[service], id)
			}
		}
	}
}

// applyReply applies the leader's reply to the demand of a report: reported loads, region weights and assignments; p.mu
// is held.
func (p *Proxy) applyReply(sentAt time.Time, report protocol.Report, reply protocol.ReportReply) {
	for region, d := range p.demand {
		if region == "" {
			d.subtractReported(report.ObjectRequests)
		} else {
			d.subtractReported(report.Pinned[region].ObjectRequests)
		}
	}
	p.balancer.SetReportedLoads(p.opts.Clock.Now().Add(-p.opts.LeaseClock.Now().Sub(sentAt)), reply.Saturated, reply.Utilization, report.InFlight)
	if len(reply.RegionWeights) > 0 {
		weights := maps.Clone(p.regionWeights)
		if weights == nil {
			weights = protocol.RegionWeightsByService{}
		}
		maps.Copy(weights, reply.RegionWeights)
		p.regionWeights = weights
		p.opts.Log.Event(logrus.InfoLevel, "flows", logrus.Fields{"event": "flows", "flows": reply.RegionWeights, "term": reply.Term}, "region weights changed")
	}
	if len(reply.Assignments) > 0 {
		p.balancer.SetAssignments(reply.Assignments)
		p.logAssignments(report, reply)
	}
}

// logAssignments logs the assignments of a reply, or only their number if there are too many for one line.
func (p *Proxy) logAssignments(report protocol.Report, reply protocol.ReportReply) {
	fields := logrus.Fields{"event": "places", "term": reply.Term, "report": report.Sequence}
	count := 0
	for _, byObject := range reply.Assignments {
		count += len(byObject)
	}
	if fields["objects"] = count; count <= maxLoggedAssignments {
		fields["places"] = reply.Assignments
	}
	p.opts.Log.Event(logrus.InfoLevel, "places", fields, "assignments of objects to upstreams changed")
}
