package forward

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
)

// readAnswerOf sends a request with the ID "a" to an upstream and reads the body of the answer.
func readAnswerOf(t *testing.T, u *fakeUpstream) (x *Exchange, body []byte, err error) {
	t.Helper()
	client := New(Options{WireFormat: &idFormat})
	t.Cleanup(client.Close)
	client.Update([]Endpoint{{u.address, 1, 4}})
	request := u.request("/", 5*time.Second)
	request.Header = http.Header{"X-Id": {"a"}}
	if x, err = client.Do(context.Background(), request); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	body, err = io.ReadAll(x)
	return x, body, err
}

// Guards against limits of a trailer that go on to hold for the bytes after it: a late copy in chunks precedes a long answer.
func TestLongAnswerAfterCopyWithTrailer(t *testing.T) {
	is := is.New(t)
	const size = 200 << 10
	u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
		u.readRequest(in)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nA: b\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("y", 8<<10), size, strings.Repeat("x", size))
	})
	_, body, err := readAnswerOf(t, u)
	is.NoErr(err)
	is.Equal(len(body), size)
}

// Guards against a trailer without end that is read into memory, and against one that is lost.
func TestTrailer(t *testing.T) {
	for name, c := range map[string]struct {
		trailer  string
		complete bool
	}{
		"short":   {"A: b\r\nC: d\r\n\r\n", true},
		"none":    {"\r\n", true},
		"endless": {strings.Repeat("A: b\r\n", 1<<20), false},
		"cut":     {"A: b\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(u *fakeUpstream, conn net.Conn, in *bufio.Reader, _ int32) {
				u.readRequest(in)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+c.trailer)
			})
			x, body, err := readAnswerOf(t, u)
			is.Equal(err == nil, c.complete)
			is.Equal(string(body), "ok")
			if name == "short" {
				is.Equal(x.Trailer(), http.Header{"A": {"b"}, "C": {"d"}})
			}
		})
	}
}
