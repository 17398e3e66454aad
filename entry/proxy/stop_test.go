package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/follower"
	"cuminfall.example/entry/shutdown"
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
	return newStoppableWithClock(t, clock.System{}, timeout, drain, grace, handler)
}

func newStoppableWithClock(t *testing.T, c clock.Clock, timeout, drain, grace time.Duration, handler http.HandlerFunc) *stoppable {
	t.Helper()
	s := &stoppable{fixture: newFixture(t, 0, handler), stopped: make(chan error, 1)}
	s.opts.Clock = c
	changed := *s.catalog
	changed.Routes = maps.Clone(s.catalog.Routes)
	route := changed.Routes["once"]
	route.Timeout = timeout
	changed.Routes["once"] = route
	s.registry.Catalog = &changed
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

// Guards against requests that a planned stop cuts without an answer at the end of the grace period, and against late
// requests that are passed on although the end of the grace period may cut them.
func TestRequestsAtTheEndOfAPlannedStopAreAnswered(t *testing.T) {
	is := is.New(t)
	const usualLatency, grace = 500 * time.Millisecond, 3 * time.Second
	var slow atomic.Bool
	s := newStoppable(t, 10*time.Second, 300*time.Millisecond, grace, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		latency := usualLatency
		if slow.Load() {
			latency = 2 * grace
		}
		select {
		case <-time.After(latency):
		case <-r.Context().Done():
		}
		answerOK(w, r)
	})
	var warmUp sync.WaitGroup
	for range 4 {
		c := s.dial()
		warmUp.Go(func() {
			for range 3 {
				is.NoErr(c.send())
				_, err := c.receive()
				is.NoErr(err)
			}
		})
	}
	warmUp.Wait()
	slow.Store(true)
	before := s.upstreamRequests.Load()
	running, late, body, upload := s.dial(), s.dial(), s.dial(), s.dial()
	const head = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Left: 20000\r\nAuthorization: key\r\n"
	is.NoErr(running.send())
	_, err := fmt.Fprint(body, head+"Content-Length: 2\r\n\r\na")
	is.NoErr(err)
	_, err = fmt.Fprint(upload, head+"Content-Length: 65536\r\n\r\nab")
	is.NoErr(err)
	_, err = fmt.Fprint(late, head)
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); s.upstreamRequests.Load() < before+2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the running request and the upload must reach the upstream
	}
	stoppedAt := time.Now()
	s.stop()
	time.Sleep(grace * 6 / 10)
	_, err = fmt.Fprint(late, "Content-Length: 2\r\n\r\nab")
	is.NoErr(err)
	for _, c := range []struct {
		name   string
		caller *stopCaller
		status int
	}{
		{"late", late, http.StatusServiceUnavailable},
		{"running", running, http.StatusGatewayTimeout},
		{"body", body, http.StatusServiceUnavailable},
		{"upload", upload, http.StatusServiceUnavailable},
	} {
		response, err := c.caller.receive()
		if err != nil {
			t.Errorf("%s: %v after %s", c.name, err, time.Since(stoppedAt))
			continue
		}
		t.Logf("%s: %d after %s", c.name, response.StatusCode, time.Since(stoppedAt))
		is.Equal(response.StatusCode, c.status)
		is.True(response.Close)
		is.Equal(response.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
	}
	is.Equal(s.upstreamRequests.Load(), before+2)
	is.NoErr(<-s.stopped)
	is.True(time.Since(stoppedAt) < grace+grace/25) // connections may linger until the end
}

// Guards against requests that a planned stop in calm takes late in its grace period, passes on and then cuts, and against
// "not run" for one that an upstream has.
func TestRequestsThroughoutAPlannedStopAreAnswered(t *testing.T) {
	const grace, parts, usualLatency = 3 * time.Second, 10, 250 * time.Millisecond
	const size = 64 << 10
	half := strings.Repeat("x", size/2)
	kinds := []struct{ name, path, fields, first, rest string }{
		{"unsafe", "/once/", "Content-Length: 2\r\n\r\nab", "", ""},
		{"safe", "/safe/", "Content-Length: 2\r\n\r\nab", "", ""},
		{"chunked", "/once/", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "", "0\r\n\r\n"},
		{"slow body", "/once/", "Content-Length: 2\r\n\r\na", "", "b"},
		{"upload", "/once/", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), half + half, ""},
		{"slow upload", "/once/", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), half, half},
	}
	var mu sync.Mutex
	reached := map[string]bool{} // by request ID
	s := newStoppable(t, 10*time.Second, 300*time.Millisecond, grace, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		reached[r.Header.Get("X-Id")] = true
		mu.Unlock()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		time.Sleep(usualLatency)
		answerOK(w, r)
	})
	for range 12 { // the proxy learns the usual latency
		c := s.dial()
		is.New(t).NoErr(c.send())
		_, err := c.receive()
		is.New(t).NoErr(err)
		_ = c.Close()
	}
	var callers sync.WaitGroup
	begin := make(chan struct{})
	var stoppedAt time.Time
	statuses := map[string]map[int]int{}
	for part := range parts {
		for _, k := range kinds {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(k.name, " ", "-"), part)
			c := s.dial()
			write := func(text string) { _, _ = io.WriteString(c, text) } // what follows shows whether it failed
			write(fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 1500\r\nAuthorization: key\r\n", k.path, id, id))
			callers.Go(func() {
				defer func() { _ = c.Close() }()
				<-begin
				time.Sleep(time.Until(stoppedAt.Add(time.Duration(part) * grace / parts)))
				write(k.fields)
				write(k.first)
				if k.rest != "" {
					time.Sleep(grace / parts * 2)
					write(k.rest)
				}
				response, err := c.receive()
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Errorf("%s: %v; reached the upstream: %v", id, err, reached[id])
					return
				}
				if statuses[k.name] == nil {
					statuses[k.name] = map[int]int{}
				}
				statuses[k.name][response.StatusCode]++
				if reached[id] != (response.StatusCode == http.StatusOK) {
					t.Errorf("%s reached the upstream: %v, and got status %d", id, reached[id], response.StatusCode)
				}
			})
		}
	}
	time.Sleep(100 * time.Millisecond) // the heads arrive
	stoppedAt = time.Now()
	s.stop()
	close(begin)
	callers.Wait()
	is.New(t).NoErr(<-s.stopped)
	t.Log(statuses)
	for _, k := range kinds {
		is.New(t).True(statuses[k.name][http.StatusOK] > 0)
	}
}

