package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/follower"
	"cuminfall.example/fleet/clock"
)

// stoppable is a fixture that serves on an address of its own until it is stopped.
type stoppable struct {
	*fixture
	addresses Addresses
	stop      context.CancelFunc
	stopped   chan error
}

// newStoppable starts a proxy with one upstream. Its route once has the given timeout.
func newStoppable(t *testing.T, timeout, drain, grace time.Duration, handler http.HandlerFunc) *stoppable {
	t.Helper()
	s := &stoppable{fixture: newFixture(t, 0, handler), stopped: make(chan error, 1)}
	route := s.catalog.Routes["once"]
	route.Timeout = timeout
	s.catalog.Routes["once"] = route
	s.Update(s.registry)
	s.opts.DrainPeriod, s.opts.GracePeriod = drain, grace
	s.addresses = Addresses{Callers: freeAddress(t), Ready: freeAddress(t)}
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	t.Cleanup(s.stop)
	go func() {
		s.stopped <- s.Serve(ctx, s.addresses, follower.New(follower.Options{Clock: clock.System{}, Log: s.opts.Log, Handler: s}))
	}()
	return s
}

// stopCaller is a caller's connection.
type stopCaller struct {
	net.Conn
	in *bufio.Reader
}

// dial connects a caller, as soon as the proxy listens.
func (s *stoppable) dial() *stopCaller {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", string(s.addresses.Callers))
		if err == nil {
			return &stopCaller{c, bufio.NewReader(c)}
		}
		if time.Now().After(end) {
			s.t.Fatal(err)
		}
	}
}

// send writes a whole request with a body of two bytes.
func (c *stopCaller) send() error {
	_, err := fmt.Fprint(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Left: 20000\r\nAuthorization: key\r\nContent-Length: 2\r\n\r\nab")
	return err
}

// receive reads a whole response. It returns io.EOF if the connection ends without a byte of it.
func (c *stopCaller) receive() (*http.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := c.in.Peek(1); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// Guards against a planned stop that closes a kept connection while its next request is held back by the link, and then
// reads that request without answering it. The host resets a connection that ends with unread bytes.
func TestPlannedStopReadsNoRequestThatItDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	const callerCount, resetTimeout = 60, 1500 * time.Millisecond
	s := newStoppable(t, time.Second, 1500*time.Millisecond, 4*time.Second, answerOK)
	var callers sync.WaitGroup
	var answered, crossed, lost atomic.Int32
	begin := make(chan time.Time)
	for i := range callerCount {
		c := s.dial()
		is.NoErr(c.send())
		_, err := c.receive()
		is.NoErr(err)
		callers.Go(func() {
			defer func() { _ = c.Close() }()
			stoppedAt := <-begin
			sentAt := stoppedAt.Add(time.Duration(i) * 3 * time.Second / callerCount)
			linkDelay := 100*time.Millisecond + time.Duration(i%6)*100*time.Millisecond
			time.Sleep(time.Until(sentAt.Add(linkDelay)))
			if c.send() != nil {
				crossed.Add(1)
				return
			}
			if _, err := c.receive(); err == nil {
				answered.Add(1)
				return
			}
			time.Sleep(resetTimeout)
			if _, err := c.Write([]byte("x")); err == nil {
				t.Logf("sent %s after the signal, held back %s, read and not answered", sentAt.Sub(stoppedAt), linkDelay)
				lost.Add(1)
				return
			}
			crossed.Add(1)
		})
	}
	stoppedAt := time.Now()
	s.stop()
	for range callerCount {
		begin <- stoppedAt
	}
	callers.Wait()
	is.NoErr(<-s.stopped)
	t.Logf("%d answered, %d closed before they were read, %d read and not answered", answered.Load(), crossed.Load(), lost.Load())
	is.True(answered.Load() > 0)
	is.Equal(lost.Load(), int32(0))
}
