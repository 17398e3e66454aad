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

// view holds the latest state that control sent, indexed for the decisions of the
// router. The lists keep the order in which elements were added, so that equal
// events give equal effects.
type view struct {
	confirmedAt       time.Time // start of the last exchange that confirmed the configuration as current
	leaseExpiry       time.Time // when the lease of all shares ends
	configVersion     uint64    // versions of the parts received; 0 for none
	registryVersion   uint64
	membersVersion    uint64
	allotmentsVersion uint64

	revisions   map[document.Section]ident.Revision
	document    document.Document
	verdicts    []*rpc.Verdict
	upstreams   []*rpc.Upstream
	localRegion *region // region of this VM; nil if the topology does not have its failure domain

	keys                 map[ident.KeyID]*key
	servicesByPrefix     []*service // longest prefix first
	blocks               blockTable
	vmList               []member
	otherRegionAddresses string // comma-separated addresses of VMs of other regions, for error messages
	services             map[ident.Service]*service
	workspaces           map[ident.Workspace]*workspace
	endpoints            map[ident.Address]*endpoint
	regions              map[ident.Region]*region
	links                map[ident.Limit]*link
	shifts               map[string]*shift

	serviceList   []*service
	workspaceList []*workspace
	endpointList  []*endpoint
	regionList    []*region
	linkList      []*link
	shiftList     []*shift
}

// key is an API key of a workspace.
type key struct {
	hash      KeyHash
	withdrawn bool
	workspace *workspace
}

// service holds a configured service and its state on this VM.
type service struct {
	document.Service
	configured       bool        // in the current configuration
	endpoints        []*endpoint // candidates for requests, with or without free capacity
	shifts           []*shift
	activeQueues     []*queue // queues with waiting requests
	cursor           int      // position of the queue whose turn it is
	credited         bool     // that queue has received its quantum
	waiting          int      // requests in the queues
	firstCandidate   int      // position of the first candidate to compare; rotates, so that equal ones take turns
	responseQuantile decayingQuantile
	responseMean     logMean
}

// workspace holds a configured workspace and its state on this VM.
type workspace struct {
	name           ident.Workspace
	configured     bool           // in the current configuration
	rate           float64        // requests per second of the workspace on all VMs
	quantum        float64        // added to a queue's deficit in each round
	bucket         limit.Bucket   // tokens of this VM's share
	share          *rpc.Allotment // this VM's part of rate and burst
	arrivals       meter          // requests
	queues         map[*service]*queue
	waiting        int // requests in the queues
	claiming       int // requests that wait for the reply to a claim
	claimedWaiting int // requests with a granted claim that wait to be sent
}

// region holds a region and this VM's share of its capacity.
type region struct {
	name           ident.Region
	limited        bool          // the region has a capacity
	counter        limit.Counter // requests of this VM that run there, and its share
	latestDeadline time.Time     // of all requests sent there so far
	outboundLink   *link         // from this VM's region; nil if not limited
	inboundLink    *link         // to this VM's region; nil if not limited
}

// link is the network link from one region to another, with this VM's share of its rate.
type link struct {
	id           ident.Limit
	configured   bool         // in the current configuration, with a rate
	bucket       limit.Bucket // bytes of this VM's share
	movedBytes   meter
	delayedBytes meter // bytes that had to wait
	share        *rpc.Allotment
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

// fresh reports whether the configuration was confirmed within maxAge before the given time.
func (v *view) fresh(at time.Time, maxAge time.Duration) bool {
	return !v.confirmedAt.IsZero() && at.Sub(v.confirmedAt) <= maxAge
}

// handleSync applies the parts of a reply that are newer, then renews the lease and
// notes when the configuration was confirmed.
func (r *Router) handleSync(e *Synced, out []Effect) []Effect {
	if e.Reply == nil || e.Reply.Versions == nil {
		return r.dispatchAll(out)
	}
	v, reply, versions := &r.view, e.Reply, e.Reply.Versions
	changed, lowered := false, false
	if reply.Config != nil && r.newer(versions.Config, v.configVersion) && r.applyConfig(reply.Config) {
		v.configVersion, changed = versions.Config, true
	}
	if reply.Registry != nil && r.newer(versions.Registry, v.registryVersion) {
		v.upstreams, v.registryVersion, changed = reply.Registry.Upstreams, versions.Registry, true
		r.applyRegistry()
	}
	if reply.Members != nil && r.newer(versions.Members, v.membersVersion) {
		v.membersVersion, changed = versions.Members, true
		r.applyMembers(reply.Members.Members)
	}
	expiry := e.Sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond)
	if reply.Allotments != nil && r.newer(versions.Allotments, v.allotmentsVersion) {
		v.allotmentsVersion = versions.Allotments
		lowered = r.applyAllotments(reply.Allotments.Allotments)
	}
	if versions.Allotments == v.allotmentsVersion && versions.Allotments > 0 {
		r.renewLease(expiry)
	}
	if changed {
		v.updateCandidates(r.config.Domain)
		out = r.refuseInadmissible(out)
	}
	// Only a reply with the version in use confirms that this version is current.
	if versions.Config == v.configVersion && v.configVersion > 0 && e.Sent.After(v.confirmedAt) {
		v.confirmedAt = e.Sent
	}
	out = r.resolveUnknownKeys(out)
	if lowered {
		out = r.requestSync(out) // other VMs wait until control knows that the share was lowered
	}
	return r.dispatchAll(out)
}

