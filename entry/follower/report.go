package follower

import (
	"context"
	"slices"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
)

func (f *Follower) runReports(ctx context.Context) {
	ticks, stop := f.opts.Clock.Every(reportInterval)
	defer stop()
	failing := false
	for {
		err := f.SendReport(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			if failing {
				f.opts.Log.WithField("event", "dependency_lost").WithError(err).Warn("failed to send report to the control leader")
			} else {
				f.opts.Log.WithField("event", "dependency_regained").Info("reports to the control leader succeed again")
			}
		}
		if clock.Sleep(ctx, f.opts.Clock, minReportInterval) != nil {
			return
		}
		if failing && f.followedMember() != "" {
			continue // retry at once, because another member may accept the report
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-f.reportTrigger:
		}
	}
}

// SendReport sends a report immediately, followed by a full report if the leader requires one.
func (f *Follower) SendReport(ctx context.Context) error {
	for range 2 {
		fullRequired, err := f.sendReportOnce(ctx)
		if err != nil || !fullRequired {
			return err
		}
	}
	return nil
}

// reportTarget returns the member that gets the next report: the leader, or a member that forwards the report if the
// leader is unknown or failed recently. If all failed recently, it is the one whose failure is the oldest. It is empty
// if no member is known.
func (f *Follower) reportTarget(now time.Time) ident.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var leastRecent ident.Address
	for _, member := range slices.Concat([]ident.Address{f.leader, f.followed}, f.members) {
		failedAt, failed := f.lastFailure[member]
		switch {
		case member == "":
		case !failed || now.Sub(failedAt) >= failedMemberPause:
			return member
		case leastRecent == "" || failedAt.Before(f.lastFailure[leastRecent]):
			leastRecent = member
		}
	}
	return leastRecent
}

// sendReportOnce sends one report and returns whether the leader requires a full one next.
func (f *Follower) sendReportOnce(ctx context.Context) (fullRequired bool, err error) {
	sentAt := f.opts.Clock.Now()
	target := f.reportTarget(sentAt)
	if target == "" {
		return false, fault.New(fault.Unreachable, "report", "", "no control member is known")
	}
	report := f.opts.Handler.Report()
	reply, err := f.exchangeReport(ctx, sentAt, target, report)
	if err != nil {
		f.mu.Lock()
		f.lastFailure[target] = f.opts.Clock.Now()
		f.mu.Unlock()
		return false, err
	}
	f.opts.Handler.HandleReply(sentAt, report, reply)
	return reply.FullReportRequired, nil
}

// reportResult is the outcome of one report.
type reportResult struct {
	reply protocol.ReportReply
	err   error
}

// exchangeReport sends a report and waits for the reply until reportTimeout. After that the exchange goes on in the
// background, because the report still shows the leader that this VM is up.
func (f *Follower) exchangeReport(ctx context.Context, sentAt time.Time, target ident.Address, report protocol.Report) (protocol.ReportReply, error) {
	exchangeCtx, cancel := context.WithTimeout(ctx, lateReportTimeout)
	results := make(chan reportResult, 1)
	go func() {
		defer cancel()
		var r reportResult
		r.err = f.reportClient.Call(exchangeCtx, target, protocol.ReportPath, report, &r.reply)
		results <- r
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return protocol.ReportReply{}, fault.Wrap(ctx.Err(), fault.Unreachable, "report", string(target))
	case <-f.opts.Clock.After(reportTimeout):
	}
	select {
	case f.lateReports <- struct{}{}:
		go f.awaitLateReply(sentAt, report, results)
	default:
		cancel()
	}
	return protocol.ReportReply{}, fault.New(fault.Unreachable, "report", string(target), "no reply within %s", reportTimeout)
}

func (f *Follower) awaitLateReply(sentAt time.Time, report protocol.Report, results <-chan reportResult) {
	r := <-results
	<-f.lateReports
	if r.err == nil {
		f.opts.Handler.HandleLateReply(sentAt, report, r.reply)
	}
}
