package gateway

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Reducer decides; *router.Router is the one in use.
type Reducer interface {
	// Step handles one event and appends its effects to out.
	Step(event router.Event, out []router.Effect) []router.Effect
	// NextTick returns when the next Tick is due.
	NextTick() (time.Time, bool)
	// Lookup appends the VMs that a caller should use, best first.
	Lookup(service ident.Service, workspace ident.Workspace, client netip.Addr, out []router.VM) []router.VM
	// LookupLifetime returns how long a lookup may be used.
	LookupLifetime() time.Duration
	// Demands appends what this VM wants of each limit.
	Demands(at time.Time, out []*rpc.Demand) []*rpc.Demand
	// Versions returns the versions of the parts of the view.
	Versions() *rpc.Versions
	// Leaving reports whether a planned stop has begun.
	Leaving() bool
	// Fresh reports whether the configuration is young enough for keyed requests.
	Fresh(at time.Time) bool
	// ConnectionLimit returns the most connections to an upstream, or false without a limit.
	ConnectionLimit(a ident.Address) (ident.Connections, bool)
	// Stats returns the counters.
	Stats() router.Stats
}

// Control carries calls to the control group; *session.Session is the one in use.
type Control interface {
	TriggerSync()
	Claim(ctx context.Context, deadline time.Time, r *rpc.ClaimRequest) (*rpc.ClaimReply, error)
	Complete(ctx context.Context, deadline time.Time, r *rpc.CompleteRequest) error
	Abandon(ctx context.Context, deadline time.Time, r *rpc.AbandonRequest) error
	Announce(ctx context.Context, deadline time.Time, u *rpc.Upstream) (ident.Index, error)
	Judge(ctx context.Context, deadline time.Time, r *rpc.JudgeRequest) (ident.Index, error)
}

// Options configures a Gateway.
type Options struct {
	Clock       clock.Clock
	Log         *logrus.Logger
	Router      Reducer
	Forward     *forward.Client
	Control     Control
	VM          ident.VM
	Incarnation ident.Incarnation
	Address     ident.Address
	Domain      ident.Domain
	Metrics     metrics.Registry // receives latency histograms; may be nil
}

// Gateway is the HTTP handler of an entry VM and the shell around its router.
type Gateway struct {
	Options
	mux     *http.ServeMux
	total   metrics.Histogram // whole requests, microseconds
	added   metrics.Histogram // whole requests less the wait for the upstream, microseconds
	poke    chan struct{}
	closing atomic.Bool // answers ask callers to close their connections
	ended   atomic.Bool // no request is left and none is accepted
	work    sync.WaitGroup
	serial  atomic.Uint64 // of claim tokens

	mu       sync.Mutex // guards the router and all below
	effects  []router.Effect
	calls    map[router.RequestID]*call
	last     router.RequestID
	due      time.Time                       // when the next Tick is planned
	wait     router.PauseTransfer            // of the Transfer in progress
	upstream map[ident.Address]*rpc.Upstream // nil before the first registry
	renewals map[ident.Address]*rpc.Renewal
	reported []*rpc.Renewal
}

// New returns a gateway; Run must be called for requests that wait to make progress.
func New(o Options) *Gateway {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	g := &Gateway{
		Options: o, poke: make(chan struct{}, 1),
		calls: make(map[router.RequestID]*call), renewals: make(map[ident.Address]*rpc.Renewal),
		total: metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)),
		added: metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)),
	}
	// A name can be taken only when the caller registered it, whose choice then stands.
	_ = o.Metrics.Register("request.total.us", g.total)
	_ = o.Metrics.Register("request.added.us", g.added)
	g.routes()
	return g
}

// sweepEvery is how often connection limits follow lapsed leases and idle connections are checked.
const sweepEvery = time.Second

// Run lets time pass for the router until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	sweep, stop := g.Clock.Every(sweepEvery)
	defer stop()
	for {
		g.mu.Lock()
		due := g.due
		g.mu.Unlock()
		var tick <-chan time.Time
		if !due.IsZero() {
			tick = g.Clock.After(due.Sub(g.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-g.poke:
		case <-sweep:
			g.refresh()
			g.Forward.Sweep()
		case <-tick:
			g.mu.Lock()
			g.due = time.Time{}
			g.step(&router.Tick{At: g.Clock.Now()})
			g.mu.Unlock()
		}
	}
}

// Wait returns after the background work of finished requests, such as
// abandoning claims, has ended, or once ctx ends. A claim that was not given up
// by then stays pending, which refuses a resend and runs nothing.
func (g *Gateway) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.work.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// End makes the next sync say that this VM spends nothing any more. It is
// called after the last request has ended.
func (g *Gateway) End() { g.ended.Store(true) }

// Leave begins a planned stop: the next sync says that this VM leaves, and
// answers ask callers to close their connections.
func (g *Gateway) Leave() {
	g.closing.Store(true)
	g.mu.Lock()
	g.step(&router.StopRequested{At: g.Clock.Now()})
	g.mu.Unlock()
	g.Control.TriggerSync()
}

// Fresh reports whether keyed requests are served.
func (g *Gateway) Fresh() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Router.Fresh(g.Clock.Now())
}

