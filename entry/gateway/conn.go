package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cuminfall.example/fleet/clock"
)

// States of a caller's connection.
const (
	connQuiet  uint32 = iota // no byte of the next request has been received
	connActive               // a request is being received or answered
	connClosed               // the sending side is shut; what still arrives is discarded
)

// lingerWait is how long a connection that was closed while quiet waits for the
// caller to close its side, since closing it at once could reset a request on its way.
const lingerWait = time.Second

// callerConn is a caller's connection that can be closed between requests
// without a reset.
type callerConn struct {
	*net.TCPConn
	listener *Listener
	state    atomic.Uint32
	uses     atomic.Uint32 // requests begun
	ahead    atomic.Bool   // the next request's first byte was received before the server called the connection idle

	seen  uint32 // uses at the last sweep
	quiet int    // sweeps without a use
}

// Read implements net.Conn. Whether a request began or the connection closes is
// decided by one compare-and-swap, so that a request whose first byte was
// received is always served.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 && c.state.CompareAndSwap(connQuiet, connActive) {
			c.uses.Add(1)
		} else if n == 1 && len(b) == 1 {
			// After a request's body the server reads one byte to notice that the
			// caller leaves. A byte that arrives belongs to the next request.
			c.ahead.Store(true)
		}
		if c.state.Load() != connClosed {
			return n, err
		}
		if err != nil {
			return 0, io.EOF
		}
	}
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// remember is the server's ConnContext hook.
func remember(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ClientDisconnected reports whether the caller of a request has closed its connection. The server notices a close by a
// goroutine of its own, which on a busy VM may come after the request has been passed on.
func ClientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return closed || err != nil
}

// Close implements net.Conn. A connection that is closed during a request may
// still receive its body, which would reset the connection and could take the
// answer from the caller, so what arrives is discarded for a while first.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	if c.state.Swap(connClosed) != connActive || c.TCPConn.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	if err := c.TCPConn.SetReadDeadline(clock.System{}.Now().Add(lingerWait)); err != nil {
		return c.TCPConn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.TCPConn})
		_ = c.TCPConn.Close()
	}()
	return nil
}

// finish closes the sending side if no request has begun.
func (c *callerConn) finish(now time.Time) {
	if !c.state.CompareAndSwap(connQuiet, connClosed) {
		return
	}
	// Errors mean that the caller closed the connection already.
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(now.Add(lingerWait))
}

// note follows the server's view of a connection; it is the server's ConnState hook.
func note(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		if c.ahead.Swap(false) {
			c.uses.Add(1)
			return
		}
		c.state.CompareAndSwap(connActive, connQuiet)
	case http.StateActive:
		// The first bytes of this request may have been received with the one before.
		c.state.CompareAndSwap(connQuiet, connActive)
	}
}

// Listener accepts callers' connections and knows which have no request on them.
type Listener struct {
	*net.TCPListener
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.AcceptTCP()
	if err != nil {
		return nil, err // as it is, because the server goes on after one that is temporary
	}
	c := &callerConn{TCPConn: inner, listener: l}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// CloseIdle closes the connections on which no request began during the given
// number of calls, this one included, and returns how many without a request are still open.
func (l *Listener) CloseIdle(now time.Time, calls int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := 0
	for c := range l.open {
		if uses := c.uses.Load(); uses != c.seen || c.state.Load() == connActive {
			c.seen, c.quiet = uses, 0
		}
		if c.state.Load() == connActive {
			continue
		}
		if c.quiet++; c.quiet >= calls {
			c.finish(now)
		}
		left++
	}
	return left
}
