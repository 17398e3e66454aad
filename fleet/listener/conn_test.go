package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
)

// Guards against closing a connection as idle while its next request has been received but not read, as happens on a busy
// VM: the client would get no response.
func TestUnreadRequestIsNotIdle(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	_, err = io.WriteString(client, "GET")
	is.NoErr(err)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		if unread, _ := accepted.(*conn).peek(); unread {
			break
		}
		is.True(time.Now().Before(end)) // the bytes must arrive
	}
	l.CloseIdle(time.Now().Add(time.Minute), 1)
	l.CloseUnused(0)
	b := make([]byte, 8)
	n, err := accepted.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "GET")
}

// Guards against losing a request that arrives after its connection was found idle and before it is closed.
func TestRequestReceivedWhileClosingIsServed(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	l.CloseUnused(0)
	_, err = io.WriteString(client, "GET")
	is.NoErr(err)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		if unread, _ := accepted.(*conn).peek(); unread {
			break
		}
		is.True(time.Now().Before(end)) // the bytes must arrive
	}
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(time.Second)))
	b := make([]byte, 8)
	n, err := accepted.Read(b)
	is.NoErr(err)
	is.Equal(string(b[:n]), "GET")
	is.NoErr(accepted.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = accepted.Read(b)
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // the deadline applies again, and the connection is open
}

// Guards against forwarding the request of a client that has disconnected: the close must be
// detected before the server's own goroutine has noticed it.
func TestClientDisconnected(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	disconnectedBefore, disconnectedAfter := make(chan bool, 1), make(chan bool, 1)
	closed := make(chan struct{})
	s := l.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		disconnectedBefore <- ClientDisconnected(r.Context())
		<-closed
		for end := time.Now().Add(5 * time.Second); !ClientDisconnected(r.Context()) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		disconnectedAfter <- ClientDisconnected(r.Context())
	}), 10*time.Second)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	is.Equal(<-disconnectedBefore, false)
	is.NoErr(c.Close())
	close(closed)
	is.Equal(<-disconnectedAfter, true)
	is.Equal(ClientDisconnected(context.Background()), false)
}

// Guards against idle connections that use up the file descriptors, so that new clients wait in the
// accept queue until the time limits of their requests are over.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	l.MaxConns = 8
	now := &clock.Fake{}
	l.Clock = now
	started, busy := make(chan struct{}), make(chan struct{})
	s := l.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			close(started)
			<-busy
		}
		if l.Crowded() {
			w.Header().Set("Connection", "close")
		}
	}), 10*time.Second)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	get := func(path string) (*http.Response, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		in := bufio.NewReader(c)
		if path == "/busy" {
			<-started
			return nil, in
		}
		response, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		return response, in
	}
	// The client has the response before the server records when the connection became idle, and it is connected before
	// the server accepts the connection.
	waitUntilIdle := func(want int) {
		for end := time.Now().Add(5 * time.Second); l.Count().Idle != want; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end)) // the connections must become idle
		}
	}
	_, busyIn := get("/busy") // the oldest connection
	var idle []*bufio.Reader
	for i := range 4 {
		_, in := get("/")
		idle = append(idle, in)
		waitUntilIdle(i + 1)
		now.Advance(time.Second)
	}
	for i := range 2 { // connections without a request count as well
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }() // an unreferenced connection is closed when it is collected
		waitUntilIdle(5 + i)
		now.Advance(time.Second)
	}
	response, last := get("/")
	is.True(response.Close) // no room for further connections
	for _, in := range append(idle[:2:2], last) {
		_, err := in.ReadByte()
		is.Equal(err, io.EOF) // the connections idle for longest are closed
	}
	close(busy)
	response, err = http.ReadResponse(busyIn, nil)
	is.NoErr(err) // a request in progress is not interrupted
	is.Equal(response.StatusCode, http.StatusOK)
	l.CloseUnused(time.Millisecond)
	for _, in := range idle[2:] {
		_, err := in.ReadByte()
		is.Equal(err, io.EOF)
	}
}
