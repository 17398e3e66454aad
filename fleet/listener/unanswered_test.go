package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that ends while the head of its request arrives, and on which the rest of the request is
// then read although nobody answers it. The host resets a connection on which bytes are not read.
func TestConnectionThatEndsWithoutAnAnswerIsNotRead(t *testing.T) {
	const head, headLine = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab", len("POST / HTTP/1.1\r\n")
	for _, answeredBefore := range []bool{false, true} {
		for name, end := range map[string]func(*http.Server) error{
			"header timeout": func(*http.Server) error { return nil },
			"server closed":  func(s *http.Server) error { return s.Close() },
		} {
			t.Run(fmt.Sprintf("%s, answered before %v", name, answeredBefore), func(t *testing.T) {
				is := is.New(t)
				l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
				is.NoErr(err)
				var handled atomic.Int32
				server := l.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }), 10*time.Second)
				server.ReadHeaderTimeout = 200 * time.Millisecond
				go func() { _ = server.Serve(l) }()
				defer func() { _ = server.Close() }()
				client, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer func() { _ = client.Close() }()
				is.NoErr(client.SetDeadline(time.Now().Add(5 * time.Second)))
				if answeredBefore {
					_, err = io.WriteString(client, head)
					is.NoErr(err)
					_, err = client.Read(make([]byte, 1<<10))
					is.NoErr(err)
					for deadline := time.Now().Add(2 * time.Second); l.Count().Idle == 0; time.Sleep(time.Millisecond) {
						is.True(time.Now().Before(deadline)) // the server must end the first request
					}
				}
				_, err = io.WriteString(client, head[:headLine])
				is.NoErr(err)
				for deadline := time.Now().Add(2 * time.Second); l.Count().Active == 0; time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline)) // the server must read the first bytes
				}
				is.NoErr(end(server))
				_, err = client.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
				_, err = io.WriteString(client, head[headLine:])
				is.NoErr(err)
				time.Sleep(lingerTimeout / 5)
				_, err = io.WriteString(client, "x")
				is.True(err != nil) // the connection must be reset
				is.True(handled.Load() == 0 || answeredBefore && handled.Load() == 1)
			})
		}
	}
}

// Guards against a connection that counts as busy without a request, and whose next request a shutdown then reads and
// drops, because the server's buffer had room for one byte of a long head.
func TestLongHeadLeavesItsConnectionIdle(t *testing.T) {
	is := is.New(t)
	l, err := Listen(context.Background(), "127.0.0.1:0", time.Second)
	is.NoErr(err)
	server := l.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 10*time.Second)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	is.NoErr(client.SetDeadline(time.Now().Add(5 * time.Second)))
	const serverBuffer = 4 << 10
	head := "GET /" + strings.Repeat("a", serverBuffer) + " HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err = io.WriteString(client, head[:serverBuffer-1])
	is.NoErr(err)
	for deadline := time.Now().Add(2 * time.Second); l.Count().Active == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the server must read the first bytes
	}
	_, err = io.WriteString(client, head[serverBuffer-1:])
	is.NoErr(err)
	_, err = client.Read(make([]byte, 1<<10))
	is.NoErr(err)
	for deadline := time.Now().Add(2 * time.Second); l.Count().Idle == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the connection must count as idle
	}
}
