package proxy

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/protocol"
)

const (
	// maxRateWait is how long a request waits for its workspace's allowance before it is refused: one exchange with a
	// leader in the farthest region and part of a second one.
	maxRateWait = 300 * time.Millisecond
	// rateRetryAfter is sent to refused callers if this VM has no allowance of the rate; the leader moves allowances
	// within two reports.
	rateRetryAfter = time.Second
)

// takeRate counts the request against this VM's allowance of the workspace's rate. If the allowance is used up, it
// requests more from the leader and waits up to maxRateWait.
func (c *call) takeRate() *refusal {
	p := c.proxy
	if c.workspace == "" {
		return nil
	}
	startedAt := p.opts.LeaseClock.Now()
	for firstTry := true; ; firstTry = false {
		now := p.opts.LeaseClock.Now()
		p.mu.Lock()
		wait, waitKnown, ok := p.rateLimiter.Take(now, c.workspace)
		if !ok && firstTry {
			p.rateLimiter.AddUnmetRequest(c.workspace)
		}
		allowancesChanged := p.allowancesChanged
		p.mu.Unlock()
		if ok {
			c.rateTakenAt = now
			return nil
		}
		if firstTry {
			p.control.TriggerReport()
		}
		remaining := maxRateWait - now.Sub(startedAt)
		if remaining <= 0 {
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
		if waitKnown {
			remaining = min(remaining, max(wait, time.Millisecond))
		}
		select {
		case <-allowancesChanged:
		case <-p.opts.LeaseClock.After(remaining):
		case <-c.r.Context().Done():
			panic(http.ErrAbortHandler) // the caller disconnected
		}
	}
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.linkDelay.AddSample(now, now.Sub(sentAt))
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
		close(p.allowancesChanged)
		p.allowancesChanged = make(chan struct{})
		p.opts.Log.Event(logrus.InfoLevel, "lent", logrus.Fields{"event": "lent", "term": reply.Term, "allow": reply.Allowances, "report": report.Sequence,
			"age": now.Sub(sentAt).String()}, "rate allowances of workspaces changed")
	}
	p.applyReply(sentAt, report, reply)
}

// Report implements follower.Handler: it returns the next report to the leader.
func (p *Proxy) Report() protocol.Report {
	now := p.opts.LeaseClock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	vm := p.opts.VM
	vm.Up = !p.stopping.Load()
	p.reportSequence++
	report := protocol.Report{VM: vm, Sequence: p.reportSequence, AppliedSequence: p.appliedSequence, AppliedTerm: p.appliedTerm, RecentlyStarted: now.Sub(p.startedAt) < 2*p.opts.Bounds.RateWindow}
	report.RateUsage, report.Full = p.rateLimiter.Report(now)
	p.addDemand(now, &report)
	return report
}
