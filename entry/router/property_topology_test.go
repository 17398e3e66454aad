package router

import (
	"time"

	"pgregory.net/rapid"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// topologyModel is the model's account of drains, shifts, links and regions.
type topologyModel struct {
	drained        targetSet
	limitedRegions map[ident.Region]bool // regions with a capacity
	limitedLinks   map[ident.Limit]bool
	regionShares   map[ident.Region]uint32 // the VM's shares of region capacities
	regionUse      map[ident.Region]uint32
	linkUsage      map[ident.Limit]*rateUsage
	shiftUsage     rateUsage
	shiftedCount   uint64 // shifted requests that checkShifts has added to shiftUsage
}

func newTopologyModel() *topologyModel {
	return &topologyModel{
		drained: make(targetSet), limitedRegions: make(map[ident.Region]bool), limitedLinks: make(map[ident.Limit]bool),
		regionShares: make(map[ident.Region]uint32), regionUse: make(map[ident.Region]uint32),
		linkUsage: map[ident.Limit]*rateUsage{limit.OfLink("a", "b"): {}, limit.OfLink("b", "a"): {}},
	}
}

func regionOf(domain string) ident.Region { return ident.Region(domain[:1]) }

func (m *model) upstreamAt(a ident.Address) *rpc.Upstream {
	for _, u := range m.fleet.upstreams {
		if u.Address == string(a) {
			return u
		}
	}
	m.t.Fatalf("no upstream at %s", a)
	return nil
}

// checkTopology fails if a request is sent to a drained endpoint, above a region's
// share, or with a wrong ThrottleBody.
func (m *model) checkTopology(s Send) {
	u, topology := m.upstreamAt(s.Endpoint), m.topology
	r := regionOf(u.Domain)
	switch {
	case topology.drained[target{document.EndpointKind, u.Address}] || topology.drained[target{document.DomainKind, u.Domain}] ||
		topology.drained[target{document.RegionKind, string(r)}]:
		m.t.Fatalf("request %d sent to %s, which is drained", s.ID, s.Endpoint)
	case topology.limitedRegions[r] && topology.regionUse[r] >= topology.regionShares[r]:
		m.t.Fatalf("request %d sent to region %s above its share of %d", s.ID, r, topology.regionShares[r])
	case s.ThrottleBody != (r == "b" && (topology.limitedLinks[limit.OfLink("a", "b")] || topology.limitedLinks[limit.OfLink("b", "a")])):
		m.t.Fatalf("request %d sent to region %s with ThrottleBody %v", s.ID, r, s.ThrottleBody)
	}
	topology.regionUse[r]++
}

// checkShifts adds the requests that count against the cap of a shift in one step to its usage. These include all that
// went from its source to its target while the source had an upstream.
func (m *model) checkShifts(out []Effect) {
	v := &m.router.view
	spilled := uint64(0)
	for _, effect := range out {
		send, ok := effect.(*Send)
		if !ok || len(v.services[send.Service].shifts) == 0 {
			continue
		}
		hasSource := false
		for _, e := range v.services[send.Service].endpoints {
			hasSource = hasSource || e.region.name == "a"
		}
		if hasSource && v.endpoints[send.Endpoint].domain == "b1" {
			spilled++
		}
	}
	if counted := m.router.Stats().Shifted - m.topology.shiftedCount; spilled > counted {
		m.t.Fatalf("%d requests went to the target of a shift, %d counted against its cap", spilled, counted)
	}
	for n := m.router.Stats().Shifted; m.topology.shiftedCount < n; m.topology.shiftedCount++ {
		m.topology.shiftUsage.use(m.t, m.now, 1)
	}
}

// transferBytes requests a transfer of body bytes of a running request.
func (m *model) transferBytes(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	id := rapid.SampledFrom(m.running).Draw(t, "which")
	e := &TransferRequested{At: m.now, ID: id, Bytes: ident.Bytes(rapid.IntRange(1, 1500).Draw(t, "bytes")), FromUpstream: rapid.Bool().Draw(t, "back")}
	link := limit.OfLink("a", "b")
	if e.FromUpstream {
		link = limit.OfLink("b", "a")
	}
	paused := false
	for _, effect := range m.step(e) {
		if w, ok := effect.(*PauseTransfer); ok {
			paused = true
			if w.Delay < 0 || w.Delay == 0 && (w.MaxBytes == 0 || w.MaxBytes >= e.Bytes) {
				t.Fatalf("request %d waits for %s to move at most %d of %d bytes", id, w.Delay, w.MaxBytes, e.Bytes)
			}
		}
	}
	limited := regionOf(m.upstreamAt(m.requests[id].send.Endpoint).Domain) == "b" && m.topology.limitedLinks[link]
	switch {
	case paused && !limited:
		t.Fatalf("request %d waits for a link that is not limited", id)
	case !paused && limited && !m.now.Before(m.leaseExpiry):
		t.Fatalf("request %d moved bytes without a lease", id)
	case !paused && limited:
		m.topology.linkUsage[link].use(m.t, m.now, float64(e.Bytes))
	}
}

// changeTopology changes a drain, a shift, a link or a capacity in the fleet.
func (m *model) changeTopology(t *rapid.T) {
	d := &m.fleet.document
	region := rapid.SampledFrom([]ident.Region{"a", "b"}).Draw(t, "region")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		d.Drains.Drains = nil
	case 1:
		d.Drains.Drains = append(d.Drains.Drains[:0:0], rapid.SampledFrom([]document.Drain{
			{Name: "d", Kind: document.EndpointKind, Target: m.fleet.upstreams[0].Address}, {Name: "d", Kind: document.DomainKind, Target: "a1"},
			{Name: "d", Kind: document.DomainKind, Target: "b1"}, {Name: "d", Kind: document.RegionKind, Target: "a"},
		}).Draw(t, "drain"))
	case 2:
		d.Topology.Regions = append([]document.Region(nil), d.Topology.Regions...)
		for i := range d.Topology.Regions {
			if d.Topology.Regions[i].Name == region {
				d.Topology.Regions[i].Capacity = ident.Slots(rapid.IntRange(0, 1).Draw(t, "capacity") * 4)
			}
		}
		m.fleet.setShare(limit.OfRegion(region), 0, 0, uint32(rapid.IntRange(0, 4).Draw(t, "count")))
	case 3:
		from, to := region, ident.Region("a")
		if from == to {
			to = "b"
		}
		d.Topology.Links = nil
		if rapid.IntRange(0, 3).Draw(t, "link") > 0 {
			d.Topology.Links = []document.Link{{From: from, To: to, Rate: 1}}
		}
		m.fleet.setShare(limit.OfLink(from, to), float64(rapid.IntRange(0, 2000).Draw(t, "rate")), float64(rapid.IntRange(0, 1000).Draw(t, "burst")), 0)
	case 4:
		d.Shifts.Shifts = nil
		if rapid.IntRange(0, 3).Draw(t, "shift") > 0 {
			d.Shifts.Shifts = []document.Shift{{Name: "s", Service: "read", From: "a", To: "b1", Share: 0.5, Cap: 9}}
		}
		m.fleet.setShare(limit.OfShift("s"), float64(rapid.IntRange(0, 5).Draw(t, "rate")), float64(rapid.IntRange(0, 3).Draw(t, "burst")), 0)
	}
	m.beginExchange(t)
}

