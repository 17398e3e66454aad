package proxy

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

const (
	// minRateWait and maxRateWait bound how long a request waits for its workspace's allowance before it is refused. The
	// shorter time allows for one exchange with a leader in the farthest region and part of a second one; the longer one
	// for an exchange over a congested link.
	minRateWait = 300 * time.Millisecond
	maxRateWait = 900 * time.Millisecond
	// rateWaitFraction is the part of a route's latency target that a request may wait for an allowance within these
	// bounds.
	rateWaitFraction = 0.5
	// rateRetryAfter is sent to refused callers if this VM has no allowance of the rate; the leader moves allowances
	// within two reports.
	rateRetryAfter = time.Second
	// maxSendDelay is how long after it was counted against a limit a request may be sent. The rest of
	// protocol.RateJitter is left for transit to the upstream.
	maxSendDelay = protocol.RateJitter / 3
)

// rateWaitLimit returns how long a request with a latency target may wait for its workspace's allowance.
func rateWaitLimit(latencyTarget time.Duration) time.Duration {
	return min(max(time.Duration(rateWaitFraction*float64(latencyTarget)), minRateWait), maxRateWait)
}

// takeRate counts the request against this VM's allowance of the workspace's rate. If the allowance is used up, it
// requests more from the leader and waits for the reply. It refuses the request as soon as a reply grants too little.
func (c *call) takeRate() *refusal {
	p := c.proxy
	if c.workspace == "" {
		return nil
	}
	startedAt := p.opts.LeaseClock.Now()
	waitLimit := rateWaitLimit(c.route.LatencyTarget)
	var reportTerm ident.Term
	var reportSequence uint64 // of the first report that tells the leader of this request
	for firstTry := true; ; firstTry = false {
		now := p.opts.LeaseClock.Now()
		p.mu.Lock()
		wait, waitKnown, ok := p.rateLimiter.Take(now, c.workspace)
		if !ok && firstTry {
			p.rateLimiter.AddUnmetRequest(c.workspace)
			reportTerm, reportSequence = p.appliedTerm, p.reportSequence+1
		}
		answered := p.appliedTerm == reportTerm && p.appliedSequence >= reportSequence
		reportAnswered := p.reportAnswered
		p.mu.Unlock()
		if ok {
			c.rateTakenAt = now
			return nil
		}
		if firstTry {
			p.control.TriggerReport()
		}
		remaining := waitLimit - now.Sub(startedAt)
		if remaining <= 0 || answered && (!waitKnown || wait > remaining) {
			return c.refuseRate(now, wait, waitKnown)
		}
		if waitKnown {
			remaining = min(remaining, max(wait, time.Millisecond))
		}
		select {
		case <-reportAnswered:
		case <-p.opts.LeaseClock.After(remaining):
		case <-p.stop.ended.Done():
			return c.refuseAtEnd()
		case <-c.callerContext().Done():
			c.abandon()
		}
	}
}

// renewRate counts a request again that was counted more than maxSendDelay ago: the process was suspended, or an attempt
// failed meanwhile, and the allowance may have expired.
func (c *call) renewRate() *refusal {
	if c.mayHaveRun || !c.rateTakenAt.IsZero() && c.proxy.opts.LeaseClock.Now().Sub(c.rateTakenAt) <= maxSendDelay {
		return nil
	}
	c.refundRate()
	return c.takeRate()
}

// refuseRate returns the refusal of a request beyond the allowance. If waitKnown is set, the allowance permits another
// request after wait.
func (c *call) refuseRate(now time.Time, wait time.Duration, waitKnown bool) *refusal {
	p := c.proxy
	p.metrics.limited.Inc(1)
	if !waitKnown {
		wait = rateRetryAfter
	}
	p.mu.Lock()
	allowed, used, remainingLease := p.rateLimiter.State(now, c.workspace)
	p.mu.Unlock()
	return &refusal{status: http.StatusTooManyRequests, reason: "workspace exceeds its request rate", retryAfter: wait,
		details: logrus.Fields{"allowed": allowed, "used": used, "lease": remainingLease.String()}}
}

// refundRate returns a request to the workspace's allowance if it was counted and no upstream can have run it.
func (c *call) refundRate() {
	if c.rateTakenAt.IsZero() || c.mayHaveRun {
		return
	}
	c.proxy.mu.Lock()
	c.proxy.rateLimiter.Refund(c.rateTakenAt, c.workspace)
	c.proxy.mu.Unlock()
	c.rateTakenAt = time.Time{}
}

// HandleReply implements follower.Handler: it applies the leader's reply to a report.
func (p *Proxy) HandleReply(sentAt time.Time, report protocol.Report, reply protocol.ReportReply) {
	now := p.opts.LeaseClock.Now()
	if reply.Observed != nil && reply.Observed.More {
		defer p.control.TriggerReport() // after p.mu has been released
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkDelay.AddSample(now, now.Sub(sentAt))
	if report.Sequence < p.repliedSequence {
		return // overtaken by the reply to a later report, maybe of a later leader
	}
	p.repliedSequence, p.replySerial = report.Sequence, reply.Serial
	p.applyObservations(now, report, reply)
	close(p.reportAnswered) // after the reply has been applied, because the waiting requests need p.mu
	p.reportAnswered = make(chan struct{})
	if reply.FullReportRequired {
		p.rateLimiter.RequireFullReport()
		p.appliedTerm, p.appliedSequence = reply.Term, 0
		p.opts.Log.Event(logrus.InfoLevel, "lent", logrus.Fields{"event": "lent", "term": reply.Term, "again": true}, "the leader requires a full report")
		return
	}
	p.appliedTerm, p.appliedSequence = reply.Term, report.Sequence
	p.rateLimiter.ReportDelivered(report.RateUsage, report.Full)
	p.rateLimiter.SetAllowances(reply.Allowances, sentAt.Add(reply.Lease))
	p.retryBudget.VMs = reply.VMCount + 1 // a VM may have joined since the reply
	if len(reply.Allowances) > 0 {
		p.opts.Log.Event(logrus.InfoLevel, "lent", logrus.Fields{"event": "lent", "term": reply.Term, "allow": reply.Allowances, "report": report.Sequence,
			"age": now.Sub(sentAt).String()}, "rate allowances of workspaces changed")
	}
	p.applyReply(sentAt, report, reply)
}

// HandleLateReply implements follower.Handler: it extends the lease of the allowances. The leader counts the present ones
// until a later report confirms smaller ones.
func (p *Proxy) HandleLateReply(sentAt time.Time, report protocol.Report, reply protocol.ReportReply) {
	now := p.opts.LeaseClock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkDelay.AddSample(now, now.Sub(sentAt))
	if report.Sequence < p.repliedSequence || reply.Term != p.appliedTerm || reply.FullReportRequired {
		return
	}
	p.rateLimiter.ExtendLease(now, sentAt.Add(reply.Lease))
}

// Report implements follower.Handler: it returns the next report to the leader.
func (p *Proxy) Report() protocol.Report {
	now := p.opts.LeaseClock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	vm := p.opts.VM
	vm.Up = !p.stop.begun()
	p.reportSequence++
	echo := p.replySerial
	report := protocol.Report{VM: vm, Sequence: p.reportSequence, AppliedSequence: p.appliedSequence, AppliedTerm: p.appliedTerm, Echo: &echo, RecentlyStarted: now.Sub(p.startedAt) < 2*p.opts.Bounds.RateWindow}
	report.RateUsage, report.Full = p.rateLimiter.Report(now)
	p.addDemand(now, &report)
	report.Observed = p.observations.Report(now)
	return report
}
