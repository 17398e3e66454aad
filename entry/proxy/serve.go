package proxy

import (
	"io"
	"maps"
	"net/http"
	"os"
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
	// maxBuffered bounds a body when the catalog sets no limit.
	maxBuffered = 64 << 20
	// leastRetryAfter keeps refused callers from coming back before anything has changed.
	leastRetryAfter = 100 * time.Millisecond
	// catalogRetry is asked of callers of a VM that has just started and follows a leader: the catalog takes a third of a
	// second on a busy link of 2 Mbit/s, and more where all VMs ask for it.
	catalogRetry = 500 * time.Millisecond
	// leaderRetry is asked where no leader is known: after the loss of all VMs the control group leads again and VMs know
	// the catalog within about two seconds. Callers who come back sooner have used up their tries by then.
	leaderRetry = 1500 * time.Millisecond
	// maxRetryAfter bounds what a refused caller is asked to wait.
	maxRetryAfter = 2 * time.Second
)

// lagPart is the most of a route's time-out that a busy link may take from the upstream.
const lagPart = 0.25

// call is one request.
type call struct {
	f         *Proxy
	w         http.ResponseWriter
	r         *http.Request
	began     time.Time
	caller    Caller
	route     *catalog.Route
	workspace ident.Workspace
	homes     []ident.Region
	rank      int
	version   catalog.Version
	deadline  time.Time
	body      []byte
	upload    *upload // in place of body where that is long
	size      ident.Bytes
	service   ident.Service
	rated     time.Time // when it spent one request of its workspace's rate
	ran       bool      // an upstream ran it, or may have
}

// refusal is an answer of this VM's own.
type refusal struct {
	status int
	why    string
	after  time.Duration    // for Retry-After; 0 means none
	choice *balancer.Choice // the best upstream where that was not good enough
	inputs logrus.Fields    // further ones that decided it
}

// ServeHTTP implements http.Handler.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, r: r, began: f.opts.Clock.Now()}
	f.meters.requests.Inc(1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	no := c.admit()
	if no == nil {
		no = c.send()
	}
	if no != nil {
		c.refuse(no)
	}
	f.meters.total.Update(f.opts.Clock.Now().Sub(c.began).Microseconds())
}

// admit checks the request against catalog and rates, and reads its body.
func (c *call) admit() *refusal {
	f := c.f
	caller, err := f.opts.WireFormat.ParseCaller(c.r)
	c.caller = caller
	if err != nil {
		return &refusal{status: http.StatusBadRequest, why: err.Error()}
	}
	f.mu.Lock()
	table, lag := f.table, f.lag.Estimate(f.opts.LeaseClock.Now())
	f.mu.Unlock()
	if table == nil {
		after := leaderRetry
		if f.control.HasLeader() {
			after = catalogRetry
		}
		return &refusal{status: http.StatusServiceUnavailable, why: "no catalog known yet", after: after}
	}
	c.version = table.Catalog.Version
	if c.route = table.Route(c.r.Host, c.r.URL.EscapedPath()); c.route == nil {
		return &refusal{status: http.StatusNotFound, why: "no route for host and path"}
	}
	if no := c.identify(table); no != nil {
		return no
	}
	c.deadline = c.began.Add(caller.Remaining)
	if t := c.route.Timeout; t > 0 && t < caller.Remaining {
		// The caller counts from before its request waited on this VM's link.
		c.deadline = c.began.Add(t - min(lag, time.Duration(lagPart*float64(t))))
	}
	if no := c.takeRate(); no != nil {
		return no
	}
	return c.readBody(table.Catalog.Limits)
}

// identify finds the workspace of the key.
func (c *call) identify(table *catalog.Table) *refusal {
	c.homes, c.rank = c.route.AllowedRegions, c.route.Priority
	if c.caller.Key == "" && (c.route.AllowAnonymous || !table.HasWorkspaces()) {
		return nil
	}
	w := table.Workspace(c.caller.Key)
	if w == nil {
		if c.route.AllowAnonymous {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, why: "key missing or unknown"}
	}
	c.workspace = w.Name
	if w.Priority != nil {
		c.rank = *w.Priority
	}
	if len(w.AllowedRegions) > 0 {
		c.homes = common(c.homes, w.AllowedRegions)
	}
	return nil
}

