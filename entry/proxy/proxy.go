package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/throttle"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Caller holds the values that a WireFormat reads from a request's header.
type Caller struct {
	RequestID string        // unique
	Key       string        // API key; empty if none was sent
	Remaining time.Duration // time until the caller stops waiting for the response
	Object    string        // object that the request concerns; empty if it names none
}

// ResponseInfo holds the values that a WireFormat reads from an upstream's response.
type ResponseInfo struct {
	NotExecuted bool          // the upstream did not run the request
	Authentic   bool          // the response is marked as the upstream's own
	Load        int           // running and waiting requests at the upstream; -1 if not reported
	Leaving     bool          // the upstream leaves and wants no new requests
	QuietFor    time.Duration // the upstream wants no requests of this VM for so long; 0 if it asked for no such span
	QuietErr    error         // why QuietFor replaces the span that the upstream gave
}

// WireFormat reads the headers by which a deployment's callers and upstreams exchange data with the proxy.
type WireFormat struct {
	Forward       *forward.WireFormat
	ParseCaller   func(*http.Request) (Caller, error)
	ParseResponse func(status int, h http.Header) ResponseInfo
}

// Options configures a Proxy.
type Options struct {
	VM          registry.VM // Up is set by the proxy
	Regions     map[ident.Domain]ident.Region
	Bounds      throttle.Bounds
	Costs       balancer.Costs
	DrainPeriod time.Duration // time in which callers can switch to other VMs during a graceful shutdown
	GracePeriod time.Duration // maximum duration of a graceful shutdown, DrainPeriod included
	MaxCallers  int           // open connections of callers from which idle ones are closed; 0 means no limit
	// ResponseMemory limits the bytes of all responses that are held in memory before they are sent to callers; 0 means
	// the default of 8 MiB.
	ResponseMemory ident.Bytes
	Clock          clock.Clock // for requests and connections
	LeaseClock     clock.Clock // for leases of allowances; also counts time while the VM is suspended
	Log            *process.EventLog
	Metrics        metrics.Registry
	WireFormat     WireFormat
	Forward        *forward.Client
}

// Control is the connection to the control group that a Proxy uses.
type Control interface {
	// TriggerReport makes the next report go out without waiting for the regular interval.
	TriggerReport()
	// HasLeader reports whether a member is being followed and that member knows a leader.
	HasLeader() bool
}

// Proxy serves callers' requests on one entry VM.
type Proxy struct {
	opts    Options
	control Control            // set before requests are served
	callers *listener.Listener // set before requests are served; nil in tests without a listener
	stop    stop
	metrics requestMetrics

	responseMemory, bodyMemory bufferBudget

	mu                      sync.Mutex
	table                   *catalog.Table
	drainedDomains          map[ident.Domain]bool
	drainEndedAt            map[ident.Domain]time.Time   // end of the domain's last drain; its upstreams may be cold afterwards
	drainEndIndex           map[ident.Domain]ident.Index // log index of that drain's end
	domainVMs               int                          // known entry VMs in this VM's domain
	balancer                balancer.Balancer
	retryBudget             throttle.RetryBudget
	coldLimiter             throttle.ColdStartLimiter
	rateLimiter             throttle.RateLimiter
	splitCredits            map[string][]float64 // for each route with several splits, one credit per split
	upstreamsIndex          ident.Index          // log index of the last applied change of upstreams or VMs
	regionWeights           protocol.RegionWeightsByService
	demand                  map[ident.Region]*demand // by the region that the requests are pinned to; empty if not pinned
	sends, outOfRegionSends throttle.Meter
	linkDelay               throttle.LinkDelay
	observations            observation.Set
	suspects                suspects
	restored                bool          // the facts that the registry keeps were added
	reportAnswered          chan struct{} // closed when the next reply to a report is applied
	startedAt               time.Time     // start of this process, by LeaseClock
	reportSequence          uint64        // number of the last report
	appliedSequence         uint64        // number of the newest report whose reply was applied
	repliedSequence         uint64        // number of the newest report that was replied to
	appliedTerm             ident.Term    // term of the leader that sent that reply
	replySerial             uint64        // the serial of that leader's newest reply
}

// New returns a proxy that refuses all requests until Update provides a catalog.
func New(o Options) *Proxy {
	p := &Proxy{opts: o, metrics: newRequestMetrics(o.Metrics), splitCredits: map[string][]float64{}, drainEndedAt: map[ident.Domain]time.Time{},
		drainEndIndex: map[ident.Domain]ident.Index{}}
	p.demand, p.reportAnswered = map[ident.Region]*demand{}, make(chan struct{})
	p.stop.ended, p.stop.endRunning = context.WithCancel(context.Background())
	p.responseMemory.free.Store(int64(o.ResponseMemory))
	if o.ResponseMemory <= 0 {
		p.responseMemory.free.Store(defaultResponseMemory)
	}
	p.bodyMemory.give(bodyMemory)
	p.suspects = newSuspects()
	p.rateLimiter.RequireFullReport()
	p.startedAt = o.LeaseClock.Now()
	p.balancer = balancer.Balancer{VM: o.VM.Name, Domain: o.VM.Domain, Regions: o.Regions, Costs: o.Costs}
	p.retryBudget.Bounds, p.coldLimiter.Bounds, p.rateLimiter.Bounds = o.Bounds, o.Bounds, o.Bounds
	p.retryBudget.VMs = assumedVMs
	p.registerGauges()
	p.registerBodyGauge()
	return p
}

