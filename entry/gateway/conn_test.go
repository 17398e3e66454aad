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
)

// caller is a persistent client connection on which the test writes raw requests.
type caller struct {
	*harness
	net.Conn
	in *bufio.Reader
}

func (b *harness) dial() *caller {
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.NoErr(err)
	b.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
	return &caller{harness: b, Conn: c, in: bufio.NewReader(c)}
}

func (c *caller) readResponse() *http.Response {
	response, err := http.ReadResponse(c.in, nil)
	c.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	c.NoErr(err)
	return response
}

// Guards against a graceful shutdown that resets a request on a persistent connection, interrupts an
// upload, or leaves an idle connection open.
func TestCloseIdle(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"forecast": u.start(t)}, 0)
	const head = " /forecast/a HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 4s\r\nAuthorization: " + bearer + "\r\n"
	idle, busy, unused, partial := b.dial(), b.dial(), b.dial(), b.dial()
	for _, c := range []*caller{idle, partial} {
		_, _ = io.WriteString(c, "GET"+head+"\r\n")
		b.Equal(c.readResponse().Close, false)
	}
	_, _ = io.WriteString(busy, "POST"+head+"Content-Length: 4\r\n\r\nab")
	_, _ = io.WriteString(partial, "G")
	for deadline := time.Now().Add(2 * time.Second); b.listener.CloseIdle(time.Now(), 1000) != 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // wait until the server has read the first bytes
	}
	b.gateway.Leave()
	b.listener.CloseIdle(time.Now(), 1000)                           // the first request of a new connection may be in transit
	b.Equal(b.listener.CloseIdle(time.Now().Add(time.Second), 1), 2) // idle and unused
	for deadline := time.Now().Add(2 * time.Second); b.listener.Count().Closed != 2; time.Sleep(time.Millisecond) {
		b.True(time.Now().Before(deadline)) // the pending reads must close the connections
	}
	for _, c := range []*caller{idle, unused} {
		_, _ = io.WriteString(c, "GET"+head+"\r\n")
		_, err := c.in.ReadByte()
		b.Equal(err, io.EOF) // an orderly close, even with a request in transit
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(c, "more")
		b.NoErr(err) // a write would fail after a reset
		b.NoErr(c.Close())
	}
	b.Equal(u.runCount(), 2) // requests that arrived after the close did not run
	_, _ = io.WriteString(busy, "cd")
	_, _ = io.WriteString(partial, "ET"+head+"\r\n")
	for _, c := range []*caller{busy, partial} {
		response := c.readResponse()
		b.Equal(response.StatusCode, 200)
		b.True(response.Close) // the connection is not kept for another request
	}
	b.Equal(u.runCount(), 4)
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		if b.listener.Count().Open == 0 {
			return
		}
		b.True(time.Now().Before(deadline)) // all connections must be closed
	}
}

// Guards against a stop that waits without limit for claims that cannot be abandoned.
func TestWaitIsBounded(t *testing.T) {
	b := newHarness(t, nil, 0)
	b.gateway.background.Add(1)
	defer b.gateway.background.Done()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.gateway.Wait(ctx)
}