// newer reports whether an offered version replaces the one held, and counts
// offered versions that are lower.
func (r *Router) newer(offered, held uint64) bool {
	if offered < held {
		r.stats.Outdated++
	}
	return offered > held
}

// renewLease extends the lease of all shares. If the lease had expired, the buckets
// start empty.
func (r *Router) renewLease(expiry time.Time) {
	v := &r.view
	if !expiry.After(v.leaseExpiry) {
		return
	}
	v.leaseExpiry = expiry
	for _, w := range v.workspaceList {
		w.bucket.Renew(r.now, expiry)
	}
	for _, l := range v.linkList {
		l.bucket.Renew(r.now, expiry)
	}
	for _, s := range v.shiftList {
		s.bucket.Renew(r.now, expiry)
	}
	for _, e := range v.endpointList {
		e.slots.Renew(expiry)
		e.conns.Renew(expiry)
	}
	for _, g := range v.regionList {
		g.counter.Renew(expiry)
	}
}

// applyConfig applies the sections that changed. If one cannot be parsed, it changes
// nothing and returns false, so that the view becomes stale and is never half applied.
func (r *Router) applyConfig(c *rpc.Config) bool {
	v := &r.view
	sections := make([]document.Content, 0, len(c.Sections))
	for _, s := range c.Sections {
		name := document.Section(s.Name)
		if held, ok := v.revisions[name]; ok && ident.Revision(s.Revision) <= held {
			continue
		}
		section, err := document.Parse(name, s.Text)
		if err != nil {
			r.stats.Unreadable++
			return false
		}
		sections = append(sections, section)
	}
	for _, s := range c.Sections {
		name := document.Section(s.Name)
		v.revisions[name] = max(v.revisions[name], ident.Revision(s.Revision))
	}
	v.verdicts = c.Verdicts
	for _, section := range sections {
		v.document.Set(section)
		switch section.(type) {
		case *document.Topology:
			v.blocks = newBlockTable(v.document.Topology.Blocks)
		case *document.Workspaces:
			v.setWorkspaces()
		case *document.Services:
			v.setServices()
		}
	}
	v.setTopology()
	v.setShifts()
	return true
}

func (v *view) setServices() {
	for _, s := range v.serviceList {
		s.configured = false
	}
	v.servicesByPrefix = v.servicesByPrefix[:0]
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
		s.Service, s.configured = d, true
		position := 0
		for position < len(v.servicesByPrefix) && len(v.servicesByPrefix[position].Prefix) >= len(d.Prefix) {
			position++
		}
		v.servicesByPrefix = append(v.servicesByPrefix, nil)
		copy(v.servicesByPrefix[position+1:], v.servicesByPrefix[position:])
		v.servicesByPrefix[position] = s
	}
}

// minQuantum limits to 32 the rounds that a workspace with a low rate waits for one request.
const minQuantum = 1.0 / 32

