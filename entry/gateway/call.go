package gateway

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/entry/forward"
	"cuminfall.example/entry/router"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
)

// action is the next step of a request that the router decided on.
type action uint8

const (
	actionSend action = iota + 1
	actionRefuse
	actionClaim
	actionFinish
)

// call is the state of a routed request.
type call struct {
	id             router.RequestID
	w              http.ResponseWriter
	r              *http.Request
	clock          clock.Clock
	startedAt      time.Time
	deadline       time.Time
	idempotencyKey string // value of the caller's Idempotency-Key header, or ""

	// Written while Gateway.mu is held.
	nextAction  action
	actionReady chan struct{}
	send        router.Send
	claim       router.Claim
	refusal     fault.Error

	body              []byte        // the whole request body, if bodyBuffered
	bodyBuffered      bool          // body holds the whole request body
	uploadStarted     bool          // reading a streamed body for an upstream has begun
	uploadInterrupted bool          // reads of the request body fail from now on
	bodyRead          atomic.Bool   // the request body was read to its end; the upload's goroutine may set it
	responded         bool          // the head of the response or refusal was written
	mayHaveRun        bool          // an upstream may have run the request
	aborted           bool          // this VM ended the latest attempt, so that the upstream may still run it
	lapsed            bool          // the router did not allow the latest attempt to be sent
	reusedConn        bool          // the latest attempt failed on a reused connection
	upstreamTime      time.Duration // time spent waiting for upstreams

	hasClaim    bool   // control granted the claim and it was not abandoned
	claimNumber uint64 // claim number that control assigned
	claimToken  string

	arrivedEvent router.RequestArrived
	endedEvent   router.AttemptEnded
	outcomeBody  bytes.Buffer
}

// maxPrereadBody is the largest body in bytes that is read before the request is routed. Reading it
// first means that no slot is held for a slow caller, and that the request can be sent again.
const maxPrereadBody = 64 << 10

// maxNonIdempotentBody is the largest body in bytes of a non-idempotent request. The whole body is
// kept in memory, because the claim's digest covers it.
const maxNonIdempotentBody = 1 << 20

var callPool = sync.Pool{New: func() any { return &call{actionReady: make(chan struct{}, 1)} }}

func newCall(w http.ResponseWriter, r *http.Request, clk clock.Clock) *call {
	c := callPool.Get().(*call)
	c.w, c.r, c.clock, c.startedAt = w, r, clk, clk.Now()
	return c
}

// release returns the call to the pool. Its id must no longer be in Gateway.calls.
func (c *call) release() {
	actionReady, outcomeBody, body := c.actionReady, c.outcomeBody, c.body
	select {
	case <-actionReady:
	default:
	}
	outcomeBody.Reset()
	if outcomeBody.Cap() > 2*maxPrereadBody {
		outcomeBody = bytes.Buffer{}
	}
	if cap(body) > maxPrereadBody {
		body = nil
	}
	callPool.Put(&call{actionReady: actionReady, outcomeBody: outcomeBody, body: body[:0]})
}

// setAction sets the next action and wakes the request's handler. The caller holds Gateway.mu.
func (c *call) setAction(next action) {
	c.nextAction = next
	select {
	case c.actionReady <- struct{}{}:
	default:
	}
}

// bufferBody reads the whole request body into memory. It fails if the body has more than limit
// bytes.
func (c *call) bufferBody(limit int64) *fault.Error {
	if c.bodyBuffered {
		return nil
	}
	if c.r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	if err := c.responseController().SetReadDeadline(clock.Deadline(c.clock, c.deadline)); err != nil {
		return notExecuted(fault.Internal, "read body", "%v", err)
	}
	c.body = c.body[:0]
	if n := c.r.ContentLength; n >= 0 {
		if int64(cap(c.body)) < n {
			c.body = make([]byte, n)
		}
		c.body = c.body[:n]
		if _, err := io.ReadFull(c.r.Body, c.body); err != nil {
			return c.bodyReadFault(err)
		}
		// The server detects a disconnected client only after the end of the body was read.
		var end [1]byte
		if _, err := c.r.Body.Read(end[:]); err != io.EOF {
			return c.bodyReadFault(err)
		}
	} else {
		body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
		if err != nil {
			return c.bodyReadFault(err)
		}
		if int64(len(body)) > limit {
			return bodyTooLarge(limit)
		}
		c.body = body
	}
	c.bodyBuffered = true
	c.bodyRead.Store(true)
	// The server's detection of a disconnected client must not end at the deadline.
	if err := c.responseController().SetReadDeadline(time.Time{}); err != nil {
		return notExecuted(fault.Internal, "read body", "%v", err)
	}
	return nil
}

