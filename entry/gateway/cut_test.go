package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against an answer that ends early and reaches its caller as a success with an empty or a short body, or becomes
// the stored outcome of a claim.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	for _, c := range []struct{ name, method, path, text string }{
		{"length", "GET", "/forecast/a", "HTTP/1.1 200 OK\r\nX-Ref: 7\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"claim", "POST", "/claims/a", "HTTP/1.1 201 Created\r\nX-Ref: 7\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"chunks", "GET", "/forecast/a", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc;a=b\r\nhello, world\r\n0\r\nA: b\r\n\r\n"},
		{"claim with chunks", "POST", "/claims/a", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n"},
		{"unframed", "GET", "/forecast/a", "HTTP/1.1 200 OK\r\nX-Ref: 7\r\n\r\nhello, world"},
		{"interim", "GET", "/forecast/a", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
		{"HEAD", "HEAD", "/forecast/a", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
		{"no content", "GET", "/forecast/a", "HTTP/1.1 204 No Content\r\nX-Ref: 7\r\n\r\n"},
		{"not modified", "GET", "/forecast/a", "HTTP/1.1 304 Not Modified\r\nX-Ref: 7\r\nContent-Length: 12\r\n\r\n"},
		{"status line only", "POST", "/claims/a", "HTTP/1.1 200 OK\r\n\r\n"},
		{"HTTP/1.0", "GET", "/forecast/a", "HTTP/1.0 200 OK\r\nX-Ref: 7\r\n\r\nhello, world"},
	} {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(c.name+" "+end, func(t *testing.T) {
				var size atomic.Int32
				upstream := rawUpstream(t, func(conn net.Conn, in *bufio.Reader) {
					readRequest(in)
					_, _ = io.WriteString(conn, c.text[:size.Load()])
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				})
				for n := range len(c.text) {
					size.Store(int32(n))
					b := newHarness(t, map[string]string{serviceOf(c.path): upstream}, 0)
					requests := 1
					if c.method == "POST" {
						requests = 2 // the second one gets the stored outcome
					}
					for range requests {
						r := b.request(c.method, c.path, http.NoBody, "Idempotency-Key: "+fmt.Sprint(n))
						response, body, err := b.do(r)
						if err == nil && (response.StatusCode/100 == 2 || response.StatusCode == http.StatusNotModified) {
							t.Errorf("%q became %d %q", c.text[:n], response.StatusCode, body)
						}
					}
				}
			})
		}
	}
}
