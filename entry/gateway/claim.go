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

// Timeouts of claims.
const (
	abandonTimeout           = time.Second      // wait before a refusal for its claim to be abandoned
	backgroundAbandonTimeout = 30 * time.Second // further attempts in the background to abandon a claim
	responseMargin           = 200 * time.Millisecond
)

// maxStoredBody is the largest response body in bytes that control stores.
const maxStoredBody = 64 << 10

// acquireClaim claims the right to run the request, and reports whether the request was answered.
func (g *Gateway) acquireClaim(c *call) bool {
	if f := c.bufferBody(maxNonIdempotentBody); f != nil {
		g.mu.Lock()
		g.step(&router.RequestCancelled{At: g.Clock.Now(), ID: c.id})
		g.mu.Unlock()
		g.refuse(c, f)
		return true
	}
	c.claimToken = fmt.Sprintf("%s-%x-%x", g.VM, uint64(g.Incarnation), g.claimSerial.Add(1))
	reply, err := g.Control.Claim(c.r.Context(), c.deadline, &rpc.ClaimRequest{
		Vm: string(g.VM), Incarnation: uint64(g.Incarnation),
		Workspace: string(c.claim.Workspace), Service: string(c.claim.Service),
		Key: c.idempotencyKey, Digest: c.requestDigest(), Token: c.claimToken,
	})
	event := router.ClaimResult{ID: c.id}
	if err != nil {
		event.Failure = fault.Of(err)
		event.Failure.Execution = fault.NotExecuted
		// Control may have committed the claim although its reply was lost.
		g.startAbandon(c)
	} else {
		event.State = reply.State
		c.hasClaim = reply.State == rpc.ClaimState_CLAIM_STATE_GRANTED
		c.claimNumber = reply.Claim
	}
	g.mu.Lock()
	event.At = g.Clock.Now()
	g.step(&event)
	next := c.nextAction
	g.mu.Unlock()
	if next == actionFinish && event.State == rpc.ClaimState_CLAIM_STATE_COMPLETED {
		g.replayOutcome(c, reply.Outcome)
		return true
	}
	return false
}

// requestDigest returns a hash of the request's content, by which control detects that an
// idempotency key is used for two different requests.
func (c *call) requestDigest() []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{c.r.Method, c.r.URL.EscapedPath(), c.r.URL.RawQuery} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		_, _ = io.WriteString(h, part)
	}
	h.Write(c.body)
	return h.Sum(nil)
}

// replayOutcome responds with the stored outcome of an earlier run.
func (g *Gateway) replayOutcome(c *call, outcome *rpc.Outcome) {
	if outcome == nil || outcome.Truncated {
		c.mayHaveRun = true
		g.refuse(c, fault.New(fault.Pending, "claim", "control",
			"the request ran and its response had status %d and a body too large to store", outcome.GetStatus()))
		return
	}
	h := c.w.Header()
	for _, f := range outcome.Headers {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	c.responded = true
	c.w.WriteHeader(int(outcome.Status))
	_, _ = c.w.Write(outcome.Body)
}

// completeClaim stores the outcome of a claimed request before its response goes to the caller, and
// reports whether the request was answered.
func (g *Gateway) completeClaim(c *call, x *forward.Exchange) bool {
	c.outcomeBody.Reset()
	_, err := io.CopyN(&c.outcomeBody, x, maxStoredBody+1)
	if err != nil && err != io.EOF {
		// Nothing was sent to the caller yet, so an error response is still possible.
		x.Close()
		c.aborted = x.Aborted()
		g.endAttempt(c, router.Broken, x.Elapsed)
		return false
	}
	outcome := &rpc.Outcome{Status: uint32(x.Status), Headers: storedHeaders(x.Header)}
	if x.Complete() && c.outcomeBody.Len() <= maxStoredBody {
		outcome.Body = c.outcomeBody.Bytes()
	} else {
		outcome.Truncated = true
	}
	now := g.Clock.Now()
	// The response must still reach the caller in time if control does not accept the outcome.
	margin := min(responseMargin, c.deadline.Sub(now)/10)
	err = g.Control.Complete(context.WithoutCancel(c.r.Context()), c.deadline.Add(-margin), &rpc.CompleteRequest{
		Workspace: string(c.send.Workspace), Service: string(c.send.Service),
		Key: c.idempotencyKey, Claim: c.claimNumber, Outcome: outcome,
	})
	if err != nil {
		g.Log.WithField("step", "complete").WithField("claim", c.claimNumber).WithError(err).Warn("could not store the outcome of the request")
	}
	return g.writeResponse(c, x, c.outcomeBody.Bytes())
}

// storedHeaders returns the header fields of a response that are stored with the outcome, for
// responses to repeats of the request.
func storedHeaders(h http.Header) []*rpc.Header {
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

func (g *Gateway) newAbandonRequest(c *call) *rpc.AbandonRequest {
	return &rpc.AbandonRequest{
		Workspace: string(c.claim.Workspace), Service: string(c.claim.Service),
		Key: c.idempotencyKey, Claim: c.claimNumber, Token: c.claimToken,
	}
}

// abandonClaim releases the claim of a request that certainly did not run, so that a repeat may
// run. It waits up to abandonTimeout and goes on in the background after a failure.
func (g *Gateway) abandonClaim(c *call) {
	if !c.hasClaim || c.mayHaveRun {
		return
	}
	ctx := context.WithoutCancel(c.r.Context())
	if g.Control.Abandon(ctx, g.Clock.Now().Add(abandonTimeout), g.newAbandonRequest(c)) != nil {
		g.startAbandon(c)
	}
	c.hasClaim = false
}

// abandonClaimAsync does the same as abandonClaim without waiting, for a client that has
// disconnected.
func (g *Gateway) abandonClaimAsync(c *call) {
	if c.hasClaim && !c.mayHaveRun {
		g.startAbandon(c)
	}
}

// startAbandon tries to abandon the claim in the background.
func (g *Gateway) startAbandon(c *call) {
	request := g.newAbandonRequest(c)
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		if err := g.Control.Abandon(context.Background(), g.Clock.Now().Add(backgroundAbandonTimeout), request); err != nil {
			g.Log.WithField("step", "abandon").WithField("service", ident.Service(request.Service)).
				WithError(err).Warn("could not abandon the claim, which stays pending")
		}
	}()
}