func (m *model) readTopology(c *rpc.Config) {
	for _, s := range c.Sections {
		content, err := document.Parse(document.Section(s.Name), s.Text)
		if err != nil {
			m.t.Fatal(err)
		}
		switch p := content.(type) {
		case *document.Topology:
			clear(m.topology.limitedRegions)
			clear(m.topology.limitedLinks)
			for _, r := range p.Regions {
				m.topology.limitedRegions[r.Name] = r.Capacity > 0
			}
			for _, l := range p.Links {
				m.topology.limitedLinks[limit.OfLink(l.From, l.To)] = true
			}
		case *document.Drains:
			clear(m.topology.drained)
			for _, d := range p.Drains {
				m.topology.drained[target{d.Kind, d.Target}] = true
			}
		}
	}
}

// readTopologyShares reads the shares of regions, links and shifts.
func (m *model) readTopologyShares(list []*rpc.Allotment) {
	clear(m.topology.regionShares)
	for _, a := range list {
		switch kind, name := limit.Split(ident.Limit(a.Limit)); kind {
		case limit.Region:
			m.topology.regionShares[ident.Region(name)] = a.Count
		case limit.Link:
			m.topology.linkUsage[ident.Limit(a.Limit)].setShare(m.now, a)
		case limit.Shift:
			m.topology.shiftUsage.setShare(m.now, a)
		}
	}
}

// setShare resets the token bucket if the share changes.
func (s *rateUsage) setShare(at time.Time, a *rpc.Allotment) {
	if s.rate != a.Rate || s.burst != a.Burst {
		s.reset(at, a.Rate, a.Burst, false)
	}
}

// resetToEmpty resets the buckets of links and shifts and leaves them empty, as after an expired lease.
func (g *topologyModel) resetToEmpty(at time.Time) {
	for _, s := range g.linkUsage {
		s.reset(at, s.rate, s.burst, true)
	}
	g.shiftUsage.reset(at, g.shiftUsage.rate, g.shiftUsage.burst, true)
}
