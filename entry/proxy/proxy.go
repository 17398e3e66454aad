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
	ID     string        // of the request, unique
	Key    string        // empty where none was given
	Left   time.Duration // how long the caller waits
	Object string        // what the request concerns; empty where it says nothing
}

// Answer is what an upstream says of itself with an answer.
type Answer struct {
	NotRun bool // it did not run the request
	Proven bool // it is marked as the upstream's own
	Load   int  // running and waiting requests; -1 where it does not tell
}

// Dialect reads what callers and upstreams say in a deployment's own words.
type Dialect struct {
	Forward *forward.Dialect
	Caller  func(*http.Request) (Caller, error)
	Answer  func(status int, h http.Header) Answer
}

// Options configures a Front.
type Options struct {
	VM      registry.VM // Up is set by the front
	Regions map[ident.Domain]ident.Region
	Terms   throttle.Terms
	Costs   balancer.Costs
	Drain   time.Duration // how long a planned stop lets callers find other VMs
	Grace   time.Duration // how long a planned stop may take in all
	Clock   clock.Clock   // of requests and connections
	Leases  clock.Clock   // of lent shares; also counts time in which the VM was suspended
	Log     *process.Journal
	Metrics metrics.Registry
	Dialect Dialect
	Forward *forward.Client
}

// Control is the way to the control group's leader.
type Control interface {
	// Wake makes the next report go out at once.
	Wake()
	// Led reports whether a leader is known, as far as a member in reach says.
	Led() bool
}

// Front is the entry path of one VM.
type Front struct {
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
	placer        balancer.Placer
	retries       throttle.Retries
	cold          throttle.Cold
	rates         throttle.Rates
	splits        map[string][]float64 // credit of the parts of each split route
	moved         ident.Index          // of the register's upstreams and VMs
	flows         protocol.Flows
	demand        map[ident.Region]*demand // by the region that alone may serve it; empty for any
	sends, strays throttle.Meter
	lag           throttle.Lag
	lent          chan struct{} // closed when allowances change
	began         time.Time     // of this run
	sequence      uint64        // of the last report
	seen          uint64        // the newest report whose answer is in force
	term          ident.Term    // of the leader that gave it
}

// New returns a front that knows no register yet.
func New(o Options) *Front {
	f := &Front{opts: o, meters: newMeters(o.Metrics), splits: map[string][]float64{}, rested: map[ident.Domain]time.Time{},
		since: map[ident.Domain]ident.Index{}}
	f.demand, f.lent = map[ident.Region]*demand{}, make(chan struct{})
	f.rates.Forget()
	f.began = o.Leases.Now()
	f.placer = balancer.Placer{Domain: o.VM.Domain, Regions: o.Regions, Costs: o.Costs}
	f.retries.Terms, f.cold.Terms, f.rates.Terms = o.Terms, o.Terms, o.Terms
	f.retries.VMs = unknownVMs
	return f
}

// unknownVMs is how many VMs a VM that heard of none assumes to share the fleet's bounds with.
const unknownVMs = 64

// Update implements follower.Entry.
func (f *Front) Update(r *registry.Register) {
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
	for d, index := range r.Since {
		if f.since[d] != index {
			f.since[d], f.rested[d] = index, now
		}
	}
	if f.moved != r.Moved || f.moved == 0 {
		f.moved = r.Moved
		f.placer.SetUpstreams(now, r.Upstreams)
	}
	known := make([]forward.Endpoint, 0, len(r.Upstreams))
	for id, u := range r.Upstreams {
		known = append(known, forward.Endpoint{Address: u.Address, Incarnation: incarnation(id, u.Born), Connections: f.connections(u.Service, len(r.VMs))})
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
func (f *Front) connections(s ident.Service, vms int) ident.Connections {
	const unset = 64 // where operators set no limit
	if f.table == nil {
		return unset
	}
	all := f.table.Service(s).Connections
	if all == 0 {
		return unset
	}
	return max(all/ident.Connections(max(vms, 1)), 2)
}

// Ready reports whether this VM takes new callers.
func (f *Front) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table != nil && !f.closing.Load()
}

// Leave begins a planned stop: the VM is no longer ready, and asks callers to use new connections.
func (f *Front) Leave() { f.closing.Store(true) }

// Run keeps connections to upstreams tidy until ctx ends.
func (f *Front) Run(ctx context.Context) {
	const sweep = time.Second
	ticks, stop := f.opts.Clock.Every(sweep)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			f.opts.Forward.Sweep()
			f.opts.Log.Summarize()
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
	return logrus.Fields{"event": event, "request": c.caller.ID, "route": c.routeName(), "workspace": c.workspace, "version": c.version}
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}
