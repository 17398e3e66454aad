package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/fault"
)

// rawUpstream runs a script on each connection to an upstream and returns the upstream's address.
func rawUpstream(t *testing.T, run func(c net.Conn, in *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				run(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func readRequest(in *bufio.Reader) {
	if r, err := http.ReadRequest(in); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// serviceOf returns the service of a path.
func serviceOf(path string) string {
	name, _, _ := strings.Cut(path[1:], "/")
	return name
}

// Guards against an error response with a wrong Cuminfall-Run field, for each way in which a
// request ends without a response of an upstream.
func TestRefusals(t *testing.T) {
	const live = "" // stands for an upstream that responds; each case starts its own
	shedding := &recordingUpstream{status: 503, fields: map[string]string{"Cuminfall-Run": "not-run"}}
	dies := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) { readRequest(in) })
	late := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) { readRequest(in); time.Sleep(300 * time.Millisecond) })
	shed, closed := shedding.start(t), closedAddress(t)
	big := strings.Repeat("x", 250000)
	for _, c := range []struct {
		name, upstream, method, path string
		body                         io.Reader
		fields                       []string
		status                       int
		code                         fault.Code
		run                          fault.Execution
	}{
		{"no such service", live, "GET", "/nothing", nil, nil, 404, fault.NotFound, fault.NotExecuted},
		{"no timeout", live, "GET", "/forecast/a", nil, []string{"-Request-Timeout"}, 400, fault.Deadline, fault.NotExecuted},
		{"two timeouts", live, "GET", "/forecast/a", nil, []string{"Request-Timeout: 1s"}, 400, fault.Deadline, fault.NotExecuted},
		{"dot segments", live, "GET", "/forecast/%2e%2e/claims/a", nil, nil, 400, fault.Invalid, fault.NotExecuted},
		{"no idempotency key", live, "POST", "/claims/a", nil, nil, 400, fault.Invalid, fault.NotExecuted},
		{"declared body too large", live, "POST", "/forecast/a", strings.NewReader(big), nil, 413, fault.TooLarge, fault.NotExecuted},
		{"streamed body too large", live, "POST", "/forecast/a", io.MultiReader(strings.NewReader(big)), nil, 413, fault.TooLarge, fault.ExecutionUnknown},
		{"endpoint closed", closed, "GET", "/forecast/a", nil, nil, 503, fault.Unreachable, fault.NotExecuted},
		{"endpoint sheds", shed, "GET", "/forecast/a", nil, nil, 503, fault.Busy, fault.NotExecuted},
		{"endpoint dies", dies, "GET", "/forecast/a", nil, nil, 502, fault.Upstream, fault.ExecutionUnknown},
		{"endpoint dies during a claim", dies, "POST", "/claims/a", nil, []string{"Idempotency-Key: 1"}, 502, fault.Upstream, fault.ExecutionUnknown},
		{"late response", late, "GET", "/forecast/a", nil, []string{"-Request-Timeout", "Request-Timeout: 100ms"}, 502, fault.Upstream, fault.ExecutionUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &recordingUpstream{body: "ok"}
			if c.upstream == live {
				c.upstream = u.start(t)
			}
			b := newHarness(t, map[string]string{serviceOf(c.path): c.upstream}, 0)
			r := b.request(c.method, c.path, c.body)
			for _, f := range c.fields {
				name, value, found := strings.Cut(f, ": ")
				if !found {
					r.Header.Del(name[1:])
					continue
				}
				r.Header.Add(name, value)
			}
			response, body, err := b.do(r)
			is.NoErr(err)
			is.True(strings.Contains(body, fmt.Sprintf(`"code":"%s"`, c.code))) // code
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Cuminfall-Run"), string(c.run))
			is.True(strings.Contains(body, fmt.Sprintf(`"run":"%s"`, c.run)))
			if c.run == fault.NotExecuted {
				is.Equal(u.runCount(), 0) // the upstream received no request
			}
		})
	}
}

