package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/quarantine"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/registry"
)

// counted returns a handler that counts its requests.
func counted(n *atomic.Int32, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		next(w, r)
	}
}

func answerLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Leaving", "1")
	answerOK(w, r)
}

// answerQuiet returns a handler that refuses requests as not run and asks for quiet.
func answerQuiet(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// lockedBuffer holds log lines that several goroutines write.
type lockedBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// newCall returns an admitted request that has not been sent.
func (fx *fixture) newCall(w http.ResponseWriter) *call {
	fx.t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/once/x", nil)
	r.Host = "h"
	r.Header.Set("X-Id", "id")
	r.Header.Set("X-Left", "1000")
	r.Header.Set("Authorization", "key")
	c := &call{proxy: fx.Proxy, w: w, r: r, startedAt: fx.opts.Clock.Now()}
	if refused := c.admit(); refused != nil {
		fx.t.Fatal(refused.reason)
	}
	return c
}

// Guards against new work for an upstream that told this VM in any of its responses that it leaves, while the registry
// still lists it as ready.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name string
		tell http.HandlerFunc
	}{
		{"success", answerLeaving},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"failure", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("X-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
		}},
		{"interim response", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("X-Leaving")
			answerOK(w, r)
		}},
		{"response that breaks off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "1")
			w.Header().Set("Content-Length", "99")
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var leaving atomic.Int32
			fx := newFixture(t, 0, counted(&leaving, c.tell), answerOK)
			for range 30 {
				_, _ = fx.post("/safe/", "", "key")
			}
			is.Equal(leaving.Load(), int32(1))
			u := fx.registry.Upstreams["u0"]
			u.Sequence++ // an announcement as ready that control has had from before
			fx.registry.Upstreams["u0"], fx.registry.ChangedIndex = u, 1
			renewed := *fx.catalog
			renewed.Version++
			fx.registry.Catalog = &renewed
			fx.Update(fx.registry)
			for range 30 {
				_, _ = fx.post("/safe/", "", "key")
			}
			is.Equal(leaving.Load(), int32(1))
			u.StartedAt++
			fx.registry.Upstreams["u0"], fx.registry.ChangedIndex = u, 2
			delete(fx.registry.Upstreams, "u1")
			fx.Update(fx.registry)
			for range 30 {
				_, _ = fx.post("/safe/", "", "key")
			}
			is.Equal(leaving.Load(), int32(2)) // a new run, which says so again
		})
	}
}

// Guards against taking a late response to another request for news about the upstream: one that names that request, or a
// copy without an ID on a connection in use again.
func TestForeignResponseMarksNothing(t *testing.T) {
	for name, id := range map[string]string{"with an ID": "X-Id: earlier\r\n", "without an ID": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var connections, copies atomic.Int32
			fx := newFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
				requests := 0
				connections.Add(1)
				serveRaw(t, func(c net.Conn, r *http.Request) {
					if requests++; requests == 2 {
						copies.Add(1)
						_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\n"+id+"X-Not-Run: 1\r\nX-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
				})(w, r)
			})
			for _, object := range []string{"a", "b", "c", "d"} {
				response, _ := fx.post("/safe/"+object, "", "key")
				is.Equal(response.StatusCode, http.StatusOK)
			}
			is.Equal(connections.Load(), int32(2)) // the one with a copy is not used again
			is.Equal(copies.Load(), int32(2))
		})
	}
}

// Guards against requests that were chosen for an upstream before it withdrew, and reach it after that: they waited for a
// connection, or this VM was suspended.
func TestChosenRequestIsCheckedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	c := fx.newCall(httptest.NewRecorder())
	choice, refused := c.chooseUpstream(nil)
	is.True(refused == nil)
	c.setQuiet(choice.Upstream, http.StatusServiceUnavailable, ResponseInfo{QuietFor: time.Minute})
	result := c.attempt(choice)
	is.True(result.withheld && result.retryable && !result.mayHaveArrived)
	is.Equal(fx.upstreamRequests.Load(), int32(0))
	c.markLeaving(choice.Upstream, http.StatusOK)
	is.True(c.attempt(choice).withheld)
	is.Equal(fx.upstreamRequests.Load(), int32(0))
}

