package forward

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
)

// largestHead bounds the bytes of an answer's head, which would otherwise be read into memory without end.
const largestHead = 1 << 20

const userTimeoutOption = 0x12 // TCP_USER_TIMEOUT, which package syscall lacks

// conn is one connection to an upstream, used by one exchange at a time.
type conn struct {
	reused bool // served an earlier request
	tcp    *net.TCPConn
	raw    syscall.RawConn
	pool   *pool
	in     *bufio.Reader
	out    []byte // scratch space for heads

	since time.Time     // when it became idle
	keep  time.Duration // how long the upstream keeps it idle; 0 where it did not say

	// State of the present exchange.
	x        *Exchange
	deadline time.Time
	written  atomic.Int64
	head     int  // bytes that the head may still have
	inBody   bool // the answer's body is being read
	// Sent bytes that the peer's host had confirmed when the wait for the head
	// was last checked, or -1 when none were waiting.
	confirmed int64

	peek     func(fd uintptr) bool // allocated once, because it runs for each reuse
	peekErr  error
	peekSize int
}

func newConn(p *pool, tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, errors.WithStack(err)
	}
	c := &conn{tcp: tcp, raw: raw, pool: p}
	c.in = bufio.NewReaderSize(c, 16<<10)
	c.peek = func(fd uintptr) bool {
		var b [1]byte
		c.peekSize, _, c.peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, nil
}

// UserTimeout returns a hook of net.Dialer and net.ListenConfig that bounds how long sent data may stay unacknowledged.
func UserTimeout(d time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var opt error
		err := raw.Control(func(fd uintptr) {
			opt = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(d/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return opt
	}
}

// sound reports whether an idle connection is open and has nothing to read; an
// answer that nobody asked for must not reach the next request.
func (c *conn) sound() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.peekErr == syscall.EAGAIN
}

// keepMargin is how long before the upstream's own time-out an idle connection is given up: a request
// could otherwise cross the upstream's close on the way between distant regions.
const keepMargin = 1500 * time.Millisecond

// fresh reports whether an idle connection was used within rest, where that is given, and is not about
// to be closed by the upstream.
func (c *conn) fresh(rest time.Duration) bool {
	idle := c.now().Sub(c.since)
	return (rest == 0 || idle <= rest) && (c.keep == 0 || idle < c.keep-keepMargin)
}

// noteKeep reads how long the upstream keeps idle connections.
func (c *conn) noteKeep(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			c.keep = max(time.Duration(seconds)*time.Second, keepMargin)
		}
	}
}

func (c *conn) begin(x *Exchange, deadline time.Time) {
	c.x, c.deadline, c.head, c.inBody = x, deadline, largestHead, false
	c.confirmed = -1
	c.written.Store(0)
}

// shut closes the connection without giving its place in the limit back.
func (c *conn) shut() { _ = c.tcp.Close() }

// discard closes the connection and gives its place in the limit back.
func (c *conn) discard() {
	c.shut()
	c.pool.release()
}

// Read implements io.Reader for the answer, up to the exchange's deadline.
func (c *conn) Read(b []byte) (int, error) {
	if !c.inBody {
		if c.head <= 0 {
			return 0, errors.New("head of the answer is too long")
		}
		if len(b) > c.head {
			b = b[:c.head]
		}
	}
	for {
		if err := c.tcp.SetReadDeadline(c.step()); err != nil {
			return 0, err
		}
		n, err := c.tcp.Read(b)
		if !c.inBody {
			c.head -= n
		}
		if n > 0 || !timedOut(err) {
			return n, err
		}
		if !c.now().Before(c.deadline) {
			c.x.fail(DeadlineExceeded)
			return 0, err
		}
		// While the head is awaited the upstream may be at work, unless the
		// request itself is not taken.
		if (c.inBody || c.stuck()) && c.pool.probe(c.deadline) {
			c.x.fail(Unresponsive)
			return 0, err
		}
	}
}

// Write implements io.Writer for the request, up to the exchange's deadline.
func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for {
		if err := c.tcp.SetWriteDeadline(c.step()); err != nil {
			return sent, err
		}
		n, err := c.tcp.Write(b[sent:])
		c.written.Add(int64(n))
		sent += n
		if err == nil || !timedOut(err) {
			return sent, err
		}
		if !c.now().Before(c.deadline) {
			c.x.fail(DeadlineExceeded)
			return sent, err
		}
		if n == 0 && c.pool.probe(c.deadline) {
			c.x.fail(Unresponsive)
			return sent, err
		}
	}
}

// step returns the time until which one read or write may go without progress.
func (c *conn) step() time.Time {
	next := c.now().Add(c.pool.client.silence)
	if c.deadline.Before(next) {
		return c.deadline
	}
	return next
}

func (c *conn) now() time.Time { return c.clock().Now() }

func (c *conn) clock() clock.Clock { return c.pool.client.clock }

// stuck reports whether sent bytes were waiting at the last call as well, and
// the peer's host has confirmed none since.
func (c *conn) stuck() bool {
	waiting := int64(c.unacknowledged())
	if waiting == 0 {
		c.confirmed = -1
		return false
	}
	before := c.confirmed
	c.confirmed = c.written.Load() - waiting
	return c.confirmed == before
}

// unacknowledged returns the sent bytes that the peer's host has not confirmed.
func (c *conn) unacknowledged() int {
	var n int32
	err := c.raw.Control(func(fd uintptr) {
		if _, _, code := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); code != 0 {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return int(n)
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