// Guards against requests that a stopping VM takes and breaks off because their upstream is at work for longer than most are:
// all are answered by their upstreams, or refused at once without a run.
func TestStoppingVMTakesOnlyWhatItsUpstreamsCanEnd(t *testing.T) {
	const grace, timeout, interval = 3 * time.Second, 2 * time.Second, 40 * time.Millisecond
	for _, c := range []struct {
		name  string
		every int // one request in so many is slow
	}{{"seldom slow", 8}, {"often slow", 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			reached := map[string]bool{} // by request ID
			s := newStoppable(t, timeout, 300*time.Millisecond, grace, func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				reached[r.Header.Get("X-Id")] = true
				mu.Unlock()
				latency := 150 * time.Millisecond
				if strings.HasPrefix(r.Header.Get("X-Id"), "slow") {
					latency = timeout * 4 / 5
				}
				time.Sleep(latency)
				answerOK(w, r)
			})
			for range 12 { // the proxy learns the usual latency
				warm := s.dial()
				is.New(t).NoErr(warm.send())
				_, err := warm.receive()
				is.New(t).NoErr(err)
				_ = warm.Close()
			}
			var callers sync.WaitGroup
			statuses := map[int]int{}
			send := func(id string, sentAfter time.Duration) {
				conn, err := net.Dial("tcp", string(s.addresses.Callers))
				if err != nil {
					return // no callers are accepted any more
				}
				caller := &stopCaller{conn, bufio.NewReader(conn)}
				callers.Go(func() {
					defer func() { _ = caller.Close() }()
					_, _ = fmt.Fprintf(caller, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 20000\r\nAuthorization: key\r\nContent-Length: 2\r\n\r\nab", id)
					response, err := caller.receive()
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						if reached[id] {
							t.Errorf("%s, sent %s after the signal, was passed on and got no answer: %v", id, sentAfter, err)
						}
						return
					}
					statuses[response.StatusCode]++
					if reached[id] != (response.StatusCode == http.StatusOK) || response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("%s, sent %s after the signal, reached the upstream: %v, and got status %d", id, sentAfter, reached[id], response.StatusCode)
					}
				})
			}
			stoppedAt := time.Now()
			s.stop()
			for i := 0; time.Since(stoppedAt) < grace; i++ {
				id := fmt.Sprint("fast-", i)
				if i%c.every == 0 {
					id = fmt.Sprint("slow-", i)
				}
				send(id, time.Since(stoppedAt))
				time.Sleep(interval)
			}
			callers.Wait()
			is.New(t).NoErr(<-s.stopped)
			t.Log(statuses)
			is.New(t).True(statuses[http.StatusOK] > 0)
			is.New(t).True(statuses[http.StatusServiceUnavailable] > 0)
		})
	}
}

// Guards against a stopping VM that reads the whole body of a request which it refuses anyway.
func TestStoppingVMRefusesBeforeTheBody(t *testing.T) {
	is := is.New(t)
	const grace = 2 * time.Second
	s := newStoppable(t, 10*time.Second, 300*time.Millisecond, grace, answerOK)
	short, upload := s.dial(), s.dial()
	s.stop()
	for s.Ready() {
		time.Sleep(time.Millisecond)
	}
	for c, length := range map[*stopCaller]int{short: 2, upload: 64 << 10} {
		sentAt := time.Now()
		_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Id: id\r\nX-Left: 20000\r\nAuthorization: key\r\nContent-Length: %d\r\n\r\na", length)
		is.NoErr(err)
		response, err := c.receive()
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Close)
		is.True(response.Header.Get("Retry-After") != "")
		is.True(time.Since(sentAt) < grace/2)
	}
	is.NoErr(<-s.stopped)
}

// lateClock is the clock of a process that gets no processor time for a while when a timer of at least d expires.
type lateClock struct {
	clock.System
	d, delay time.Duration
}

func (c lateClock) After(d time.Duration) <-chan time.Time {
	if d >= c.d {
		d += c.delay
	}
	return c.System.After(d)
}

// Guards against a planned stop that gives no final answers because the VM was starved or suspended when they were due.
func TestFinalAnswersOfStarvedVM(t *testing.T) {
	is := is.New(t)
	const grace = time.Second
	late := lateClock{d: shutdown.FinalAnswers(grace) - 400*time.Millisecond, delay: 700 * time.Millisecond}
	s := newStoppableWithClock(t, late, 10*time.Second, 100*time.Millisecond, grace, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	})
	c := s.dial()
	is.NoErr(c.send())
	for end := time.Now().Add(5 * time.Second); s.upstreamRequests.Load() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	s.stop()
	response, err := c.receive()
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.NoErr(<-s.stopped)
}
