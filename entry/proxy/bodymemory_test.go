package proxy

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/process"
)

// pause is a reader without content that ends when it is called.
type pause func()

func (p pause) Read([]byte) (int, error) {
	p()
	return 0, io.EOF
}

// waitFor polls a condition for at most 5 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("still not so after 5 s: %s", what)
			return
		}
	}
}

// keptBytes returns the memory that bodies have taken.
func (fx *fixture) keptBytes() int64 {
	return bodyMemory - fx.bodyMemory.free.Load()
}

func randomBody(size int) []byte {
	b := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(b)
	return b
}

// readAndRefuse refuses a request after part of its body.
func readAndRefuse(w http.ResponseWriter, r *http.Request) {
	_, _ = io.CopyN(io.Discard, r.Body, halfBody)
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against body memory that is not given back, until no upload is kept any more.
func TestBodyMemoryIsReturned(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	runAndBreak := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		breakOff(w, r)
	}
	const size = 200 << 10
	for name, c := range map[string]struct {
		handlers []http.HandlerFunc
		size     int64
		status   int // 0 if the caller gets no answer
		suspect  bool
		leave    bool // the caller closes the connection midway
	}{
		"answered":                 {handlers: []http.HandlerFunc{answerOK}, size: size, status: 200},
		"refused by all upstreams": {handlers: []http.HandlerFunc{readAndRefuse, readAndRefuse}, size: size, status: 503},
		"broken off by upstreams":  {handlers: []http.HandlerFunc{runAndBreak, runAndBreak}, size: size, status: 502},
		"not answered in time":     {handlers: []http.HandlerFunc{hang}, size: size, status: 504},
		"no upstream":              {size: size, status: 503},
		"quarantined":              {handlers: []http.HandlerFunc{answerOK}, size: size, suspect: true, status: 503},
		"caller leaves midway":     {handlers: []http.HandlerFunc{hang}, size: size, leave: true},
		"caller leaves quarantine": {handlers: []http.HandlerFunc{answerOK}, size: size, suspect: true, leave: true},
	} {
		for kind, length := range map[string]int64{"length": c.size, "chunks": -1} {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t, 0, c.handlers...)
				if c.suspect {
					fx.suspect(3, "POST", "/safe/", string(make([]byte, c.size)))
				}
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				body := io.MultiReader(io.LimitReader(zeros{}, c.size/2), pause(func() {
					if len(c.handlers) > 0 || length < 0 {
						waitFor(t, "part of the body is kept", func() bool { return fx.keptBytes() > 0 })
					}
					if c.leave {
						leave()
					}
				}), io.LimitReader(zeros{}, c.size-c.size/2))
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, fx.server.URL+"/safe/", body)
				is.NoErr(err)
				r.Host, r.ContentLength = "h", length
				r.Header = http.Header{"X-Id": {"r"}, "X-Left": {"600"}, "Authorization": {"key"}}
				response, err := http.DefaultClient.Do(r)
				if c.leave {
					is.True(errors.Is(err, context.Canceled))
				} else {
					is.NoErr(err)
					is.NoErr(response.Body.Close())
					is.Equal(response.StatusCode, c.status)
				}
				waitFor(t, "no memory is taken", func() bool { return fx.keptBytes() == 0 })
			})
		}
	}
}

// Guards against body memory that a caller keeps who leaves while an upstream is at work or while its upload waits.
func TestBodyMemoryIsReturnedWhenCallerLeaves(t *testing.T) {
	for name, suspect := range map[string]bool{"upstream at work": false, "quarantine": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
			fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = time.Minute })
			if suspect {
				fx.suspect(3, "POST", "/once/", string(make([]byte, halfBody)))
			}
			conn, err := net.Dial("tcp", startListener(t, fx))
			is.NoErr(err)
			_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 60000\r\nAuthorization: key\r\nContent-Length: %d\r\n\r\n%s", halfBody, make([]byte, halfBody))
			is.NoErr(err)
			waitFor(t, "the body is kept", func() bool { return fx.keptBytes() > 0 })
			time.Sleep(50 * time.Millisecond)
			is.True(fx.keptBytes() > 0)
			is.NoErr(conn.Close())
			waitFor(t, "no memory is taken", func() bool { return fx.keptBytes() == 0 })
		})
	}
}

// Guards against an upload whose bytes are lost, doubled or reordered between its blocks when it is sent again.
func TestResentUploadIsIdentical(t *testing.T) {
	for _, size := range []int{0, 1, minStreamedBody - 1, minStreamedBody, minStreamedBody + 1, bodyBlockSize - 1, bodyBlockSize, bodyBlockSize + 1, 2 * bodyBlockSize, 5*bodyBlockSize + 12345} {
		for kind, length := range map[string]int64{"length": int64(size), "chunks": -1} {
			t.Run(fmt.Sprint(size, " ", kind), func(t *testing.T) {
				is := is.New(t)
				sent := randomBody(size)
				var attempts atomic.Int32
				handler := func(w http.ResponseWriter, r *http.Request) {
					if attempts.Add(1) == 1 {
						readAndRefuse(w, r)
						return
					}
					received, err := io.ReadAll(r.Body)
					if err != nil || !bytes.Equal(received, sent) {
						t.Errorf("%d bytes received, error %v, expected the %d bytes that were sent", len(received), err, size)
					}
					w.Header().Set("X-Stamp", "s")
				}
				fx := newFixture(t, 0, handler, handler)
				response, _, err := fx.postBody("/once/", io.MultiReader(bytes.NewReader(sent)), length)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(attempts.Load(), int32(2))
				waitFor(t, "no memory is taken", func() bool { return fx.keptBytes() == 0 })
			})
		}
	}
}

