package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/gateway"
	"cuminfall.example/fleet/listener"
)

// Guards against a cut answer without a length that looks whole to a caller with HTTP/1.0.
func TestCutAnswerToOldCallerIsReset(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 300<<10, strings.Repeat("x", 300<<10))
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	})
	s := startListener(t, fx)
	c, err := net.Dial("tcp", s)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /safe/ HTTP/1.0\r\nHost: h\r\nX-Id: r\r\nX-Left: 2000\r\nAuthorization: key\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	t.Logf("status %d, length %d, %d bytes, %v", response.StatusCode, response.ContentLength, len(body), err)
	is.True(err != nil) // only a reset tells this caller that the answer is incomplete
}

// startListener serves the fixture on a listener for callers and returns its address.
func startListener(t *testing.T, fx *fixture) string {
	t.Helper()
	l, err := listener.Listen(context.Background(), "127.0.0.1:0", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	server := gateway.NewHTTPServer(l, fx)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}
