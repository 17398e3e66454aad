package proxy

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/balancer"
	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

const (
	// maxSuspectWait bounds how long a suspect request waits for another one with the same fingerprint, or for the
	// leader's reply to a claim, and suspectWaitShare is the part of its time that it may wait.
	maxSuspectWait   = time.Second
	suspectWaitShare = 0.25
	// suspectRetryAfter is sent if that wait was not long enough.
	suspectRetryAfter = 500 * time.Millisecond
	// maxQuarantineRetryAfter is the longest wait that callers of quarantined requests are asked for.
	maxQuarantineRetryAfter = time.Minute
	// maxLoggedUpstreams is the largest number of upstreams that are listed in one log line.
	maxLoggedUpstreams = 8
)

// suspects is what a VM knows about requests that upstreams had when they crashed. Proxy.mu guards it.
type suspects struct {
	table      quarantine.Table
	judgedAt   time.Time
	changed    chan struct{}                   // closed and replaced when waiting requests have to decide again
	inFlight   map[quarantine.Fingerprint]bool // suspects that this VM has sent
	usedRounds map[quarantine.Fingerprint]int  // last round in which this VM sent a probe
	checks     map[ident.Incarnation]*crashCheck
}

func newSuspects() suspects {
	return suspects{changed: make(chan struct{}), inFlight: map[quarantine.Fingerprint]bool{}, usedRounds: map[quarantine.Fingerprint]int{},
		checks: map[ident.Incarnation]*crashCheck{}}
}

// suspicion is the part of a call that concerns the quarantine.
type suspicion struct {
	head        quarantine.Head        // once computed
	fingerprint quarantine.Fingerprint // once decided about
	alone       bool                   // the call has its fingerprint in suspects.inFlight
	probe       bool
	round       int  // of the probe
	sent        bool // the first byte of an attempt was or is being written
}

// crashCheck is a check whether an upstream has crashed, which several requests share.
type crashCheck struct {
	done    chan struct{}
	crashed bool // set before done is closed
}

// rejudgeInterval is how often cases are judged again without new facts, because facts expire.
const rejudgeInterval = 10 * time.Second

// judgeSuspects updates the cases from the facts that this VM knows; p.mu is held.
func (p *Proxy) judgeSuspects(now time.Time) {
	s := &p.suspects
	before := s.table
	s.table, s.judgedAt = quarantine.Judge(now, &p.observations), now
	s.table.All(func(f quarantine.Fingerprint, c *quarantine.Case) {
		p.logVerdict(now, f, before.Case(f), c)
	})
	before.All(func(f quarantine.Fingerprint, c *quarantine.Case) {
		if s.table.Case(f) == nil {
			delete(s.usedRounds, f)
			p.logVerdict(now, f, c, nil)
		}
	})
	counts := s.table.Count(now)
	p.metrics.suspectRequests.Update(int64(counts[quarantine.Suspect]))
	p.metrics.quarantinedRequests.Update(int64(counts[quarantine.Quarantined]))
	p.metrics.observations.Update(int64(p.observations.Len()))
	s.wake()
}

// wake lets waiting requests decide again; Proxy.mu is held.
func (s *suspects) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// logVerdict logs a change in the state of a request; p.mu is held.
func (p *Proxy) logVerdict(now time.Time, f quarantine.Fingerprint, before, after *quarantine.Case) {
	from, to, latest := quarantine.Clear, quarantine.Clear, before
	if before != nil {
		from = before.State(now)
	}
	if after != nil {
		to, latest = after.State(now), after
	}
	if from == to {
		return
	}
	p.opts.Log.Event(logrus.InfoLevel, "verdict", logrus.Fields{"event": "verdict", "fingerprint": f, "from": from.String(), "to": to.String(),
		"crashes": latest.Crashes(), "upstreams": latest.Upstreams(maxLoggedUpstreams)}, "suspicion against a request changed")
}

// requestHead returns the part of the request's fingerprint that is known before its body.
func (c *call) requestHead() quarantine.Head {
	if c.suspicion.head == "" {
		uri := c.r.RequestURI
		if c.r.URL.IsAbs() {
			uri = c.r.URL.RequestURI() // without the host
		}
		c.suspicion.head = quarantine.HeadOf(c.r.Method, catalog.CanonicalHost(c.r.Host), uri, c.workspace, int64(c.bodySize))
	}
	return c.suspicion.head
}

// fingerprint returns the request's fingerprint; ok is false while a streamed body is incomplete.
func (c *call) fingerprint() (f quarantine.Fingerprint, ok bool) {
	if c.upload == nil {
		return c.requestHead().WithBody(c.body), true
	}
	if c.upload.received < int(c.bodySize) {
		return "", false
	}
	return c.requestHead().WithDigest([sha256.Size]byte(c.upload.sum())), true
}

