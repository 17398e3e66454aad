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
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if own(r.URL.Path) {
		g.mux.ServeHTTP(w, r)
		return
	}
	g.route(w, r)
}

// route serves a request for an upstream.
func (g *Gateway) route(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r, g.Clock.Now())
	defer c.free()
	credential, f := c.parse()
	if f == nil && r.ContentLength == 0 {
		c.buffered = true
		c.finished.Store(true)
	}
	if f == nil && r.ContentLength > 0 && r.ContentLength <= smallBody {
		f = c.buffer(smallBody)
	}
	if f != nil {
		g.refuse(c, f)
		return
	}
	g.mu.Lock()
	g.last++
	c.id = g.last
	g.calls[c.id] = c
	c.arrived = router.RequestArrived{
		At: g.Clock.Now(), ID: c.id, Path: r.URL.Path, KeyID: credential.id, KeyHash: credential.hash,
		IdempotencyKey: c.once, Deadline: c.deadline, Size: ident.Bytes(r.ContentLength),
	}
	g.step(&c.arrived)
	g.mu.Unlock()
	defer g.forget(c)
	g.serve(c)
	g.measure(c)
	if !c.replied {
		// The caller went away. Without this the server would answer 200 with an empty body.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) forget(c *call) {
	g.mu.Lock()
	delete(g.calls, c.id)
	g.mu.Unlock()
}

func (g *Gateway) measure(c *call) {
	total := g.Clock.Now().Sub(c.began)
	g.total.Update(total.Microseconds())
	g.added.Update((total - c.upstream).Microseconds())
}

// serve follows the router's orders until the last one.
func (g *Gateway) serve(c *call) {
	for {
		select {
		case <-c.wake:
		case <-c.gone():
			g.cancelled(c)
			return
		}
		g.mu.Lock()
		next := c.next
		c.next = 0
		g.mu.Unlock()
		switch next {
		case toSend:
			if g.attempt(c) {
				return
			}
		case toClaim:
			if g.reserve(c) {
				return
			}
		case toRefuse:
			f := c.refusal
			g.refuse(c, &f)
			return
		case toFinish:
			return
		}
	}
}

// cancelled tells the router that the caller went away before an attempt.
func (g *Gateway) cancelled(c *call) {
	now := g.Clock.Now()
	g.mu.Lock()
	if c.next == toSend {
		c.ended = router.AttemptEnded{At: now, ID: c.id, Attempt: c.send.Attempt, Outcome: router.Abandoned}
		g.step(&c.ended)
	} else {
		g.step(&router.RequestCancelled{At: now, ID: c.id})
	}
	g.mu.Unlock()
	g.giveUp(c)
}

// end reports the end of an attempt.
func (g *Gateway) end(c *call, outcome router.Outcome, elapsed time.Duration) {
	g.mu.Lock()
	c.ended = router.AttemptEnded{
		At: g.Clock.Now(), ID: c.id, Attempt: c.send.Attempt, Outcome: outcome,
		Resendable: c.buffered || !c.started, Aborted: c.givenUp, Reused: c.reused, Elapsed: elapsed,
	}
	g.step(&c.ended)
	g.mu.Unlock()
}

// attempt sends the request once, and reports whether the request was answered.
func (g *Gateway) attempt(c *call) bool {
	ctx := c.r.Context()
	if c.claimed || c.interrupted {
		// The outcome of a claim is stored even when the caller does not wait for it, so that a repeat gets it.
		ctx = context.WithoutCancel(ctx)
	}
	c.started = c.started || !c.buffered
	c.reused, c.givenUp = false, false
	q := c.request(func(n int, back bool) (time.Duration, int) { return g.pace(c.id, n, back) })
	if q.Stream != nil {
		if err := c.control().EnableFullDuplex(); err != nil {
			g.end(c, router.Abandoned, 0)
			g.refuse(c, notRun(fault.Internal, "read body", "%v", err))
			return true
		}
	}
	from := g.Clock.Now()
	x, err := g.Forward.Do(ctx, q)
	c.upstream += g.Clock.Now().Sub(from)
	if err != nil {
		return g.failed(c, err)
	}
	defer x.Close()
	if shed(x) {
		x.Discard(smallBody)
		x.Close()
		g.end(c, router.Shed, x.Elapsed)
		return false
	}
	c.mayRun = true
	if c.claimed {
		return g.complete(c, x)
	}
	return g.pass(c, x, nil)
}