// common returns the regions that both lists allow; an empty first list allows all.
func common(a, b []ident.Region) []ident.Region {
	if len(a) == 0 {
		return b
	}
	both := []ident.Region{""} // no region has this name, so an empty meeting allows none
	for _, x := range a {
		for _, y := range b {
			if x == y {
				both = append(both, x)
			}
		}
	}
	return both
}

// readBody reads a short body whole, so that no upstream's slot is held for a slow caller, and prepares a long one
// to be passed on while it arrives.
func (c *call) readBody(limits *catalog.Limits) *refusal {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	most := int64(maxBuffered)
	if limits != nil && limits.MaxBodyBytes > 0 {
		most = min(most, int64(limits.MaxBodyBytes))
	}
	if c.r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, why: "body over the limit"}
	}
	control := http.NewResponseController(c.w)
	if c.r.ContentLength >= streamedBody {
		c.upload = &upload{from: c.r.Body, control: control, deadline: c.deadline}
		c.size = ident.Bytes(c.r.ContentLength)
		return nil
	}
	_ = control.SetReadDeadline(c.deadline) // an error would mean a connection that is closed already
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, most))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		c.body, c.size = body, ident.Bytes(len(body))
		if len(body) >= streamedBody {
			c.upload = &upload{control: control, deadline: c.deadline, kept: body, err: io.EOF}
		}
		return nil
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, why: "body over the limit"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, why: "body not received in time"}
	}
	return &refusal{status: http.StatusBadRequest, why: "body ended early"}
}

