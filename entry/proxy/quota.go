package proxy

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/protocol"
)

const (
	// rateWait is how long a request waits for its workspace's rate before it is refused: one exchange with
	// a leader in the farthest region and a part of another.
	rateWait = 300 * time.Millisecond
	// rateRetry is asked of a refused caller where this VM holds nothing of the rate: the leader moves
	// allowances within two reports.
	rateRetry = time.Second
)

// takeRate spends one request of the workspace's rate. Where this VM's allowance is used up, it waits a short
// while for more.
func (c *call) takeRate() *refusal {
	f := c.f
	if c.workspace == "" {
		return nil
	}
	began := f.opts.LeaseClock.Now()
	for first := true; ; first = false {
		now := f.opts.LeaseClock.Now()
		f.mu.Lock()
		wait, possible, ok := f.rates.Take(now, c.workspace)
		if !ok && first {
			f.rates.AddUnmetRequest(c.workspace)
		}
		lent := f.lent
		f.mu.Unlock()
		if ok {
			c.rated = now
			return nil
		}
		if first {
			f.control.TriggerReport()
		}
		left := rateWait - now.Sub(began)
		if left <= 0 {
			f.meters.limited.Inc(1)
			if !possible {
				wait = rateRetry
			}
			f.mu.Lock()
			allowed, used, lease := f.rates.State(now, c.workspace)
			f.mu.Unlock()
			return &refusal{status: http.StatusTooManyRequests, why: "workspace over its rate", after: wait,
				inputs: logrus.Fields{"allowed": allowed, "used": used, "lease": lease.String()}}
		}
		if possible {
			left = min(left, max(wait, time.Millisecond))
		}
		select {
		case <-lent:
		case <-f.opts.LeaseClock.After(left):
		case <-c.r.Context().Done():
			panic(http.ErrAbortHandler) // the caller has gone
		}
	}
}

// returnRate gives back what takeRate spent, for a request that no upstream ran.
func (c *call) returnRate() {
	if c.rated.IsZero() || c.ran {
		return
	}
	c.f.mu.Lock()
	c.f.rates.Refund(c.rated, c.workspace)
	c.f.mu.Unlock()
	c.rated = time.Time{}
}

// HandleReply implements follower.Handler.
func (f *Proxy) HandleReply(sent time.Time, q protocol.Report, r protocol.ReportReply) {
	now := f.opts.LeaseClock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.AddSample(now, now.Sub(sent))
	if r.FullReportRequired {
		f.rates.RequireFullReport()
		f.term, f.seen = r.Term, 0
		f.opts.Log.Event(logrus.InfoLevel, "lent", logrus.Fields{"event": "lent", "term": r.Term, "again": true}, "a new leader asks for a whole report")
		return
	}
	f.term, f.seen = r.Term, q.Sequence
	f.rates.ReportDelivered(q.RateUsage, q.Full)
	f.rates.SetAllowances(r.Allowances, sent.Add(r.Lease))
	f.retries.VMs = r.VMCount + 1 // one may have joined since
	if len(r.Allowances) > 0 {
		close(f.lent)
		f.lent = make(chan struct{})
		f.opts.Log.Event(logrus.InfoLevel, "lent", logrus.Fields{"event": "lent", "term": r.Term, "allow": r.Allowances, "report": q.Sequence,
			"age": now.Sub(sent).String()}, "allowances of workspaces' rates changed")
	}
	f.follow(sent, q, r)
}

// Report implements follower.Handler.
func (f *Proxy) Report() protocol.Report {
	now := f.opts.LeaseClock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.opts.VM
	vm.Up = !f.closing.Load()
	f.sequence++
	r := protocol.Report{VM: vm, Sequence: f.sequence, AppliedSequence: f.seen, AppliedTerm: f.term, RecentlyStarted: now.Sub(f.began) < 2*f.opts.Bounds.RateWindow}
	r.RateUsage, r.Full = f.rates.Report(now)
	f.reportDemand(now, &r)
	return r
}
