package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/fleet/rpc"
)

// Guards against new work for an upstream that said in a response that it leaves or wants no requests.
func TestWithdrawnUpstreamGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		upstream *recordingUpstream
		status   int
		minQuiet float64
	}{
		{"leaving", &recordingUpstream{body: "ok", fields: map[string]string{"Cuminfall-Leaving": "1"}}, 200, 0},
		{"quiet", &recordingUpstream{status: 503, fields: map[string]string{"Cuminfall-Run": "not-run", "Retry-After": "30"}}, 503, 29},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, map[string]string{"forecast": c.upstream.start(t)}, 0)
			response, _, err := b.do(b.request("GET", "/forecast/a", nil))
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Cuminfall-Leaving"), "")
			r := b.request("GET", "/forecast/a", nil)
			r.Header.Set("Request-Timeout", "400ms")
			startedAt := time.Now()
			response, _, err = b.do(r)
			is.NoErr(err)
			is.Equal(response.StatusCode, 503)
			is.Equal(response.Header.Get("Cuminfall-Run"), "not-run")
			is.Equal(c.upstream.runCount(), 1)
			if c.minQuiet > 0 {
				is.True(time.Since(startedAt) < 300*time.Millisecond) // refused at once
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(after > c.minQuiet)
			}
		})
	}
}

// Guards against a caller that waits until its deadline for the end of a refusal which its upstream never completes.
func TestRefusalWithoutAnEndIsPassedOnAtOnce(t *testing.T) {
	for name, field := range map[string]string{"length": "Content-Length", "chunks": "Trailer"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(field, "9")
				w.Header().Set("Cuminfall-Run", "not-run")
				w.Header().Set("Retry-After", "30")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, "b")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(s.Close)
			b := newHarness(t, map[string]string{"forecast": s.Listener.Addr().String()}, 0)
			startedAt := time.Now()
			response, _, err := b.do(b.request("GET", "/forecast/a", nil))
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get("Cuminfall-Run"), "not-run")
			is.True(time.Since(startedAt) < time.Second)
		})
	}
}

// Guards against other VMs and the status that go on with an upstream which told only this VM that it leaves.
func TestLeavingUpstreamIsWithdrawnAtControl(t *testing.T) {
	is := is.New(t)
	u := &recordingUpstream{body: "ok", fields: map[string]string{"Cuminfall-Leaving": "1"}}
	address := u.start(t)
	b := newHarness(t, map[string]string{"forecast": address}, 0)
	for range 2 {
		_, _, err := b.do(b.request("GET", "/forecast/a", nil))
		is.NoErr(err)
	}
	b.gateway.Wait(context.Background())
	is.Equal(len(b.control.announced), 1)
	is.True(proto.Equal(b.control.announced[0], &rpc.Upstream{Address: address, Incarnation: 1, Leaving: true}))
}
