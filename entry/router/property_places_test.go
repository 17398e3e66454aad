package router

import (
	"time"

	"pgregory.net/rapid"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// ground is what the model knows of drains, shifts, links and region counts.
type ground struct {
	drained  targets
	capacity map[ident.Region]bool // regions with a limit
	linked   map[ident.Limit]bool
	counts   map[ident.Region]uint32 // shares
	used     map[ident.Region]uint32
	links    map[ident.Limit]*spending
	shift    spending
	shifted  uint64 // by the router's own count
}

func newGround() *ground {
	return &ground{
		drained: make(targets), capacity: make(map[ident.Region]bool), linked: make(map[ident.Limit]bool),
		counts: make(map[ident.Region]uint32), used: make(map[ident.Region]uint32),
		links: map[ident.Limit]*spending{limit.OfLink("a", "b"): {}, limit.OfLink("b", "a"): {}},
	}
}

func regionOf(domain string) ident.Region { return ident.Region(domain[:1]) }

func (m *model) upstreamAt(a ident.Address) *rpc.Upstream {
	for _, u := range m.p.upstreams {
		if u.Address == string(a) {
			return u
		}
	}
	m.t.Fatalf("no upstream at %s", a)
	return nil
}

// checkPlace fails a send to a drained place, above a region's share or over a link without a mark.
func (m *model) checkPlace(s Send) {
	u, g := m.upstreamAt(s.Endpoint), m.ground
	r := regionOf(u.Domain)
	switch {
	case g.drained[target{document.EndpointKind, u.Address}] || g.drained[target{document.DomainKind, u.Domain}] ||
		g.drained[target{document.RegionKind, string(r)}]:
		m.t.Fatalf("request %d sent to %s, which is drained", s.ID, s.Endpoint)
	case g.capacity[r] && g.used[r] >= g.counts[r]:
		m.t.Fatalf("request %d sent to region %s above its share of %d", s.ID, r, g.counts[r])
	case s.ThrottleBody != (r == "b" && (g.linked[limit.OfLink("a", "b")] || g.linked[limit.OfLink("b", "a")])):
		m.t.Fatalf("request %d sent to region %s, linked: %v", s.ID, r, s.ThrottleBody)
	}
	g.used[r]++
}

// checkShifts accounts for the requests that the router moved in one step.
func (m *model) checkShifts() {
	for n := m.r.Stats().Shifted; m.ground.shifted < n; m.ground.shifted++ {
		m.ground.shift.spend(m.t, m.now, 1)
	}
}

// transfer moves body bytes of a running request.
func (m *model) transfer(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(m.running).Draw(t, "which")
	e := &TransferRequested{At: m.now, ID: id, Bytes: ident.Bytes(rapid.IntRange(1, 1500).Draw(t, "bytes")), FromUpstream: rapid.Bool().Draw(t, "back")}
	link := limit.OfLink("a", "b")
	if e.FromUpstream {
		link = limit.OfLink("b", "a")
	}
	waits := false
	for _, effect := range m.step(e) {
		if w, ok := effect.(*PauseTransfer); ok {
			waits = true
			if w.Delay < 0 || w.Delay == 0 && (w.MaxBytes == 0 || w.MaxBytes >= e.Bytes) {
				t.Fatalf("request %d waits for %s to move at most %d of %d bytes", id, w.Delay, w.MaxBytes, e.Bytes)
			}
		}
	}
	limited := regionOf(m.upstreamAt(m.courses[id].send.Endpoint).Domain) == "b" && m.ground.linked[link]
	switch {
	case waits && !limited:
		t.Fatalf("request %d waits for a link that is not limited", id)
	case !waits && limited && !m.now.Before(m.until):
		t.Fatalf("request %d moved bytes without a lease", id)
	case !waits && limited:
		m.ground.links[link].spend(m.t, m.now, float64(e.Bytes))
	}
}

// changePlaces makes control accept a drain, a shift, a link or a capacity.
func (m *model) changePlaces(t *rapid.T) {
	d := &m.p.doc
	region := rapid.SampledFrom([]ident.Region{"a", "b"}).Draw(t, "region")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		d.Drains.Drains = nil
	case 1:
		d.Drains.Drains = append(d.Drains.Drains[:0:0], rapid.SampledFrom([]document.Drain{
			{Name: "d", Kind: document.EndpointKind, Target: m.p.upstreams[0].Address}, {Name: "d", Kind: document.DomainKind, Target: "a1"},
			{Name: "d", Kind: document.DomainKind, Target: "b1"}, {Name: "d", Kind: document.RegionKind, Target: "a"},
		}).Draw(t, "drain"))
	case 2:
		d.Topology.Regions = append([]document.Region(nil), d.Topology.Regions...)
		for i := range d.Topology.Regions {
			if d.Topology.Regions[i].Name == region {
				d.Topology.Regions[i].Capacity = ident.Slots(rapid.IntRange(0, 1).Draw(t, "capacity") * 4)
			}
		}
		m.p.share(limit.OfRegion(region), 0, 0, uint32(rapid.IntRange(0, 4).Draw(t, "count")))
	case 3:
		from, to := region, ident.Region("a")
		if from == to {
			to = "b"
		}
		d.Topology.Links = nil
		if rapid.IntRange(0, 3).Draw(t, "link") > 0 {
			d.Topology.Links = []document.Link{{From: from, To: to, Rate: 1}}
		}
		m.p.share(limit.OfLink(from, to), float64(rapid.IntRange(0, 2000).Draw(t, "rate")), float64(rapid.IntRange(0, 1000).Draw(t, "burst")), 0)
	case 4:
		d.Shifts.Shifts = nil
		if rapid.IntRange(0, 3).Draw(t, "shift") > 0 {
			d.Shifts.Shifts = []document.Shift{{Name: "s", Service: "read", From: "a", To: "b1", Share: 0.5, Cap: 9}}
		}
		m.p.share(limit.OfShift("s"), float64(rapid.IntRange(0, 5).Draw(t, "rate")), float64(rapid.IntRange(0, 3).Draw(t, "burst")), 0)
	}
	m.exchange(t)
}

