package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"time"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Times of claims.
const (
	abandonWait = time.Second      // within which a refusal waits for its claim to be given up
	settleWait  = 30 * time.Second // for which giving up goes on afterwards
	passMargin  = 200 * time.Millisecond
)

// storedBody is the largest answer body that control stores.
const storedBody = 64 << 10

// reserve claims the right to run the request, and reports whether it was answered.
func (g *Gateway) reserve(c *call) bool {
	if f := c.buffer(onceBody); f != nil {
		g.mu.Lock()
		g.step(&router.RequestCancelled{At: g.Clock.Now(), ID: c.id})
		g.mu.Unlock()
		g.refuse(c, f)
		return true
	}
	c.token = fmt.Sprintf("%s-%x-%x", g.VM, uint64(g.Incarnation), g.serial.Add(1))
	reply, err := g.Control.Claim(c.r.Context(), c.deadline, &rpc.ClaimRequest{
		Vm: string(g.VM), Incarnation: uint64(g.Incarnation),
		Workspace: string(c.claim.Workspace), Service: string(c.claim.Service),
		Key: c.once, Digest: c.digest(), Token: c.token,
	})
	event := router.ClaimResult{ID: c.id}
	if err != nil {
		event.Failure = fault.Of(err)
		event.Failure.Execution = fault.NotExecuted
		// Control may have committed the claim all the same.
		g.settle(c)
	} else {
		event.State = reply.State
		c.claimed = reply.State == rpc.ClaimState_CLAIM_STATE_GRANTED
		c.number = reply.Claim
	}
	g.mu.Lock()
	event.At = g.Clock.Now()
	g.step(&event)
	next := c.next
	g.mu.Unlock()
	if next == toFinish && event.State == rpc.ClaimState_CLAIM_STATE_COMPLETED {
		g.repeat(c, reply.Outcome)
		return true
	}
	return false
}

// digest identifies the content of a request, so that a key is not used for two.
func (c *call) digest() []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{c.r.Method, c.r.URL.EscapedPath(), c.r.URL.RawQuery} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	h.Write(c.whole)
	return h.Sum(nil)
}

// repeat answers with the stored outcome of an earlier run.
func (g *Gateway) repeat(c *call, o *rpc.Outcome) {
	if o == nil || o.Truncated {
		c.mayRun = true
		g.refuse(c, fault.New(fault.Pending, "claim", "control",
			"the request ran and was answered with status %d, whose body was too large to store", o.GetStatus()))
		return
	}
	h := c.w.Header()
	for _, f := range o.Headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the server would guess one
	}
	c.replied = true
	c.w.WriteHeader(int(o.Status))
	_, _ = c.w.Write(o.Body)
}

// complete stores the outcome of a claimed request before its answer goes to
// the caller, and reports whether the request was answered.
func (g *Gateway) complete(c *call, x *forward.Exchange) bool {
	c.store.Reset()
	_, err := io.CopyN(&c.store, x, storedBody+1)
	if err != nil && err != io.EOF {
		// Nothing was passed on, so the caller can still be told.
		x.Close()
		c.givenUp = x.Aborted()
		g.end(c, router.Broken, x.Elapsed)
		return false
	}
	o := &rpc.Outcome{Status: uint32(x.Status), Headers: stored(x.Header)}
	if x.Complete() && c.store.Len() <= storedBody {
		o.Body = c.store.Bytes()
	} else {
		o.Truncated = true
	}
	now := g.Clock.Now()
	// The answer must still reach the caller when control does not take the outcome.
	margin := min(passMargin, c.deadline.Sub(now)/10)
	err = g.Control.Complete(context.WithoutCancel(c.r.Context()), c.deadline.Add(-margin), &rpc.CompleteRequest{
		Workspace: string(c.send.Workspace), Service: string(c.send.Service),
		Key: c.once, Claim: c.number, Outcome: o,
	})
	if err != nil {
		g.Log.WithField("step", "complete").WithField("claim", c.number).WithError(err).Warn("outcome is not stored")
	}
	return g.pass(c, x, c.store.Bytes())
}

// stored returns the fields of an answer that a repeat gets again.
func stored(h http.Header) []*rpc.Header {
	var out []*rpc.Header
	for name, values := range h {
		if name == "Content-Length" || name == "Date" || name == forward.ExecutionHeader {
			continue
		}
		for _, v := range values {
			out = append(out, &rpc.Header{Name: name, Value: v})
		}
	}
	return out
}

func (g *Gateway) abandonRequest(c *call) *rpc.AbandonRequest {
	return &rpc.AbandonRequest{
		Workspace: string(c.claim.Workspace), Service: string(c.claim.Service),
		Key: c.once, Claim: c.number, Token: c.token,
	}
}

// abandon gives the claim of a request up that certainly did not run, so that a resend may run.
func (g *Gateway) abandon(c *call) {
	if !c.claimed || c.mayRun {
		return
	}
	ctx := context.WithoutCancel(c.r.Context())
	if g.Control.Abandon(ctx, g.Clock.Now().Add(abandonWait), g.abandonRequest(c)) != nil {
		g.settle(c)
	}
	c.claimed = false
}

// giveUp does what abandon does, for a caller that went away and need not wait.
func (g *Gateway) giveUp(c *call) {
	if c.claimed && !c.mayRun {
		g.settle(c)
	}
}

// settle goes on giving a claim up in the background.
func (g *Gateway) settle(c *call) {
	request := g.abandonRequest(c)
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		if err := g.Control.Abandon(context.Background(), g.Clock.Now().Add(settleWait), request); err != nil {
			g.Log.WithField("step", "abandon").WithField("service", ident.Service(request.Service)).
				WithError(err).Warn("claim stays pending")
		}
	}()
}
