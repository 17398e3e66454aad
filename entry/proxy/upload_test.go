package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
)

// postBody posts a body with the given Content-Length to the fixture; -1 means unknown.
func (fx *fixture) postBody(path string, body io.Reader, length int64) (*http.Response, string, error) {
	fx.t.Helper()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, body)
	if err != nil {
		fx.t.Fatal(err)
	}
	r.Host, r.ContentLength = "h", length
	r.Header.Set("X-Id", "r")
	r.Header.Set("X-Left", "3000")
	r.Header.Set("Authorization", "key")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

const halfBody = 40 << 10

// Guards against uploads that are received completely before they are sent on, which doubles the time on a slow link. The
// upstream must get the first half while the caller still sends the second.
func TestUploadIsStreamedWhileItArrives(t *testing.T) {
	is := is.New(t)
	firstHalfReceived := make(chan int, 1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		firstHalf := make([]byte, halfBody)
		_, _ = io.ReadFull(r.Body, firstHalf)
		firstHalfReceived <- 1
		rest, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(rest)/1024))
	}
	fx := newFixture(t, 0, handler)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, halfBody))
		select {
		case <-firstHalfReceived:
		case <-time.After(2 * time.Second):
			t.Error("the upstream did not receive the first half before the caller sent the second")
		}
		_, _ = writer.Write(make([]byte, halfBody))
		_ = writer.Close()
	}()
	response, body, err := fx.postBody("/safe/", reader, 2*halfBody)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(body), halfBody/1024)
}

// Guards against an upload that is lost or truncated because the first upstream refused it before it had arrived.
func TestRefusedUploadIsResentWhole(t *testing.T) {
	is := is.New(t)
	refuseFirst := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Upstream") == "u0" {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		received, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Stamp", "1")
		_, _ = io.WriteString(w, strings.Repeat("x", len(received)/1024))
	}
	for _, length := range []int64{2 * halfBody, -1} {
		fx := newFixture(t, 0, refuseFirst, refuseFirst)
		fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = 3 * time.Second }) // two attempts take over 400 ms on a starved VM
		reader, writer := io.Pipe()
		go func() {
			_, _ = writer.Write(make([]byte, halfBody))
			time.Sleep(50 * time.Millisecond)
			_, _ = writer.Write(make([]byte, halfBody))
			_ = writer.Close()
		}()
		response, body, err := fx.postBody("/once/", reader, length)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(len(body), 2*halfBody/1024)
	}
}

// Guards against an upload whose caller stops midway being answered as one that may have run, and against the upstream
// reading it as complete.
func TestIncompleteUploadDoesNotRun(t *testing.T) {
	is := is.New(t)
	readResult := make(chan error, 1)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		readResult <- err
	}
	fx := newFixture(t, 0, handler)
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(make([]byte, halfBody)) }()
	response, _, err := fx.postBody("/once/", reader, 2*halfBody) // the route's timeout is 400 ms
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.True(<-readResult != nil)
	_ = writer.Close()
}

// Guards against an upload that runs at a second upstream, or is refused as not run, after an upstream that need not wait
// for the end of the body has failed.
func TestUploadToFailedUpstreamMayHaveRun(t *testing.T) {
	for name, answer := range map[string]string{"no answer": "", "cut head": "HTTP/1.1 200 OK\r\nX-Id: r\r\n", "cut body": "HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Stamp: s\r\nContent-Length: 9\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			run := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadFull(r.Body, make([]byte, halfBody))
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.WriteString(c, answer)
				_ = c.Close()
			}
			fx := newFixture(t, 0, run, run)
			reader, writer := io.Pipe()
			go func() {
				_, _ = writer.Write(make([]byte, halfBody))
				time.Sleep(100 * time.Millisecond)
				_, _ = writer.Write(make([]byte, halfBody))
				_ = writer.Close()
			}()
			response, _, err := fx.postBody("/once/", reader, 2*halfBody)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(fx.upstreamRequests.Load(), int32(1))
		})
	}
}

// Guards against an upload that was received whole being refused as not received, and so as not run, when an upstream
// reads or answers too slowly.
func TestUploadThatUpstreamReadsSlowlyMayHaveRun(t *testing.T) {
	is := is.New(t)
	for _, early := range []string{"", "HTTP/1.1 200 OK\r\n"} {
		run := func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(c, early)
			time.Sleep(700 * time.Millisecond) // the route's timeout is 400 ms
			_ = c.Close()
		}
		fx := newFixture(t, 0, run, run)
		response, _, err := fx.postBody("/once/", bytes.NewReader(make([]byte, 16<<20)), 16<<20)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusGatewayTimeout)
		is.Equal(fx.upstreamRequests.Load(), int32(1))
	}
}
