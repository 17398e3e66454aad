package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// listener wraps accepted connections, and resets those above the endpoint's connection limit.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c := &connection{Conn: inner, endpoint: l.endpoint, closed: make(chan struct{})}
		if l.endpoint.addConnection(c) {
			return c, nil
		}
		closeWithReset(inner)
	}
}

// connection is an accepted connection that can be silenced or reset.
type connection struct {
	net.Conn
	endpoint  *Endpoint
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
	arrivedAt atomic.Pointer[time.Time] // when the last bytes read arrived; nil if the kernel did not record it
}

// arrival returns when the last bytes read from the connection of a request arrived, or now if that is not known. It
// does not depend on when this process got processor time to read them.
func arrival(r *http.Request, now time.Time) time.Time {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		if at := c.arrivedAt.Load(); at != nil {
			return *at
		}
	}
	return now
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection is the ConnContext of an endpoint's server.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// Read implements net.Conn; on a silent connection it blocks until the connection is closed.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	if n > 0 && c.endpoint.triggerReset(ResetOnRead) {
		closeWithReset(c.Conn)
		return 0, net.ErrClosed
	}
	return n, err
}

// read reads and records when the bytes arrived.
func (c *connection) read(p []byte) (int, error) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return c.Conn.Read(p)
	}
	n, at, err := readWithArrival(tcp, p)
	if n > 0 && !at.IsZero() {
		c.arrivedAt.Store(&at)
	} else if n > 0 {
		c.arrivedAt.Store(nil)
	}
	return n, err
}

// Write implements net.Conn; on a silent connection it blocks until the connection is closed.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.endpoint.removeConnection(c)
	})
	return c.Conn.Close()
}

// closeWithReset closes a connection with a TCP reset instead of a FIN.
func closeWithReset(c net.Conn) {
	if wrapped, ok := c.(*connection); ok {
		if tcp, ok := wrapped.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// addConnection registers a new connection, or returns false if the connection limit is reached.
func (e *Endpoint) addConnection(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.openConnections) >= int(e.settings.MaxConnections) {
		e.counts.RefusedConnections++
		return false
	}
	e.openConnections[c] = true
	e.counts.MaxConnections = max(e.counts.MaxConnections, len(e.openConnections))
	return true
}

func (e *Endpoint) removeConnection(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.openConnections, c)
}

// silenceConnections makes all open connections silent; they no longer count towards the connection limit.
func (e *Endpoint) silenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.openConnections {
		c.silent.Store(true)
		e.silentConnections = append(e.silentConnections, c)
	}
	clear(e.openConnections)
}
