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

// rawUpstream runs a script on each connection and returns its address.
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

func take(in *bufio.Reader) {
	if r, err := http.ReadRequest(in); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// service returns the service of a path.
func service(path string) string {
	name, _, _ := strings.Cut(path[1:], "/")
	return name
}

// Guards against a refusal whose run state is wrong, for each way in which a request ends without an answer.
func TestRefusals(t *testing.T) {
	const live = "" // an upstream that answers, one for each case
	shedding := &recorder{status: 503, fields: map[string]string{"Cuminfall-Run": "not-run"}}
	dies := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) { take(in) })
	late := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) { take(in); time.Sleep(300 * time.Millisecond) })
	shed, gone := shedding.start(t), closedAddress(t)
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
		{"no time-out", live, "GET", "/forecast/a", nil, []string{"-Request-Timeout"}, 400, fault.Deadline, fault.NotExecuted},
		{"two time-outs", live, "GET", "/forecast/a", nil, []string{"Request-Timeout: 1s"}, 400, fault.Deadline, fault.NotExecuted},
		{"dot segments", live, "GET", "/forecast/%2e%2e/claims/a", nil, nil, 400, fault.Invalid, fault.NotExecuted},
		{"no idempotency key", live, "POST", "/claims/a", nil, nil, 400, fault.Invalid, fault.NotExecuted},
		{"declared body too large", live, "POST", "/forecast/a", strings.NewReader(big), nil, 413, fault.TooLarge, fault.NotExecuted},
		{"streamed body too large", live, "POST", "/forecast/a", io.MultiReader(strings.NewReader(big)), nil, 413, fault.TooLarge, fault.ExecutionUnknown},
		{"endpoint closed", gone, "GET", "/forecast/a", nil, nil, 503, fault.Unreachable, fault.NotExecuted},
		{"endpoint sheds", shed, "GET", "/forecast/a", nil, nil, 503, fault.Busy, fault.NotExecuted},
		{"endpoint dies", dies, "GET", "/forecast/a", nil, nil, 502, fault.Upstream, fault.ExecutionUnknown},
		{"endpoint dies during a claim", dies, "POST", "/claims/a", nil, []string{"Idempotency-Key: 1"}, 502, fault.Upstream, fault.ExecutionUnknown},
		{"answer is late", late, "GET", "/forecast/a", nil, []string{"-Request-Timeout", "Request-Timeout: 100ms"}, 502, fault.Upstream, fault.ExecutionUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &recorder{body: "ok"}
			if c.upstream == live {
				c.upstream = u.start(t)
			}
			b := newBench(t, map[string]string{service(c.path): c.upstream}, 0)
			r := b.request(c.method, c.path, c.body)
			for _, f := range c.fields {
				name, value, found := strings.Cut(f, ": ")
				if !found {
					r.Header.Del(name[1:])
					continue
				}
				r.Header.Add(name, value)
			}
			answer, body, err := b.do(r)
			is.NoErr(err)
			is.True(strings.Contains(body, fmt.Sprintf(`"code":"%s"`, c.code))) // code
			is.Equal(answer.StatusCode, c.status)
			is.Equal(answer.Header.Get("Cuminfall-Run"), string(c.run))
			is.True(strings.Contains(body, fmt.Sprintf(`"run":"%s"`, c.run)))
			if c.run == fault.NotExecuted {
				is.Equal(u.ran(), 0) // the upstream's own record agrees
			}
		})
	}
}

// Guards against a second run of a non-idempotent request, and against losing the first run's answer.
func TestClaims(t *testing.T) {
	u := &recorder{body: "booked", fields: map[string]string{"X-Ref": "7"}, status: 201}
	b := newBench(t, map[string]string{"claims": u.start(t)}, 0)
	book := func(key, path, body string) (int, string, string) {
		answer, text, err := b.do(b.request("POST", "/claims/"+path, strings.NewReader(body), "Idempotency-Key: "+key))
		b.NoErr(err)
		return answer.StatusCode, text, answer.Header.Get("X-Ref")
	}
	for range 3 { // a repeat gets the stored answer
		status, text, ref := book("1", "a?b=1", "x")
		b.Equal(status, 201)
		b.Equal(text, "booked")
		b.Equal(ref, "7")
	}
	b.Equal(u.ran(), 1)
	for _, other := range [][2]string{{"a?b=1", "y"}, {"a?b=2", "x"}, {"b?b=1", "x"}} {
		status, _, _ := book("1", other[0], other[1])
		b.Equal(status, 422) // the key was used for another request
	}
	b.Equal(u.ran(), 1)

	u.body = strings.Repeat("z", storedBody+1)
	status, text, _ := book("2", "a", "x")
	b.Equal(status, 201)
	b.Equal(len(text), storedBody+1) // passed on whole, though too large to store
	status, text, _ = book("2", "a", "x")
	b.Equal(status, 409)
	b.True(strings.Contains(text, "201") && strings.Contains(text, `"run":"unknown"`))
	b.Equal(u.ran(), 2)

	u.body, u.status, u.fields = "", 503, map[string]string{"Cuminfall-Run": "not-run"}
	status, _, _ = book("3", "a", "x")
	b.Equal(status, 503)
	b.Equal(b.control.abandoned, 1) // certainly not run, so a resend may run
	u.body, u.status, u.fields = "ok", 200, nil
	status, _, _ = book("3", "a", "x")
	b.Equal(status, 200)
	b.Equal(u.ran(), 4)

	b.control.failing = true
	r := b.request("POST", "/claims/a", strings.NewReader("x"), "Idempotency-Key: 4")
	r.Header.Set("Request-Timeout", "300ms")
	answer, text, err := b.do(r)
	b.NoErr(err)
	b.Equal(answer.StatusCode, 200) // the answer goes out though it is not stored
	b.Equal(text, "ok")
	b.control.failing = false
	status, _, _ = book("4", "a", "x")
	b.Equal(status, 409) // and the request is not run again
	b.Equal(u.ran(), 5)
}

