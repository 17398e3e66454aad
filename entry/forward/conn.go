package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
)

// maxHeadBytes limits the bytes of all heads that are read for one response, interim ones included. They are read into
// memory, and a faulty upstream may send bytes without end on each of its connections.
const maxHeadBytes = 64 << 10

// conn is a connection to an upstream. One exchange at a time uses it.
type conn struct {
	reused  bool       // the connection has served an earlier request
	echoes  bool       // an earlier response on the connection carried the ID of its request
	suspect bool       // a response on the connection named no request or another one, so the connection is not reused
	carried carriedIDs // callers' request IDs that were sent on the connection
	tcp     *net.TCPConn
	rawConn syscall.RawConn
	pool    *pool
	reader  *bufio.Reader
	headBuf []byte // buffer in which a request's head is built

	idleSince time.Time     // when the connection became idle; until its first use, when it was opened
	keepAlive time.Duration // the upstream's idle timeout from its Keep-Alive header; 0 if it sent none

	// State of the current exchange.
	exchange      *Exchange
	deadline      time.Time
	written       atomic.Int64
	headRemaining int  // bytes of the head or trailer that may still be read
	inBody        bool // the response's body is being read
	inTrailer     bool // of its body, the trailer is being read
	answering     bool // bytes were received
	// Number of sent bytes that the upstream's host had acknowledged at the last check while the
	// response's head was awaited, or -1 if none were unacknowledged.
	lastAcked int64

	failMu  sync.Mutex // held during a write, so that its failure is known when a read returns after it
	failure error      // of the first write that failed

	peek     func(fd uintptr) bool // allocated once per connection, because every reuse calls it
	peekErr  error
	peekSize int
}

func newConn(p *pool, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errors.WithStack(err)
	}
	c := &conn{tcp: tcp, rawConn: raw, pool: p, idleSince: p.client.clock.Now()}
	c.reader = bufio.NewReaderSize(c, 16<<10)
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		c.peekSize, _, c.peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, nil
}

// isUsable reports whether an idle connection is open and has no bytes to read. Bytes that arrive
// while no request is in progress must not become the response to the next request.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if err := c.rawConn.Read(c.peek); err != nil {
		return false
	}
	return c.peekErr == syscall.EAGAIN
}

// keepAliveMargin is how long before the upstream's idle timeout a connection is no longer reused.
// Without it a request to a distant region could reach an upstream that is already closing the
// connection.
const keepAliveMargin = 1500 * time.Millisecond

// withinIdleLimits reports whether an idle connection was used within maxIdle (0 means no limit)
// and is not about to be closed by the upstream.
func (c *conn) withinIdleLimits(maxIdle time.Duration) bool {
	idle := c.now().Sub(c.idleSince)
	return (maxIdle == 0 || idle <= maxIdle) && (c.keepAlive == 0 || idle < c.keepAlive-keepAliveMargin)
}

// readKeepAlive reads the upstream's idle timeout from the Keep-Alive header.
func (c *conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			c.keepAlive = max(time.Duration(seconds)*time.Second, keepAliveMargin)
		}
	}
}

func (c *conn) startExchange(x *Exchange, deadline time.Time) {
	c.exchange, c.deadline, c.headRemaining, c.inBody = x, deadline, maxHeadBytes, false
	c.inTrailer, c.lastAcked, c.answering = false, -1, false
	c.written.Store(0)
}

// closeSocket closes the connection without releasing its place in the pool's limit.
func (c *conn) closeSocket() { _ = c.tcp.Close() }

// closeAndRelease closes the connection and releases its place in the pool's limit.
func (c *conn) closeAndRelease() {
	c.closeSocket()
	c.pool.release()
}

