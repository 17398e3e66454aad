package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/listener"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if isAPIPath(r.URL.Path) {
		g.mux.ServeHTTP(w, r)
		return
	}
	g.serveRouted(w, r)
}

// serveRouted serves a request for an upstream.
func (g *Gateway) serveRouted(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r, g.Clock)
	defer c.release()
	key, f := c.parse()
	if f == nil && r.ContentLength == 0 {
		c.bodyBuffered = true
		c.bodyRead.Store(true)
	}
	if f == nil && r.ContentLength > 0 && r.ContentLength <= maxPrereadBody {
		f = c.bufferBody(maxPrereadBody)
	}
	if f != nil {
		g.refuse(c, f)
		return
	}
	g.mu.Lock()
	g.lastRequest++
	c.id = g.lastRequest
	g.calls[c.id] = c
	c.arrivedEvent = router.RequestArrived{
		At: g.Clock.Now(), ID: c.id, Path: r.URL.Path, KeyID: key.id, KeyHash: key.hash,
		IdempotencyKey: c.idempotencyKey, Deadline: c.deadline, Size: ident.Bytes(r.ContentLength),
	}
	g.step(&c.arrivedEvent)
	g.mu.Unlock()
	defer g.removeCall(c)
	g.runActions(c)
	g.recordLatency(c)
	if !c.responded {
		// The client has disconnected. Without the panic the server would send status 200 with an
		// empty body.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) removeCall(c *call) {
	g.mu.Lock()
	delete(g.calls, c.id)
	g.mu.Unlock()
}

func (g *Gateway) recordLatency(c *call) {
	total := g.Clock.Now().Sub(c.startedAt)
	g.totalTime.Update(total.Microseconds())
	g.addedTime.Update((total - c.upstreamTime).Microseconds())
}

// runActions carries out the router's actions for a request up to the last one.
func (g *Gateway) runActions(c *call) {
	for {
		select {
		case <-c.actionReady:
		case <-c.disconnected():
			g.cancelCall(c)
			return
		}
		g.mu.Lock()
		next := c.nextAction
		c.nextAction = 0
		g.mu.Unlock()
		switch next {
		case actionSend:
			if g.attempt(c) {
				return
			}
		case actionClaim:
			if g.acquireClaim(c) {
				return
			}
		case actionRefuse:
			f := c.refusal
			g.refuse(c, &f)
			return
		case actionFinish:
			return
		}
	}
}

// cancelCall tells the router that the client disconnected before an attempt.
func (g *Gateway) cancelCall(c *call) {
	now := g.Clock.Now()
	g.mu.Lock()
	if c.nextAction == actionSend {
		c.endedEvent = router.AttemptEnded{At: now, ID: c.id, Attempt: c.send.Attempt, Outcome: router.Abandoned}
		g.step(&c.endedEvent)
	} else {
		g.step(&router.RequestCancelled{At: now, ID: c.id})
	}
	g.mu.Unlock()
	g.abandonClaimAsync(c)
}

// endAttempt reports the end of an attempt to the router.
func (g *Gateway) endAttempt(c *call, outcome router.Outcome, elapsed time.Duration) {
	g.mu.Lock()
	c.endedEvent = router.AttemptEnded{
		At: g.Clock.Now(), ID: c.id, Attempt: c.send.Attempt, Outcome: outcome,
		Resendable: c.bodyBuffered || !c.uploadStarted, Aborted: c.aborted, Reused: c.reusedConn, Elapsed: elapsed,
	}
	g.step(&c.endedEvent)
	g.mu.Unlock()
}

// attempt sends the request to an upstream once, and reports whether the request was answered.
func (g *Gateway) attempt(c *call) bool {
	ctx := c.r.Context()
	if c.hasClaim || c.uploadInterrupted {
		// The outcome of a claimed request is stored even if the client disconnects, so that a
		// repeat gets it.
		ctx = context.WithoutCancel(ctx)
	}
	c.uploadStarted = c.uploadStarted || !c.bodyBuffered
	c.reusedConn, c.aborted, c.lapsed = false, false, false
	q := c.forwardRequest(func(n int, fromUpstream bool) (time.Duration, int) { return g.throttle(c.id, n, fromUpstream) })
	if q.Stream != nil {
		if err := c.responseController().EnableFullDuplex(); err != nil {
			g.endAttempt(c, router.Abandoned, 0)
			g.refuse(c, notExecuted(fault.Internal, "read body", "%v", err))
			return true
		}
	}
	send := c.send
	q.OnHead = func(status int, header http.Header) { g.readHead(&send, status, header) }
	q.BeforeSend = func() error { return g.permitSend(c, &send) }
	sendStart := g.Clock.Now()
	x, err := g.Forward.Do(ctx, q)
	c.upstreamTime += g.Clock.Now().Sub(sendStart)
	if err != nil {
		return g.handleFailure(c, err)
	}
	defer x.Close()
	if wasShed(x) {
		if !x.Identified() {
			x.Close()
			c.mayHaveRun, c.reusedConn = true, true
			g.Log.WithField("step", "forward").WithField("peer", c.send.Endpoint).
				Info("a refusal without the request's ID on a reused connection may be that of an earlier request")
			g.endAttempt(c, router.Broken, x.Elapsed)
			return false
		}
		x.DiscardReceived()
		x.Close()
		g.endAttempt(c, router.Shed, x.Elapsed)
		return false
	}
	c.mayHaveRun = true
	if c.hasClaim {
		return g.completeClaim(c, x)
	}
	return g.writeResponse(c, x, nil)
}

