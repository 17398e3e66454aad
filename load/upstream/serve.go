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

// Headers that entry VMs and upstreams exchange.
const (
	workspaceHeader   = "Cuminfall-Workspace"
	executionHeader   = "Cuminfall-Run"
	timeoutHeader     = "Request-Timeout"
	idempotencyHeader = "Idempotency-Key"
	requestIDHeader   = "Cuminfall-Request" // copied from the request to the response
	leavingHeader     = "Cuminfall-Leaving" // set in all responses after Leave
)

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := arrival(r, e.clock.Now())
	switch r.URL.Path {
	case "/load":
		e.serveLoad(w)
		return
	case "/health":
		return
	}
	if id := r.Header.Get(requestIDHeader); id != "" {
		w.Header().Set(requestIDHeader, id)
	}
	e.markLeaving(w.Header())
	ctx, cancel := e.requestContext(r)
	defer cancel()
	delay := e.latencyTo(r.RemoteAddr)
	e.sleep(ctx, delay)
	if e.triggerReset(ResetAfterHeaders) {
		resetConnection(w)
		return
	}
	if !e.acquireSlot(ctx) {
		e.sleep(ctx, delay)
		w.Header().Set(executionHeader, string(fault.NotExecuted))
		if pause := e.settings.ShedPause; pause > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, status, outcome := e.execute(ctx, r, arrivedAt)
	e.sleep(ctx, delay)
	switch {
	case outcome == Cancelled || outcome == IncompleteBody:
		resetConnection(w)
	case outcome == DeadlineExceeded:
		w.WriteHeader(status)
	default:
		e.writeResponse(w, response{body: body, requestID: r.Header.Get(requestIDHeader)})
	}
}

// markLeaving adds the mark of an endpoint that leaves to a response's header.
func (e *Endpoint) markLeaving(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		h.Set(leavingHeader, "1")
	}
}

// requestContext returns a context that ends when the caller disconnects or the request's timeout expires.
func (e *Endpoint) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := time.ParseDuration(r.Header.Get(timeoutHeader))
	if err != nil || timeout <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), timeout)
}

func (e *Endpoint) sleep(ctx context.Context, d time.Duration) {
	if d > 0 {
		clock.Sleep(ctx, e.clock, d)
	}
}

// execute reads the request body, waits for the service time and returns the response body, the status
// for an exceeded deadline and the outcome. It releases the slot that the caller acquired.
func (e *Endpoint) execute(ctx context.Context, r *http.Request, arrivedAt time.Time) ([]byte, int, Outcome) {
	defer e.releaseSlot()
	run, ok := e.newRun(r)
	if !ok {
		return nil, 0, Cancelled
	}
	run.Arrived = arrivedAt
	number := e.runLog.begin(run)
	requestBody, err := io.ReadAll(r.Body)
	digest := answer.Digest(requestBody)
	outcome := Done
	if err != nil {
		outcome = IncompleteBody
	} else {
		f := e.faultForRun()
		if f.ForcedDelay.Duration > 0 {
			<-e.clock.After(f.ForcedDelay.Duration)
		}
		if clock.Sleep(ctx, e.clock, e.serviceTime(e.clock.Now(), f.ServiceTimeFactor)) != nil && f.ForcedDelay.Duration == 0 {
			outcome = Cancelled
			if r.Context().Err() == nil {
				outcome = DeadlineExceeded
			}
		}
	}
	responseBody := answer.Format(answer.Head{
		Request: r.Header.Get(answer.RequestHeader), Workspace: ident.Workspace(r.Header.Get(workspaceHeader)),
		Body: digest, Endpoint: e.settings.Address, Size: e.responseSize(r),
	})
	e.runLog.update(number, func(run *Run) {
		run.End = e.clock.Now()
		run.Received = ident.Bytes(len(requestBody))
		run.BodyDigest = digest
		run.Outcome = outcome
		if outcome == Done {
			run.Sent = ident.Bytes(len(responseBody))
		}
	})
	return responseBody, http.StatusGatewayTimeout, outcome
}