// Guards against running a non-idempotent request twice, and against losing the response of its
// first run.
func TestClaims(t *testing.T) {
	u := &recordingUpstream{body: "booked", fields: map[string]string{"X-Ref": "7"}, status: 201}
	b := newHarness(t, map[string]string{"claims": u.start(t)}, 0)
	book := func(key, path, body string) (int, string, string) {
		response, text, err := b.do(b.request("POST", "/claims/"+path, strings.NewReader(body), "Idempotency-Key: "+key))
		b.NoErr(err)
		return response.StatusCode, text, response.Header.Get("X-Ref")
	}
	for range 3 { // a repeat gets the stored response
		status, text, ref := book("1", "a?b=1", "x")
		b.Equal(status, 201)
		b.Equal(text, "booked")
		b.Equal(ref, "7")
	}
	b.Equal(u.runCount(), 1)
	for _, other := range [][2]string{{"a?b=1", "y"}, {"a?b=2", "x"}, {"b?b=1", "x"}} {
		status, _, _ := book("1", other[0], other[1])
		b.Equal(status, 422) // the key was used for a different request
	}
	b.Equal(u.runCount(), 1)

	u.body = strings.Repeat("z", maxStoredBody+1)
	status, text, _ := book("2", "a", "x")
	b.Equal(status, 201)
	b.Equal(len(text), maxStoredBody+1) // forwarded in full, although too large to store
	status, text, _ = book("2", "a", "x")
	b.Equal(status, 409)
	b.True(strings.Contains(text, "201") && strings.Contains(text, `"run":"unknown"`))
	b.Equal(u.runCount(), 2)

	u.body, u.status, u.fields = "", 503, map[string]string{"Cuminfall-Run": "not-run"}
	status, _, _ = book("3", "a", "x")
	b.Equal(status, 503)
	b.Equal(b.control.abandoned, 1) // certainly not run, so a repeat may run
	u.body, u.status, u.fields = "ok", 200, nil
	status, _, _ = book("3", "a", "x")
	b.Equal(status, 200)
	b.Equal(u.runCount(), 4)

	b.control.failComplete = true
	r := b.request("POST", "/claims/a", strings.NewReader("x"), "Idempotency-Key: 4")
	r.Header.Set("Request-Timeout", "300ms")
	response, text, err := b.do(r)
	b.NoErr(err)
	b.Equal(response.StatusCode, 200) // the response is sent although it could not be stored
	b.Equal(text, "ok")
	b.control.failComplete = false
	status, _, _ = book("4", "a", "x")
	b.Equal(status, 409) // the request is not run again
	b.Equal(u.runCount(), 5)
}

// Guards against an incomplete response that looks complete to the caller.
func TestTruncatedAnswer(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 100000\r\n\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
	} {
		for _, path := range []string{"/forecast/a", "/claims/a"} {
			address := rawUpstream(t, func(c net.Conn, in *bufio.Reader) {
				readRequest(in)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			})
			b := newHarness(t, map[string]string{serviceOf(path): address}, 0)
			response, body, err := b.do(b.request("POST", path, nil, "Idempotency-Key: 1"))
			if path == "/claims/a" { // read to its end before any of it is forwarded
				b.NoErr(err)
				b.Equal(response.Header.Get("Cuminfall-Run"), "unknown")
				continue
			}
			b.True(err != nil) // must not look complete
			b.True(len(body) <= 3)
		}
	}
}

// Guards against streamed requests and responses that are held back, modified or truncated.
func TestStreaming(t *testing.T) {
	sendRest := make(chan struct{})
	address := rawUpstream(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.Method == "POST" {
			body, _ := io.ReadAll(r.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\nX-Two: 1\r\nX-Two: 2\r\n\r\n%s", len(body), body)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n3\r\nabc\r\n")
		<-sendRest
		_, _ = io.WriteString(c, "3\r\ndef\r\n0\r\nX-Sum: 6\r\n\r\n")
	})
	b := newHarness(t, map[string]string{"forecast": address}, 0)
	response, err := http.DefaultClient.Do(b.request("GET", "/forecast/a", nil))
	b.NoErr(err)
	part := make([]byte, 3)
	_, err = io.ReadFull(response.Body, part)
	b.NoErr(err)
	b.Equal(string(part), "abc") // arrives before the rest is sent
	close(sendRest)
	rest, err := io.ReadAll(response.Body)
	b.NoErr(err)
	b.Equal(string(rest), "def")
	b.Equal(response.Trailer.Get("X-Sum"), "6")
	response.Body.Close()
	for _, size := range []int{0, 1, maxPrereadBody, maxPrereadBody + 1, 200000} {
		for _, known := range []bool{true, false} {
			sent := bytes.Repeat([]byte("q"), size)
			var body io.Reader = bytes.NewReader(sent)
			if !known {
				body = io.MultiReader(body)
			}
			response, got, err := b.do(b.request("POST", "/forecast/a", body))
			b.NoErr(err)
			b.Equal(response.StatusCode, 200)
			b.True(got == string(sent)) // complete in both directions
			b.Equal(response.Header["X-Two"], []string{"1", "2"})
			b.Equal(response.Header["Content-Type"], nil) // no content type is guessed
		}
	}
}

