package proxy

import (
	"context"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/admission"
	"cuminfall.example/entry/balancer"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

const (
	// defaultMaxBody is the largest body in bytes. The catalog can only lower it.
	defaultMaxBody = 64 << 20
	// minRetryAfter keeps refused callers from retrying before the reason of the refusal can have changed.
	minRetryAfter = 100 * time.Millisecond
	// catalogRetryAfter is sent while the catalog is missing and a leader is known, as right after a VM's start. The
	// catalog takes a third of a second on a busy 2 Mbit/s link, and longer if all VMs fetch it at once.
	catalogRetryAfter = 500 * time.Millisecond
	// leaderRetryAfter is sent while the catalog is missing and no leader is known. After the loss of all VMs, a leader
	// is elected and VMs have the catalog within about two seconds. Callers that retry sooner exhaust their attempts by
	// then.
	leaderRetryAfter = 1500 * time.Millisecond
	// maxRetryAfter is the longest wait that refused callers are asked for.
	maxRetryAfter = 2 * time.Second
)

// maxLinkDelayShare is the largest share of a route's timeout that is subtracted for the estimated link delay.
const maxLinkDelayShare = 0.25

const unroutedReason = "no route matches the host and path"

// call is one caller's request, over all its attempts.
type call struct {
	proxy          *Proxy
	w              http.ResponseWriter
	r              *http.Request
	startedAt      time.Time
	caller         Caller
	table          *catalog.Table // the catalog by which the request was admitted
	route          *catalog.Route
	workspace      ident.Workspace
	allowedRegions []ident.Region
	priority       int
	catalogVersion catalog.Version
	deadline       time.Time
	body           []byte
	upload         *upload // replaces body for bodies of minStreamedBody bytes or more
	bodySize       ident.Bytes
	service        ident.Service
	rateTakenAt    time.Time   // when it was last counted against its workspace's allowance
	mayHaveRun     bool        // an upstream ran it or may have run it since rateTakenAt
	outliveStop    func() bool // keeps the final answers of a graceful shutdown from ending the attempt
	suspicion      suspicion
	permissions    permissions
}

// refusal is an error response that the proxy itself sends in place of an upstream's response.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration    // for the Retry-After header; 0 omits it
	maxRetry   time.Duration    // limits retryAfter; 0 means maxRetryAfter
	choice     *balancer.Choice // the best upstream, if admission control refused the request
	details    logrus.Fields    // additional log fields
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler if the caller disconnects or a response breaks
// off after its header was sent.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{proxy: p, w: w, r: r, startedAt: p.opts.Clock.Now()}
	p.metrics.requests.Inc(1)
	defer c.releaseBody()
	refused := c.admit()
	if refused == nil {
		refused = c.tryUpstreams()
	}
	if refused != nil {
		c.refuse(refused)
	}
	p.metrics.totalTime.Update(p.opts.Clock.Now().Sub(c.startedAt).Microseconds())
}

// admit checks the request against the catalog and the workspace's rate, and reads a short body.
func (c *call) admit() *refusal {
	p := c.proxy
	caller, err := p.opts.WireFormat.ParseCaller(c.r)
	c.caller = caller
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	p.mu.Lock()
	table, linkDelay := p.table, p.linkDelay.Estimate(p.opts.LeaseClock.Now())
	p.mu.Unlock()
	if table == nil {
		retryAfter := leaderRetryAfter
		if p.control.HasLeader() {
			retryAfter = catalogRetryAfter
		}
		return &refusal{status: http.StatusServiceUnavailable, reason: "this VM has not received the catalog yet", retryAfter: retryAfter}
	}
	c.table, c.catalogVersion = table, table.Catalog.Version
	if c.route = table.Route(c.r.Host, c.r.URL.EscapedPath()); c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: unroutedReason}
	}
	if refused := c.identifyWorkspace(table); refused != nil {
		return refused
	}
	c.deadline = c.startedAt.Add(caller.Remaining)
	if t := c.route.Timeout; t > 0 && t < caller.Remaining {
		// The caller's timeout started before the request was delayed on this VM's link.
		c.deadline = c.startedAt.Add(t - min(linkDelay, time.Duration(maxLinkDelayShare*float64(t))))
	}
	if refused := c.refuseUnpromised(p.opts.Clock.Now()); refused != nil {
		return refused
	}
	// The body is read first: a request counts against the rate from the time at which it can be sent.
	if refused := c.readBody(table.Catalog.Limits); refused != nil {
		return refused
	}
	return c.takeRate()
}