// wasShed reports whether the upstream refused the request and stated that it did not run it.
func wasShed(x *forward.Exchange) bool {
	if x.Status != http.StatusTooManyRequests && x.Status != http.StatusServiceUnavailable {
		return false
	}
	return x.Header.Get(forward.ExecutionHeader) == string(fault.NotExecuted)
}

// handleFailure handles an attempt without a response, and reports whether the request was
// answered.
func (g *Gateway) handleFailure(c *call, err error) bool {
	var f *forward.Failure
	if !errors.As(err, &f) {
		f = &forward.Failure{Reason: forward.Broken, Sent: true, Fault: fault.Of(err)}
	}
	if f.Sent {
		c.mayHaveRun = true
	} else {
		// A streamed body is not read before the request's head was sent.
		c.uploadStarted = false
	}
	g.Log.WithField("step", f.Fault.Step).WithField("peer", f.Fault.Peer).WithField("sent", f.Sent).
		Debug(f.Fault.Message)
	c.aborted = f.Sent && f.Reason.Aborted()
	switch f.Reason {
	case forward.Cancelled:
		g.endAttempt(c, router.Abandoned, 0)
		g.abandonClaimAsync(c)
		return true
	case forward.UploadFailed, forward.BodyTooLarge:
		g.endAttempt(c, router.Abandoned, 0)
		g.refuse(c, f.Fault)
		return true
	}
	switch {
	case f.Reason == forward.StartedLate || f.Reason == forward.Withheld && c.lapsed:
		g.endAttempt(c, router.Lapsed, 0)
	case f.Reason == forward.Withheld:
		g.endAttempt(c, router.Withheld, 0)
	case f.Sent:
		c.reusedConn = f.Reused
		g.endAttempt(c, router.Broken, 0)
	default:
		g.endAttempt(c, router.NotSent, 0)
	}
	return false
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// writeResponse sends the response to the caller: its head, the part of the body that was already
// read, and the rest of the body.
func (g *Gateway) writeResponse(c *call, x *forward.Exchange, bodyStart []byte) bool {
	g.writeHead(c, x)
	outcome := router.Answered
	if len(bodyStart) > 0 {
		if _, err := c.w.Write(bodyStart); err != nil {
			outcome = router.Abandoned
		}
	}
	if outcome == router.Answered && !x.Complete() {
		outcome = g.copyBody(c, x)
	}
	for name, values := range x.Trailer() {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
	// Close releases the connection before the end of the attempt releases the slot, so that the
	// next request finds a free connection.
	x.Close()
	c.aborted = outcome == router.Abandoned || x.Aborted()
	g.endAttempt(c, outcome, x.Elapsed)
	if outcome != router.Answered {
		listener.BreakOff(c.r) // the caller must not take a partial response for a complete one
	}
	if x.Length != 0 {
		_ = c.responseController().SetWriteDeadline(time.Time{})
	}
	return true
}

// writeHead writes the response's head.
func (g *Gateway) writeHead(c *call, x *forward.Exchange) {
	h := c.w.Header()
	for name, values := range x.Header {
		h[name] = values
	}
	delete(h, forward.ExecutionHeader)
	delete(h, forward.LeavingHeader)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	if !c.bodyRead.Load() || g.stopping.Load() {
		// The rest of the request body will not be read, so the connection cannot serve another
		// request; or a graceful shutdown began during this one.
		h["Connection"] = []string{"close"}
	}
	if x.Length != 0 {
		_ = c.responseController().SetWriteDeadline(clock.Deadline(c.clock, c.deadline))
	}
	c.responded = true
	c.w.WriteHeader(x.Status)
}

// copyBody copies the response's body as it arrives.
func (g *Gateway) copyBody(c *call, x *forward.Exchange) router.Outcome {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	copyStart := g.Clock.Now()
	defer func() { c.upstreamTime += g.Clock.Now().Sub(copyStart) }()
	for {
		n, err := x.Read(*buf)
		if n > 0 {
			if _, writeErr := c.w.Write((*buf)[:n]); writeErr != nil {
				return router.Abandoned
			}
		}
		if err == io.EOF {
			return router.Answered
		}
		if err != nil {
			var f *forward.Failure
			if errors.As(err, &f) && f.Reason == forward.Cancelled {
				return router.Abandoned
			}
			return router.Truncated
		}
		if !x.HasBuffered() {
			if flusher, ok := c.w.(http.Flusher); ok {
				flusher.Flush()
			}
		}
	}
}

// refuse responds with an error. It abandons the claim first if the request certainly did not run.
func (g *Gateway) refuse(c *call, f *fault.Error) {
	if c.mayHaveRun || f.Execution == "" {
		f.Execution = fault.ExecutionUnknown
	}
	if f.Execution == fault.NotExecuted {
		g.abandonClaim(c)
	}
	if !c.bodyRead.Load() {
		c.discardBody()
	}
	if g.stopping.Load() {
		c.w.Header().Set("Connection", "close")
	}
	if isCallerFault(f) {
		g.Log.WithField("step", f.Step).WithField("peer", c.r.RemoteAddr).WithField("code", f.Code).Info(f.Message)
	}
	c.responded = true
	writeFault(c.w, f, true)
}

// isCallerFault reports whether the caller caused the error. The router counts other errors, such
// as exhausted limits, so they are not logged one by one.
func isCallerFault(f *fault.Error) bool {
	switch f.Code {
	case fault.Invalid, fault.InvalidKey, fault.TooLarge, fault.NotFound, fault.Mismatch:
		return true
	}
	return f.Code == fault.Deadline && f.Step == "parse"
}
