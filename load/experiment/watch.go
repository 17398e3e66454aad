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

// watch is what was seen of the stand-ins and links while the traffic ran.
type watch struct {
	endpoint headroom
	domain   headroom // of a service's endpoints in a failure domain
	link     float64  // most of a link's rate that was in use on average over a second
	linked   bool     // a link with a rate was measured
}

// headroom is the least part of slots that was free on average over the window.
type headroom struct {
	least float64
	where string
	seen  bool
}

// note takes one average into account.
func (h *headroom) note(where string, used, slots float64) {
	if slots <= 0 {
		return
	}
	if free := max(0, 1-used/slots); !h.seen || free < h.least {
		h.least, h.where = free, where
	}
	h.seen = true
}

// watchEvery is the time over which the use of links is averaged.
const watchEvery = time.Second

// useWindow is the number of those times over which the use of slots is averaged. Within
// one second an endpoint of three slots is full by chance alone at 60% of capacity.
const useWindow = 5

// observe measures headroom and links each second of the measurement.
func (r *run) observe(ctx context.Context, stands report.Stands) {
	if clock.Sleep(ctx, r.clock, r.set.Call.Warmup) != nil {
		return
	}
	var states []state
	for {
		at := r.clock.Now()
		if list, err := stands.Endpoints(ctx); err == nil {
			states = append(states, state{at: at, stands: list, links: r.links(ctx)})
			r.watch.add(states)
			states = states[max(0, len(states)-useWindow):]
		}
		if clock.Sleep(ctx, r.clock, watchEvery) != nil {
			return
		}
	}
}

// state is what the stand-ins and links said at one moment.
type state struct {
	at     time.Time
	stands []upstream.Status
	links  []relay.LinkStatus
}

// add takes the newest state into account; the states before it are the last of the window.
func (w *watch) add(states []state) {
	last := len(states) - 1
	if last >= useWindow {
		w.use(states[0].stands, states[last].stands, states[last].at.Sub(states[0].at))
	}
	if last >= 1 {
		w.carry(states[last-1].links, states[last].links, states[last].at.Sub(states[last-1].at))
	}
}

// use notes the headroom between two states; endpoints that were down or restarted are left out.
func (w *watch) use(before, after []upstream.Status, span time.Duration) {
	known := make(map[ident.Address]*upstream.Status, len(before))
	for i := range before {
		known[before[i].Address] = &before[i]
	}
	type place struct {
		domain  ident.Domain
		service ident.Service
	}
	used := make(map[place]float64)
	slots := make(map[place]float64)
	for i := range after {
		a := &after[i]
		b := known[a.Address]
		if b == nil || !a.Up || a.Incarnation != b.Incarnation {
			continue
		}
		average := float64(a.Counts.SlotTime-b.Counts.SlotTime) / float64(span)
		w.endpoint.note(string(a.Address), average, float64(a.Slots))
		p := place{a.Domain, a.Service}
		used[p] += average
		slots[p] += float64(a.Slots)
	}
	for p := range used {
		w.domain.note(string(p.domain)+"/"+string(p.service), used[p], slots[p])
	}
}

// carry notes the use of links with a rate between two states.
func (w *watch) carry(before, after []relay.LinkStatus, span time.Duration) {
	for i := range min(len(before), len(after)) {
		a, b := &after[i], &before[i]
		if a.Name != b.Name || a.State.Rate <= 0 {
			continue
		}
		w.linked = true
		most := max(a.ForwardBytes-b.ForwardBytes, a.BackBytes-b.BackBytes)
		w.link = max(w.link, float64(most)/(a.State.Rate.BytesPerSecond()*span.Seconds()))
	}
}

// links returns the state of all links; relays that do not answer are left out.
func (r *run) links(ctx context.Context) []relay.LinkStatus {
	var all []relay.LinkStatus
	for _, address := range r.set.Relays {
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
