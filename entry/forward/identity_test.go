package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// idFormat is a wire format in which upstreams echo the caller's request ID.
var idFormat = WireFormat{WorkspaceHeader: "X-Workspace", TimeoutHeader: "X-Left", RequestIDHeader: "X-Id", AllowUnframed: true}

// Guards against a late copy of an earlier response that cannot be told from the response to this request, because both
// requests have the same ID or none, or the earlier response had none.
func TestUnidentifiableResponseTakesNewConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		ids    []string
		noEcho bool
		reused int64
	}{
		{"different IDs", []string{"a", "b", "c"}, false, 2},
		{"same ID", []string{"a", "a"}, false, 0},
		{"same ID again", []string{"a", "b", "a"}, false, 1},
		{"no ID", []string{"", ""}, false, 0},
		{"no ID after an ID", []string{"a", ""}, false, 0},
		{"no echo", []string{"a", "b"}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(_ *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					head := "HTTP/1.1 200 OK\r\n"
					if id := r.Header.Get("X-Id"); id != "" && !c.noEcho {
						head += "X-Id: " + id + "\r\n"
					}
					_, _ = fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
				}
			})
			client := New(Options{WireFormat: &idFormat})
			t.Cleanup(client.Close)
			client.Update([]Endpoint{{u.address, 1, 4}})
			for _, id := range c.ids {
				request := u.request("/", time.Second)
				request.Header = http.Header{}
				if id != "" {
					request.Header.Set("X-Id", id)
				}
				body, failure := fetch(context.Background(), client, request)
				is.Equal(failure, (*Failure)(nil))
				is.Equal(body, "ok")
			}
			is.Equal(client.Stats.Reused.Load(), c.reused)
		})
	}
}

// Guards against a head that two responses share being taken for one of them, and against refusing fields that only
// mention the protocol.
func TestHeadWithinHead(t *testing.T) {
	for value, ok := range map[string]bool{
		"HTTP/1.1 proxy": true, "HTTP/1.": true, "HTTP/1.1 20": true, "aHTTP/1.1 proxy, HTTP/1.0 gateway": true,
		"HTTP/1.1 503 Busy": false, "aHTTP/1.0 200": false, "HTTP/1.1 proxy HTTP/1.1 200 OK": false,
	} {
		u := newUpstream(t, func(u *fakeUpstream, c net.Conn, in *bufio.Reader, _ int32) {
			u.readRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nVia: "+value+"\r\nContent-Length: 0\r\n\r\n")
		})
		_, failure := fetch(context.Background(), u.client(t, 1), u.request("/", time.Second))
		u.Equal(failure == nil, ok) // value
	}
}