func (v *view) setWorkspaces() {
	for _, w := range v.workspaceList {
		w.configured = false
	}
	clear(v.keys)
	maxRate := 0.0
	for _, d := range v.document.Workspaces.Workspaces {
		maxRate = math.Max(maxRate, float64(d.Rate))
	}
	for _, d := range v.document.Workspaces.Workspaces {
		w := v.workspace(d.Name)
		w.configured, w.rate = true, float64(d.Rate)
		w.quantum = math.Max(w.rate/maxRate, minQuantum)
		for _, k := range d.Keys {
			entry := &key{withdrawn: k.Withdrawn, workspace: w}
			if n, err := hex.Decode(entry.hash[:], []byte(k.Hash)); err != nil || n != len(entry.hash) {
				entry.withdrawn = true // without a valid hash no secret can match
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

// setTopology updates which regions and links are limited.
func (v *view) setTopology() {
	for _, g := range v.regionList {
		g.limited = false
	}
	for _, d := range v.document.Topology.Regions {
		v.region(d.Name).limited = d.Capacity > 0
	}
	for _, l := range v.linkList {
		l.configured = false
	}
	for _, d := range v.document.Topology.Links {
		v.link(limit.OfLink(d.From, d.To)).configured = d.Rate > 0
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
			e.failures, e.responseMean, e.slowness, e.notice = failureScore{}, logMean{}, slowness{}, notice{}
		}
		e.announced = true
		e.service = ident.Service(u.Service)
		e.domain = ident.Domain(u.Domain)
		e.incarnation = ident.Incarnation(u.Incarnation)
		e.leaving, e.suspected = u.Leaving, u.Suspected
		e.connLimited = u.Connections > 0
	}
	kept := v.endpointList[:0]
	for _, e := range v.endpointList {
		if e.announced || e.slots.Share() > 0 || e.slots.Used() > 0 {
			kept = append(kept, e)
		} else {
			delete(v.endpoints, e.address)
		}
	}
	clear(v.endpointList[len(kept):])
	v.endpointList = kept
}

// applyAllotments sets all shares and reports whether one was lowered. A limit that
// is not in the list gets no share.
func (r *Router) applyAllotments(list []*rpc.Allotment) (lowered bool) {
	v := &r.view
	rates := make(map[ident.Limit]*rpc.Allotment)
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
			rates[id] = a
		} else {
			counts[id] = a.Count
		}
	}
	for _, w := range v.workspaceList {
		a := rates[limit.OfWorkspace(w.name)]
		lowered = lowered || isLowered(a, w.share)
		w.share = a
		w.bucket.Resize(r.now, a.GetRate(), sendableBurst(a))
	}
	for _, l := range v.linkList {
		a := rates[l.id]
		lowered = lowered || isLowered(a, l.share)
		l.share = a
		l.bucket.Resize(r.now, l.share.GetRate(), l.share.GetBurst())
	}
	for _, s := range v.shiftList {
		a := rates[limit.OfShift(s.name)]
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

// Part of a workspace's share that is not granted as burst, because requests that are longer on their way than later ones
// arrive at the upstreams together with them.
const (
	transitJitter  = 20 * time.Millisecond
	maxTransitPart = 0.1 // of the burst
)

// sendableBurst returns how many requests a share lets this VM send at once.
func sendableBurst(share *rpc.Allotment) float64 {
	burst := share.GetBurst()
	kept := math.Min(share.GetRate()*transitJitter.Seconds(), burst*maxTransitPart)
	return math.Max(burst-kept, math.Min(burst, 1))
}

// isLowered reports whether the rate or the burst of a share is lower than before.
func isLowered(share, previous *rpc.Allotment) bool {
	return share.GetRate() < previous.GetRate() || share.GetBurst() < previous.GetBurst()
}

// updateCandidates determines the candidates of each service, their distance from
// the VM's failure domain, and the links to other regions.
func (v *view) updateCandidates(domain ident.Domain) {
	regions := make(map[ident.Domain]ident.Region)
	for _, d := range v.document.Topology.Domains {
		regions[d.Name] = d.Region
	}
	v.localRegion = nil
	if name, ok := regions[domain]; ok {
		v.localRegion = v.region(name)
	}
	for _, g := range v.regionList {
		g.outboundLink, g.inboundLink = nil, nil
		if v.localRegion != nil && g != v.localRegion {
			g.outboundLink = v.limitedLink(v.localRegion.name, g.name)
			g.inboundLink = v.limitedLink(g.name, v.localRegion.name)
		}
	}
	unavailable := v.unavailable()
	for _, s := range v.serviceList {
		s.endpoints = s.endpoints[:0]
	}
	for _, e := range v.endpointList {
		e.region, e.distance = nil, otherRegion
		if name, ok := regions[e.domain]; ok {
			e.region = v.region(name)
		}
		s := v.services[e.service]
		// If the region is unknown, its capacity and links cannot be respected.
		if s == nil || !s.configured || !e.announced || e.leaving || e.region == nil || unavailable.includesEndpoint(e) {
			continue
		}
		if e.domain == domain {
			e.distance = sameDomain
		} else if e.region == v.localRegion {
			e.distance = sameRegion
		}
		e.setBaseSortKey()
		s.endpoints = append(s.endpoints, e)
	}
	v.locateMembers(regions, unavailable)
}

// limitedLink returns the link between two regions, or nil if it has no rate limit.
func (v *view) limitedLink(from, to ident.Region) *link {
	if l := v.links[limit.OfLink(from, to)]; l != nil && l.configured {
		return l
	}
	return nil
}

// target identifies what a drain or a verdict applies to.
type target struct {
	kind document.TargetKind
	name string
}

// targetSet is a set of endpoints, VMs, failure domains and regions.
type targetSet map[target]bool

// unavailable returns everything that is drained or has the verdict down.
func (v *view) unavailable() targetSet {
	unavailable := make(targetSet)
	for _, d := range v.document.Drains.Drains {
		unavailable[target{d.Kind, d.Target}] = true
	}
	for _, d := range v.verdicts {
		if d.Down {
			unavailable[target{document.TargetKind(d.Kind), d.Target}] = true
		}
	}
	return unavailable
}

// includesEndpoint reports whether the set has the endpoint, its failure domain or its region.
func (t targetSet) includesEndpoint(e *endpoint) bool {
	return t[target{document.EndpointKind, string(e.address)}] ||
		t[target{document.DomainKind, string(e.domain)}] ||
		t[target{document.RegionKind, string(e.region.name)}]
}

// route returns the service with the longest prefix that matches the path, or nil.
func (v *view) route(path string) *service {
	for _, s := range v.servicesByPrefix {
		if strings.HasPrefix(path, s.Prefix) {
			return s
		}
	}
	return nil
}