// passQuarantine returns a refusal if the request must not be sent. If another one with the same fingerprint is suspect
// and in flight, it waits for that one.
func (c *call) passQuarantine() *refusal {
	p := c.proxy
	now := p.opts.LeaseClock.Now()
	p.mu.Lock()
	if !p.suspects.table.Empty() && now.Sub(p.suspects.judgedAt) >= rejudgeInterval {
		p.judgeSuspects(now)
	}
	empty := p.suspects.table.Empty()
	p.mu.Unlock()
	if empty || c.suspicion.probe {
		return nil
	}
	head := c.requestHead()
	p.mu.Lock()
	suspect := p.suspects.table.Suspects(head)
	p.mu.Unlock()
	if !suspect {
		return nil
	}
	if refused := c.completeBody(); refused != nil {
		return refused
	}
	f, _ := c.fingerprint()
	c.suspicion.fingerprint = f
	latest := now.Add(min(maxSuspectWait, time.Duration(suspectWaitShare*float64(c.deadline.Sub(p.opts.Clock.Now())))))
	for {
		now = p.opts.LeaseClock.Now()
		p.mu.Lock()
		decision, changed := c.decide(now, f), p.suspects.changed
		suspectCase := p.suspects.table.Case(f)
		p.mu.Unlock()
		switch decision.Action {
		case quarantine.Send, quarantine.Probe:
			return nil
		case quarantine.Refuse:
			return c.refuseSuspect(now, f, suspectCase, decision.RetryAfter)
		case quarantine.MakeClaim:
			if !c.hasUpstream() { // a probe without an outcome lengthens the quarantine
				return refuseWithoutUpstream()
			}
			p.observe(observation.Fact{Kind: quarantine.Claim, Subject: string(f), VM: p.opts.VM.Name, Round: decision.Round}, quarantine.Lifetime)
			continue
		}
		if !now.Before(latest) {
			return c.refuseSuspect(now, f, suspectCase, suspectRetryAfter)
		}
		select {
		case <-changed:
		case <-p.opts.LeaseClock.After(latest.Sub(now)):
		case <-p.stop.ended.Done():
			return c.refuseAtEnd()
		case <-c.callerContext().Done():
			c.abandon()
		}
	}
}

// decide decides about a request and, if it may be sent, records that it is in flight; p.mu is held.
func (c *call) decide(now time.Time, f quarantine.Fingerprint) quarantine.Decision {
	s := &c.proxy.suspects
	suspectCase := s.table.Case(f)
	if suspectCase == nil {
		return quarantine.Decision{Action: quarantine.Send}
	}
	decision := suspectCase.Decide(now, c.proxy.opts.VM.Name, s.usedRounds[f])
	switch decision.Action {
	case quarantine.SendAlone:
		if s.inFlight[f] && !c.suspicion.alone {
			return quarantine.Decision{Action: quarantine.Wait}
		}
		decision.Action = quarantine.Send
	case quarantine.Probe:
		s.usedRounds[f] = decision.Round
		c.suspicion.probe, c.suspicion.round = true, decision.Round
		c.logSuspect("probe", f, suspectCase, logrus.Fields{"round": decision.Round}, "sending one quarantined request")
		c.proxy.metrics.probes.Inc(1)
	default:
		return decision
	}
	if suspectCase.State(now) != quarantine.Clear {
		s.inFlight[f], c.suspicion.alone = true, true
	}
	return decision
}

// leaveQuarantine records that the request is no longer in flight.
func (c *call) leaveQuarantine() {
	if !c.suspicion.alone {
		return
	}
	f, _ := c.fingerprint()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	s := &c.proxy.suspects
	delete(s.inFlight, f)
	if c.suspicion.probe && !c.suspicion.sent && s.usedRounds[f] == c.suspicion.round {
		s.usedRounds[f]-- // another request may be the round's probe
	}
	s.wake()
}

