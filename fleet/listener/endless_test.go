package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests without an end, in a head or a body, that use up the memory of a VM with 280 MB.
func TestEndlessRequestsAreBounded(t *testing.T) {
	const memory, clients, longest = 280 << 20, 8, 2 * serverReadTimeout
	for name, parts := range map[string][2]string{ // sent once, and then without end
		"request line":    {"POST /", "x"},
		"header field":    {"POST / HTTP/1.1\r\nHost: h\r\nA: ", "x"},
		"header fields":   {"POST / HTTP/1.1\r\nHost: h\r\n", "A: b\r\n"},
		"body":            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"chunk size":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
		"chunks":          {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "40\r\n" + strings.Repeat("x", 64) + "\r\n"},
		"trailer":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runtime.GC() // the garbage of other cases
			var whole atomic.Int32
			s, err := Open(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				whole.Add(1)
			}))
			is.NoErr(err)
			go func() { _ = s.Serve() }()
			defer s.Close()
			piece := strings.Repeat(parts[1], 64<<10/len(parts[1]))
			var sending sync.WaitGroup
			var peak atomic.Uint64
			for range clients {
				sending.Go(func() {
					c, err := net.Dial("tcp", s.listener.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					_, _ = io.WriteString(c, parts[0])
					for end := time.Now().Add(longest); ; {
						if _, err := io.WriteString(c, piece); err != nil {
							return // the server has closed the connection
						}
						if time.Now().After(end) {
							t.Errorf("the server goes on to read after %s", longest)
							return
						}
						var stats runtime.MemStats
						runtime.ReadMemStats(&stats)
						peak.Store(max(peak.Load(), stats.HeapInuse+stats.StackInuse))
					}
				})
			}
			sending.Wait()
			is.Equal(whole.Load(), int32(0))
			if peak.Load() > memory/2 {
				t.Errorf("%d MB in use, expected at most %d", peak.Load()>>20, memory/2>>20)
			}
			c, err := net.Dial("tcp", s.listener.Addr().String()) // other requests are served
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a body that is read, and takes memory, although its declared length can't be served.
func TestBodyBeyondTheBudgetIsRefusedUnread(t *testing.T) {
	is := is.New(t)
	s, err := Open(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil && n == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	is.NoErr(err)
	go func() { _ = s.Serve() }()
	defer s.Close()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetReadDeadline(time.Now().Add(serverReadTimeout / 2)))
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nbeginning", maxServerBodyBytes+1)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}
