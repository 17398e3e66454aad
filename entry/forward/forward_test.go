package forward

import (
	"bufio"
	"bytes"
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
	"github.com/pkg/errors"

	"cuminfall.example/fleet/ident"
)

// fakeUpstream runs a script on each connection and counts the bytes that it receives.
type fakeUpstream struct {
	*is.I
	address    ident.Address
	listener   net.Listener
	bytesRead  atomic.Int64
	accepted   atomic.Int32
	peerClosed chan struct{} // receives a value when a script finds its connection closed by the client
	running    sync.WaitGroup
	mu         sync.Mutex
	openConns  []net.Conn
}

type countedConn struct {
	net.Conn
	u *fakeUpstream
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.u.bytesRead.Add(int64(n))
	return n, err
}

// script serves the nth connection, counted from 1. The connection is closed when it returns.
type script func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32)

func newUpstream(t *testing.T, run script) *fakeUpstream {
	u := &fakeUpstream{I: is.New(t), peerClosed: make(chan struct{}, 64)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	u.NoErr(err)
	u.listener, u.address = l, ident.Address(l.Addr().String())
	u.running.Add(1)
	go func() {
		defer u.running.Done()
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.openConns = append(u.openConns, raw)
			u.mu.Unlock()
			n := u.accepted.Add(1)
			u.running.Add(1)
			go func() {
				defer u.running.Done()
				defer raw.Close()
				c := countedConn{raw, u}
				run(u, c, bufio.NewReader(c), n)
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		u.mu.Lock()
		for _, c := range u.openConns {
			c.Close()
		}
		u.mu.Unlock()
		u.running.Wait()
	})
	return u
}

// readRequest reads one request with its body and returns its target, or "" at the end of the
// connection.
func (u *fakeUpstream) readRequest(in *bufio.Reader) string {
	r, err := http.ReadRequest(in)
	if err != nil {
		u.peerClosed <- struct{}{}
		return ""
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.peerClosed <- struct{}{}
		return ""
	}
	return r.RequestURI
}

// echo responds to every request with its target.
func (u *fakeUpstream) echo(c net.Conn, in *bufio.Reader) {
	for {
		target := u.readRequest(in)
		if target == "" {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(target), target)
	}
}

const silenceTimeout = 150 * time.Millisecond

func (u *fakeUpstream) client(t *testing.T, connections ident.Connections) *Client {
	c := New(Options{SilenceTimeout: silenceTimeout, DialTimeout: 500 * time.Millisecond})
	c.Update([]Endpoint{{u.address, 1, connections}})
	t.Cleanup(c.Close)
	return c
}

func (u *fakeUpstream) request(target string, timeout time.Duration) *Request {
	return &Request{Endpoint: u.address, Incarnation: 1, Method: "GET", Target: target, Host: "h",
		Deadline: time.Now().Add(timeout), Interrupt: func() {}}
}

// fetch sends a request and reads the whole response.
func fetch(ctx context.Context, c *Client, r *Request) (string, *Failure) {
	var f *Failure
	x, err := c.Do(ctx, r)
	if err != nil {
		errors.As(err, &f)
		return "", f
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	errors.As(err, &f)
	return string(body), f
}

// Guards against a failure that reports a sent request as not sent, and against an incomplete
// response that is taken for a complete one, when the upstream dies during an exchange.
func TestUpstreamDies(t *testing.T) {
	respond := func(text string) script {
		return func(u *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
			u.readRequest(in)
			_, _ = io.WriteString(c, text)
		}
	}
	for _, c := range []struct {
		name   string
		run    script // nil means that nothing listens
		body   int
		reason Reason
		sent   []bool // allowed values
		read   string // part of the response's body that is read
	}{
		{"before accept", nil, 0, ConnectFailed, []bool{false}, ""},
		{"after accept", func(*fakeUpstream, net.Conn, *bufio.Reader, int32) {}, 0, Broken, []bool{false, true}, ""},
		{"mid-request", func(_ *fakeUpstream, _ net.Conn, in *bufio.Reader, _ int32) {
			_, _ = in.Discard(100)
		}, 1 << 20, Broken, []bool{true}, ""},
		{"mid-upload", func(_ *fakeUpstream, _ net.Conn, in *bufio.Reader, _ int32) {
			_, _ = io.CopyN(io.Discard, in, 1<<20)
		}, 64 << 20, Broken, []bool{true}, ""},
		{"before the response", respond(""), 0, Broken, []bool{true}, ""},
		{"after an interim response", respond("HTTP/1.1 103 Early Hints\r\n\r\n"), 0, Broken, []bool{true}, ""},
		{"mid-head", respond("HTTP/1.1 200 OK\r\nContent-Le"), 0, Broken, []bool{true}, ""},
		{"mid-body with a length", respond("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"), 0, Broken, []bool{true}, "abc"},
		{"mid-chunk", respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc"), 0, Broken, []bool{true}, "abc"},
		{"before the last chunk", respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"), 0, Broken, []bool{true}, "abc"},
		{"body without an end", respond("HTTP/1.1 200 OK\r\n\r\nabc"), 0, Broken, []bool{true}, ""},
		{"not HTTP", respond("220 mail\r\n\r\n"), 0, Broken, []bool{true}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, c.run)
			if c.run == nil {
				u.listener.Close()
			}
			r := u.request("/a", 2*time.Second)
			if c.body > 0 {
				r.Method, r.Stream, r.Length = "POST", bytes.NewReader(make([]byte, c.body)), int64(c.body)
			}
			body, f := fetch(context.Background(), u.client(t, 4), r)
			is.True(f != nil) // must fail
			is.Equal(f.Reason, c.reason)
			allowed := false
			for _, sent := range c.sent {
				allowed = allowed || f.Sent == sent
			}
			is.True(allowed)                           // sent
			is.True(f.Sent || u.bytesRead.Load() == 0) // a request reported as not sent did not reach the upstream
			is.Equal(body, c.read)
		})
	}
}

// Guards against sending a request on an idle connection that the upstream has closed.
func TestIdleConnectionClosed(t *testing.T) {
	is := is.New(t)
	closeConn := make(chan struct{})
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32) {
		if n > 1 {
			u.echo(c, in)
			return
		}
		u.readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-closeConn
	})
	c := u.client(t, 4)
	_, f := fetch(context.Background(), c, u.request("/1", time.Second))
	is.True(f == nil)
	close(closeConn)
	time.Sleep(20 * time.Millisecond)
	body, f := fetch(context.Background(), c, u.request("/2", time.Second))
	is.True(f == nil)
	is.Equal(body, "/2")
	is.Equal(c.Stats.Stale.Load(), int64(1))
}

