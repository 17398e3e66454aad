package listener

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cuminfall.example/fleet/clock"
)

const (
	// quietPeriod is the time without a new client connection after which a listener counts as quiet. It is longer than
	// a TCP handshake takes.
	quietPeriod = 100 * time.Millisecond
	// endAcceptingTimeout is enough for a young connection's first request and for clients to close their side.
	endAcceptingTimeout = minReclaimIdle + lingerTimeout
	endAcceptingPoll    = 20 * time.Millisecond
	// shutdownSweepInterval is the time between two checks for connections without a request while the server shuts down.
	shutdownSweepInterval = 100 * time.Millisecond
)

// Quiet reports whether no client has connected for some time and no connection is waiting to be accepted. Closing the
// listener resets those that wait.
func (l *Listener) Quiet() bool {
	l.mu.Lock()
	lastAccepted := l.lastAccepted
	l.mu.Unlock()
	return l.now().Sub(lastAccepted) >= quietPeriod && !l.hasPending()
}

// hasPending reports whether the host has accepted a connection that the process has not.
func (l *Listener) hasPending() bool {
	pending := false
	err := control(l, func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = n > 0
		return err
	})
	return err == nil && pending
}

// EndAccepting makes the host ignore further clients, closes the connections without a request, and returns when only
// those with one are left, or after endAcceptingTimeout. Closing the listener and the server then resets no connection on
// which a request may have been received. Ignored clients are refused once the listener is closed.
func (l *Listener) EndAccepting(ctx context.Context) error {
	if err := control(l, ignoreNewClients); err != nil {
		return errors.Wrap(err, "ignore new clients")
	}
	for end := l.now().Add(endAcceptingTimeout); l.now().Before(end); {
		quiet := l.Quiet()
		if l.CloseIdle(l.now(), 1) == 0 && quiet {
			return nil
		}
		if err := clock.Sleep(ctx, l.clock(), endAcceptingPoll); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// Shutdown closes the listener after EndAccepting, and its server once no connection is open. Meanwhile it closes
// connections without a request. It returns the error of ctx if requests are still in progress at its end. The server's
// own Shutdown would drop a request whose head it is still reading.
func (l *Listener) Shutdown(ctx context.Context, server *http.Server) error {
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close the listener")
	}
	for l.Count().Open > 0 {
		l.CloseIdle(l.now(), 1)
		l.closeStalled()
		err := clock.Sleep(ctx, l.clock(), shutdownSweepInterval)
		if err != nil && l.Count().Active > 0 {
			return errors.WithStack(err)
		}
		if err != nil {
			break // the rest only lingers
		}
	}
	_ = server.Close() // the listener is already closed, which it may report
	return nil
}

// closeStalled closes the connections on which a request began to arrive and went no further.
func (l *Listener) closeStalled() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfStalled(now)
	}
}

// Counts are numbers of open connections.
type Counts struct {
	Open   int // all
	Idle   int // those without a request
	Active int // those with a request that is being received or answered
	Closed int // those whose sending side is closed
}

// Count returns the numbers of open connections.
func (l *Listener) Count() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := Counts{Open: len(l.conns)}
	for c := range l.conns {
		switch c.state.Load() {
		case connIdle:
			n.Idle++
		case connActive:
			n.Active++
		case connClosed:
			n.Closed++
		}
	}
	return n
}

// ignoreNewClients attaches a packet filter to a listening socket that drops each SYN, and keeps the packets that
// complete handshakes in progress. Accepted connections inherit the filter and receive no SYN.
func ignoreNewClients(fd int) error {
	const (
		flagsOffset = 13 // of the flags in a TCP header
		synFlag     = 0x02
		ackFlag     = 0x10
		keepPacket  = 1 << 16
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: synFlag | ackFlag},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: synFlag, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepPacket},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}

// control calls f with the file descriptor of a socket.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var controlErr error
	err = raw.Control(func(fd uintptr) { controlErr = f(int(fd)) })
	if err != nil {
		return err
	}
	return controlErr
}
