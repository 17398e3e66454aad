package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// cutCases are complete responses to a request with the ID "a". The body of an unframed one ends with its connection.
var cutCases = []struct {
	name, method, head, body string
	unframed                 bool
}{
	{"length", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\nX-Stamp: s\r\n\r\n", "hello, world", false},
	{"length in the last field", "GET", "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n", "hello, world", false},
	{"empty body", "POST", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n", "", false},
	{"chunks", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n1;a=b\r\nx\r\n0\r\n\r\n", false},
	{"trailer", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\nA: b\r\n\r\n", false},
	{"unframed", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n", "hello, world", true},
	{"unframed and closing", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n", "hello, world", true},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n", "hello, world", true},
	{"no content", "DELETE", "HTTP/1.1 204 No Content\r\nX-Id: a\r\nX-Stamp: s\r\n\r\n", "", false},
	{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nX-Id: a\r\nContent-Length: 9\r\n\r\n", "", false},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n", "", false},
	{"HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "", false},
	{"interim", "GET", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\n", "ok", false},
	{"interim and unframed", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "ok", true},
	{"folded lines", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nA: b\r\n \tc\r\n  d\r\nContent-Length:\r\n 2\r\n\r\n", "ok", false},
	{"folded empty lines", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nA: b\r\n \r\n\t\r\n\r\n", "ok", true},
	{"bare line feeds", "GET", "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 2\n\n", "ok", false},
	{"bare line feeds and unframed", "GET", "HTTP/1.1 200 OK\nX-Id: a\nA: b\n\n", "ok", true},
	{"mixed line ends", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\nA: b\r\n\n", "ok", true},
	{"fields of spaces", "GET", "HTTP/1.1 200 OK\r\nX-Id: a\r\nA: \r\nB:\t \r\n\r\n", "ok", true},
	{"after a late copy", "GET", "HTTP/1.1 200 OK\r\nX-Id: z\r\nContent-Length: 4\r\n\r\nevilHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\n", "ok", false},
	{"unframed after a late copy", "GET", "HTTP/1.1 204 No Content\r\nX-Id: z\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "ok", true},
}

// malformedHeads are never taken for the head of a response, whatever follows.
var malformedHeads = []string{
	"HTTP/1.1 200 OK\r\nX-Id: a\r\nA: b\rc\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\r",
	"HTTP/1.1 200 OK\rX-Id: a\r\r",
	"HTTP/1.1 200 OK\r\n X-Id: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\n\x00\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: -1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
	"HTTP/1.1 20 OK\r\nX-Id: a\r\n\r\n",
}

// Guards against bytes that are taken for the head of an unframed response.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, head := range malformedHeads {
		u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
			u.readRequest(in)
			_, _ = io.WriteString(conn, head+"ok")
		})
		client := New(Options{WireFormat: &idFormat})
		t.Cleanup(client.Close)
		client.Update([]Endpoint{{u.address, 1, 4}})
		request := u.request("/", time.Second)
		request.Header = http.Header{"X-Id": {"a"}}
		if _, failure := fetch(context.Background(), client, request); failure == nil {
			t.Errorf("%q is taken for a head", head)
		}
	}
}

// Guards against a response that ends early and looks complete: the upstream closes or resets its connection after each
// byte. Only a body that ends with its connection may end anywhere, and only by a close.
func TestCutResponseIsNeverComplete(t *testing.T) {
	for _, c := range cutCases {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(c.name+" "+end, func(t *testing.T) {
				text := c.head + c.body
				var size atomic.Int32
				u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
					u.readRequest(in)
					_, _ = io.WriteString(conn, text[:size.Load()])
					if reset {
						_ = conn.(countedConn).Conn.(*net.TCPConn).SetLinger(0)
					}
				})
				client := New(Options{WireFormat: &idFormat})
				t.Cleanup(client.Close)
				client.Update([]Endpoint{{u.address, 1, 4}})
				for n := range text {
					size.Store(int32(n))
					request := u.request("/", time.Second)
					request.Method, request.Header = c.method, http.Header{"X-Id": {"a"}}
					_, failure := fetch(context.Background(), client, request)
					if failure == nil && !(c.unframed && !reset && n >= len(c.head)) {
						t.Errorf("%q is taken for complete", text[:n])
					}
				}
				if reset {
					return
				}
				size.Store(int32(len(text)))
				request := u.request("/", time.Second)
				request.Method, request.Header = c.method, http.Header{"X-Id": {"a"}}
				if _, failure := fetch(context.Background(), client, request); failure != nil {
					t.Errorf("the whole response failed: %v", failure)
				}
			})
		}
	}
}
