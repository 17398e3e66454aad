package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// send posts a body to a fixture.
func (fx *fixture) send(path string, body io.Reader, length int64) (*http.Response, string, error) {
	fx.t.Helper()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, body)
	if err != nil {
		fx.t.Fatal(err)
	}
	r.Host, r.ContentLength = "h", length
	r.Header.Set("X-Id", "r")
	r.Header.Set("X-Left", "3000")
	r.Header.Set("Authorization", "key")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer, string(data), err
}

const half = 40 << 10

// Guards against uploads that cross a slow link twice, one after the other: the upstream gets the first half while
// the caller still sends the second.
func TestUploadIsPassedOnWhileItArrives(t *testing.T) {
	is := is.New(t)
	seen := make(chan int, 1)
	up := func(w http.ResponseWriter, r *http.Request) {
		first := make([]byte, half)
		_, _ = io.ReadFull(r.Body, first)
		seen <- 1
		rest, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(rest)/1024))
	}
	fx := start(t, 0, up)
	from, to := io.Pipe()
	go func() {
		_, _ = to.Write(make([]byte, half))
		select {
		case <-seen:
		case <-time.After(2 * time.Second):
			t.Error("the upstream saw nothing before the caller had sent everything")
		}
		_, _ = to.Write(make([]byte, half))
		_ = to.Close()
	}()
	answer, body, err := fx.send("/safe/", from, 2*half)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(len(body), half/1024)
}

// Guards against an upload that is lost or cut because the first upstream refused it before it had arrived.
func TestRefusedUploadGoesWholeToAnother(t *testing.T) {
	is := is.New(t)
	refuse := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Upstream") == "u0" {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		got, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(got)/1024))
	}
	for _, length := range []int64{2 * half, -1} {
		fx := start(t, 0, refuse, refuse)
		from, to := io.Pipe()
		go func() {
			_, _ = to.Write(make([]byte, half))
			time.Sleep(50 * time.Millisecond)
			_, _ = to.Write(make([]byte, half))
			_ = to.Close()
		}()
		answer, body, err := fx.send("/once/", from, length)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
		is.Equal(len(body), 2*half/1024)
	}
}

// Guards against an upload whose caller stops midway being taken for one that may have run, and against the
// upstream taking it for whole.
func TestUploadThatStopsDoesNotRun(t *testing.T) {
	is := is.New(t)
	whole := make(chan error, 1)
	up := func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		whole <- err
	}
	fx := start(t, 0, up)
	from, to := io.Pipe()
	go func() { _, _ = to.Write(make([]byte, half)) }()
	answer, _, err := fx.send("/once/", from, 2*half) // the route's time-out is 400 ms
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusRequestTimeout)
	is.True(<-whole != nil)
	_ = to.Close()
}
