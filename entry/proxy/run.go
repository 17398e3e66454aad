package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/entry/follower"
	"cuminfall.example/entry/gateway"
	"cuminfall.example/entry/shutdown"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/process"
)

const (
	// callerSilenceTimeout is how long a caller's host may acknowledge nothing before its connection is closed.
	callerSilenceTimeout = 10 * time.Second
	// idleCloseInterval is the time between two checks for idle callers' connections during the drain period.
	idleCloseInterval = 100 * time.Millisecond
	// drainIdleSweeps is the number of consecutive checks without a request after which a connection is closed during
	// the drain period, while requests on it are accepted.
	drainIdleSweeps = 10
	// quietShare is the part of the time between the drain period and the end of the grace period in which to wait until
	// no callers connect any more.
	quietShare = 0.5
	// finalReportTimeout bounds the report which announces that this VM stops.
	finalReportTimeout = 500 * time.Millisecond
)

// Addresses are the addresses on which a Proxy listens.
type Addresses struct {
	Callers ident.Address
	Ready   ident.Address // readiness check: answers 200 while this VM takes new callers, else 503
	Metrics ident.Address // admin handler with metrics; empty disables it
}

// Serve serves requests until ctx ends, and then stops gracefully: requests in progress get until the end of
// Options.GracePeriod. It returns an error if a listener fails.
func (p *Proxy) Serve(ctx context.Context, addresses Addresses, controlFollower *follower.Follower) error {
	p.control = controlFollower
	callers, err := listener.Listen(ctx, addresses.Callers, callerSilenceTimeout)
	if err != nil {
		return err
	}
	callers.MaxConns, p.callers = p.opts.MaxCallers, callers
	server := gateway.NewHTTPServer(callers, p)
	readyServer := &http.Server{Handler: http.HandlerFunc(p.serveReadiness), ReadHeaderTimeout: time.Second}
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	serveErrors := make(chan error, 4)
	var tasks sync.WaitGroup
	tasks.Go(func() { serveErrors <- process.Serve(server, callers) })
	tasks.Go(func() { serveErrors <- process.ListenAndServe(readyServer, addresses.Ready) })
	if addresses.Metrics != "" {
		adminServer := &http.Server{Handler: process.AdminHandler(p.opts.Metrics, p.Ready), ReadHeaderTimeout: time.Second}
		tasks.Go(func() { serveErrors <- process.ListenAndServe(adminServer, addresses.Metrics) })
		defer func() { _ = adminServer.Close() }()
	}
	tasks.Go(func() { controlFollower.Run(workCtx) })
	tasks.Go(func() { p.Run(workCtx) })
	p.opts.Log.WithFields(logrus.Fields{"event": "start", "address": addresses.Callers, "domain": p.opts.VM.Domain}).Info("serving")
	select {
	case <-ctx.Done():
		p.shutDown(workCtx, server, callers, controlFollower)
	case err = <-serveErrors:
	}
	stopWork()
	_ = server.Close()
	_ = readyServer.Close()
	p.opts.Forward.Close()
	closed, crossed := callers.IdleCloses()
	p.opts.Log.WithFields(logrus.Fields{"event": "stop", "idle": closed, "crossed": crossed}).Info("stopped")
	return err
}

func (p *Proxy) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shutDown reports the graceful shutdown, gives callers the drain period to switch to other VMs, goes on accepting until
// no new ones come, and returns when no request is in progress or the grace period is over.
func (p *Proxy) shutDown(ctx context.Context, server *http.Server, callers *listener.Listener, controlFollower *follower.Follower) {
	startedAt := p.opts.Clock.Now()
	p.opts.Log.WithField("event", "leave").Info("graceful shutdown begins")
	p.Leave()
	reportCtx, cancel := context.WithTimeout(ctx, finalReportTimeout)
	if err := controlFollower.SendReport(reportCtx); err != nil {
		p.opts.Log.WithField("event", "leave").WithError(err).Warn("failed to report the graceful shutdown; the control group will detect it by a timeout")
	}
	cancel()
	latestClose := p.opts.DrainPeriod + time.Duration(quietShare*float64(p.opts.GracePeriod-p.opts.DrainPeriod))
	for {
		elapsed := p.opts.Clock.Now().Sub(startedAt)
		if elapsed >= latestClose || elapsed >= p.opts.DrainPeriod && callers.Quiet() {
			break
		}
		sweeps := 1
		if shutdown.KeepsIdle(p.opts.GracePeriod, elapsed, p.longestTimeout()) {
			sweeps = drainIdleSweeps
		}
		callers.CloseIdle(p.opts.Clock.Now(), sweeps)
		if clock.Sleep(ctx, p.opts.Clock, idleCloseInterval) != nil {
			return
		}
	}
	shutdownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		if clock.Sleep(shutdownCtx, p.opts.Clock, shutdown.FinalAnswers(p.opts.GracePeriod)-p.opts.Clock.Now().Sub(startedAt)) != nil {
			return
		}
		p.stop.endRunning()
		// Final answers that begin late, on a VM that was starved or suspended, get their time all the same.
		_ = clock.Sleep(shutdownCtx, p.opts.Clock, shutdown.FinalAnswerTime)
	}()
	if err := callers.EndAccepting(shutdownCtx); err != nil {
		p.opts.Log.WithField("event", "leave").WithError(err).Warn("callers that connect while the listener is closed may be reset")
	}
	if err := callers.Shutdown(shutdownCtx, server); err != nil {
		p.opts.Log.WithField("event", "leave").WithError(err).Warn("requests were still in progress at the end of the grace period")
	}
}

// longestTimeout returns the longest timeout of a route.
func (p *Proxy) longestTimeout() (longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return 0
	}
	for _, route := range p.table.Catalog.Routes {
		longest = max(longest, route.Timeout)
	}
	return longest
}