// newRun returns the run of a request that starts now, or false if the incarnation that received the request was killed.
func (e *Endpoint) newRun(r *http.Request) (Run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); !ok || server != e.server {
		return Run{}, false
	}
	source, _ := netip.ParseAddrPort(r.RemoteAddr) // the server always sets it
	return Run{
		Source: source.Addr(), Request: r.Header.Get(answer.RequestHeader), Attempt: r.Header.Get(answer.AttemptHeader),
		Workspace: ident.Workspace(r.Header.Get(workspaceHeader)), Service: e.settings.Service,
		Endpoint: e.settings.Address, Incarnation: e.incarnation, Start: e.clock.Now(),
		IdempotencyKey: r.Header.Get(idempotencyHeader), KeyLocations: keyLocations(r),
	}, true
}

func (e *Endpoint) responseSize(r *http.Request) int {
	if n, err := strconv.Atoi(r.Header.Get(answer.SizeHeader)); err == nil && n >= 0 && n <= 1<<30 {
		return n
	}
	return int(e.settings.ResponseSize)
}

// writeResponse writes the response and applies the faults that affect responses.
func (e *Endpoint) writeResponse(w http.ResponseWriter, resp response) {
	if e.triggerReset(ResetBeforeResponse) {
		resetConnection(w)
		return
	}
	f := e.currentFault()
	if f.SwapResponses {
		resp = e.swapResponse(resp)
	}
	body := resp.body
	e.markLeaving(w.Header())
	if resp.requestID != "" {
		w.Header().Set(requestIDHeader, resp.requestID)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch {
	case e.triggerReset(ResetMidResponse):
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		resetConnection(w)
	case f.DuplicateResponse:
		writeResponseTwice(w, body)
	default:
		w.Write(body)
	}
}

func (e *Endpoint) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	closeWithReset(c)
}

// writeResponseTwice writes the same response twice and keeps the connection open until the peer closes it.
func writeResponseTwice(w http.ResponseWriter, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var b bytes.Buffer
	for range 2 {
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	c.Write(b.Bytes())
	// Keep the connection open, so that a peer that reuses it reads the second response.
	go func() {
		defer c.Close()
		io.Copy(io.Discard, c)
	}()
}

// loadSample is the number of running and waiting requests at one time.
type loadSample struct {
	sampledAt time.Time
	load      int64
}

// minLoadHistory is the age up to which load samples are kept for delayed reports.
const minLoadHistory = 30 * time.Second

// sampleLoad stores the current load, at most once every 5 ms to bound memory. The caller holds e.mu.
func (e *Endpoint) sampleLoad() {
	now := e.clock.Now()
	e.updateSlotTime(now)
	if n := len(e.loadSamples); n > 0 && now.Sub(e.loadSamples[n-1].sampledAt) < 5*time.Millisecond {
		return
	}
	e.loadSamples = append(e.loadSamples, loadSample{sampledAt: now, load: int64(e.running + len(e.queue))})
	if now.Sub(e.loadSamples[0].sampledAt) > 2*minLoadHistory {
		for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[0].sampledAt) > minLoadHistory {
			e.loadSamples = e.loadSamples[1:]
		}
	}
}

// Load returns the load to report, in running and waiting requests, according to the report mode.
// It returns false if the load endpoint is set to fail.
func (e *Endpoint) Load() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.reporting.Mode {
	case ReportFails:
		return e.reporting.FixedLoad, false
	case ReportFixed:
		return e.reporting.FixedLoad, true
	case ReportDelayed:
		reportTime := e.clock.Now().Add(-e.reporting.Delay.Duration)
		for i := len(e.loadSamples) - 1; i >= 0; i-- {
			if !e.loadSamples[i].sampledAt.After(reportTime) {
				return e.loadSamples[i].load, true
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