// Guards against bytes that an upstream sends without a request becoming the response to the next
// request on the connection.
func TestUnsolicitedBytes(t *testing.T) {
	const evil = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32) {
				if n > 1 {
					u.echo(c, in)
					return
				}
				u.readRequest(in)
				response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				if delay == 0 {
					_, _ = io.WriteString(c, response+evil)
				} else {
					_, _ = io.WriteString(c, response)
					time.Sleep(delay)
					_, _ = io.WriteString(c, evil)
				}
				u.readRequest(in)
			})
			c := u.client(t, 4)
			body, f := fetch(context.Background(), c, u.request("/1", time.Second))
			is.True(f == nil)
			is.Equal(body, "ok")
			time.Sleep(2 * delay)
			body, f = fetch(context.Background(), c, u.request("/2", time.Second))
			is.True(f == nil)
			is.Equal(body, "/2")
			<-u.peerClosed // the connection is closed
		})
	}
}

// Guards against a late response reaching another request, and against reuse of the idle
// connections to an endpoint at which a request timed out.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32) {
		if n > 2 {
			u.echo(c, in)
			return
		}
		for {
			target := u.readRequest(in)
			if target == "/late" {
				time.Sleep(60 * time.Millisecond)
			}
			if target == "" {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
		}
	})
	c := u.client(t, 8)
	// Two connections: one becomes idle, the other times out.
	first, err := c.Do(context.Background(), u.request("/1", time.Second))
	is.NoErr(err)
	_, f := fetch(context.Background(), c, u.request("/2", time.Second))
	is.True(f == nil)
	_, _ = io.ReadAll(first)
	first.Close()
	_, f = fetch(context.Background(), c, u.request("/late", 30*time.Millisecond))
	is.True(f != nil)
	is.Equal(f.Reason, DeadlineExceeded)
	is.True(f.Sent)
	for range 3 {
		body, f := fetch(context.Background(), c, u.request("/3", time.Second))
		is.True(f == nil)
		is.Equal(body, "/3")
		time.Sleep(30 * time.Millisecond) // the late response is sent during this time
	}
	is.Equal(u.accepted.Load(), int32(3))
}

// slowBody returns pieces of size bytes with a pause before each.
type slowBody struct {
	pieces int
	size   int
	pause  time.Duration
}

func (s *slowBody) Read(b []byte) (int, error) {
	if s.pieces == 0 {
		return 0, io.EOF
	}
	s.pieces--
	time.Sleep(s.pause)
	return min(len(b), s.size), nil
}