// Guards against a part of an answer that looks whole to the caller.
func TestTruncatedAnswer(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 100000\r\n\r\nabc",
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
	} {
		for _, path := range []string{"/forecast/a", "/claims/a"} {
			address := rawUpstream(t, func(c net.Conn, in *bufio.Reader) {
				take(in)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			})
			b := newBench(t, map[string]string{service(path): address}, 0)
			answer, body, err := b.do(b.request("POST", path, nil, "Idempotency-Key: 1"))
			if path == "/claims/a" { // read to its end before it is passed on
				b.NoErr(err)
				b.Equal(answer.Header.Get("Cuminfall-Run"), "unknown")
				continue
			}
			b.True(err != nil) // must not look whole
			b.True(len(body) <= 3)
		}
	}
}

// Guards against answers and bodies that are held back, changed or cut.
func TestStreaming(t *testing.T) {
	asked := make(chan struct{})
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
		<-asked
		_, _ = io.WriteString(c, "3\r\ndef\r\n0\r\nX-Sum: 6\r\n\r\n")
	})
	b := newBench(t, map[string]string{"forecast": address}, 0)
	answer, err := http.DefaultClient.Do(b.request("GET", "/forecast/a", nil))
	b.NoErr(err)
	part := make([]byte, 3)
	_, err = io.ReadFull(answer.Body, part)
	b.NoErr(err)
	b.Equal(string(part), "abc") // arrives before the rest is sent
	close(asked)
	rest, err := io.ReadAll(answer.Body)
	b.NoErr(err)
	b.Equal(string(rest), "def")
	b.Equal(answer.Trailer.Get("X-Sum"), "6")
	answer.Body.Close()
	for _, size := range []int{0, 1, smallBody, smallBody + 1, 200000} {
		for _, known := range []bool{true, false} {
			sent := bytes.Repeat([]byte("q"), size)
			var body io.Reader = bytes.NewReader(sent)
			if !known {
				body = io.MultiReader(body)
			}
			answer, got, err := b.do(b.request("POST", "/forecast/a", body))
			b.NoErr(err)
			b.Equal(answer.StatusCode, 200)
			b.True(got == string(sent)) // whole, both ways
			b.Equal(answer.Header["X-Two"], []string{"1", "2"})
			b.Equal(answer.Header["Content-Type"], nil) // none is guessed
		}
	}
}

// Guards against an upstream that goes on for a caller who left, and against a
// claim that stays pending though its request was never sent.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan error, 1)
	taken := make(chan struct{})
	address := rawUpstream(t, func(_ net.Conn, in *bufio.Reader) {
		take(in)
		close(taken)
		_, err := in.ReadByte()
		ended <- err
	})
	b := newBench(t, map[string]string{"forecast": address}, 0)
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	b.NoErr(err)
	b.NoErr(b.request("GET", "/forecast/a", nil).Write(c))
	<-taken
	c.Close()
	b.True(<-ended != nil) // the upstream's connection is closed at once, not at the deadline
	b.gateway.mu.Lock()
	defer b.gateway.mu.Unlock()
	b.True(b.gateway.Router.Stats().Arrived == 1)
}

// Guards against a claim that stays pending because it was granted after its request was refused.
func TestLateGrant(t *testing.T) {
	u := &recorder{body: "ok"}
	b := newBench(t, map[string]string{"claims": u.start(t)}, 0)
	b.control.slow = 200 * time.Millisecond
	r := b.request("POST", "/claims/a", nil, "Idempotency-Key: 1")
	r.Header.Set("Request-Timeout", "50ms")
	answer, _, err := b.do(r)
	b.NoErr(err)
	b.Equal(answer.Header.Get("Cuminfall-Run"), "not-run")
	b.Equal(u.ran(), 0)
	b.Equal(b.control.abandoned, 1)
	b.Equal(len(b.control.claims), 0)
}

// waiter answers transfers as a link share does that holds 10 bytes at most.
type waiter struct {
	Reducer
	wait router.PauseTransfer
}

func (w *waiter) Step(e router.Event, out []router.Effect) []router.Effect {
	if t, ok := e.(*router.TransferRequested); ok && t.Bytes > w.wait.MaxBytes {
		w.wait.ID = t.ID
		return append(out, &w.wait)
	}
	return out
}

// Guards against body bytes that move without tokens: a full share answers a
// larger transfer with a smaller one and no delay.
func TestPaceWithoutDelay(t *testing.T) {
	b := newBench(t, nil, 0)
	b.gateway.mu.Lock()
	b.gateway.Router = &waiter{Reducer: b.gateway.Router, wait: router.PauseTransfer{MaxBytes: 10}}
	b.gateway.mu.Unlock()
	for _, c := range []struct {
		bytes int
		waits bool
		most  int
	}{{10, false, 0}, {11, true, 10}} {
		delay, most := b.gateway.pace(1, c.bytes, false)
		b.Equal(delay > 0, c.waits)
		b.Equal(most, c.most)
	}
}