// assumedVMs is the number of VMs that are assumed to share the fleet's bounds before the leader reports the number.
const assumedVMs = 64

// Update implements follower.Handler: it applies the catalog, drains, upstreams and VMs of the registry.
func (p *Proxy) Update(current *registry.Registry) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if current.Catalog != nil && (p.table == nil || p.table.Catalog != current.Catalog) {
		p.table = catalog.NewTable(current.Catalog)
		p.rateLimiter.SetWorkspaces(current.Catalog.Workspaces)
	}
	p.drainedDomains = make(map[ident.Domain]bool, len(current.Drained))
	for domain := range current.Drained {
		p.drainedDomains[domain] = true
	}
	for domain, index := range current.DrainEnded {
		if p.drainEndIndex[domain] != index {
			p.drainEndIndex[domain], p.drainEndedAt[domain] = index, now
		}
	}
	if p.upstreamsIndex != current.ChangedIndex || p.upstreamsIndex == 0 {
		p.upstreamsIndex = current.ChangedIndex
		p.balancer.SetUpstreams(now, current.Upstreams)
		p.applyAllLeaving()
	}
	endpoints := make([]forward.Endpoint, 0, len(current.Upstreams))
	for id, u := range current.Upstreams {
		endpoints = append(endpoints, forward.Endpoint{Address: u.Address, Incarnation: incarnationOf(id, u.StartedAt), MaxConnections: p.maxConnectionsFor(u.Service, len(current.VMs))})
	}
	p.restoreFacts(current.Kept)
	p.domainVMs = 0
	for _, vm := range current.VMs {
		if vm.Domain == p.opts.VM.Domain {
			p.domainVMs++
		}
	}
	p.opts.Forward.Update(endpoints)
}

// maxConnectionsFor returns this VM's share of the connections that an upstream of the service accepts, at least 2 if
// the catalog sets a limit.
func (p *Proxy) maxConnectionsFor(service ident.Service, vms int) ident.Connections {
	const defaultLimit = 64 // if operators set no limit
	if p.table == nil {
		return defaultLimit
	}
	limit := p.table.Service(service).MaxConnections
	if limit == 0 {
		return defaultLimit
	}
	return max(limit/ident.Connections(max(vms, 1)), 2)
}

// Ready reports whether this VM takes new callers: it has a catalog and no graceful shutdown has begun.
func (p *Proxy) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table != nil && !p.stop.begun()
}

// Leave begins a graceful shutdown: Ready returns false and responses ask callers to close their connection.
func (p *Proxy) Leave() { p.stop.begin(p.opts.Clock.Now()) }

// Run closes stale connections to upstreams and callers and logs the number of dropped log lines every second, until ctx
// ends.
func (p *Proxy) Run(ctx context.Context) {
	const sweepInterval = time.Second
	ticks, stop := p.opts.Clock.Every(sweepInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			p.opts.Forward.Sweep()
			p.closeUnusedCallers()
			p.opts.Log.LogDropped()
		}
	}
}

// idleGrace is how many times the operators' idle timeout a caller's connection may be idle before it is closed. A caller
// may still use it at about the timeout, and a request in transit on a slow link would be lost.
const idleGrace = 2

// closeUnusedCallers closes the connections of callers that are idle for much longer than the catalog allows.
func (p *Proxy) closeUnusedCallers() {
	p.mu.Lock()
	table := p.table
	p.mu.Unlock()
	if p.callers == nil || table == nil || table.Catalog.Limits == nil || table.Catalog.Limits.IdleTimeout <= 0 {
		return
	}
	p.callers.CloseUnused(idleGrace * table.Catalog.Limits.IdleTimeout)
}

// requestMetrics holds the counters and histograms of the group "front"; the histograms are in microseconds.
type requestMetrics struct {
	requests, answered, refused, limited, retried, broken metrics.Counter
	leaving, quiet, withheld                              metrics.Counter
	bodiesRefused, bodiesNotKept                          metrics.Counter
	totalTime, upstreamTime                               metrics.Histogram
	crashes, quarantineRefused, probes                    metrics.Counter // requests at crashed upstreams, refused requests, probes
	suspectRequests, quarantinedRequests, observations    metrics.Gauge
}

// reservoirSize and reservoirAlpha are the usual parameters of an exponentially decaying sample: 99.9% confidence with
// 5% error, weighted to about the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

func newRequestMetrics(registry metrics.Registry) requestMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("front."+name, registry) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("front."+name+".us", registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("front."+name, registry) }
	return requestMetrics{counter("requests"), counter("answered"), counter("refused"), counter("limited"), counter("retried"), counter("broken"),
		counter("leaving"), counter("quiet"), counter("withheld"),
		counter("bodies.refused"), counter("bodies.unkept"),
		histogram("total"), histogram("upstream"), counter("crashes"), counter("quarantine.refused"), counter("quarantine.probes"),
		gauge("quarantine.suspects"), gauge("quarantine.held"), gauge("observations")}
}

func incarnationOf(id registry.UpstreamID, startedAt int64) ident.Incarnation {
	return ident.Incarnation(uint64(object.SeedOf(string(id))) ^ uint64(startedAt))
}

// logFields returns the fields that every log line about a request has.
func (c *call) logFields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "request": c.caller.RequestID, "route": c.routeName(), "workspace": c.workspace, "version": c.catalogVersion}
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