// Guards against requests that hang on an unresponsive connection, and against aborting transfers
// that are only slow.
func TestSilenceTimeout(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"
	for _, c := range []struct {
		name   string
		upload int
		stream io.Reader // the request body; if nil, the body is "upload" zero bytes
		length int64
		closed bool // new connections fail
		run    script
		reason Reason
		read   string
	}{
		{"upload not read", 64 << 20, nil, 0, false, func(_ *fakeUpstream, _ net.Conn, in *bufio.Reader, _ int32) {
			_, _ = in.ReadByte()
			// The kernel still accepts some bytes for about 0.5 s after reading ends.
			time.Sleep(16 * silenceTimeout)
		}, Unresponsive, ""},
		{"upload read slowly", 12 << 20, nil, 0, false, func(_ *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
			r, err := http.ReadRequest(in)
			for err == nil {
				time.Sleep(silenceTimeout / 3)
				_, err = io.CopyN(io.Discard, r.Body, 1<<20)
			}
			_, _ = io.WriteString(c, ok)
		}, 0, "ok"},
		{"client sends slowly", 0, &slowBody{3, 10, 2 * silenceTimeout}, 30, false, func(_ *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
			r, err := http.ReadRequest(in)
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, ok)
			}
		}, 0, "ok"},
		{"upstream responds late", 0, nil, 0, false, func(_ *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
			_, _ = in.ReadByte()
			time.Sleep(3 * silenceTimeout)
			_, _ = io.WriteString(c, ok)
		}, 0, "ok"},
		{"response stops", 0, nil, 0, false, func(_ *fakeUpstream, c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, head+"abc")
			time.Sleep(4 * silenceTimeout)
		}, Unresponsive, "abc"},
		{"response arrives slowly", 0, nil, 0, false, func(_ *fakeUpstream, c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, head)
			for range 8 {
				time.Sleep(silenceTimeout / 3)
				_, _ = io.WriteString(c, "a")
			}
		}, 0, "aaaaaaaa"},
		{"response stops and the endpoint is unreachable", 0, nil, 0, true, func(_ *fakeUpstream, c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, head+"abc")
			time.Sleep(3 * silenceTimeout)
			_, _ = io.WriteString(c, "defgh")
		}, 0, "abcdefgh"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			accepted := make(chan struct{}, 1)
			u := newUpstream(t, func(u *fakeUpstream, nc net.Conn, in *bufio.Reader, n int32) {
				if n > 1 {
					return
				}
				if c.closed {
					u.listener.Close()
				}
				accepted <- struct{}{}
				c.run(u, nc, in, n)
			})
			r := u.request("/a", 5*time.Second)
			if c.upload > 0 {
				c.stream, c.length = bytes.NewReader(make([]byte, c.upload)), int64(c.upload)
			}
			if c.stream != nil {
				r.Method, r.Stream, r.Length = "POST", c.stream, c.length
			}
			body, f := fetch(context.Background(), u.client(t, 4), r)
			if c.reason == 0 {
				is.True(f == nil) // must succeed
			} else {
				is.True(f != nil) // must fail
				is.Equal(f.Reason, c.reason)
			}
			is.Equal(body, c.read)
			<-accepted
		})
	}
}

// Guards against an upstream that goes on working after the client has disconnected: its connection
// must be closed.
func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	u := newUpstream(t, func(u *fakeUpstream, _ net.Conn, in *bufio.Reader, _ int32) {
		u.readRequest(in)
		close(received)
		u.readRequest(in)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-received; cancel() }()
	_, f := fetch(ctx, u.client(t, 4), u.request("/a", 5*time.Second))
	is.True(f != nil)
	is.Equal(f.Reason, Cancelled)
	<-u.peerClosed
	_, f = fetch(ctx, u.client(t, 4), u.request("/a", time.Second))
	is.Equal(f.Sent, false) // a cancelled request is not sent
}

// Guards against waiting for the end of an upload whose response has already arrived, and against
// reuse of its connection.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32) {
		if n > 1 {
			u.echo(c, in)
			return
		}
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno")
		}
		_, _ = io.Copy(io.Discard, in)
		u.peerClosed <- struct{}{}
	})
	c := u.client(t, 4)
	reader, writer := io.Pipe()
	r := u.request("/a", 5*time.Second)
	r.Method, r.Stream, r.Length = "POST", reader, -1
	r.Interrupt = func() { writer.CloseWithError(io.ErrClosedPipe) }
	x, err := c.Do(context.Background(), r)
	is.NoErr(err)
	is.Equal(x.Status, 413)
	body, err := io.ReadAll(x)
	is.NoErr(err)
	is.Equal(string(body), "no")
	is.True(x.Uploading())
	x.Close()
	<-u.peerClosed
	body2, f := fetch(context.Background(), c, u.request("/2", time.Second))
	is.True(f == nil)
	is.Equal(body2, "/2")
}

