package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a response that stops within its status line and is taken for a response with the fields of the one that
// follows on the connection.
func TestResponseThatStopsInItsStatusLineIsNoResponse(t *testing.T) {
	for _, stopped := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 500 Internal Server Error", "HTTP/1.0 200 OK"} {
		for _, own := range []string{"HTTP/1.1 500 Internal Server Error", "HTTP/1.1 200 OK", "HTTP/1.0 503 Service Unavailable"} {
			for n := range len(stopped) {
				sent := stopped[:n+1] + own + "\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
				u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
					u.readRequest(in)
					_, _ = io.WriteString(conn, sent)
				})
				client := New(Options{WireFormat: &idFormat})
				t.Cleanup(client.Close)
				client.Update([]Endpoint{{u.address, 1, 4}})
				request := u.request("/", time.Second)
				request.Header = http.Header{"X-Id": {"a"}}
				if got, failure := fetch(context.Background(), client, request); failure == nil {
					t.Errorf("%q became %v", sent, got)
				}
			}
		}
	}
}
