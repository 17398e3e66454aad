package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/ident"
)

// FuzzResponse checks what an upstream's bytes become: a response to this request with a body as long as its head says,
// which is not complete one byte earlier, or a failure long before the deadline.
func FuzzResponse(f *testing.F) {
	for _, c := range cutCases {
		f.Add(c.method, c.head+c.body)
	}
	for _, head := range malformedHeads {
		f.Add(http.MethodGet, head)
	}
	f.Add(http.MethodGet, "HTTP/1.1 503 Busy\r\nX-Id: z\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok")
	f.Add(http.MethodGet, "HTTP/1.1 200 OK\r\nX-Id: aHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	f.Add(http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("a", 5000))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	var text atomic.Value
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, text.Load().(string))
				}
			}()
		}
	}()
	u := &fakeUpstream{address: ident.Address(listener.Addr().String())}
	client := New(Options{WireFormat: &idFormat})
	client.Update([]Endpoint{{u.address, 1, 4}})
	// exchange reads the response to a request with the ID "a" and returns the unread part of it.
	exchange := func(method, response string) (x *Exchange, body string, unread int, err error) {
		text.Store(response)
		request := u.request("/", 20*time.Second)
		request.Method, request.Header = method, http.Header{"X-Id": {"a"}}
		if x, err = client.Do(context.Background(), request); err != nil {
			return nil, "", 0, err
		}
		defer x.Close()
		data, err := io.ReadAll(x)
		rest, _ := io.Copy(io.Discard, x.conn.reader)
		return x, string(data), int(rest), err
	}
	f.Fuzz(func(t *testing.T, method, response string) {
		if method != http.MethodHead && method != http.MethodPost {
			method = http.MethodGet
		}
		startedAt := time.Now()
		x, body, unread, err := exchange(method, response)
		if time.Since(startedAt) > 10*time.Second {
			t.Errorf("took %s", time.Since(startedAt))
		}
		if err != nil {
			var failure *Failure
			if !errors.As(err, &failure) || failure.Reason != Broken || !failure.Sent {
				t.Errorf("failed with %v", err)
			}
			return
		}
		if x.Status < 200 || x.Identified() && !strings.Contains(response, "a") {
			t.Errorf("status %d, identified: %t", x.Status, x.Identified())
		}
		for _, id := range x.Header["X-Id"] {
			if id != "a" {
				t.Errorf("response to the request %q is taken for that to %q", id, "a")
			}
		}
		framed := x.Length >= 0 || x.response.chunked
		if x.Length >= 0 && body != "" && int64(len(body)) != x.Length {
			t.Errorf("body of %d bytes, its head says %d", len(body), x.Length)
		}
		if consumed := len(response) - unread; framed && consumed > 0 {
			if _, _, _, err := exchange(method, response[:consumed-1]); err == nil {
				t.Errorf("%q is taken for complete", response[:consumed-1])
			}
		}
	})
}