// identifyWorkspace finds the workspace of the caller's key, and sets the allowed regions and priority of the request
// from its route and workspace.
func (c *call) identifyWorkspace(table *catalog.Table) *refusal {
	c.allowedRegions, c.priority = c.route.AllowedRegions, c.route.Priority
	if c.caller.Key == "" && (c.route.KeyOptional || !table.HasWorkspaces()) {
		return nil
	}
	workspace := table.Workspace(c.caller.Key)
	if workspace == nil {
		if c.route.KeyOptional {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, reason: "API key is missing or unknown"}
	}
	if workspace.Name != "" && !catalog.IsSendable(workspace.Name) { // accepted by an earlier build
		return &refusal{status: http.StatusServiceUnavailable, reason: "the name of the key's workspace cannot be sent to upstreams", retryAfter: maxRetryAfter}
	}
	c.workspace = workspace.Name
	if workspace.Priority != nil {
		c.priority = *workspace.Priority
	}
	if len(workspace.AllowedRegions) > 0 {
		c.allowedRegions = commonRegions(c.allowedRegions, workspace.AllowedRegions)
	}
	return nil
}

// commonRegions returns the regions that are in both lists; an empty list a allows all regions.
func commonRegions(a, b []ident.Region) []ident.Region {
	if len(a) == 0 {
		return b
	}
	common := []ident.Region{""} // no region has this name; it keeps an empty intersection from allowing all regions
	for _, x := range a {
		for _, y := range b {
			if x == y {
				common = append(common, x)
			}
		}
	}
	return common
}

// readBody reads a short body completely, so that a slow caller does not occupy an upstream's slot, and prepares a long
// one for streaming.
func (c *call) readBody(limits *catalog.Limits) *refusal {
	p := c.proxy
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	maxSize := int64(defaultMaxBody)
	if limits != nil && limits.MaxBodyBytes > 0 {
		maxSize = min(maxSize, int64(limits.MaxBodyBytes))
	}
	if c.r.ContentLength > maxSize {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "request body is larger than the limit"}
	}
	controller := http.NewResponseController(c.w)
	if c.r.ContentLength >= minStreamedBody {
		c.upload = &upload{source: c.r.Body, controller: controller, deadline: c.deadline, kept: bodyBuffer{budget: &p.bodyMemory}}
		c.bodySize = ident.Bytes(c.r.ContentLength)
		return nil
	}
	_ = controller.SetReadDeadline(c.deadline) // fails only if the connection is already closed
	readOn := context.AfterFunc(p.stop.ended, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	source := http.MaxBytesReader(c.w, c.r.Body, maxSize)
	body, err := io.ReadAll(io.LimitReader(source, minStreamedBody))
	if err == nil && len(body) == minStreamedBody {
		c.upload = &upload{source: source, controller: controller, deadline: c.deadline, kept: bodyBuffer{budget: &p.bodyMemory}}
		err = c.upload.receive(body)
	}
	readOn()
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{}) // else the server would wait for the rest of the body before the refusal
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && c.upload != nil:
		c.bodySize = ident.Bytes(c.upload.received)
		return nil
	case err == nil:
		c.body, c.bodySize = body, ident.Bytes(len(body))
		return nil
	case errors.Is(err, errNotKept):
		return c.refuseBody()
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "request body is larger than the limit"}
	case errors.Is(err, os.ErrDeadlineExceeded) && p.stop.ended.Err() != nil:
		return c.refuseAtEnd()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "request body was not received before the deadline"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "request body ended early"}
}