// Guards against more open connections than the limit, and against idle connections that outlive
// the endpoint's incarnation.
func TestConnectionLimitAndIncarnation(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) { u.echo(c, in) })
	c := u.client(t, 1)
	x, err := c.Do(context.Background(), u.request("/1", time.Second))
	is.NoErr(err)
	_, f := fetch(context.Background(), c, u.request("/2", time.Second))
	is.True(f != nil)
	is.Equal(f.Reason, ConnectFailed)
	is.Equal(f.Sent, false)
	c.Update([]Endpoint{{u.address, 2, 1}})
	r := u.request("/3", time.Second)
	_, f = fetch(context.Background(), c, r)
	is.Equal(f.Reason, ConnectFailed) // no new request goes to the old incarnation
	r.Incarnation = 2
	_, f = fetch(context.Background(), c, r)
	is.Equal(f.Reason, ConnectFailed) // the old incarnation's connection still counts
	body, err := io.ReadAll(x)
	is.NoErr(err)
	is.Equal(string(body), "/1") // the request in flight is not interrupted
	x.Close()
	<-u.peerClosed
	body3, f := fetch(context.Background(), c, r)
	is.True(f == nil)
	is.Equal(body3, "/3")
	c.Update(nil)
	<-u.peerClosed // idle connections to an endpoint that left are closed
}

// Guards against a transfer that never proceeds because it asks for more bytes at once than the
// limit can ever allow.
func TestThrottleInPieces(t *testing.T) {
	is := is.New(t)
	client, moved := New(Options{}), 0
	x := &Exchange{ctx: context.Background(), conn: &conn{pool: &pool{client: client}}, request: &Request{
		Deadline: time.Now().Add(300 * time.Millisecond),
		Throttle: func(n int, _ bool) (time.Duration, int) {
			if n > 10 {
				return time.Microsecond, 10
			}
			moved += n
			return 0, 0
		},
	}}
	is.NoErr(x.throttle(25, false))
	is.Equal(moved, 25)
}

// Guards against passing on the response to another attempt, and against rejecting responses of
// upstreams that do not echo the ID.
func TestResponseOfAnotherAttempt(t *testing.T) {
	var last atomic.Value
	for _, c := range []struct {
		name  string
		heads func(id string) string
		body  string // of the response, or "" for a failure
	}{
		{"own id", func(id string) string { return "HTTP/1.1 200 OK\r\nCuminfall-Request: " + id + "\r\n" }, "ok"},
		{"no echo", func(string) string { return "HTTP/1.1 200 OK\r\n" }, "ok"},
		{"another id", func(id string) string { return "HTTP/1.1 200 OK\r\nCuminfall-Request: " + id + "0\r\n" }, ""},
		{"empty id", func(string) string { return "HTTP/1.1 200 OK\r\nCuminfall-Request:\r\n" }, ""},
		{"two ids", func(id string) string {
			return "HTTP/1.1 200 OK\r\ncuminfall-request: " + id + "\r\nCuminfall-Request: 1-1\r\n"
		}, ""},
		{"another id before the final response", func(string) string {
			return "HTTP/1.1 103 Early Hints\r\nCuminfall-Request: 1-1\r\n\r\nHTTP/1.1 200 OK\r\n"
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						u.peerClosed <- struct{}{}
						return
					}
					last.Store(r.Header.Get("Cuminfall-Request"))
					fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", c.heads(last.Load().(string)))
				}
			})
			client := u.client(t, 4)
			before := ""
			for range 2 {
				body, f := fetch(context.Background(), client, u.request("/a", time.Second))
				id := last.Load().(string)
				u.True(id != "" && id != before) // unique per attempt
				before = id
				u.Equal(body, c.body)
				u.Equal(f == nil, c.body != "")
				if f != nil {
					u.Equal(f.Reason, Broken)
					u.True(f.Sent)
					<-u.peerClosed
				}
			}
			u.Equal(client.Stats.Reused.Load() == 1, c.body != "")
		})
	}
}

// Guards against a retry on another idle connection after the first one broke: it may be broken as
// well.
func TestNewConnectionAfterReuse(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, n int32) {
		if n > 1 {
			u.echo(c, in)
			return
		}
		u.readRequest(in)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		u.readRequest(in) // the connection ends with the second request on it
	})
	c := u.client(t, 1)
	_, f := fetch(context.Background(), c, u.request("/1", time.Second))
	is.True(f == nil)
	_, f = fetch(context.Background(), c, u.request("/2", time.Second))
	is.True(f != nil && f.Sent && f.Reused)
	retry := u.request("/3", time.Second)
	retry.NewConnection = true
	body, f := fetch(context.Background(), c, retry)
	is.True(f == nil)
	is.Equal(body, "/3")
	is.Equal(c.Stats.Reused.Load(), int64(1))
}