// Guards against an upstream that goes on working until the deadline although the caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan error, 1)
	received := make(chan struct{})
	address := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) {
		readRequest(in)
		close(received)
		_, err := in.ReadByte()
		ended <- err
	})
	b := newHarness(t, map[string]string{"forecast": address}, 0)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.NoErr(err)
	b.NoErr(b.request("GET", "/forecast/a", nil).Write(c))
	<-received
	c.Close()
	b.True(<-ended != nil) // the upstream's connection is closed at once and not at the deadline
	b.gateway.mu.Lock()
	defer b.gateway.mu.Unlock()
	b.True(b.gateway.Router.Stats().Arrived == 1)
}

// Guards against a claim that stays pending because control granted it after its request was
// refused.
func TestClaimGrantedAfterDeadline(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"claims": u.start(t)}, 0)
	b.control.claimDelay = 200 * time.Millisecond
	r := b.request("POST", "/claims/a", nil, "Idempotency-Key: 1")
	r.Header.Set("Request-Timeout", "50ms")
	response, _, err := b.do(r)
	b.NoErr(err)
	b.Equal(response.Header.Get("Cuminfall-Run"), "not-run")
	b.Equal(u.runCount(), 0)
	b.Equal(b.control.abandoned, 1)
	b.Equal(len(b.control.claims), 0)
}

// pausingRouter allows at most pause.MaxBytes per transfer, as a link's limit does.
type pausingRouter struct {
	Router
	pause router.PauseTransfer
}

func (w *pausingRouter) Step(e router.Event, out []router.Effect) []router.Effect {
	if t, ok := e.(*router.TransferRequested); ok && t.Bytes > w.pause.MaxBytes {
		w.pause.ID = t.ID
		return append(out, &w.pause)
	}
	return out
}

// Guards against transferring body bytes beyond a link's limit: the router answers a transfer that
// is too large with a smaller size and no delay.
func TestThrottleWithoutDelay(t *testing.T) {
	b := newHarness(t, nil, 0)
	b.gateway.mu.Lock()
	b.gateway.Router = &pausingRouter{Router: b.gateway.Router, pause: router.PauseTransfer{MaxBytes: 10}}
	b.gateway.mu.Unlock()
	for _, c := range []struct {
		bytes    int
		waits    bool
		maxBytes int
	}{{10, false, 0}, {11, true, 10}} {
		delay, maxBytes := b.gateway.throttle(1, c.bytes, false)
		b.Equal(delay > 0, c.waits)
		b.Equal(maxBytes, c.maxBytes)
	}
}

// lapsingRouter does not let the first attempt be sent.
type lapsingRouter struct {
	Router
	starts int
}

func (l *lapsingRouter) Step(e router.Event, out []router.Effect) []router.Effect {
	s, ok := e.(*router.SendStarting)
	if !ok {
		return l.Router.Step(e, out)
	}
	if l.starts++; l.starts == 1 {
		return append(out, &router.Lapse{ID: s.ID})
	}
	return l.Router.Step(e, out)
}

// Guards against sending an attempt whose share of a limit ended after its dispatch, and against giving its request up.
func TestAttemptThatMayNotBeSentIsRepeated(t *testing.T) {
	u := &recordingUpstream{body: "ok"}
	b := newHarness(t, map[string]string{"claims": u.start(t)}, 0)
	lapsing := &lapsingRouter{Router: b.gateway.Router}
	b.gateway.mu.Lock()
	b.gateway.Router = lapsing
	b.gateway.mu.Unlock()
	response, _, err := b.do(b.request("POST", "/claims/a", nil, "Idempotency-Key: 1"))
	b.NoErr(err)
	b.Equal(response.StatusCode, 200)
	b.Equal(lapsing.starts, 2)
	b.Equal(u.runCount(), 1)
}
