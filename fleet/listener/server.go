package listener

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// Limits of a Server's connections.
const (
	serverSilenceTimeout = 10 * time.Second
	serverHeaderTimeout  = time.Second
	serverReadTimeout    = 10 * time.Second // for a whole request
	serverIdleTimeout    = 2 * time.Minute  // longer than clients of the fleet keep a connection
	maxServerHeaderBytes = 64 << 10
	// maxServerBodyBytes limits the bodies of all requests that are being served. The longest are configurations of thousands
	// of routes, some MiB.
	maxServerBodyBytes = 24 << 20
	// closeIdleTimeout is how long a stopping server goes on to accept connections while it closes idle ones. Clients that
	// connect later are ignored for a moment and refused then.
	closeIdleTimeout = 500 * time.Millisecond
)

// Server serves HTTP at one address until Stop.
type Server struct {
	server   *http.Server
	listener *Listener
	bodies   process.ReadBudget
	stopping atomic.Bool
}

// Open opens a server's listener, which accepts no connection until Serve.
func Open(ctx context.Context, address ident.Address, h http.Handler) (*Server, error) {
	l, err := Listen(ctx, address, serverSilenceTimeout)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, bodies: process.ReadBudget{Max: maxServerBodyBytes}}
	s.server = l.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		body := s.bodies.NewReader(r.Body, r.ContentLength)
		defer func() { _ = body.Close() }() // the server closes it anyway
		r.Body = body
		h.ServeHTTP(w, r)
	}), serverHeaderTimeout)
	s.server.ReadTimeout, s.server.IdleTimeout, s.server.MaxHeaderBytes = serverReadTimeout, serverIdleTimeout, maxServerHeaderBytes
	return s, nil
}

// Serve serves requests until the server is stopped or closed, and returns nil in that case.
func (s *Server) Serve() error {
	if err := process.Serve(s.server, s.listener); !s.stopping.Load() {
		return err
	}
	return nil // Stop has closed the listener
}

// Stop stops the server and returns once each request that it has read is answered. It returns an error if some were not by
// the end of ctx.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	l := s.listener
	for end := l.now().Add(closeIdleTimeout); l.CloseIdle(l.now(), 1) > 0 && l.now().Before(end); {
		if clock.Sleep(ctx, l.clock(), endAcceptingPoll) != nil {
			break
		}
	}
	err := l.EndAccepting(ctx)
	if err == nil {
		err = l.Shutdown(ctx, s.server)
	}
	s.Close()
	return err
}

// Close closes the server at once. Requests in progress get no answer.
func (s *Server) Close() {
	_ = s.listener.Close() // already closed after a stop
	_ = s.server.Close()
}
