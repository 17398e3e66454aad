package listener

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cuminfall.example/fleet/clock"
)

// States of a client connection.
const (
	connIdle    uint32 = iota // no byte of the next request has been received
	connActive                // a request is being received or answered
	connClosing               // it is closed unless bytes of a request are received first
	connClosed                // the sending side is closed
)

// lingerTimeout is how long a connection that was closed by this side waits for the client to close
// its side. Closing it at once could reset a response that is in transit.
const lingerTimeout = time.Second

// expired is a read deadline that ends a pending read.
var expired = time.Unix(1, 0)

// conn is a client connection that can be closed between requests without a TCP reset.
type conn struct {
	*net.TCPConn
	listener         *Listener
	state            atomic.Uint32
	requests         atomic.Uint32 // number of requests begun
	nextRequestBegun atomic.Bool   // the first byte of the next request was received before the server reported the connection idle
	idleSince        atomic.Int64  // when the last request ended or the connection was accepted, in nanoseconds of Unix time

	begunAt   atomic.Int64 // when the first byte of the request was received, in nanoseconds of Unix time
	headRead  atomic.Bool  // the head of the request was read
	answering atomic.Bool  // bytes of the response were written
	breaksOff atomic.Bool  // Close resets the connection

	deadlineMu   sync.Mutex
	readDeadline time.Time // as set by the server

	requestsAtSweep uint32 // value of requests at the last sweep
	idleSweeps      int    // consecutive sweeps without a new request
}

// Read implements net.Conn. It decides whether a request begins or the connection closes, so that a request whose first
// byte was read is always served, and nothing is read once the sending side is closed.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if c.state.Load() == connClosed {
			return 0, io.EOF
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			if c.begin() {
				c.requests.Add(1)
			} else if n == 1 && len(b) == 1 && c.headRead.Load() {
				// After a request's body the server reads one byte to detect a disconnect. A byte
				// that arrives belongs to the next request.
				c.nextRequestBegun.Store(true)
			}
			return n, err
		}
		if c.state.Load() != connClosing {
			return n, err
		}
		if unread, _ := c.peek(); unread {
			if c.begin() {
				c.requests.Add(1)
			}
			continue
		}
		if c.state.CompareAndSwap(connClosing, connClosed) {
			// An error means that the client has already closed the connection.
			_ = c.TCPConn.CloseWrite()
			c.awaitClientClose()
			c.listener.idleCloses.Add(1)
			if unread, _ := c.peek(); unread {
				c.listener.crossedCloses.Add(1)
			}
		}
	}
}

// begin marks an idle or closing connection as active and reports whether it was one.
func (c *conn) begin() bool {
	state := c.state.Load()
	if state != connIdle && state != connClosing {
		return false
	}
	c.begunAt.Store(c.listener.now().UnixNano()) // before the connection counts as active
	if c.state.CompareAndSwap(connIdle, connActive) {
		return true
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.state.CompareAndSwap(connClosing, connActive) {
		return false
	}
	_ = c.TCPConn.SetReadDeadline(c.readDeadline) // fails only if the connection is already closed
	return true
}

// SetReadDeadline implements net.Conn. A connection that is to be closed keeps its expired deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.readDeadline = t
	if c.state.Load() == connClosing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// awaitClientClose waits until the client has closed its side, or for lingerTimeout. It reads nothing: a request that
// arrives now cannot be answered, and the reset of a connection with unread bytes tells the client that it was not read.
func (c *conn) awaitClientClose() {
	raw, err := c.SyscallConn()
	if err != nil || c.TCPConn.SetReadDeadline(c.listener.now().Add(lingerTimeout)) != nil {
		return // the connection is already closed
	}
	// An error means that the time is over or the connection is closed.
	_ = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n == 0 && err == nil || err != nil && err != syscall.EAGAIN
	})
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConnection adds the connection to the context of its requests. It is the server's ConnContext hook.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ClientDisconnected reports whether the client of a request has closed its connection. It checks
// the socket itself, because on a busy VM the server's own goroutine may notice the close only
// after the request was forwarded.
func ClientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	_, disconnected := c.peek()
	return disconnected
}

// BreakOff ends a response whose head was sent and whose body is incomplete. It does not return. Without a length or chunks,
// which HTTP/1.0 has not, only a reset tells the client that the body is incomplete.
func BreakOff(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !r.ProtoAtLeast(1, 1) {
		c.breaksOff.Store(true)
	}
	panic(http.ErrAbortHandler)
}

// peek reports whether bytes of the client wait to be read, and whether the client has closed the connection.
func (c *conn) peek() (unread, disconnected bool) {
	err := control(c, func(fd int) error {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread, disconnected = n > 0, n == 0 && err == nil || err == syscall.ECONNRESET
		return nil
	})
	return unread, disconnected || err != nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.answering.Store(true)
	return c.TCPConn.Write(b)
}

// Close implements net.Conn. A connection that is closed during a response may still receive the
// request's body. Those bytes are discarded for lingerTimeout, because they would otherwise cause a
// reset that could destroy the response on its way to the client. A request without a response is not
// read on: the reset tells the client that it was not read.
func (c *conn) Close() error {
	if c.breaksOff.Load() {
		_ = c.TCPConn.SetLinger(0) // fails only if the connection is already closed
		c.state.Store(connClosed)
		return c.closeSocket()
	}
	if c.state.Swap(connClosed) != connActive || !c.answering.Load() || c.TCPConn.CloseWrite() != nil {
		return c.closeSocket()
	}
	if err := c.TCPConn.SetReadDeadline(c.listener.now().Add(lingerTimeout)); err != nil {
		return c.closeSocket()
	}
	go func() {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.TCPConn})
		_ = c.closeSocket()
	}()
	return nil
}