// shed reports whether the upstream refused the request and said that it did not run.
func shed(x *forward.Exchange) bool {
	if x.Status != http.StatusTooManyRequests && x.Status != http.StatusServiceUnavailable {
		return false
	}
	return x.Header.Get(forward.ExecutionHeader) == string(fault.NotExecuted)
}

// failed reports an attempt without an answer, and whether the request was answered.
func (g *Gateway) failed(c *call, err error) bool {
	var f *forward.Failure
	if !errors.As(err, &f) {
		f = &forward.Failure{Reason: forward.Broken, Sent: true, Fault: fault.Of(err)}
	}
	if f.Sent {
		c.mayRun = true
	} else {
		// Nothing was read of a streamed body before its head was sent.
		c.started = false
	}
	g.Log.WithField("step", f.Fault.Step).WithField("peer", f.Fault.Peer).WithField("sent", f.Sent).
		Debug(f.Fault.Message)
	c.givenUp = f.Sent && f.Reason.Aborted()
	switch f.Reason {
	case forward.Cancelled:
		g.end(c, router.Abandoned, 0)
		g.giveUp(c)
		return true
	case forward.UploadFailed, forward.BodyTooLarge:
		g.end(c, router.Abandoned, 0)
		g.refuse(c, f.Fault)
		return true
	}
	if f.Sent {
		c.reused = f.Reused
		g.end(c, router.Broken, 0)
	} else {
		g.end(c, router.NotSent, 0)
	}
	return false
}

var copyPool = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// pass sends the answer to the caller: its head, the part of the body that was
// read already, and the rest.
func (g *Gateway) pass(c *call, x *forward.Exchange, read []byte) bool {
	g.head(c, x)
	outcome := router.Answered
	if len(read) > 0 {
		if _, err := c.w.Write(read); err != nil {
			outcome = router.Abandoned
		}
	}
	if outcome == router.Answered && !x.Complete() {
		outcome = g.body(c, x)
	}
	for name, values := range x.Trailer() {
		c.w.Header()[http.TrailerPrefix+name] = values
	}
	// The connection is free for the next request before the slot is.
	x.Close()
	c.givenUp = outcome == router.Abandoned || x.Aborted()
	g.end(c, outcome, x.Elapsed)
	if outcome != router.Answered {
		// The caller must not take a part of the answer for the whole.
		panic(http.ErrAbortHandler)
	}
	if x.Length != 0 {
		_ = c.control().SetWriteDeadline(time.Time{})
	}
	return true
}

// head writes the answer's head.
func (g *Gateway) head(c *call, x *forward.Exchange) {
	h := c.w.Header()
	for name, values := range x.Header {
		h[name] = values
	}
	delete(h, forward.ExecutionHeader)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server would guess one
	}
	if !c.finished.Load() || g.closing.Load() {
		// The rest of the body will not be read, so the connection cannot serve
		// another request; or a stop began while this one was served.
		h["Connection"] = []string{"close"}
	}
	if x.Length != 0 {
		_ = c.control().SetWriteDeadline(c.deadline)
	}
	c.replied = true
	c.w.WriteHeader(x.Status)
}

// body copies the answer's body as it arrives.
func (g *Gateway) body(c *call, x *forward.Exchange) router.Outcome {
	space := copyPool.Get().(*[]byte)
	defer copyPool.Put(space)
	from := g.Clock.Now()
	defer func() { c.upstream += g.Clock.Now().Sub(from) }()
	for {
		n, err := x.Read(*space)
		if n > 0 {
			if _, writeErr := c.w.Write((*space)[:n]); writeErr != nil {
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

// refuse answers with an error, and gives a claim up first when the request certainly did not run.
func (g *Gateway) refuse(c *call, f *fault.Error) {
	if c.mayRun || f.Execution == "" {
		f.Execution = fault.ExecutionUnknown
	}
	if f.Execution == fault.NotExecuted {
		g.abandon(c)
	}
	if !c.finished.Load() {
		c.skipBody(g.Clock.Now())
	}
	if g.closing.Load() {
		c.w.Header().Set("Connection", "close")
	}
	if badInput(f) {
		g.Log.WithField("step", f.Step).WithField("peer", c.r.RemoteAddr).WithField("code", f.Code).Info(f.Message)
	}
	c.replied = true
	writeFault(c.w, f, true)
}

// badInput reports whether the fault is the caller's own. Others, such as a
// full share, are counted by the router and not logged one by one.
func badInput(f *fault.Error) bool {
	switch f.Code {
	case fault.Invalid, fault.Key, fault.TooLarge, fault.NotFound, fault.Mismatch:
		return true
	}
	return f.Code == fault.Deadline && f.Step == "parse"
}
