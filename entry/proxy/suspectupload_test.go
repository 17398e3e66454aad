package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/catalog"
)

// Guards against an upload that is never suspect because it crashes upstreams before its last bytes are sent.
func TestCrashBeforeTheEndOfAnUploadCounts(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var fx *fixture
			var crashed atomic.Bool
			handler := func(w http.ResponseWriter, r *http.Request) {
				if !crashed.CompareAndSwap(false, true) {
					answerOK(w, r)
					return
				}
				_, _ = io.ReadFull(r.Body, make([]byte, halfBody))
				_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()
			}
			fx = newFixture(t, 0, handler, handler)
			fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = 5 * time.Second })
			body := make([]byte, 2*halfBody)
			fx.suspect(1, http.MethodPost, path, string(body))
			reader, writer := io.Pipe()
			go func() {
				_, _ = writer.Write(body[:halfBody])
				waitFor(t, "the upstream has crashed", crashed.Load)
				time.Sleep(100 * time.Millisecond)
				_, _ = writer.Write(body[halfBody:])
				_ = writer.Close()
			}()
			response, _, err := fx.postBody(path, reader, int64(len(body)))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			f := quarantine.HeadOf(http.MethodPost, "h", path, "w", int64(len(body))).WithBody(body)
			fx.mu.Lock()
			defer fx.mu.Unlock()
			suspectCase := fx.suspects.table.Case(f)
			is.True(suspectCase != nil)
			is.Equal(suspectCase.Crashes(), 2)
		})
	}
}

// Guards against an upload that ends without an answer because it was quarantined after its first upstream had refused it
// while the body was still arriving.
func TestUploadThatIsQuarantinedAfterARefusalIsAnswered(t *testing.T) {
	is := is.New(t)
	var fx *fixture
	var refused atomic.Int32
	handler := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		if refused.Add(1) == 1 {
			fx.suspect(3, http.MethodPost, "/safe/", string(make([]byte, 2*halfBody)))
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Id: r\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
	}
	fx = newFixture(t, 0, handler, handler)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, halfBody))
		time.Sleep(100 * time.Millisecond)
		_, _ = writer.Write(make([]byte, halfBody))
		_ = writer.Close()
	}()
	response, body, err := fx.postBody("/safe/", reader, 2*halfBody)
	is.NoErr(err)
	t.Log(body)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Load(), int32(1))
}