// refuse logs a refusal and sends it to the caller.
func (c *call) refuse(refused *refusal) {
	p := c.proxy
	c.refundRate()
	p.metrics.refused.Inc(1)
	event := "refused"
	if refused.status == http.StatusBadGateway || refused.status == http.StatusGatewayTimeout {
		event = "failed" // the request may have run
	}
	fields := c.logFields(event)
	fields["status"], fields["why"], fields["after"] = refused.status, refused.reason, refused.retryAfter.String()
	if refused.choice != nil {
		fields["service"], fields["upstream"], fields["load"] = c.service, refused.choice.Upstream.ID, refused.choice.Load
		fields["wait"], fields["expected"], fields["stray"] = refused.choice.ExpectedWait.String(), refused.choice.ExpectedLatency.String(), refused.choice.OutOfRegion
		fields["domain"] = refused.choice.Upstream.Domain
	}
	maps.Copy(fields, refused.details)
	if !c.deadline.IsZero() {
		fields["left"] = c.deadline.Sub(p.opts.Clock.Now()).String()
	}
	p.opts.Log.Event(logrus.InfoLevel, event, fields, "request "+event)
	if refused.retryAfter > 0 {
		retryAfter := min(max(refused.retryAfter, minRetryAfter), max(refused.maxRetry, maxRetryAfter))
		c.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.stop.begun() || p.callers != nil && p.callers.Crowded() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(refused.status)
	_, _ = io.WriteString(c.w, refused.reason+"\n") // fails only if the caller disconnected
}

// chooseService chooses the service of a request by smooth weighted round-robin over the route's splits; p.mu is held.
func (p *Proxy) chooseService(route *catalog.Route) ident.Service {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	credits := p.splitCredits[route.Name]
	if len(credits) != len(route.Splits) {
		credits = make([]float64, len(route.Splits))
		p.splitCredits[route.Name] = credits
	}
	total := 0.0
	for _, split := range route.Splits {
		total += split.Weight
	}
	best := -1
	for i, split := range route.Splits {
		credits[i] += split.Weight / total
		if split.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	credits[best]--
	return route.Splits[best].Service
}

// chooseUpstream chooses the upstream of the next attempt and counts the request as sent to it, or returns a refusal.
func (c *call) chooseUpstream(tried []registry.UpstreamID) (balancer.Choice, *refusal) {
	p := c.proxy
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	firstAttempt := c.service == ""
	if firstAttempt {
		c.service = p.chooseService(c.route)
		p.retryBudget.AddRequest(now, c.service)
	}
	request := admission.Request{LatencyTarget: c.route.LatencyTarget, Remaining: c.deadline.Sub(now), Elapsed: now.Sub(c.startedAt), Priority: c.priority, BestLatency: p.balancer.BestServiceTime(now, c.service, c.affinityObject() != ""), HasFreeSlots: true}
	query := c.newQuery(now, c.service)
	query.Tried, query.MaxWait = tried, admission.MaxWait(request)
	if firstAttempt {
		p.countDemand(query)
	}
	choice, ok := p.balancer.Choose(now, query)
	if !ok {
		if quiet := c.quietRefusalFor(query); quiet != nil {
			return choice, quiet
		}
		return choice, refuseWithoutUpstream()
	}
	request.ExpectedWait, request.ExpectedLatency, request.BestLatency, request.HasFreeSlots = choice.ExpectedWait, choice.ExpectedLatency, choice.BestLatency, choice.HasFreeSlots
	if decision := admission.Decide(request); !decision.Admit {
		return choice, &refusal{status: http.StatusServiceUnavailable, reason: decision.Reason, retryAfter: decision.RetryAfter, choice: &choice}
	}
	if refused := c.refuseUnpromised(now); refused != nil {
		return choice, refused
	}
	p.balancer.RequestSent(query.LeaseNow, choice.Upstream.ID)
	c.permissions.take(c, now, query, choice)
	return choice, nil
}

func refuseWithoutUpstream() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "no upstream is available for this request", retryAfter: maxRetryAfter / 4}
}

// hasUpstream reports whether an upstream may get the request now.
func (c *call) hasUpstream() bool {
	p := c.proxy
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(c.route.Splits, func(s catalog.Split) bool {
		if s.Weight <= 0 || c.service != "" && c.service != s.Service {
			return false
		}
		_, ok := p.balancer.Choose(now, c.newQuery(now, s.Service))
		return ok
	})
}