// Guards against an upload that is refused, cut or sent twice in part because there is no memory to keep it.
func TestUploadWithoutMemoryIsSentOnce(t *testing.T) {
	sent := randomBody(5*bodyBlockSize + 12345)
	var received atomic.Pointer[[]byte]
	read := func(r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received.Store(&b)
	}
	for name, c := range map[string]struct {
		path    string
		handler http.HandlerFunc
		status  int
	}{
		"answered": {"/once/", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			w.Header().Set("X-Stamp", "s")
		}, http.StatusOK},
		"refused": {"/once/", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		"broken off": {"/safe/", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			breakOff(w, r)
		}, http.StatusBadGateway},
		"failed": {"/safe/", func(w http.ResponseWriter, r *http.Request) {
			read(r)
			w.Header().Set("X-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}, http.StatusInternalServerError},
	} {
		for _, budget := range []int64{0, bodyBlockSize, 3 * bodyBlockSize, 5 * bodyBlockSize} {
			t.Run(fmt.Sprint(name, " ", budget), func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(t, 0, c.handler, c.handler)
				log := &lockedBuffer{}
				fx.opts.Log = &process.EventLog{FieldLogger: process.NewLogger(log, "info"), Clock: clock.System{}}
				fx.bodyMemory.free.Store(budget)
				response, _, err := fx.postBody(c.path, bytes.NewReader(sent), int64(len(sent)))
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.Equal(fx.upstreamRequests.Load(), int32(1))
				is.True(bytes.Equal(*received.Load(), sent))
				waitFor(t, "the memory is given back", func() bool { return fx.bodyMemory.free.Load() == budget })
				waitFor(t, "the upload is counted and logged", func() bool {
					return fx.metrics.bodiesNotKept.Count() == 1 && strings.Count(log.String(), `"event":"unkept"`) == 1
				})
			})
		}
	}
}

// Guards against a body in chunks that is sent in part, or whose refusal waits for the rest of it, where no memory is free.
func TestChunkedBodyWithoutMemoryIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	log := &lockedBuffer{}
	fx.opts.Log = &process.EventLog{FieldLogger: process.NewLogger(log, "info"), Clock: clock.System{}}
	fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = time.Minute })
	fx.bodyMemory.free.Store(bodyBlockSize)
	conn, err := net.Dial("tcp", startListener(t, fx))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	const part = 2 * bodyBlockSize
	_, err = fmt.Fprintf(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Left: 60000\r\nAuthorization: key\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", part, make([]byte, part))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "0.500")
	is.Equal(fx.upstreamRequests.Load(), int32(0))
	is.Equal(fx.metrics.bodiesRefused.Count(), int64(1))
	is.Equal(strings.Count(log.String(), errNotKept.Error()), 1)
	waitFor(t, "the memory is given back", func() bool { return fx.bodyMemory.free.Load() == bodyBlockSize })

	// A short body needs none.
	response, body, err := fx.postBody("/once/", strings.NewReader("short"), -1)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(strings.HasSuffix(body, "short"))
}

// Guards against the refusal of a body in chunks that is within the limit of bodies, and against a refusal of one beyond it
// that asks the caller to repeat it.
func TestLongestChunkedBody(t *testing.T) {
	for extra, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		is := is.New(t)
		fx := newFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Stamp", "s")
			_, _ = fmt.Fprint(w, n)
		})
		fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = time.Minute })
		response, body, err := fx.postBody("/once/", io.LimitReader(zeros{}, defaultMaxBody+int64(extra)), -1)
		is.NoErr(err)
		t.Log(body)
		is.Equal(response.StatusCode, status)
		is.True(status != http.StatusOK || body == fmt.Sprint(defaultMaxBody))
		is.Equal(fx.upstreamRequests.Load(), int32(1-extra))
		waitFor(t, "no memory is taken", func() bool { return fx.keptBytes() == 0 })
	}
}

// Guards against a suspect upload that is sent without a check because there is no memory to read it whole.
func TestSuspectUploadWithoutMemoryIsNotSent(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	fx.changeRoute("once", func(r *catalog.Route) { r.Timeout = time.Minute })
	const size = 3 * bodyBlockSize
	fx.suspect(3, "POST", "/once/", string(make([]byte, size)))
	fx.bodyMemory.free.Store(bodyBlockSize)
	response, body, err := fx.postBody("/once/", io.LimitReader(zeros{}, size), size)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(body, errNotKept.Error()+"\n")
	is.Equal(fx.upstreamRequests.Load(), int32(0))
	waitFor(t, "the memory is given back", func() bool { return fx.bodyMemory.free.Load() == bodyBlockSize })
}

// Guards against an upload that crashes upstreams and is not recognized because it was not kept.
func TestUploadHasOneDigestKeptOrNot(t *testing.T) {
	is := is.New(t)
	body := randomBody(3*bodyBlockSize + 5)
	for _, budget := range []int64{0, bodyBlockSize, 4 * bodyBlockSize} {
		var memory bufferBudget
		memory.give(budget)
		u := upload{source: bytes.NewReader(body), kept: bodyBuffer{budget: &memory}}
		_, err := io.Copy(io.Discard, &uploadReader{upload: &u})
		is.NoErr(err)
		is.Equal(u.isKept(), budget == 4*bodyBlockSize)
		is.Equal([sha256.Size]byte(u.sum()), sha256.Sum256(body))
		is.Equal(u.received, len(body))
		u.kept.release()
		is.Equal(memory.free.Load(), budget)
	}
}
