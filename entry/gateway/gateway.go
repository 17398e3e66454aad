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

// Router decides how requests are handled. *router.Router implements it.
type Router interface {
	// Step handles an event and appends its effects to out.
	Step(event router.Event, out []router.Effect) []router.Effect
	// NextTick returns the time at which the next Tick is due.
	NextTick() (time.Time, bool)
	// Lookup appends the VMs that a caller should use, best first.
	Lookup(service ident.Service, workspace ident.Workspace, client netip.Addr, out []router.VM) []router.VM
	// LookupLifetime returns how long the result of a lookup may be used.
	LookupLifetime() time.Duration
	// Demands appends the share that this VM requests of each limit.
	Demands(at time.Time, out []*rpc.Demand) []*rpc.Demand
	// Versions returns the versions of the parts of the view.
	Versions() *rpc.Versions
	// Leaving reports whether a graceful shutdown has begun.
	Leaving() bool
	// Fresh reports whether the configuration is recent enough for requests with a key.
	Fresh(at time.Time) bool
	// ConnectionLimit returns the maximum number of connections to an upstream, or false if there is
	// no limit.
	ConnectionLimit(a ident.Address) (ident.Connections, bool)
	// Restricted reports whether an upstream must not get a request now, because it is gone, leaves or asked for quiet.
	Restricted(at time.Time, a ident.Address, incarnation ident.Incarnation) bool
	// Stats returns the counters.
	Stats() router.Stats
}

// Control sends calls to the control group. *session.Session implements it.
type Control interface {
	TriggerSync()
	Claim(ctx context.Context, deadline time.Time, r *rpc.ClaimRequest) (*rpc.ClaimReply, error)
	Complete(ctx context.Context, deadline time.Time, r *rpc.CompleteRequest) error
	Abandon(ctx context.Context, deadline time.Time, r *rpc.AbandonRequest) error
	Announce(ctx context.Context, deadline time.Time, u *rpc.Upstream) (ident.Index, error)
	SetVerdict(ctx context.Context, deadline time.Time, r *rpc.JudgeRequest) (ident.Index, error)
}

// Options configures a Gateway.
type Options struct {
	Clock       clock.Clock
	Log         *logrus.Logger
	Router      Router
	Forward     *forward.Client
	Control     Control
	VM          ident.VM
	Incarnation ident.Incarnation
	Address     ident.Address
	Domain      ident.Domain
	Metrics     metrics.Registry // receives the latency histograms; may be nil
}

// Gateway is the HTTP handler of an entry VM. It runs the router and carries out its effects.
type Gateway struct {
	Options
	mux         *http.ServeMux
	totalTime   metrics.Histogram // duration of whole requests in microseconds
	addedTime   metrics.Histogram // the same without the time spent at upstreams, in microseconds
	tickChanged chan struct{}
	stopping    atomic.Bool // a graceful shutdown has begun: responses ask clients to close their connections
	ended       atomic.Bool // no request is in progress and none is accepted
	background  sync.WaitGroup
	claimSerial atomic.Uint64 // serial number of the last claim token

	mu               sync.Mutex // guards Router and the fields below
	effects          []router.Effect
	calls            map[router.RequestID]*call
	lastRequest      router.RequestID
	nextTick         time.Time                       // time of the next Tick; zero if none is due
	pause            router.PauseTransfer            // reply to the TransferRequested event in progress
	upstreams        map[ident.Address]*rpc.Upstream // nil until the first registry was received
	renewals         map[ident.Address]*rpc.Renewal
	reportedRenewals []*rpc.Renewal
}

// New returns a gateway. Run must be called so that waiting requests make progress.
func New(o Options) *Gateway {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	g := &Gateway{
		Options: o, tickChanged: make(chan struct{}, 1),
		calls: make(map[router.RequestID]*call), renewals: make(map[ident.Address]*rpc.Renewal),
		totalTime: metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)),
		addedTime: metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)),
	}
	// Registering fails only if the caller already registered a metric of this name, which then
	// stays registered.
	_ = o.Metrics.Register("request.total.us", g.totalTime)
	_ = o.Metrics.Register("request.added.us", g.addedTime)
	g.registerAPI()
	return g
}

// sweepInterval is the time between checks for expired leases, which lower connection limits, and
// for idle connections to close.
const sweepInterval = time.Second

// Run sends the router its Ticks and closes idle connections to upstreams, until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	sweep, stop := g.Clock.Every(sweepInterval)
	defer stop()
	for {
		g.mu.Lock()
		nextTick := g.nextTick
		g.mu.Unlock()
		var tick <-chan time.Time
		if !nextTick.IsZero() {
			tick = g.Clock.After(nextTick.Sub(g.Clock.Now()))
		}
		select {
		case <-ctx.Done():
			return
		case <-g.tickChanged:
		case <-sweep:
			g.refreshConnectionLimits()
			g.Forward.Sweep()
		case <-tick:
			g.mu.Lock()
			g.nextTick = time.Time{}
			g.step(&router.Tick{At: g.Clock.Now()})
			g.mu.Unlock()
		}
	}
}

// Wait waits for background work of finished requests, such as abandoning claims, or until ctx
// ends. A claim that was not abandoned by then stays pending: a repeat of its request is refused
// and does not run.
func (g *Gateway) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.background.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// MarkEnded makes the next sync report that this VM uses no more of its shares. It is called after
// the last request has ended.
func (g *Gateway) MarkEnded() { g.ended.Store(true) }