// Lifetime returns how long callers may use a lookup.
func (g *Gateway) Lifetime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Router.LookupLifetime()
}

// Counters returns the router's counters.
func (g *Gateway) Counters() router.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Router.Stats()
}

// Report implements session.Source.
func (g *Gateway) Report(r *rpc.SyncRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Vm, r.Incarnation = string(g.VM), uint64(g.Incarnation)
	r.Address, r.Domain = string(g.Address), string(g.Domain)
	r.Leaving, r.Ended = g.Router.Leaving(), g.ended.Load()
	r.Held = g.Router.Versions()
	r.Demands = g.Router.Demands(g.Clock.Now(), nil)
	g.reported = g.reported[:0]
	for _, one := range g.renewals {
		g.reported = append(g.reported, one)
	}
	r.Renewals = append([]*rpc.Renewal(nil), g.reported...)
}

// Synced implements session.Source.
func (g *Gateway) Synced(sent time.Time, reply *rpc.SyncReply) {
	g.mu.Lock()
	for _, one := range g.reported {
		if a := ident.Address(one.Address); g.renewals[a] == one {
			delete(g.renewals, a)
		}
	}
	g.reported = g.reported[:0]
	if reply.Registry != nil {
		g.upstream = make(map[ident.Address]*rpc.Upstream, len(reply.Registry.Upstreams))
		for _, u := range reply.Registry.Upstreams {
			g.upstream[ident.Address(u.Address)] = u
		}
	}
	// Connections must be allowed before the router sends requests on them.
	changed := reply.Registry != nil || reply.Allotments != nil
	g.step(&router.Synced{At: g.Clock.Now(), Sent: sent, Reply: reply})
	if changed {
		g.limitConnections()
	}
	g.mu.Unlock()
}

// refresh applies the router's present connection limits, which fall to 0 when its lease lapses.
func (g *Gateway) refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limitConnections()
}

func (g *Gateway) limitConnections() {
	list := make([]forward.Endpoint, 0, len(g.upstream))
	for a, u := range g.upstream {
		most, limited := g.Router.ConnectionLimit(a)
		if !limited {
			most = math.MaxInt32
		}
		list = append(list, forward.Endpoint{Address: a, Incarnation: ident.Incarnation(u.Incarnation), MaxConnections: most})
	}
	g.Forward.Update(list)
}

// step runs one event and hands its effects to the requests; g.mu is held.
func (g *Gateway) step(event router.Event) {
	g.effects = g.Router.Step(event, g.effects[:0])
	for i, e := range g.effects {
		g.perform(e)
		g.effects[i] = nil
	}
	next, ok := g.Router.NextTick()
	if ok && (g.due.IsZero() || next.Before(g.due)) {
		g.due = next
		select {
		case g.poke <- struct{}{}:
		default:
		}
	}
}

// perform copies an effect to its request, because the router reuses it; g.mu is held.
func (g *Gateway) perform(effect router.Effect) {
	switch e := effect.(type) {
	case *router.Send:
		if c := g.calls[e.ID]; c != nil {
			c.send = *e
			c.order(toSend)
		}
	case *router.Refuse:
		if c := g.calls[e.ID]; c != nil {
			c.refusal = *e.Fault
			c.order(toRefuse)
		}
	case *router.Claim:
		if c := g.calls[e.ID]; c != nil {
			c.claim = *e
			c.order(toClaim)
		}
	case *router.Done:
		if c := g.calls[e.ID]; c != nil {
			c.order(toFinish)
		}
	case *router.PauseTransfer:
		g.wait = *e
	case *router.RequestSync:
		g.Control.TriggerSync()
	}
}

// leastPause keeps a transfer that must ask again from asking without a pause.
const leastPause = time.Microsecond

// pace asks the router whether body bytes of a request may move over its link.
// A Wait effect without a delay still means that these bytes may not move: the
// share holds Most bytes now, but never all that were asked for.
func (g *Gateway) pace(id router.RequestID, n int, back bool) (time.Duration, int) {
	event := router.TransferRequested{At: g.Clock.Now(), ID: id, Bytes: ident.Bytes(n), FromUpstream: back}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait = router.PauseTransfer{}
	g.step(&event)
	if g.wait.ID == 0 {
		return 0, 0
	}
	return max(g.wait.Delay, leastPause), int(g.wait.MaxBytes)
}
