package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/throttle"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/object"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// Caller is what a request's head says besides its route.
type Caller struct {
	RequestID string        // of the request, unique
	Key       string        // empty where none was given
	Remaining time.Duration // how long the caller waits
	Object    string        // what the request concerns; empty where it says nothing
}

// Answer is what an upstream says of itself with an answer.
type Answer struct {
	NotExecuted bool // it did not run the request
	Authentic   bool // it is marked as the upstream's own
	Load        int  // running and waiting requests; -1 where it does not tell
}

// WireFormat reads what callers and upstreams say in a deployment's own words.
type WireFormat struct {
	Forward     *forward.WireFormat
	ParseCaller func(*http.Request) (Caller, error)
	ParseAnswer func(status int, h http.Header) Answer
}

// Options configures a Proxy.
type Options struct {
	VM          registry.VM // Up is set by the front
	Regions     map[ident.Domain]ident.Region
	Bounds      throttle.Bounds
	Costs       balancer.Costs
	DrainPeriod time.Duration // how long a planned stop lets callers find other VMs
	GracePeriod time.Duration // how long a planned stop may take in all
	Clock       clock.Clock   // of requests and connections
	LeaseClock  clock.Clock   // of lent shares; also counts time in which the VM was suspended
	Log         *process.EventLog
	Metrics     metrics.Registry
	WireFormat  WireFormat
	Forward     *forward.Client
}

// Control is the way to the control group's leader.
type Control interface {
	// TriggerReport makes the next report go out at once.
	TriggerReport()
	// HasLeader reports whether a leader is known, as far as a member in reach says.
	HasLeader() bool
}

// Proxy is the entry path of one VM.
type Proxy struct {
	opts    Options
	control Control // set before requests are served
	closing atomic.Bool
	meters  meters

	mu            sync.Mutex
	table         *catalog.Table
	drained       map[ident.Domain]bool
	rested        map[ident.Domain]time.Time // end of the last drain, after which upstreams may be cold
	since         map[ident.Domain]ident.Index
	sharers       int // all known entry VMs in this one's domain
	placer        balancer.Balancer
	retries       throttle.RetryBudget
	cold          throttle.ColdStartLimiter
	rates         throttle.RateLimiter
	splits        map[string][]float64 // credit of the parts of each split route
	moved         ident.Index          // of the register's upstreams and VMs
	flows         protocol.RegionWeightsByService
	demand        map[ident.Region]*demand // by the region that alone may serve it; empty for any
	sends, strays throttle.Meter
	lag           throttle.LinkDelay
	lent          chan struct{} // closed when allowances change
	began         time.Time     // of this run
	sequence      uint64        // of the last report
	seen          uint64        // the newest report whose answer is in force
	term          ident.Term    // of the leader that gave it
}

// New returns a front that knows no register yet.
func New(o Options) *Proxy {
	f := &Proxy{opts: o, meters: newMeters(o.Metrics), splits: map[string][]float64{}, rested: map[ident.Domain]time.Time{},
		since: map[ident.Domain]ident.Index{}}
	f.demand, f.lent = map[ident.Region]*demand{}, make(chan struct{})
	f.rates.RequireFullReport()
	f.began = o.LeaseClock.Now()
	f.placer = balancer.Balancer{Domain: o.VM.Domain, Regions: o.Regions, Costs: o.Costs}
	f.retries.Bounds, f.cold.Bounds, f.rates.Bounds = o.Bounds, o.Bounds, o.Bounds
	f.retries.VMs = unknownVMs
	return f
}

// unknownVMs is how many VMs a VM that heard of none assumes to share the fleet's bounds with.
const unknownVMs = 64

// Update implements follower.Handler.
func (f *Proxy) Update(r *registry.Registry) {
	now := f.opts.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Catalog != nil && (f.table == nil || f.table.Catalog != r.Catalog) {
		f.table = catalog.NewTable(r.Catalog)
		f.rates.SetWorkspaces(r.Catalog.Workspaces)
	}
	f.drained = make(map[ident.Domain]bool, len(r.Drained))
	for d := range r.Drained {
		f.drained[d] = true
	}
	for d, index := range r.DrainEnded {
		if f.since[d] != index {
			f.since[d], f.rested[d] = index, now
		}
	}
	if f.moved != r.ChangedIndex || f.moved == 0 {
		f.moved = r.ChangedIndex
		f.placer.SetUpstreams(now, r.Upstreams)
	}
	known := make([]forward.Endpoint, 0, len(r.Upstreams))
	for id, u := range r.Upstreams {
		known = append(known, forward.Endpoint{Address: u.Address, Incarnation: incarnation(id, u.StartedAt), MaxConnections: f.connections(u.Service, len(r.VMs))})
	}
	f.sharers = 0
	for _, v := range r.VMs {
		if v.Domain == f.opts.VM.Domain {
			f.sharers++
		}
	}
	f.opts.Forward.Update(known)
}

// connections is this VM's part of the connections that an upstream accepts.
func (f *Proxy) connections(s ident.Service, vms int) ident.Connections {
	const unset = 64 // where operators set no limit
	if f.table == nil {
		return unset
	}
	all := f.table.Service(s).MaxConnections
	if all == 0 {
		return unset
	}
	return max(all/ident.Connections(max(vms, 1)), 2)
}

// Ready reports whether this VM takes new callers.
func (f *Proxy) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table != nil && !f.closing.Load()
}

// Leave begins a planned stop: the VM is no longer ready, and asks callers to use new connections.
func (f *Proxy) Leave() { f.closing.Store(true) }

// Run keeps connections to upstreams tidy until ctx ends.
func (f *Proxy) Run(ctx context.Context) {
	const sweep = time.Second
	ticks, stop := f.opts.Clock.Every(sweep)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			f.opts.Forward.Sweep()
			f.opts.Log.LogDropped()
		}
	}
}

// meters are the metrics of the entry path.
type meters struct {
	requests, answered, refused, limited, retried, broken metrics.Counter
	total, upstream                                       metrics.Histogram
}

// sampleSize and sampleBias are the usual figures of an exponentially decaying sample: 99.9% confidence
// with 5% error, over about the last five minutes.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

func newMeters(r metrics.Registry) meters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("front."+name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("front."+name+".us", r, metrics.NewExpDecaySample(sampleSize, sampleBias))
	}
	return meters{count("requests"), count("answered"), count("refused"), count("limited"), count("retried"), count("broken"),
		histogram("total"), histogram("upstream")}
}

func incarnation(id registry.UpstreamID, born int64) ident.Incarnation {
	return ident.Incarnation(uint64(object.SeedOf(string(id))) ^ uint64(born))
}

// fields are the fields of every line on a request.
func (c *call) fields(event string) logrus.Fields {
	return logrus.Fields{"event": event, "request": c.caller.RequestID, "route": c.routeName(), "workspace": c.workspace, "version": c.version}
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