// Read implements io.Reader for the response, up to the exchange's deadline.
func (c *conn) Read(b []byte) (int, error) {
	if !c.inBody || c.inTrailer {
		if c.headRemaining <= 0 {
			return 0, errors.New("response head or trailer is too long")
		}
		if len(b) > c.headRemaining {
			b = b[:c.headRemaining]
		}
	}
	for {
		if err := c.tcp.SetReadDeadline(clock.Deadline(c.clock(), c.progressDeadline())); err != nil {
			return 0, err
		}
		n, err := c.tcp.Read(b)
		c.answering = c.answering || n > 0
		if !c.inBody || c.inTrailer {
			c.headRemaining -= n
		}
		if n == 0 && err == io.EOF {
			err = c.cause(err)
		}
		if n > 0 || !isTimeout(err) {
			return n, err
		}
		if !c.now().Before(c.deadline) {
			c.exchange.terminate(DeadlineExceeded)
			return 0, err
		}
		// While the head is awaited, an upstream without progress may still be processing the
		// request, unless it does not accept the request's bytes.
		if (c.inBody || c.uploadStalled()) && c.pool.probe(c.deadline) {
			c.exchange.terminate(Unresponsive)
			return 0, err
		}
	}
}

// Write implements io.Writer for the request, up to the exchange's deadline.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for {
		if err := c.tcp.SetWriteDeadline(clock.Deadline(c.clock(), c.progressDeadline())); err != nil {
			return sent, err
		}
		n, err := c.writeSome(b[sent:])
		c.written.Add(int64(n))
		sent += n
		if err == nil && sent < len(b) {
			continue
		}
		if err == nil || !isTimeout(err) {
			return sent, err
		}
		if !c.now().Before(c.deadline) {
			c.exchange.terminate(DeadlineExceeded)
			return sent, err
		}
		if n == 0 && c.pool.probe(c.deadline) {
			c.exchange.terminate(Unresponsive)
			return sent, err
		}
	}
}

// writeSome writes a part of b. If the connection has failed, it keeps the cause for the reader.
func (c *conn) writeSome(b []byte) (n int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	waitErr := c.rawConn.Write(func(fd uintptr) bool {
		c.failMu.Lock()
		defer c.failMu.Unlock()
		for {
			if n, err = syscall.Write(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			n, err = 0, nil
			return false
		}
		n = max(n, 0)
		if err != nil && c.failure == nil {
			c.failure = err
		}
		return true
	})
	if err == nil {
		err = waitErr
	}
	return n, err
}

// cause returns the error with which the connection failed, or eof if the upstream ended it. The host reports the failure of
// a connection once, to a write or a read, whichever comes first; the other one sees the end of the connection, as after a
// regular close. A first write that fails with EPIPE tells that the upstream had ended its side before the connection failed.
func (c *conn) cause(eof error) error {
	c.failMu.Lock()
	defer c.failMu.Unlock()
	if c.failure == nil || c.failure == syscall.EPIPE {
		return eof
	}
	return c.failure
}

// beginTrailer limits the bytes of the trailer that is read next. The returned function ends that.
func (c *conn) beginTrailer(maxBytes int) (end func()) {
	ofHead := c.headRemaining
	c.headRemaining, c.inTrailer = maxBytes, true
	return func() { c.headRemaining, c.inTrailer = ofHead, false }
}

// progressDeadline returns the time by which a read or write must make progress before the
// connection is checked.
func (c *conn) progressDeadline() time.Time {
	next := c.now().Add(c.pool.client.silenceTimeout)
	if c.deadline.Before(next) {
		return c.deadline
	}
	return next
}

func (c *conn) now() time.Time { return c.clock().Now() }

func (c *conn) clock() clock.Clock { return c.pool.client.clock }

// uploadStalled reports whether sent bytes were unacknowledged both now and at the last call, and
// none of them has been acknowledged in between.
func (c *conn) uploadStalled() bool {
	unacked := int64(c.unackedBytes())
	if unacked == 0 {
		c.lastAcked = -1
		return false
	}
	previous := c.lastAcked
	c.lastAcked = c.written.Load() - unacked
	return c.lastAcked == previous
}

// unackedBytes returns the number of sent bytes that the upstream's host has not acknowledged.
func (c *conn) unackedBytes() int {
	var n int32
	err := c.rawConn.Control(func(fd uintptr) {
		if _, _, code := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); code != 0 {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return int(n)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