// newQuery returns the balancer's query for the request to a service, without what differs between its attempts; p.mu is held.
func (c *call) newQuery(now time.Time, name ident.Service) *balancer.Query {
	p := c.proxy
	service := p.table.Service(name)
	return &balancer.Query{
		Service: name, Object: c.affinityObject(), SpreadKey: c.caller.RequestID, RegionWeights: p.regionWeights[name], AllowOutOfRegion: p.allowsOutOfRegion(), Bytes: c.bodySize, LeaseNow: p.opts.LeaseClock.Now(), AllowedRegions: c.allowedRegions, DrainedDomains: p.drainedDomains,
		AdmitsCold: func(upstream registry.Upstream) bool {
			return upstream.Domain == p.opts.VM.Domain && p.coldLimiter.Admits(now, upstream.ID, service.ColdRate, p.domainVMs+1)
		},
		MayBeCold: func(domain ident.Domain) bool { return now.Sub(p.drainEndedAt[domain]) < service.ColdStart },
	}
}

// maxOutOfRegionShare bounds the share of requests that leave the region given by the region weights because of load.
// Together with the changes of the weights it stays below the share of 0.15 that operators allow to change regions
// within 2 s.
const maxOutOfRegionShare = 0.05

// allowsOutOfRegion reports whether one more request may leave its region because of load; p.mu is held.
func (p *Proxy) allowsOutOfRegion() bool {
	now := p.opts.LeaseClock.Now()
	return p.outOfRegionSends.PerSecond(now) < maxOutOfRegionShare*p.sends.PerSecond(now)
}

// takeRetry reports whether the request may be sent once more after the given number of sends, and could then be answered
// in time. If so, it takes one retry from the service's budget and, if the request may have run, one request of the
// workspace's allowance.
func (c *call) takeRetry(sends int) bool {
	p := c.proxy
	if sends >= max(c.route.MaxAttempts, 1) {
		return false
	}
	now := p.opts.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.deadline.Sub(now) <= p.balancer.BestServiceTime(now, c.service, c.affinityObject() != "") {
		return false
	}
	if c.mayHaveRun && c.workspace != "" {
		// A second run counts against the workspace's rate like the first.
		leaseNow := p.opts.LeaseClock.Now()
		if _, _, ok := p.rateLimiter.Take(leaseNow, c.workspace); !ok {
			return false
		}
		c.rateTakenAt, c.mayHaveRun = leaseNow, false
	}
	if !p.retryBudget.Take(now, c.service) {
		return false
	}
	c.permissions.retryTakenAt = now
	p.metrics.retried.Inc(1)
	return true
}

// recordAttempt reports the outcome of an attempt to the balancer, the metrics and the log. Elapsed is the time since the
// attempt began; load is the load that the upstream reported, or -1.
func (c *call) recordAttempt(choice balancer.Choice, outcome balancer.Outcome, elapsed time.Duration, load int) {
	p := c.proxy
	elapsed -= p.opts.Costs.RoundTrip[choice.Distance] + choice.ExpectedWait
	p.mu.Lock()
	p.balancer.RequestEnded(p.opts.Clock.Now(), balancer.AttemptResult{Service: c.service, UpstreamID: choice.Upstream.ID, Object: c.affinityObject(),
		ObjectWarm: choice.ObjectWarm, Outcome: outcome, Elapsed: elapsed, LeaseNow: p.opts.LeaseClock.Now(), Load: load})
	p.mu.Unlock()
	p.metrics.upstreamTime.Update(elapsed.Microseconds())
	fields := c.logFields("attempt")
	fields["upstream"], fields["service"], fields["warm"], fields["load"], fields["object"] = choice.Upstream.ID, c.service, choice.ObjectWarm, choice.Load, c.affinityObject()
	fields["domain"], fields["stray"] = choice.Upstream.Domain, choice.OutOfRegion
	fields["rank"], fields["told"] = choice.Rank, load
	fields["expected"], fields["elapsed"], fields["outcome"] = choice.ExpectedLatency.String(), elapsed.String(), outcome.String()
	p.opts.Log.Event(logrus.InfoLevel, "attempt."+outcome.String(), fields, "attempt ended")
}

// affinityObject returns the object that upstreams may have in their caches; empty if the route has no affinity.
func (c *call) affinityObject() string {
	if !c.route.Sticky {
		return ""
	}
	return c.caller.Object
}