// completeBody reads the rest of a streamed body, without which the request's fingerprint is not known.
func (c *call) completeBody() *refusal {
	if _, ok := c.fingerprint(); ok {
		return nil
	}
	err := c.receiveBody(keptReader{c.upload.newReader()})
	switch _, complete := c.fingerprint(); {
	case err == nil && complete:
		return nil
	case errors.Is(err, errNotKept):
		return c.refuseBody()
	case c.endedByStop():
		return c.refuseAtEnd()
	case c.upload.timedOut():
		return &refusal{status: http.StatusRequestTimeout, reason: "request body was not received before the deadline"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "request body ended early"}
}

// receiveBody reads a streamed body to its end, or until the final answers of a graceful shutdown.
func (c *call) receiveBody(body io.Reader) error {
	endReading := context.AfterFunc(c.proxy.stop.ended, func() { _ = c.upload.controller.SetReadDeadline(time.Unix(1, 0)) })
	defer endReading()
	_, err := io.Copy(io.Discard, body)
	return err
}

// refuseSuspect returns the refusal of a request that is quarantined or whose wait was too long.
func (c *call) refuseSuspect(now time.Time, f quarantine.Fingerprint, suspectCase *quarantine.Case, retryAfter time.Duration) *refusal {
	c.proxy.metrics.quarantineRefused.Inc(1)
	refused := &refusal{status: http.StatusServiceUnavailable, reason: "upstreams crashed while they had this request", retryAfter: retryAfter,
		maxRetry: maxQuarantineRetryAfter, details: logrus.Fields{"fingerprint": f}}
	if suspectCase != nil {
		refused.details["state"], refused.details["crashes"] = suspectCase.State(now).String(), suspectCase.Crashes()
		refused.details["upstreams"] = suspectCase.Upstreams(maxLoggedUpstreams)
	}
	return refused
}

// mayRetrySuspect reports whether the request may be sent to another upstream after an attempt that reached one: not if
// it was a probe, or if the upstream crashed and is not the first one that crashed while it had the request.
func (c *call) mayRetrySuspect(last attemptResult) bool {
	if c.suspicion.probe {
		return false
	}
	if !last.crashed {
		return true
	}
	f, _ := c.fingerprint()
	p := c.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	suspectCase := p.suspects.table.Case(f)
	return suspectCase == nil || suspectCase.State(p.opts.LeaseClock.Now()) == quarantine.Clear
}

// logSuspect logs an event about a request that upstreams had when they crashed.
func (c *call) logSuspect(event string, f quarantine.Fingerprint, suspectCase *quarantine.Case, further logrus.Fields, message string) {
	fields := c.logFields(event)
	fields["fingerprint"] = f
	if suspectCase != nil {
		fields["crashes"], fields["upstreams"] = suspectCase.Crashes(), suspectCase.Upstreams(maxLoggedUpstreams)
	}
	for name, value := range further {
		fields[name] = value
	}
	c.proxy.opts.Log.Event(logrus.InfoLevel, event, fields, message)
}

// recordAnswer records that an upstream ran the request and answered, if it is known from a crash.
func (c *call) recordAnswer(info ResponseInfo) {
	p := c.proxy
	p.mu.Lock()
	empty := p.suspects.table.Empty()
	p.mu.Unlock()
	if empty || !info.Authentic {
		return
	}
	f, ok := c.fingerprint()
	if !ok {
		return
	}
	p.mu.Lock()
	suspectCase := p.suspects.table.Case(f)
	p.mu.Unlock()
	if suspectCase == nil {
		return
	}
	c.logSuspect("cleared", f, suspectCase, nil, "request was answered after crashes of upstreams that had it")
	p.observeAll(suspectCase.Answers(f), quarantine.Lifetime)
}

// investigate finds out whether the upstream's process ended while it had the request, and returns true if so. The caller
// waits for that only if the request is known from another crash, or if its body is incomplete; otherwise it returns
// false at once.
func (c *call) investigate(choice balancer.Choice, failure *forward.Failure) bool {
	if failure == nil || failure.Reason != forward.Broken || !failure.Sent || c.proxy.isLeaving(choice.Upstream) {
		return false
	}
	p, fields := c.proxy, c.logFields("crash")
	f, complete := c.fingerprint()
	if !complete {
		if !p.hasCrashed(choice.Upstream) {
			return false
		}
		if err := c.receiveBody(c.upload.newReader()); err != nil {
			return false
		}
		f, complete = c.fingerprint()
		return complete && p.recordCrash(choice.Upstream, f, fields)
	}
	p.mu.Lock()
	known := p.suspects.table.Case(f) != nil
	p.mu.Unlock()
	if known {
		return p.recordCrash(choice.Upstream, f, fields)
	}
	go p.recordCrash(choice.Upstream, f, fields)
	return false
}

// recordCrash records that an upstream's process ended while it had a request, if the upstream refuses new connections,
// and returns true if so. A connection alone also breaks when it is reset or when an answer is lost.
func (p *Proxy) recordCrash(upstream registry.Upstream, f quarantine.Fingerprint, fields logrus.Fields) bool {
	if !p.hasCrashed(upstream) {
		return false
	}
	p.metrics.crashes.Inc(1)
	fields["fingerprint"], fields["upstream"], fields["born"] = f, upstream.ID, upstream.StartedAt
	p.opts.Log.Event(logrus.InfoLevel, "crash", fields, "upstream crashed while it had the request")
	p.observe(observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: upstream.ID, StartedAt: upstream.StartedAt}, quarantine.Lifetime)
	return true
}

// hasCrashed reports whether an upstream refuses new connections. Requests that ask at the same time share one check.
func (p *Proxy) hasCrashed(upstream registry.Upstream) bool {
	incarnation := incarnationOf(upstream.ID, upstream.StartedAt)
	p.mu.Lock()
	check := p.suspects.checks[incarnation]
	if check != nil {
		p.mu.Unlock()
		<-check.done // within the time limit for a connection
		return check.crashed
	}
	check = &crashCheck{done: make(chan struct{})}
	p.suspects.checks[incarnation] = check
	p.mu.Unlock()
	check.crashed = p.opts.Forward.Refuses(upstream.Address, incarnation)
	p.mu.Lock()
	delete(p.suspects.checks, incarnation)
	p.mu.Unlock()
	close(check.done)
	return check.crashed
}