// Leave begins a graceful shutdown. The next sync reports that this VM leaves, and responses ask clients
// to close their connections.
func (g *Gateway) Leave() {
	g.stopping.Store(true)
	g.mu.Lock()
	g.step(&router.StopRequested{At: g.Clock.Now()})
	g.mu.Unlock()
	g.Control.TriggerSync()
}

// ConfigFresh reports whether the configuration is recent enough to serve requests with a key.
func (g *Gateway) ConfigFresh() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Router.Fresh(g.Clock.Now())
}

// LookupLifetime returns how long callers may use the result of a lookup.
func (g *Gateway) LookupLifetime() time.Duration {
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

// FillReport implements session.Handler.
func (g *Gateway) FillReport(r *rpc.SyncRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Vm, r.Incarnation = string(g.VM), uint64(g.Incarnation)
	r.Address, r.Domain = string(g.Address), string(g.Domain)
	r.Leaving, r.Ended = g.Router.Leaving(), g.ended.Load()
	r.Held = g.Router.Versions()
	r.Demands = g.Router.Demands(g.Clock.Now(), nil)
	g.reportedRenewals = g.reportedRenewals[:0]
	for _, renewal := range g.renewals {
		g.reportedRenewals = append(g.reportedRenewals, renewal)
	}
	r.Renewals = append([]*rpc.Renewal(nil), g.reportedRenewals...)
}

// HandleReply implements session.Handler.
func (g *Gateway) HandleReply(sent time.Time, reply *rpc.SyncReply) {
	g.mu.Lock()
	for _, renewal := range g.reportedRenewals {
		if a := ident.Address(renewal.Address); g.renewals[a] == renewal {
			delete(g.renewals, a)
		}
	}
	g.reportedRenewals = g.reportedRenewals[:0]
	if reply.Registry != nil {
		g.upstreams = make(map[ident.Address]*rpc.Upstream, len(reply.Registry.Upstreams))
		for _, u := range reply.Registry.Upstreams {
			g.upstreams[ident.Address(u.Address)] = u
		}
	}
	// The new connection limits must apply before the router's effects send requests. The handlers
	// that send them wait for g.mu, so updating the limits before the unlock suffices.
	limitsChanged := reply.Registry != nil || reply.Allotments != nil
	g.step(&router.Synced{At: g.Clock.Now(), Sent: sent, Reply: reply})
	if limitsChanged {
		g.updateConnectionLimits()
	}
	g.mu.Unlock()
}

// refreshConnectionLimits applies the router's current connection limits, which become 0 when its
// lease expires.
func (g *Gateway) refreshConnectionLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateConnectionLimits()
}

func (g *Gateway) updateConnectionLimits() {
	endpoints := make([]forward.Endpoint, 0, len(g.upstreams))
	for a, u := range g.upstreams {
		maxConnections, limited := g.Router.ConnectionLimit(a)
		if !limited {
			maxConnections = math.MaxInt32
		}
		endpoints = append(endpoints, forward.Endpoint{Address: a, Incarnation: ident.Incarnation(u.Incarnation), MaxConnections: maxConnections})
	}
	g.Forward.Update(endpoints)
}

// step passes an event to the router and carries out its effects. The caller holds g.mu.
func (g *Gateway) step(event router.Event) {
	g.effects = g.Router.Step(event, g.effects[:0])
	for i, e := range g.effects {
		g.applyEffect(e)
		g.effects[i] = nil
	}
	next, ok := g.Router.NextTick()
	if ok && (g.nextTick.IsZero() || next.Before(g.nextTick)) {
		g.nextTick = next
		select {
		case g.tickChanged <- struct{}{}:
		default:
		}
	}
}

// applyEffect copies an effect to its request, because the router reuses the effect. The caller
// holds g.mu.
func (g *Gateway) applyEffect(effect router.Effect) {
	switch e := effect.(type) {
	case *router.Send:
		if c := g.calls[e.ID]; c != nil {
			c.send = *e
			c.setAction(actionSend)
		}
	case *router.Refuse:
		if c := g.calls[e.ID]; c != nil {
			c.refusal = *e.Fault
			c.setAction(actionRefuse)
		}
	case *router.Claim:
		if c := g.calls[e.ID]; c != nil {
			c.claim = *e
			c.setAction(actionClaim)
		}
	case *router.Done:
		if c := g.calls[e.ID]; c != nil {
			c.setAction(actionFinish)
		}
	case *router.Lapse:
		if c := g.calls[e.ID]; c != nil {
			c.lapsed = true
		}
	case *router.PauseTransfer:
		g.pause = *e
	case *router.RequestSync:
		g.Control.TriggerSync()
	}
}

// minPause is the shortest pause before a transfer asks the router again.
const minPause = time.Microsecond

// throttle asks the router whether n body bytes of a request may be transferred over its link. It
// returns 0 if they may. Otherwise it returns how long to wait before asking again, and the largest
// number of bytes that may be transferred at once. A PauseTransfer effect without a delay also
// refuses the n bytes: up to MaxBytes may be transferred now, but n bytes at once are never
// allowed.
func (g *Gateway) throttle(id router.RequestID, n int, fromUpstream bool) (time.Duration, int) {
	event := router.TransferRequested{At: g.Clock.Now(), ID: id, Bytes: ident.Bytes(n), FromUpstream: fromUpstream}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = router.PauseTransfer{}
	g.step(&event)
	if g.pause.ID == 0 {
		return 0, 0
	}
	return max(g.pause.Delay, minPause), int(g.pause.MaxBytes)
}
