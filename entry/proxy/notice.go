package proxy

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

// registerGauges registers the numbers of upstreams that get no new work from this VM because they asked for that.
func (p *Proxy) registerGauges() {
	restricted := func() (leaving, quiet int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.balancer.Restricted(p.opts.LeaseClock.Now())
	}
	metrics.NewRegisteredFunctionalGauge("upstreams.leaving", p.opts.Metrics, func() int64 { leaving, _ := restricted(); return int64(leaving) })
	metrics.NewRegisteredFunctionalGauge("upstreams.quiet", p.opts.Metrics, func() int64 { _, quiet := restricted(); return int64(quiet) })
}

// readHead decodes the head of a response and records what the upstream says about itself. Interim responses and those
// of exchanges that fail later count like others.
func (c *call) readHead(run registry.Upstream, status int, header http.Header) ResponseInfo {
	info := c.proxy.opts.WireFormat.ParseResponse(status, header)
	if info.Leaving {
		c.markLeaving(run, status)
	}
	if info.QuietFor > 0 || info.QuietErr != nil {
		c.setQuiet(run, status, info)
	}
	return info
}

func (c *call) markLeaving(run registry.Upstream, status int) {
	p := c.proxy
	p.mu.Lock()
	news := p.balancer.MarkLeaving(run)
	gone := p.balancer.RestrictionOf(p.opts.LeaseClock.Now(), run) == balancer.Gone
	p.mu.Unlock()
	if gone { // this VM or another one may hear of the run again
		p.observe(observation.LeavingFact(run), observation.LeavingLifetime)
	}
	if !news {
		return
	}
	p.metrics.leaving.Inc(1)
	p.opts.Log.Event(logrus.InfoLevel, "leaving", logrus.Fields{"event": "leaving", "upstream": run.ID, "born": run.StartedAt, "service": run.Service,
		"source": "response", "status": status, "request": c.caller.RequestID}, "upstream says that it leaves")
	p.observe(observation.LeavingFact(run), observation.LeavingLifetime)
}

// isLeaving reports whether a run of an upstream has said, to control or in a response to any VM, that it leaves. The run
// may have ended.
func (p *Proxy) isLeaving(run registry.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.LeaseClock.Now()
	return run.State == registry.Leaving || p.balancer.RestrictionOf(now, run) == balancer.Leaving || p.observations.Has(now, observation.LeavingFact(run))
}

// applyLeaving marks the run of an upstream that told another VM that it leaves; p.mu is held.
func (p *Proxy) applyLeaving(f observation.Fact) {
	p.balancer.MarkLeaving(registry.Upstream{ID: f.Upstream, StartedAt: f.StartedAt, Address: ident.Address(f.Subject)})
}

// applyAllLeaving marks the runs of upstreams that were not registered when this VM learned that they leave; p.mu is
// held.
func (p *Proxy) applyAllLeaving() {
	p.observations.All(p.opts.LeaseClock.Now(), func(f observation.Fact, _ time.Time) {
		if f.Kind == observation.Leaving {
			p.applyLeaving(f)
		}
	})
}

func (c *call) setQuiet(run registry.Upstream, status int, info ResponseInfo) {
	p := c.proxy
	now := p.opts.LeaseClock.Now()
	p.mu.Lock()
	until, news := p.balancer.SetQuiet(now, run, info.QuietFor)
	p.mu.Unlock()
	if !news && info.QuietErr == nil {
		return
	}
	fields := logrus.Fields{"event": "quiet", "upstream": run.ID, "born": run.StartedAt, "service": run.Service, "source": "response", "status": status,
		"span": info.QuietFor.String(), "until": until.Sub(now).String(), "request": c.caller.RequestID}
	if info.QuietErr != nil {
		fields["error"] = info.QuietErr.Error()
	}
	if news {
		p.metrics.quiet.Inc(1)
	}
	p.opts.Log.Event(logrus.InfoLevel, "quiet", fields, "upstream asks for no requests")
}

// quietRefusal returns the refusal of a request for which all upstreams are quiet or leaving, or nil if one may get it.
func (c *call) quietRefusal() *refusal {
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.quietRefusalFor(c.newQuery(p.opts.Clock.Now(), c.service))
}

// quietRefusalFor is quietRefusal with the query for the request; p.mu is held.
func (c *call) quietRefusalFor(query *balancer.Query) *refusal {
	wait, ok := c.proxy.balancer.EarliestReturn(query)
	if !ok {
		return nil
	}
	retryAfter := wait + balancer.Spread(c.caller.RequestID, max(wait, minReturnSpan))
	return &refusal{status: http.StatusServiceUnavailable, reason: "all upstreams asked for a pause", retryAfter: retryAfter, maxRetry: retryAfter}
}

// minReturnSpan is the shortest time, as a span of which balancer.Spread takes a part, over which refused callers return.
const minReturnSpan = 500 * time.Millisecond
