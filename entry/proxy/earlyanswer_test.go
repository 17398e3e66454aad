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
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is repeated or called not run although its upstream had begun its answer before the whole body arrived.
func TestCutEarlyAnswerToUploadIsNotRepeated(t *testing.T) {
	for name, answer := range map[string]string{
		"cut in the head": "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-St",
		"cut in the body": "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Length: 9\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			cut := func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond) // the rest of the body waits
				_ = c.Close()
			}
			fx := newFixture(t, 0, cut, cut)
			const size = 16 << 20
			response, body, err := fx.postBody("/once/", io.LimitReader(zeros{}, size), size)
			is.NoErr(err)
			t.Logf("status %d, %q, %d runs", response.StatusCode, body, runs.Load())
			is.Equal(runs.Load(), int32(1))
			is.True(!promisesNotRun(response.StatusCode))
		})
	}
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against an upload that ends without an answer because its first upstream refused it while the body was still arriving.
func TestUploadThatIsRefusedEarlyIsAnswered(t *testing.T) {
	is := is.New(t)
	var refused atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) == 1 {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: r\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			return
		}
		received, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(received)/1024))
	}
	fx := newFixture(t, 0, handler, handler)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, halfBody))
		time.Sleep(100 * time.Millisecond)
		_, _ = writer.Write(make([]byte, halfBody))
		_ = writer.Close()
	}()
	response, body, err := fx.postBody("/once/", reader, 2*halfBody)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(body), 2*halfBody/1024)
}

// Guards against a caller whose short body never arrives waiting for the refusal beyond its deadline.
func TestStalledShortBodyIsRefusedAtTheDeadline(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	c, err := net.Dial("tcp", startListener(t, fx))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 300\r\nAuthorization: key\r\nContent-Length: 10\r\n\r\nab")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(3 * time.Second)))
	start := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	t.Logf("%v after %s", err, time.Since(start))
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// Guards against an upload that ends with a closed connection and no answer, because the first upstream refused it while it
// was still arriving: interrupting the upload also ends the context of the request.
func TestUploadRefusedEarlyIsResent(t *testing.T) {
	is := is.New(t)
	refused := make(chan struct{})
	refuseFirst := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Upstream") == "u0" {
			_, _ = io.ReadFull(r.Body, make([]byte, halfBody))
			time.Sleep(20 * time.Millisecond)          // the proxy waits for the second half by then
			conn, _, err := w.(http.Hijacker).Hijack() // the server would read the body before it answers
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
			close(refused)
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		received, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(received)/1024))
	}
	fx := newFixture(t, 0, refuseFirst, refuseFirst)
	fx.balancer.RequestSent(time.Now(), "u1") // makes u0 the better choice
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, halfBody))
		<-refused
		time.Sleep(50 * time.Millisecond)
		_, _ = writer.Write(make([]byte, halfBody))
		_ = writer.Close()
	}()
	response, body, err := fx.postBody("/once/", reader, 2*halfBody)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(body), 2*halfBody/1024)
}
