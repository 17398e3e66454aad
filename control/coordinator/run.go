package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
	"cuminfall.example/fleet/process"
)

const (
	// handoverTimeout limits how long a stopping leader tries to hand over leadership.
	handoverTimeout = 2 * time.Second
	// drainTimeout is how long a stop may take after the handover. Requests last 1 s at most, and connections may take
	// 1.5 s to close.
	drainTimeout = 2500 * time.Millisecond
)

// HTTPService is a listen address of a member and the handler that serves it.
type HTTPService struct {
	Address ident.Address
	Handler http.Handler
}

// Serve runs the member and its HTTP listeners until ctx ends or the member fails, as after an error of its disk. A leader
// hands over leadership before it stops. No admin listener is opened if adminAddress is empty.
func (c *Coordinator) Serve(ctx context.Context, metricsRegistry metrics.Registry, adminAddress ident.Address, services ...HTTPService) error {
	mux := http.NewServeMux()
	mux.Handle("/", c.opts.Replica.Handler())
	c.Register(mux)
	services = append(services, HTTPService{c.opts.Address, mux})
	if adminAddress != "" {
		services = append(services, HTTPService{adminAddress, process.AdminHandler(metricsRegistry, func() bool { return !c.opts.Replica.Status().Isolated })})
	}
	serviceCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	group, serviceCtx := errgroup.WithContext(serviceCtx)
	var servers []*listener.Server
	for _, service := range services {
		s, err := listener.Open(serviceCtx, service.Address, service.Handler)
		if err != nil {
			for _, s := range servers {
				s.Close()
			}
			return err
		}
		servers = append(servers, s)
	}
	for _, s := range servers {
		group.Go(s.Serve)
	}
	group.Go(func() error { return c.opts.Replica.Run(serviceCtx) })
	group.Go(func() error { return c.Run(serviceCtx) })
	group.Go(func() error {
		defer stopServices()
		select {
		case <-ctx.Done():
		case <-serviceCtx.Done():
			// The member or a listener failed. Without its servers the process ends and is started again.
			for _, s := range servers {
				s.Close()
			}
			return nil
		}
		c.opts.Log.WithField("event", "leave").Info("graceful shutdown begins")
		c.handover(serviceCtx)
		close(c.stopping)
		drainCtx, cancel := context.WithTimeout(serviceCtx, drainTimeout)
		defer cancel()
		var stops errgroup.Group
		for _, s := range servers {
			stops.Go(func() error { return s.Stop(drainCtx) })
		}
		if err := stops.Wait(); err != nil {
			c.opts.Log.WithField("event", "leave").WithError(err).Warn("requests were still in progress at the end of the stop")
		}
		return nil
	})
	c.opts.Log.WithFields(logrus.Fields{"event": "start", "address": c.opts.Address}).Info("serving")
	err := group.Wait()
	c.opts.Log.WithField("event", "stop").Info("stopped")
	return err
}

// handover hands over leadership if this member is the leader.
func (c *Coordinator) handover(ctx context.Context) {
	if _, _, leads := c.opts.Replica.Leadership(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := c.opts.Replica.Handover(ctx); err != nil {
		c.opts.Log.WithField("event", "leave").WithError(err).Warn("handover failed: no member took over leadership")
	}
}
