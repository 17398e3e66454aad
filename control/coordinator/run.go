package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

const (
	// handoverTime bounds the search for another leader at a planned stop.
	handoverTime = 2 * time.Second
	// drainTime lets exchanges and orders end, which last 1 s at most.
	drainTime = 1500 * time.Millisecond
)

// HTTPService is one listener of a member and what it answers.
type HTTPService struct {
	Address ident.Address
	Handler http.Handler
}

// Serve runs the member and its listeners until ctx ends; a member that leads hands over first.
func (h *Coordinator) Serve(ctx context.Context, registry metrics.Registry, at ident.Address, others ...HTTPService) error {
	mux := http.NewServeMux()
	mux.Handle("/", h.opts.Replica.Handler())
	h.Register(mux)
	others = append(others, HTTPService{h.opts.Address, mux})
	if at != "" {
		others = append(others, HTTPService{at, process.AdminHandler(registry, func() bool { return !h.opts.Replica.Status().Isolated })})
	}
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, work := errgroup.WithContext(work)
	var servers []*http.Server
	for _, o := range others {
		s := &http.Server{Handler: o.Handler, ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute}
		servers = append(servers, s)
		group.Go(func() error { return process.ListenAndServe(s, o.Address) })
	}
	group.Go(func() error { return h.opts.Replica.Run(work) })
	group.Go(func() error { return h.Run(work) })
	group.Go(func() error {
		defer end()
		select {
		case <-ctx.Done():
		case <-work.Done():
			return nil
		}
		h.opts.Log.WithField("event", "leave").Info("planned stop begins")
		h.handover(work)
		drain, cancel := context.WithTimeout(work, drainTime)
		defer cancel()
		for _, s := range servers {
			if err := s.Shutdown(drain); err != nil {
				_ = s.Close() // followers that still wait turn to another member
			}
		}
		return nil
	})
	h.opts.Log.WithFields(logrus.Fields{"event": "start", "address": h.opts.Address}).Info("serving")
	err := group.Wait()
	h.opts.Log.WithField("event", "stop").Info("stopped")
	return err
}

func (h *Coordinator) handover(ctx context.Context) {
	if _, _, leads := h.opts.Replica.Leadership(); !leads {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	if err := h.opts.Replica.Handover(ctx); err != nil {
		h.opts.Log.WithField("event", "leave").WithError(err).Warn("no member took over leadership")
	}
}
