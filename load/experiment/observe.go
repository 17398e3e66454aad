package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/relay"
	"cuminfall.example/load/report"
	"cuminfall.example/load/upstream"
)

// observations holds the utilization of stand-ins and links that was measured during the traffic.
type observations struct {
	endpointHeadroom   headroom
	domainHeadroom     headroom // of all endpoints of a service in a failure domain
	maxLinkUtilization float64  // fraction of the link's rate, averaged over a second
	linkMeasured       bool     // at least one link with a rate was measured
}

// headroom is the minimum fraction of free slots, averaged over the window, and where it occurred.
type headroom struct {
	min      float64
	location string
	measured bool
}

// addAverage lowers the minimum if the average number of used slots leaves a smaller fraction free.
func (h *headroom) addAverage(location string, used, slots float64) {
	if slots <= 0 {
		return
	}
	if free := max(0, 1-used/slots); !h.measured || free < h.min {
		h.min, h.location = free, location
	}
	h.measured = true
}

// observeInterval is the time between snapshots, over which link utilization is averaged.
const observeInterval = time.Second

// slotWindow is the number of intervals over which slot utilization is averaged. An average over one second is too
// short: at 60% of capacity an endpoint of three slots is sometimes full for that long by chance.
const slotWindow = 5

// observe takes a snapshot each second of the measurement, until ctx ends.
func (r *run) observe(ctx context.Context, standIns report.StandIns) {
	if clock.Sleep(ctx, r.clock, r.settings.Call.Warmup) != nil {
		return
	}
	var snapshots []snapshot
	for {
		at := r.clock.Now()
		if list, err := standIns.Endpoints(ctx); err == nil {
			snapshots = append(snapshots, snapshot{at: at, endpoints: list, links: r.readLinks(ctx)})
			r.observed.addSnapshot(snapshots)
			snapshots = snapshots[max(0, len(snapshots)-slotWindow):]
		}
		if clock.Sleep(ctx, r.clock, observeInterval) != nil {
			return
		}
	}
}

// snapshot is the state of all stand-ins and links at one moment.
type snapshot struct {
	at        time.Time
	endpoints []upstream.Status
	links     []relay.LinkStatus
}

// addSnapshot updates the observations with the last snapshot; the ones before it are the previous ones in the
// window.
func (o *observations) addSnapshot(snapshots []snapshot) {
	last := len(snapshots) - 1
	if last >= slotWindow {
		o.addSlotUse(snapshots[0].endpoints, snapshots[last].endpoints, snapshots[last].at.Sub(snapshots[0].at))
	}
	if last >= 1 {
		o.addLinkUse(snapshots[last-1].links, snapshots[last].links, snapshots[last].at.Sub(snapshots[last-1].at))
	}
}

// addSlotUse adds the headroom between two states. It omits endpoints that are down or were restarted.
func (o *observations) addSlotUse(before, after []upstream.Status, elapsed time.Duration) {
	earlier := make(map[ident.Address]*upstream.Status, len(before))
	for i := range before {
		earlier[before[i].Address] = &before[i]
	}
	type serviceDomain struct {
		domain  ident.Domain
		service ident.Service
	}
	used := make(map[serviceDomain]float64)
	slots := make(map[serviceDomain]float64)
	for i := range after {
		a := &after[i]
		b := earlier[a.Address]
		if b == nil || !a.Up || a.Incarnation != b.Incarnation {
			continue
		}
		average := float64(a.Counts.SlotTime-b.Counts.SlotTime) / float64(elapsed)
		o.endpointHeadroom.addAverage(string(a.Address), average, float64(a.Slots))
		key := serviceDomain{a.Domain, a.Service}
		used[key] += average
		slots[key] += float64(a.Slots)
	}
	for key := range used {
		o.domainHeadroom.addAverage(string(key.domain)+"/"+string(key.service), used[key], slots[key])
	}
}

// addLinkUse adds the utilization of the links with a rate between two states.
func (o *observations) addLinkUse(before, after []relay.LinkStatus, elapsed time.Duration) {
	for i := range min(len(before), len(after)) {
		a, b := &after[i], &before[i]
		if a.Name != b.Name || a.State.Rate <= 0 {
			continue
		}
		o.linkMeasured = true
		sent := max(a.ForwardBytes-b.ForwardBytes, a.BackBytes-b.BackBytes)
		o.maxLinkUtilization = max(o.maxLinkUtilization, float64(sent)/(a.State.Rate.BytesPerSecond()*elapsed.Seconds()))
	}
}

// readLinks returns the state of all links. It omits relays that do not answer.
func (r *run) readLinks(ctx context.Context) []relay.LinkStatus {
	var all []relay.LinkStatus
	for _, address := range r.settings.RelayAdmins {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/links", nil)
		if err != nil {
			continue
		}
		response, err := r.client.Do(request)
		if err != nil {
			continue
		}
		var list []relay.LinkStatus
		if json.NewDecoder(response.Body).Decode(&list) == nil {
			all = append(all, list...)
		}
		response.Body.Close()
	}
	return all
}
