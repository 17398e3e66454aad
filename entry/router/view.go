package router

import (
	"encoding/hex"
	"math"
	"strings"
	"time"

	"cuminfall.example/fleet/document"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// view is what control said last, in the form in which decisions look it up.
// The slices keep the order of creation, so that equal events give equal effects.
type view struct {
	proven     time.Time // send time of the exchange that proved config to be current
	until      time.Time // end of the lease of all shares
	config     uint64    // versions held
	registry   uint64
	members    uint64
	allotments uint64

	revisions map[document.Section]ident.Revision
	document  document.Document
	verdicts  []*rpc.Verdict
	upstreams []*rpc.Upstream
	home      *region // of this VM; nil while the places do not have its domain

	keys       map[ident.KeyID]*key
	prefixes   []*service // longest prefix first
	blocks     blockTable
	vms        []member
	elsewhere  string // addresses of VMs of other regions, for refusals
	services   map[ident.Service]*service
	workspaces map[ident.Workspace]*workspace
	endpoints  map[ident.Address]*endpoint
	regions    map[ident.Region]*region
	links      map[ident.Limit]*link
	shifts     map[string]*shift

	serviceList   []*service
	workspaceList []*workspace
	endpointList  []*endpoint
	regionList    []*region
	linkList      []*link
	shiftList     []*shift
}

type key struct {
	hash      KeyHash
	withdrawn bool
	workspace *workspace
}

type service struct {
	document.Service
	known     bool
	endpoints []*endpoint // candidates, but for free capacity
	shifts    []*shift
	active    []*queue // queues with waiting requests
	cursor    int      // queue whose turn it is
	credited  bool     // that queue has got its quantum
	waiting   int
	start     int // rotates the order of equal candidates
	pace      pace
	speed     speed
}

type workspace struct {
	name     ident.Workspace
	known    bool
	rate     float64
	quantum  float64 // of the deficit round robin
	bucket   limit.Bucket
	share    *rpc.Allotment
	arrivals meter
	queues   map[*service]*queue
	waiting  int
	claiming int // requests that wait for the answer to a claim
	promised int // requests with a claim that wait to be sent
}

type region struct {
	name    ident.Region
	limited bool
	counter limit.Counter
	latest  time.Time // deadline among the requests sent there so far
	out     *link     // from this VM's region; nil where not limited
	back    *link
}

type link struct {
	id      ident.Limit
	known   bool
	bucket  limit.Bucket
	moved   meter // bytes
	delayed meter // bytes that had to wait
	share   *rpc.Allotment
}

func newView() view {
	return view{
		revisions:  make(map[document.Section]ident.Revision),
		keys:       make(map[ident.KeyID]*key),
		services:   make(map[ident.Service]*service),
		workspaces: make(map[ident.Workspace]*workspace),
		endpoints:  make(map[ident.Address]*endpoint),
		regions:    make(map[ident.Region]*region),
		links:      make(map[ident.Limit]*link),
		shifts:     make(map[string]*shift),
	}
}

// fresh reports whether the view is young enough for keyed requests.
func (v *view) fresh(at time.Time, most time.Duration) bool {
	return !v.proven.IsZero() && at.Sub(v.proven) <= most
}

// synced applies a reply: each part that is newer, then freshness and lease.
func (r *Router) synced(e *Synced, out []Effect) []Effect {
	if e.Reply == nil || e.Reply.Versions == nil {
		return r.pumpAll(out)
	}
	v, reply, got := &r.view, e.Reply, e.Reply.Versions
	changed, lowered := false, false
	if reply.Config != nil && r.newer(got.Config, v.config) && r.applyConfig(reply.Config) {
		v.config, changed = got.Config, true
	}
	if reply.Registry != nil && r.newer(got.Registry, v.registry) {
		v.upstreams, v.registry, changed = reply.Registry.Upstreams, got.Registry, true
		r.applyRegistry()
	}
	if reply.Members != nil && r.newer(got.Members, v.members) {
		v.members, changed = got.Members, true
		r.applyMembers(reply.Members.Members)
	}
	until := e.Sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	if reply.Allotments != nil && r.newer(got.Allotments, v.allotments) {
		v.allotments = got.Allotments
		lowered = r.applyAllotments(reply.Allotments.Allotments)
	}
	if got.Allotments == v.allotments && got.Allotments > 0 {
		r.renew(until)
	}
	if changed {
		v.connect(r.config.Domain)
		out = r.sweep(out)
	}
	// A reply with another version than the one held says nothing about the age of the one held.
	if got.Config == v.config && v.config > 0 && e.Sent.After(v.proven) {
		v.proven = e.Sent
	}
	out = r.prove(out)
	if lowered {
		out = r.askNow(out) // others wait for the confirmation
	}
	return r.pumpAll(out)
}

// newer reports whether a part replaces the one held; versions never go back.
func (r *Router) newer(got, held uint64) bool {
	if got < held {
		r.stats.Outdated++
	}
	return got > held
}

// renew extends the lease of all shares. After a lapse the buckets start empty.
func (r *Router) renew(until time.Time) {
	v := &r.view
	if !until.After(v.until) {
		return
	}
	v.until = until
	for _, w := range v.workspaceList {
		w.bucket.Renew(r.now, until)
	}
	for _, l := range v.linkList {
		l.bucket.Renew(r.now, until)
	}
	for _, s := range v.shiftList {
		s.bucket.Renew(r.now, until)
	}
	for _, e := range v.endpointList {
		e.slots.Renew(until)
		e.conns.Renew(until)
	}
	for _, g := range v.regionList {
		g.counter.Renew(until)
	}
}

// applyConfig parses the sections that changed; false leaves everything as it
// was, so that the view becomes stale rather than half applied.
func (r *Router) applyConfig(c *rpc.Config) bool {
	v := &r.view
	parts := make([]document.Content, 0, len(c.Sections))
	for _, s := range c.Sections {
		name := document.Section(s.Name)
		if held, ok := v.revisions[name]; ok && ident.Revision(s.Revision) <= held {
			continue
		}
		part, err := document.Parse(name, s.Text)
		if err != nil {
			r.stats.Unreadable++
			return false
		}
		parts = append(parts, part)
	}
	for _, s := range c.Sections {
		name := document.Section(s.Name)
		v.revisions[name] = max(v.revisions[name], ident.Revision(s.Revision))
	}
	v.verdicts = c.Verdicts
	for _, part := range parts {
		v.document.Set(part)
		switch part.(type) {
		case *document.Topology:
			v.blocks = newBlockTable(v.document.Topology.Blocks)
		case *document.Workspaces:
			v.setWorkspaces()
		case *document.Services:
			v.setServices()
		}
	}
	v.setPlaces()
	v.setShifts()
	return true
}

func (v *view) setServices() {
	for _, s := range v.serviceList {
		s.known = false
	}
	v.prefixes = v.prefixes[:0]
	for _, d := range v.document.Services.Services {
		s := v.services[d.Name]
		if s == nil {
			s = new(service)
			v.services[d.Name] = s
			v.serviceList = append(v.serviceList, s)
		}
		if d.MaxBody == 0 {
			d.MaxBody = document.DefaultMaxBody
		}
		if d.MaxTimeout == 0 {
			d.MaxTimeout = document.DefaultMaxTimeout
		}
		s.Service, s.known = d, true
		at := 0
		for at < len(v.prefixes) && len(v.prefixes[at].Prefix) >= len(d.Prefix) {
			at++
		}
		v.prefixes = append(v.prefixes, nil)
		copy(v.prefixes[at+1:], v.prefixes[at:])
		v.prefixes[at] = s
	}
}

// leastQuantum bounds the rounds that a workspace of low rate needs for one request.
const leastQuantum = 1.0 / 32

func (v *view) setWorkspaces() {
	for _, w := range v.workspaceList {
		w.known = false
	}
	clear(v.keys)
	top := 0.0
	for _, d := range v.document.Workspaces.Workspaces {
		top = math.Max(top, float64(d.Rate))
	}
	for _, d := range v.document.Workspaces.Workspaces {
		w := v.workspace(d.Name)
		w.known, w.rate = true, float64(d.Rate)
		w.quantum = math.Max(w.rate/top, leastQuantum)
		for _, k := range d.Keys {
			entry := &key{withdrawn: k.Withdrawn, workspace: w}
			if n, err := hex.Decode(entry.hash[:], []byte(k.Hash)); err != nil || n != len(entry.hash) {
				entry.withdrawn = true // a key without a readable hash admits nobody
			}
			v.keys[k.ID] = entry
		}
	}
}

func (v *view) workspace(name ident.Workspace) *workspace {
	w := v.workspaces[name]
	if w == nil {
		w = &workspace{name: name, quantum: 1, queues: make(map[*service]*queue)}
		v.workspaces[name] = w
		v.workspaceList = append(v.workspaceList, w)
	}
	return w
}

func (v *view) region(name ident.Region) *region {
	g := v.regions[name]
	if g == nil {
		g = &region{name: name}
		v.regions[name] = g
		v.regionList = append(v.regionList, g)
	}
	return g
}

func (v *view) link(id ident.Limit) *link {
	l := v.links[id]
	if l == nil {
		l = &link{id: id}
		v.links[id] = l
		v.linkList = append(v.linkList, l)
	}
	return l
}

func (v *view) setPlaces() {
	for _, g := range v.regionList {
		g.limited = false
	}
	for _, d := range v.document.Topology.Regions {
		v.region(d.Name).limited = d.Capacity > 0
	}
	for _, l := range v.linkList {
		l.known = false
	}
	for _, d := range v.document.Topology.Links {
		v.link(limit.OfLink(d.From, d.To)).known = d.Rate > 0
	}
}

func (r *Router) applyRegistry() {
	v := &r.view
	for _, e := range v.endpointList {
		e.announced = false
	}
	for _, u := range v.upstreams {
		e := v.endpoint(ident.Address(u.Address))
		if e.incarnation != ident.Incarnation(u.Incarnation) {
			e.failures, e.speed, e.slow = failures{}, speed{}, slowness{}
		}
		e.announced = true
		e.service = ident.Service(u.Service)
		e.domain = ident.Domain(u.Domain)
		e.incarnation = ident.Incarnation(u.Incarnation)
		e.leaving, e.suspected = u.Leaving, u.Suspected
		e.connLimited = u.Connections > 0
	}
	live := v.endpointList[:0]
	for _, e := range v.endpointList {
		if e.announced || e.slots.Share() > 0 || e.slots.Used() > 0 {
			live = append(live, e)
		} else {
			delete(v.endpoints, e.address)
		}
	}
	clear(v.endpointList[len(live):])
	v.endpointList = live
}

// applyAllotments sets every share and reports whether one was lowered; a limit that is not listed has none.
func (r *Router) applyAllotments(list []*rpc.Allotment) (lowered bool) {
	v := &r.view
	flows := make(map[ident.Limit]*rpc.Allotment)
	counts := make(map[ident.Limit]uint32)
	for _, a := range list {
		id := ident.Limit(a.Limit)
		kind, name := limit.Split(id)
		switch kind {
		case limit.Workspace:
			v.workspace(ident.Workspace(name))
		case limit.Link:
			v.link(id)
		case limit.Shift:
			v.shift(name)
		case limit.Slots, limit.Connections:
			v.endpoint(ident.Address(name))
		case limit.Region:
			v.region(ident.Region(name))
		}
		if kind.IsRate() {
			flows[id] = a
		} else {
			counts[id] = a.Count
		}
	}
	for _, w := range v.workspaceList {
		a := flows[limit.OfWorkspace(w.name)]
		lowered = lowered || below(a, w.share)
		w.share = a
		w.bucket.Resize(r.now, a.GetRate(), a.GetBurst())
	}
	for _, l := range v.linkList {
		a := flows[l.id]
		lowered = lowered || below(a, l.share)
		l.share = a
		l.bucket.Resize(r.now, l.share.GetRate(), l.share.GetBurst())
	}
	for _, s := range v.shiftList {
		a := flows[limit.OfShift(s.name)]
		s.bucket.Resize(r.now, a.GetRate(), a.GetBurst())
	}
	for _, e := range v.endpointList {
		lowered = lowered || counts[e.slotsID] < e.slots.Share()
		e.slots.Resize(counts[e.slotsID])
		e.conns.Resize(counts[e.connsID])
	}
	for _, g := range v.regionList {
		n := counts[limit.OfRegion(g.name)]
		lowered = lowered || n < g.counter.Share()
		g.counter.Resize(n)
	}
	return lowered
}

// below reports whether a flow's share is less than the one before in any part.
func below(a, before *rpc.Allotment) bool {
	return a.GetRate() < before.GetRate() || a.GetBurst() < before.GetBurst()
}

// connect works out which endpoints are candidates of which service and how far they are.
func (v *view) connect(domain ident.Domain) {
	places := make(map[ident.Domain]ident.Region)
	for _, d := range v.document.Topology.Domains {
		places[d.Name] = d.Region
	}
	v.home = nil
	if name, ok := places[domain]; ok {
		v.home = v.region(name)
	}
	for _, g := range v.regionList {
		g.out, g.back = nil, nil
		if v.home != nil && g != v.home {
			g.out = v.limitedLink(v.home.name, g.name)
			g.back = v.limitedLink(g.name, v.home.name)
		}
	}
	out := v.outOfUse()
	for _, s := range v.serviceList {
		s.endpoints = s.endpoints[:0]
	}
	for _, e := range v.endpointList {
		e.region, e.distance = nil, far
		if name, ok := places[e.domain]; ok {
			e.region = v.region(name)
		}
		s := v.services[e.service]
		// Without a known region neither its capacity nor its links could be kept.
		if s == nil || !s.known || !e.announced || e.leaving || e.region == nil || out.endpoint(e) {
			continue
		}
		if e.domain == domain {
			e.distance = sameDomain
		} else if e.region == v.home {
			e.distance = sameRegion
		}
		e.setBase()
		s.endpoints = append(s.endpoints, e)
	}
	v.placeMembers(places, out)
}

func (v *view) limitedLink(from, to ident.Region) *link {
	if l := v.links[limit.OfLink(from, to)]; l != nil && l.known {
		return l
	}
	return nil
}

// target names what a drain or a verdict is about.
type target struct {
	kind document.TargetKind
	name string
}

type targets map[target]bool

// outOfUse returns what is drained or down.
func (v *view) outOfUse() targets {
	out := make(targets)
	for _, d := range v.document.Drains.Drains {
		out[target{d.Kind, d.Target}] = true
	}
	for _, d := range v.verdicts {
		if d.Down {
			out[target{document.TargetKind(d.Kind), d.Target}] = true
		}
	}
	return out
}

func (t targets) endpoint(e *endpoint) bool {
	return t[target{document.EndpointKind, string(e.address)}] ||
		t[target{document.DomainKind, string(e.domain)}] ||
		t[target{document.RegionKind, string(e.region.name)}]
}

// route returns the service with the longest prefix of path, or nil.
func (v *view) route(path string) *service {
	for _, s := range v.prefixes {
		if strings.HasPrefix(path, s.Prefix) {
			return s
		}
	}
	return nil
}
