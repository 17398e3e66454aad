package upstream

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// listener counts connections, resets those beyond the limit and can silence the open ones.
type listener struct {
	net.Listener
	e *Endpoint
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c := &connection{Conn: inner, e: l.e, closed: make(chan struct{})}
		if l.e.admit(c) {
			return c, nil
		}
		reset(inner)
	}
}

// connection is an accepted connection that can go silent or be reset.
type connection struct {
	net.Conn
	e      *Endpoint
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn; a silent connection delivers nothing until it is closed.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	if n > 0 && c.e.hit(Read) {
		reset(c.Conn)
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn; a silent connection accepts nothing until it is closed.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.e.forget(c)
	})
	return c.Conn.Close()
}

// reset closes a connection so that the peer sees a reset and no orderly end.
func reset(c net.Conn) {
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

// admit counts a new connection, or refuses it at the limit.
func (e *Endpoint) admit(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.open) >= int(e.set.Connections) {
		e.counts.RefusedConnections++
		return false
	}
	e.open[c] = true
	e.counts.MostConnections = max(e.counts.MostConnections, len(e.open))
	return true
}

func (e *Endpoint) forget(c *connection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, c)
}

// silence makes all open connections silent; they no longer count towards the limit.
func (e *Endpoint) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.open {
		c.silent.Store(true)
		e.mute = append(e.mute, c)
	}
	clear(e.open)
}
