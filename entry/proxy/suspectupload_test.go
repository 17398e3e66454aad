package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/registry"
)

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
			fx.quarantine(quarantine.HeadOf(http.MethodPost, "h", "/safe/", "key", 2*halfBody).WithBody(make([]byte, 2*halfBody)))
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

// quarantine makes three upstreams crash, one after the other, that had the request.
func (fx *fixture) quarantine(f quarantine.Fingerprint) {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	now := fx.opts.LeaseClock.Now()
	for i, upstream := range []registry.UpstreamID{"x", "y", "z"} {
		fact := observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: upstream}
		fx.observations.Add(now.Add(time.Duration(i-10)*time.Second), fact, quarantine.Lifetime)
	}
	fx.judgeSuspects(now)
}
