package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/registry"
)

// breakPoint is the part of a request or response after which a stand-in upstream resets the connection.
type breakPoint int

const (
	afterConnect breakPoint = iota
	withinHead
	afterHead
	withinBody
	afterRequest
	withinResponseHead
	afterResponseHead
	withinResponse
	afterResponse
	breakPoints // their number
)

// String implements fmt.Stringer.
func (p breakPoint) String() string {
	return [...]string{"connect", "part of head", "head", "part of body", "request", "part of response head", "response head", "part of response", "response"}[p]
}

// resettingUpstream serves each connection up to a break point.
type resettingUpstream struct {
	point    breakPoint
	received atomic.Int32 // requests that were read to their end
}

const scheduleResponse = "0123456789"

func (u *resettingUpstream) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reset := func() { _ = conn.SetLinger(0) }
	if u.point == afterConnect {
		reset()
		return
	}
	if u.point == withinHead {
		_, _ = io.ReadFull(conn, make([]byte, 10))
		reset()
		return
	}
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if u.point == afterHead {
			reset()
			return
		}
		if u.point == withinBody {
			_, _ = io.ReadFull(r.Body, make([]byte, max(r.ContentLength/2, 1)))
			reset()
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.received.Add(1)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), len(scheduleResponse))
		switch u.point {
		case afterRequest:
			reset()
			return
		case withinResponseHead:
			_, _ = io.WriteString(conn, head[:len(head)/2])
			reset()
			return
		case afterResponseHead:
			_, _ = io.WriteString(conn, head)
			reset()
			return
		case withinResponse:
			_, _ = io.WriteString(conn, head+scheduleResponse[:5])
			reset()
			return
		}
		_, _ = io.WriteString(conn, head+scheduleResponse)
		if u.point == afterResponse {
			reset()
			return
		}
	}
}

// addRaw makes a stand-in an upstream of the fixture's service.
func (fx *fixture) addRaw(id registry.UpstreamID, u *resettingUpstream) {
	fx.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn.(*net.TCPConn))
		}
	}()
	fx.registry.Upstreams[id] = registry.Upstream{ID: id, Service: "s", Address: ident.Address(l.Addr().String()), Domain: "d", Slots: 4, State: registry.Ready}
	fx.Update(fx.registry)
}

// Guards against work that is run again after a lost answer, and against callers that are told that it had not run.
func TestLostAnswerSchedules(t *testing.T) {
	for name, size := range map[string]int{"small body": 200, "upload": 256 << 10} {
		for _, path := range []string{"/safe/x", "/once/x"} {
			for first := range breakPoints {
				for second := range breakPoints {
					t.Run(fmt.Sprintf("%s %s, reset after %s, then after %s", name, path, first, second), func(t *testing.T) {
						fx := newFixture(t, 0)
						upstreams := []*resettingUpstream{{point: first}, {point: second}}
						fx.addRaw("u0", upstreams[0])
						fx.addRaw("u1", upstreams[1])
						response, body, err := fx.postBody(path, strings.NewReader(strings.Repeat("x", size)), int64(size))
						received := upstreams[0].received.Load() + upstreams[1].received.Load()
						if path == "/once/x" && received > 1 {
							t.Errorf("%d upstreams received the request, want at most one", received)
						}
						if received > 2 {
							t.Errorf("%d attempts, want at most two", received)
						}
						if err != nil {
							return // the caller knows that it may have run
						}
						switch {
						case response.StatusCode == http.StatusOK && body != scheduleResponse:
							t.Errorf("status 200 with the body %q, want %q", body, scheduleResponse)
						case received > 0 && (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusRequestTimeout):
							t.Errorf("status %d says that the request did not run, but %d upstreams received it", response.StatusCode, received)
						}
					})
				}
			}
		}
	}
}