func (c *call) bodyReadFault(err error) *fault.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notExecuted(fault.Deadline, "read body", "deadline exceeded before the request body was received")
	}
	return notExecuted(fault.Invalid, "read body", "request body could not be read: %v", err)
}

func bodyTooLarge(limit int64) *fault.Error {
	return notExecuted(fault.TooLarge, "read body", "request body exceeds %d bytes", limit)
}

func notExecuted(code fault.Code, step, format string, args ...any) *fault.Error {
	f := fault.New(code, step, "", format, args...)
	f.Execution = fault.NotExecuted
	return f
}

func (c *call) responseController() *http.ResponseController { return http.NewResponseController(c.w) }

// interruptUpload makes reads of the request body fail.
func (c *call) interruptUpload() {
	c.uploadInterrupted = true
	_ = c.responseController().SetReadDeadline(time.Unix(1, 0))
}

// disconnected returns a channel that is closed when the client disconnects. After interruptUpload
// it returns nil, because the server reports an interrupted read as a disconnect too.
func (c *call) disconnected() <-chan struct{} {
	if c.uploadInterrupted {
		return nil
	}
	return c.r.Context().Done()
}

// Limits of reading and dropping a request body before a refusal.
const (
	maxDiscardedBody = 256 << 10
	discardTimeout   = time.Second
)

// discardBody reads and drops the rest of a refused request's body if it is short, because closing
// the connection with unread bytes could destroy the refusal on its way to the client. It reads
// nothing after an Expect header, because such a client has not sent its body yet.
func (c *call) discardBody() {
	if c.uploadInterrupted || c.r.ContentLength > maxDiscardedBody || c.r.Header.Get("Expect") != "" {
		c.w.Header().Set("Connection", "close")
		return
	}
	if c.responseController().SetReadDeadline(clock.Deadline(c.clock, c.clock.Now().Add(discardTimeout))) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, maxDiscardedBody); err != io.EOF {
		c.w.Header().Set("Connection", "close")
	}
}

// bodyReader reads the request body for an upload and records that its end was read.
type bodyReader struct{ c *call }

// Read implements io.Reader.
func (r bodyReader) Read(b []byte) (int, error) {
	n, err := r.c.r.Body.Read(b)
	if err == io.EOF {
		r.c.bodyRead.Store(true)
	}
	return n, err
}

// forwardRequest returns the request of the attempt that the router decided on.
func (c *call) forwardRequest(throttle func(int, bool) (time.Duration, int)) *forward.Request {
	r := c.r
	target := r.RequestURI
	if target == "" || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	q := &forward.Request{
		Endpoint: c.send.Endpoint, Incarnation: c.send.Incarnation,
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header,
		Workspace: c.send.Workspace, Deadline: c.deadline, StartBy: c.send.StartBy, NewConnection: c.send.NewConnection,
	}
	if c.send.ThrottleBody {
		q.Throttle = throttle
	}
	// A late copy of an earlier response must not become the stored outcome, or end an upload early.
	q.NeedsIdentity = c.hasClaim || !c.bodyBuffered
	switch {
	case c.bodyBuffered:
		q.Body = c.body
	case r.ContentLength != 0:
		q.Stream, q.Length, q.MaxBody = bodyReader{c}, r.ContentLength, int64(c.send.MaxBody)
		q.Interrupt = c.interruptUpload
	}
	return q
}