// Guards against a request whose body is read while its only upstream withdraws and that is sent there afterwards.
func TestBodyReadWhileUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerOK)
	reader, writer := io.Pipe()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+"/safe/x", reader)
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("X-Id", "id")
	r.Header.Set("X-Left", "5000")
	r.Header.Set("Authorization", "key")
	var sender sync.WaitGroup
	sender.Go(func() {
		_, _ = io.WriteString(writer, "first half, ")
		fx.mu.Lock()
		fx.balancer.MarkLeaving(fx.registry.Upstreams["u0"])
		fx.mu.Unlock()
		_, _ = io.WriteString(writer, "second half")
		_ = writer.Close()
	})
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	_ = response.Body.Close()
	sender.Wait()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(fx.upstreamRequests.Load(), int32(0))
}

// Guards against requests to an upstream that asked for quiet, and against refusals of requests that another upstream can
// serve.
func TestQuietUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	var quiet atomic.Int32
	fx := newFixture(t, 0, counted(&quiet, answerQuiet("2.5")), answerOK)
	now := &clock.Fake{}
	fx.opts.LeaseClock = now
	for range 40 {
		response, _ := fx.post("/safe/", "", "key")
		is.Equal(response.StatusCode, http.StatusOK)
	}
	is.Equal(quiet.Load(), int32(1))
	now.Advance(2400 * time.Millisecond)
	for range 40 {
		_, _ = fx.post("/safe/", "", "key")
	}
	is.Equal(quiet.Load(), int32(1))
	now.Advance(1400 * time.Millisecond) // past the span and the longest return delay
	delete(fx.registry.Upstreams, "u1")
	fx.registry.ChangedIndex++
	fx.Update(fx.registry)
	for range 40 {
		_, _ = fx.post("/safe/", "", "key")
	}
	is.Equal(quiet.Load(), int32(2))
}

// Guards against requests that wait, or come back too early, while all upstreams asked for quiet.
func TestAllUpstreamsQuiet(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, 0, answerQuiet("4"), answerQuiet("6"))
	for range 10 {
		startedAt := time.Now()
		response, _ := fx.post("/safe/", "", "key")
		is.True(time.Since(startedAt) < 300*time.Millisecond)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		if fx.upstreamRequests.Load() < 2 {
			continue
		}
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 3.5)
		is.True(seconds < 4*1.5*1.5)
	}
	is.Equal(fx.upstreamRequests.Load(), int32(2))
}

// Guards against an unreadable or endless Retry-After that takes an upstream out of use for good, or that is not logged.
func TestBadRetryAfterIsBoundedAndLogged(t *testing.T) {
	for _, text := range []string{"soon", "-5", "1e99"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var n atomic.Int32
			fx := newFixture(t, 0, counted(&n, answerQuiet(text)))
			log := &lockedBuffer{}
			fx.opts.Log = &process.EventLog{FieldLogger: process.NewLogger(log, "info"), Clock: clock.System{}}
			now := &clock.Fake{}
			fx.opts.LeaseClock = now
			_, _ = fx.post("/safe/", "", "key")
			_, _ = fx.post("/safe/", "", "key")
			is.Equal(n.Load(), int32(1))
			is.True(strings.Contains(log.String(), text))
			now.Advance(2 * time.Hour)
			_, _ = fx.post("/safe/", "", "key")
			is.Equal(n.Load(), int32(2))
		})
	}
}

