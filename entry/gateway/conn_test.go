package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// caller is a kept-alive connection whose requests are written by hand.
type caller struct {
	*bench
	net.Conn
	in *bufio.Reader
}

func (b *bench) dial() *caller {
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.NoErr(err)
	b.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	return &caller{bench: b, Conn: c, in: bufio.NewReader(c)}
}

func (c *caller) answer() *http.Response {
	answer, err := http.ReadResponse(c.in, nil)
	c.NoErr(err)
	_, err = io.Copy(io.Discard, answer.Body)
	c.NoErr(err)
	return answer
}

// Guards against a planned stop that resets a request on a kept-alive
// connection, cuts an upload, or leaves an idle connection open.
func TestCloseIdle(t *testing.T) {
	u := &recorder{body: "ok"}
	b := newBench(t, map[string]string{"forecast": u.start(t)}, 0)
	const head = " /forecast/a HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 4s\r\nAuthorization: " + bearer + "\r\n"
	idle, busy, fresh, partial := b.dial(), b.dial(), b.dial(), b.dial()
	for _, c := range []*caller{idle, partial} {
		_, _ = io.WriteString(c, "GET"+head+"\r\n")
		b.Equal(c.answer().Close, false)
	}
	_, _ = io.WriteString(busy, "POST"+head+"Content-Length: 4\r\n\r\nab")
	_, _ = io.WriteString(partial, "G")
	for deadline := time.Now().Add(2 * time.Second); b.callers.CloseIdle(time.Now(), 1000) != 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // until the server has read the first bytes
	}
	b.gateway.Leave()
	b.Equal(b.callers.CloseIdle(time.Now(), 1), 2) // idle and fresh
	for _, c := range []*caller{idle, fresh} {
		_, _ = io.WriteString(c, "GET"+head+"\r\n")
		_, err := c.in.ReadByte()
		b.Equal(err, io.EOF) // an orderly end, also with a request on its way
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, "more")
		b.NoErr(err) // after a reset a write fails
		b.NoErr(c.Close())
	}
	b.Equal(u.ran(), 2) // what arrived too late did not run
	_, _ = io.WriteString(busy, "cd")
	_, _ = io.WriteString(partial, "ET"+head+"\r\n")
	for _, c := range []*caller{busy, partial} {
		answer := c.answer()
		b.Equal(answer.StatusCode, 200)
		b.True(answer.Close) // none is kept
	}
	b.Equal(u.ran(), 4)
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		b.callers.mu.Lock()
		open := len(b.callers.open)
		b.callers.mu.Unlock()
		if open == 0 {
			return
		}
		b.True(time.Now().Before(deadline)) // connections are left open
	}
}

// Guards against a stop that waits for claims that control does not take.
func TestWaitIsBounded(t *testing.T) {
	b := newBench(t, nil, 0)
	b.gateway.work.Add(1)
	defer b.gateway.work.Done()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.gateway.Wait(ctx)
}

// Guards against requests of callers that have left being passed on: their close is there before the server's own
// watch has run.
func TestGoneSeesAClosedConnection(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	before, after := make(chan bool, 1), make(chan bool, 1)
	closed := make(chan struct{})
	s := Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		before <- ClientDisconnected(r.Context())
		<-closed
		for end := time.Now().Add(5 * time.Second); !ClientDisconnected(r.Context()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		after <- ClientDisconnected(r.Context())
	}))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	is.Equal(<-before, false)
	is.NoErr(c.Close())
	close(closed)
	is.Equal(<-after, true)
	is.Equal(ClientDisconnected(context.Background()), false)
}