// refuse answers with a status of this VM's own.
func (c *call) refuse(no *refusal) {
	f := c.f
	c.returnRate()
	f.meters.refused.Inc(1)
	event := "refused"
	if no.status == http.StatusBadGateway || no.status == http.StatusGatewayTimeout {
		event = "failed" // it may have run
	}
	fields := c.fields(event)
	fields["status"], fields["why"], fields["after"] = no.status, no.why, no.after.String()
	if no.choice != nil {
		fields["service"], fields["upstream"], fields["load"] = c.service, no.choice.Upstream.ID, no.choice.Load
		fields["wait"], fields["expected"], fields["stray"] = no.choice.ExpectedWait.String(), no.choice.ExpectedLatency.String(), no.choice.OutOfRegion
		fields["domain"] = no.choice.Upstream.Domain
	}
	maps.Copy(fields, no.inputs)
	fields["left"] = c.deadline.Sub(f.opts.Clock.Now()).String()
	f.opts.Log.Event(logrus.InfoLevel, event, fields, "request "+event)
	if no.after > 0 {
		after := min(max(no.after, leastRetryAfter), maxRetryAfter)
		c.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(no.status)
	_, _ = io.WriteString(c.w, no.why+"\n") // a caller that has gone reads nothing
}

// part chooses the service of a request, by the weights of the route's splits.
func (f *Proxy) part(r *catalog.Route) ident.Service {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	credit := f.splits[r.Name]
	if len(credit) != len(r.Splits) {
		credit = make([]float64, len(r.Splits))
		f.splits[r.Name] = credit
	}
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	best := -1
	for i, s := range r.Splits {
		credit[i] += s.Weight / total
		if s.Weight > 0 && (best < 0 || credit[i] > credit[best]) {
			best = i
		}
	}
	credit[best]--
	return r.Splits[best].Service
}

// choose picks the upstream of the next attempt and notes that it gets a request.
func (c *call) choose(tried []registry.UpstreamID) (balancer.Choice, *refusal) {
	f := c.f
	now := f.opts.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	first := c.service == ""
	if first {
		c.service = f.part(c.route)
		f.retries.AddRequest(now, c.service)
	}
	settings := f.table.Service(c.service)
	want := admission.Request{TargetLatency: c.route.TargetLatency, Remaining: c.deadline.Sub(now), Elapsed: now.Sub(c.began), Priority: c.rank, BestLatency: f.placer.BestServiceTime(c.service, c.object() != ""), HasFreeSlots: true}
	query := &balancer.Query{
		Service: c.service, Object: c.object(), SpreadKey: c.caller.RequestID, RegionWeights: f.flows[c.service], AllowOutOfRegion: f.mayStray(), Bytes: c.size, AllowedRegions: c.homes, DrainedDomains: f.drained, Tried: tried,
		MaxWait: admission.MaxWait(want),
		AdmitsCold: func(u registry.Upstream) bool {
			return u.Domain == f.opts.VM.Domain && f.cold.Admits(now, u.ID, settings.ColdRate, f.sharers+1)
		},
		MayBeCold: func(d ident.Domain) bool { return now.Sub(f.rested[d]) < settings.ColdStart },
	}
	if first {
		f.countDemand(query)
	}
	choice, ok := f.placer.Choose(now, query)
	if !ok {
		return choice, &refusal{status: http.StatusServiceUnavailable, why: "no upstream may be used", after: maxRetryAfter / 4}
	}
	want.ExpectedWait, want.ExpectedLatency, want.BestLatency, want.HasFreeSlots = choice.ExpectedWait, choice.ExpectedLatency, choice.BestLatency, choice.HasFreeSlots
	if verdict := admission.Decide(want); !verdict.Admit {
		return choice, &refusal{status: http.StatusServiceUnavailable, why: verdict.Reason, after: verdict.RetryAfter, choice: &choice}
	}
	f.placer.RequestSent(choice.Upstream.ID)
	f.sends.Add(f.opts.LeaseClock.Now(), 1)
	if choice.OutOfRegion {
		f.strays.Add(f.opts.LeaseClock.Now(), 1)
	}
	if choice.UpstreamCold {
		f.cold.RecordSend(now, choice.Upstream.ID)
	}
	return choice, nil
}

// strayPart bounds the requests that load sends to other regions than the flows do. With what flows move in
// 2 s it stays below the 0.15 that operators allow to change regions in that time.
const strayPart = 0.05

// mayStray reports whether load may send one more request to another region; f.mu is held.
func (f *Proxy) mayStray() bool {
	now := f.opts.LeaseClock.Now()
	return f.strays.PerSecond(now) < strayPart*f.sends.PerSecond(now)
}

// retry reports whether one more upstream may get the request.
func (c *call) retry(sends int) bool {
	f := c.f
	if sends >= max(c.route.MaxAttempts, 1) {
		return false
	}
	now := f.opts.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.ran && c.workspace != "" {
		// A second run counts towards the workspace's rate like the first.
		at := f.opts.LeaseClock.Now()
		if _, _, ok := f.rates.Take(at, c.workspace); !ok {
			return false
		}
		c.rated, c.ran = at, false
	}
	if !f.retries.Take(now, c.service) {
		return false
	}
	f.meters.retried.Inc(1)
	return true
}

// ended feeds the outcome of an attempt back to the placer.
func (c *call) ended(choice balancer.Choice, outcome balancer.Outcome, elapsed time.Duration, load int) {
	f := c.f
	elapsed -= f.opts.Costs.RoundTrip[choice.Distance] + choice.ExpectedWait
	f.mu.Lock()
	f.placer.RequestEnded(f.opts.Clock.Now(), balancer.AttemptResult{Service: c.service, UpstreamID: choice.Upstream.ID, Object: c.object(),
		ObjectWarm: choice.ObjectWarm, Outcome: outcome, Elapsed: elapsed, Load: load})
	f.mu.Unlock()
	f.meters.upstream.Update(elapsed.Microseconds())
	fields := c.fields("attempt")
	fields["upstream"], fields["service"], fields["warm"], fields["load"], fields["object"] = choice.Upstream.ID, c.service, choice.ObjectWarm, choice.Load, c.object()
	fields["domain"], fields["stray"] = choice.Upstream.Domain, choice.OutOfRegion
	fields["rank"], fields["told"] = choice.Rank, load
	fields["expected"], fields["elapsed"], fields["outcome"] = choice.ExpectedLatency.String(), elapsed.String(), outcome.String()
	f.opts.Log.Event(logrus.InfoLevel, "attempt."+outcome.String(), fields, "attempt ended")
}

// object is what upstreams may know already; empty on routes that gain nothing from it.
func (c *call) object() string {
	if !c.route.Sticky {
		return ""
	}
	return c.caller.Object
}