func (m *model) readPlaces(c *rpc.Config) {
	for _, s := range c.Sections {
		part, err := document.Parse(document.Section(s.Name), s.Text)
		if err != nil {
			m.t.Fatal(err)
		}
		switch p := part.(type) {
		case *document.Topology:
			clear(m.ground.capacity)
			clear(m.ground.linked)
			for _, r := range p.Regions {
				m.ground.capacity[r.Name] = r.Capacity > 0
			}
			for _, l := range p.Links {
				m.ground.linked[limit.OfLink(l.From, l.To)] = true
			}
		case *document.Drains:
			clear(m.ground.drained)
			for _, d := range p.Drains {
				m.ground.drained[target{d.Kind, d.Target}] = true
			}
		}
	}
}

// readPlaceShares takes over the shares of counts and flows of places.
func (m *model) readPlaceShares(list []*rpc.Allotment) {
	clear(m.ground.counts)
	for _, a := range list {
		switch kind, name := limit.Split(ident.Limit(a.Limit)); kind {
		case limit.Region:
			m.ground.counts[ident.Region(name)] = a.Count
		case limit.Link:
			m.ground.links[ident.Limit(a.Limit)].reshare(m.now, a)
		case limit.Shift:
			m.ground.shift.reshare(m.now, a)
		}
	}
}

// reshare begins a new account when the share changes.
func (s *spending) reshare(at time.Time, a *rpc.Allotment) {
	if s.rate != a.Rate || s.burst != a.Burst {
		s.begin(at, a.Rate, a.Burst, false)
	}
}

// lapse begins new accounts of empty buckets.
func (g *ground) lapse(at time.Time) {
	for _, s := range g.links {
		s.begin(at, s.rate, s.burst, true)
	}
	g.shift.begin(at, g.shift.rate, g.shift.burst, true)
}
