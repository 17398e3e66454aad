package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/load/answer"
)

// Headers between entry VMs and upstreams.
const (
	workspaceHeader = "Cuminfall-Workspace"
	runHeader       = "Cuminfall-Run"
	timeoutHeader   = "Request-Timeout"
	keyHeader       = "Idempotency-Key"
	idHeader        = "Cuminfall-Request" // echoed
)

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		e.serveLoad(w)
		return
	case "/health":
		return
	}
	ctx, cancel := e.deadline(r)
	defer cancel()
	delay := e.latency(r.RemoteAddr)
	e.pause(ctx, delay)
	if e.hit(Headers) {
		hangUp(w)
		return
	}
	if !e.take(ctx) {
		e.pause(ctx, delay)
		w.Header().Set(runHeader, string(fault.NotExecuted))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, status, outcome := e.run(ctx, r)
	e.pause(ctx, delay)
	switch {
	case outcome == Cancelled || outcome == Partial:
		hangUp(w)
	case outcome == Overdue:
		w.WriteHeader(status)
	default:
		e.send(w, response{text: text, id: r.Header.Get(idHeader)})
	}
}

// deadline returns a context that ends with the caller or when the request's time has passed.
func (e *Endpoint) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	d, err := time.ParseDuration(r.Header.Get(timeoutHeader))
	if err != nil || d <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), d)
}

func (e *Endpoint) pause(ctx context.Context, d time.Duration) {
	if d > 0 {
		clock.Sleep(ctx, e.clock, d)
	}
}

// run reads the body, takes the service time and returns the answer; it holds a slot on entry and frees it.
func (e *Endpoint) run(ctx context.Context, r *http.Request) ([]byte, int, Outcome) {
	defer e.release()
	number := e.record.begin(e.newRun(r))
	body, err := io.ReadAll(r.Body)
	digest := answer.Digest(body)
	outcome := Done
	if err != nil {
		outcome = Partial
	} else {
		f := e.behaviour()
		if f.Late.Duration > 0 {
			<-e.clock.After(f.Late.Duration)
		}
		if clock.Sleep(ctx, e.clock, e.serviceTime(e.clock.Now(), f.Factor)) != nil && f.Late.Duration == 0 {
			outcome = Cancelled
			if r.Context().Err() == nil {
				outcome = Overdue
			}
		}
	}
	text := answer.Format(answer.Head{
		Request: r.Header.Get(answer.RequestHeader), Workspace: ident.Workspace(r.Header.Get(workspaceHeader)),
		Body: digest, Endpoint: e.set.Address, Size: e.size(r),
	})
	e.record.change(number, func(run *Run) {
		run.End = e.clock.Now()
		run.Received = ident.Bytes(len(body))
		run.Body = digest
		run.Outcome = outcome
		if outcome == Done {
			run.Sent = ident.Bytes(len(text))
		}
	})
	return text, http.StatusGatewayTimeout, outcome
}

func (e *Endpoint) newRun(r *http.Request) Run {
	e.mu.Lock()
	incarnation := e.incarnation
	e.mu.Unlock()
	source, _ := netip.ParseAddrPort(r.RemoteAddr) // the server always sets it
	return Run{
		Source: source.Addr(), Request: r.Header.Get(answer.RequestHeader), Attempt: r.Header.Get(answer.AttemptHeader),
		Workspace: ident.Workspace(r.Header.Get(workspaceHeader)), Service: e.set.Service,
		Endpoint: e.set.Address, Incarnation: incarnation, Start: e.clock.Now(),
		Idempotency: r.Header.Get(keyHeader), Keys: keysIn(r),
	}
}

func (e *Endpoint) size(r *http.Request) int {
	if n, err := strconv.Atoi(r.Header.Get(answer.SizeHeader)); err == nil && n >= 0 && n <= 1<<30 {
		return n
	}
	return int(e.set.Answer)
}

// send writes the answer, with the faults of that step.
func (e *Endpoint) send(w http.ResponseWriter, out response) {
	if e.hit(Answer) {
		hangUp(w)
		return
	}
	f := e.present()
	if f.Cross {
		out = e.cross(out)
	}
	text := out.text
	if out.id != "" {
		w.Header().Set(idHeader, out.id)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch {
	case e.hit(Half):
		w.Write(text[:len(text)/2])
		http.NewResponseController(w).Flush()
		hangUp(w)
	case f.Extra:
		sendTwice(w, text)
	default:
		w.Write(text)
	}
}

func (e *Endpoint) present() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// hangUp resets the connection under a request.
func hangUp(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reset(c)
}

// sendTwice writes the same answer twice on the connection and keeps it open for a moment.
func sendTwice(w http.ResponseWriter, text []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var b bytes.Buffer
	for range 2 {
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	c.Write(b.Bytes())
	// Reads until the peer closes, so that a peer that reuses the connection meets the second answer.
	go func() {
		defer c.Close()
		io.Copy(io.Discard, c)
	}()
}

// loadSample is the load at one moment.
type loadSample struct {
	at   time.Time
	load int64
}

// loadHistory bounds how far back a lagging report can reach.
const loadHistory = 30 * time.Second

// sample notes the load, at most once in 5 ms to bound memory. The caller holds the mutex.
func (e *Endpoint) sample() {
	now := e.clock.Now()
	e.account(now)
	if n := len(e.loads); n > 0 && now.Sub(e.loads[n-1].at) < 5*time.Millisecond {
		return
	}
	e.loads = append(e.loads, loadSample{at: now, load: int64(e.running + len(e.queue))})
	if now.Sub(e.loads[0].at) > 2*loadHistory {
		for len(e.loads) > 1 && now.Sub(e.loads[0].at) > loadHistory {
			e.loads = e.loads[1:]
		}
	}
}

// Load returns the load as reported, in used slots; false means that the report fails.
func (e *Endpoint) Load() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.report.Mode {
	case Stopped:
		return e.report.Value, false
	case Lying:
		return e.report.Value, true
	case Lagging:
		then := e.clock.Now().Add(-e.report.Lag.Duration)
		for i := len(e.loads) - 1; i >= 0; i-- {
			if !e.loads[i].at.After(then) {
				return e.loads[i].load, true
			}
		}
		return 0, true
	}
	return int64(e.running + len(e.queue)), true
}

func (e *Endpoint) serveLoad(w http.ResponseWriter) {
	load, ok := e.Load()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(struct {
		Load  int64       `json:"load"`
		Slots ident.Slots `json:"slots"`
	}{load, e.Status().Slots})
}