// Guards against a VM that goes on using an upstream which told only another VM that it leaves, and against a mark that is
// lost because the VM has not heard of the upstream yet.
func TestLeavingMarkReachesOtherVMs(t *testing.T) {
	is := is.New(t)
	var board observation.Board
	a, b := newFixture(t, 0, answerLeaving), newFixture(t, 0, answerOK)
	a.control, b.control = exchangingControl{a.Proxy, &board}, exchangingControl{b.Proxy, &board}
	u := a.registry.Upstreams["u0"]
	_, _ = a.post("/safe/", "", "key")
	is.True(board.Has(clock.BootTime{}.Now(), observation.LeavingFact(u)))
	b.control.TriggerReport()
	b.registry.Upstreams["u0"], b.registry.ChangedIndex = u, 1
	b.Update(b.registry)
	response, _ := b.post("/safe/", "", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.upstreamRequests.Load()+b.upstreamRequests.Load(), int32(1))
	u.StartedAt++
	b.registry.Upstreams["u0"], b.registry.ChangedIndex = u, 2
	b.Update(b.registry)
	response, _ = b.post("/safe/", "", "key")
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against the loss of a mark that came while the registry had lost sight of the upstream.
func TestLeavingMarkOfDroppedUpstream(t *testing.T) {
	is := is.New(t)
	var fx *fixture
	fx = newFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
		fx.mu.Lock()
		fx.balancer.SetUpstreams(fx.opts.Clock.Now(), nil)
		fx.mu.Unlock()
		answerLeaving(w, r)
	})
	_, _ = fx.post("/safe/", "", "key")
	fx.registry.ChangedIndex = 1
	fx.Update(fx.registry)
	response, _ := fx.post("/safe/", "", "key")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(fx.upstreamRequests.Load(), int32(1))
}

// Guards against the quarantine of requests that an upstream had when it ended as it had announced.
func TestEndOfLeavingUpstreamIsNoCrash(t *testing.T) {
	for name, leave := range map[string]func(*call, registry.Upstream){
		"response": func(c *call, u registry.Upstream) { c.markLeaving(u, http.StatusOK) },
		"response, then dropped from the registry": func(c *call, u registry.Upstream) {
			c.markLeaving(u, http.StatusOK)
			c.proxy.balancer.SetUpstreams(time.Now(), nil)
		},
		"registry": func(c *call, u registry.Upstream) {
			u.State = registry.Leaving
			c.proxy.balancer.SetUpstreams(time.Now(), map[registry.UpstreamID]registry.Upstream{u.ID: u})
		},
		"not at all": func(*call, registry.Upstream) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fx := newFixture(t, 0, answerOK)
			ended := httptest.NewServer(http.NotFoundHandler())
			u := fx.registry.Upstreams["u0"]
			u.Address = ident.Address(ended.Listener.Addr().String())
			fx.registry.Upstreams["u0"], fx.registry.ChangedIndex = u, 1
			fx.Update(fx.registry)
			c := fx.newCall(httptest.NewRecorder())
			choice, refused := c.chooseUpstream(nil)
			is.True(refused == nil)
			ended.Close()
			leave(c, choice.Upstream)
			f, _ := c.fingerprint()
			fx.observe(observation.Fact{Kind: quarantine.Crash, Subject: string(f), Upstream: "u9"}, time.Minute) // makes investigate wait
			is.Equal(c.investigate(choice, &forward.Failure{Reason: forward.Broken, Sent: true}), name == "not at all")
		})
	}
}

// Guards against retries that use up the budget and cannot be answered: an upstream fails a request at its time limit,
// shortly before the caller's.
func TestFailureAtTheTimeLimitIsNotRetried(t *testing.T) {
	is := is.New(t)
	handler := func(w http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get("X-Left"))
		if err != nil || r.URL.Path != "/safe/slow" {
			answerOK(w, r)
			return
		}
		time.Sleep(time.Duration(left) * time.Millisecond)
		w.Header().Set("X-Stamp", "s")
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	fx := newFixture(t, 0, handler, handler)
	for range 3 {
		_, _ = fx.post("/safe/", "", "key")
	}
	_, _ = fx.post("/safe/slow", "", "key")
	is.Equal(fx.metrics.retried.Count(), int64(0))
}