func (c *conn) closeSocket() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// closeIfStalled closes the connection if the head of a request began to arrive and was not complete within the listener's
// timeout for it.
// The server allows its own idle timeout for the first bytes.
func (c *conn) closeIfStalled(now time.Time) {
	if c.state.Load() == connActive && !c.headRead.Load() && now.UnixNano()-c.begunAt.Load() > int64(c.listener.headerTimeout) {
		_ = c.TCPConn.Close() // ends the server's read
	}
}

// closeIfIdle makes the pending read close the connection, unless a request has been received by then. On a busy VM a
// request may have been received long before the server reads it.
func (c *conn) closeIfIdle() {
	if c.state.Load() != connIdle {
		return
	}
	if unread, _ := c.peek(); unread {
		return
	}
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.state.CompareAndSwap(connIdle, connClosing) {
		_ = c.TCPConn.SetReadDeadline(expired) // fails only if the connection is already closed
	}
}

// trackState updates the state from the server's view of the connection. It is the server's
// ConnState hook.
func trackState(inner net.Conn, state http.ConnState) {
	c, ok := inner.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		now := c.listener.now().UnixNano()
		c.idleSince.Store(now)
		c.begunAt.Store(now)
		c.headRead.Store(false)
		c.answering.Store(false)
		if c.nextRequestBegun.Swap(false) {
			c.requests.Add(1)
			return
		}
		c.state.CompareAndSwap(connActive, connIdle)
	case http.StateActive:
		// The first bytes of this request may have been received together with the previous
		// request.
		c.begin()
		c.headRead.Store(true)
	}
}

// Listener accepts client connections and closes those without a request. Its connections belong to a server of NewServer.
type Listener struct {
	*net.TCPListener
	// MaxConns is the number of open client connections from which the longest idle ones are closed
	// to make room for new ones; 0 means no limit. Without it, idle connections could use up the
	// process's file descriptors, and new clients would wait unanswered in the accept queue.
	MaxConns int
	Clock    clock.Clock // nil means the system's clock

	idleCloses    atomic.Int64
	crossedCloses atomic.Int64
	headerTimeout time.Duration // zero until a server is made for it

	mu           sync.Mutex
	conns        map[*conn]struct{}
	lastAccepted time.Time // when the last connection was accepted
	nextReclaim  time.Time // before it, no further connections are closed to make room
}

// reclaimInterval is the shortest time between two searches for idle connections to close.
const reclaimInterval = 50 * time.Millisecond

// minReclaimIdle is how long a connection must have been idle before it is closed to make room, and how long a new one
// must have been open before it is closed in a graceful shutdown. A request may be in transit on a younger one.
const minReclaimIdle = 500 * time.Millisecond

// crowdedFraction is the part of MaxConns from which a listener counts as crowded.
const crowdedFraction = 0.75

func (l *Listener) clock() clock.Clock {
	if l.Clock == nil {
		return clock.System{}
	}
	return l.Clock
}

func (l *Listener) now() time.Time { return l.clock().Now() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.AcceptTCP()
	if err != nil {
		return nil, err // not wrapped, because the server retries after temporary errors
	}
	c := &conn{TCPConn: inner, listener: l}
	now := l.now()
	c.idleSince.Store(now.UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c], l.lastAccepted = struct{}{}, now
	if l.MaxConns > 0 && len(l.conns) >= l.MaxConns && !now.Before(l.nextReclaim) {
		l.nextReclaim = now.Add(reclaimInterval)
		l.reclaimIdle(now)
	}
	return c, nil
}

// IdleCloses returns how many connections were closed as idle, and on how many of them a request crossed the close: it
// arrived later and was not read.
func (l *Listener) IdleCloses() (closed, crossed int64) {
	return l.idleCloses.Load(), l.crossedCloses.Load()
}

// Crowded reports whether so many client connections are open that clients whose request was refused
// should not keep theirs.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxConns > 0 && float64(len(l.conns)) >= crowdedFraction*float64(l.MaxConns)
}

// reclaimIdle closes the connections that have been idle longest until the listener is not crowded;
// l.mu is held.
func (l *Listener) reclaimIdle(now time.Time) {
	cutoff := now.Add(-minReclaimIdle).UnixNano()
	var idle []*conn
	for c := range l.conns {
		if c.state.Load() == connIdle && c.idleSince.Load() <= cutoff {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return cmp.Compare(a.idleSince.Load(), b.idleSince.Load()) })
	surplus := len(l.conns) - int(crowdedFraction*float64(l.MaxConns))
	for _, c := range idle[:min(max(surplus, 0), len(idle))] {
		c.closeIfIdle()
	}
}

// CloseUnused closes the connections that have been idle for at least d.
func (l *Listener) CloseUnused(d time.Duration) {
	now := l.now()
	cutoff := now.Add(-d).UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.idleSince.Load() <= cutoff {
			c.closeIfIdle()
		}
	}
}

// CloseIdle closes the connections on which no request began during the last idleCalls calls,
// including this one. It returns how many connections without a request were open.
func (l *Listener) CloseIdle(now time.Time, idleCalls int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	idleCount := 0
	for c := range l.conns {
		if requests := c.requests.Load(); requests != c.requestsAtSweep || c.state.Load() == connActive {
			c.requestsAtSweep, c.idleSweeps = requests, 0
		}
		if c.state.Load() == connActive {
			continue
		}
		idleCount++
		c.idleSweeps++
		awaitsFirst := c.requestsAtSweep == 0 && now.UnixNano()-c.idleSince.Load() < int64(minReclaimIdle)
		if c.idleSweeps >= idleCalls && !awaitsFirst {
			c.closeIfIdle()
		}
	}
	return idleCount
}
