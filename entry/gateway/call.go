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
	"cuminfall.example/fleet/fault"
)

// order is what the router wants done for a request next.
type order uint8

const (
	toSend order = iota + 1
	toRefuse
	toClaim
	toFinish
)

// call is the state of one routed request.
type call struct {
	id       router.RequestID
	w        http.ResponseWriter
	r        *http.Request
	began    time.Time
	deadline time.Time
	once     string // the caller's idempotency key

	// Written under the gateway's lock.
	next    order
	wake    chan struct{}
	send    router.Send
	claim   router.Claim
	refusal fault.Error

	whole       []byte      // the body, once it was read whole
	buffered    bool        // whole holds the body
	started     bool        // a streamed body was handed to an upstream's connection
	interrupted bool        // reads of the body fail from now on
	finished    atomic.Bool // the body was read to its end; set by the upload's goroutine
	replied     bool        // the head of an answer or of a refusal was written
	mayRun      bool        // an upstream may have run the request
	givenUp     bool        // the latest attempt was ended by this VM, so the upstream may still run it
	reused      bool        // the latest attempt broke on a connection that had served an earlier request
	upstream    time.Duration

	claimed bool   // control granted the claim
	number  uint64 // of the claim
	token   string

	arrived router.RequestArrived
	ended   router.AttemptEnded
	store   bytes.Buffer
}

// Bodies up to smallBody are read before the request is routed, so that no
// slot is held for a slow caller and the request can be sent again.
const smallBody = 64 << 10

// onceBody is the largest body of a non-idempotent request, whose digest needs it whole.
const onceBody = 1 << 20

var callPool = sync.Pool{New: func() any { return &call{wake: make(chan struct{}, 1)} }}

func newCall(w http.ResponseWriter, r *http.Request, now time.Time) *call {
	c := callPool.Get().(*call)
	c.w, c.r, c.began = w, r, now
	return c
}

// free makes the record reusable; the gateway no longer knows its id.
func (c *call) free() {
	wake, store, whole := c.wake, c.store, c.whole
	select {
	case <-wake:
	default:
	}
	store.Reset()
	if store.Cap() > 2*smallBody {
		store = bytes.Buffer{}
	}
	if cap(whole) > smallBody {
		whole = nil
	}
	callPool.Put(&call{wake: wake, store: store, whole: whole[:0]})
}

// order wakes the request's handler; the gateway's lock is held.
func (c *call) order(o order) {
	c.next = o
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// buffer reads the whole body, which may have up to most bytes.
func (c *call) buffer(most int64) *fault.Error {
	if c.buffered {
		return nil
	}
	if c.r.ContentLength > most {
		return tooLarge(most)
	}
	if err := c.control().SetReadDeadline(c.deadline); err != nil {
		return notRun(fault.Internal, "read body", "%v", err)
	}
	c.whole = c.whole[:0]
	if n := c.r.ContentLength; n >= 0 {
		if int64(cap(c.whole)) < n {
			c.whole = make([]byte, n)
		}
		c.whole = c.whole[:n]
		if _, err := io.ReadFull(c.r.Body, c.whole); err != nil {
			return c.cut(err)
		}
		// The server looks for a caller that goes away only after the body's end was seen.
		var end [1]byte
		if _, err := c.r.Body.Read(end[:]); err != io.EOF {
			return c.cut(err)
		}
	} else {
		body, err := io.ReadAll(io.LimitReader(c.r.Body, most+1))
		if err != nil {
			return c.cut(err)
		}
		if int64(len(body)) > most {
			return tooLarge(most)
		}
		c.whole = body
	}
	c.buffered = true
	c.finished.Store(true)
	// The server's watch for a caller that goes away must not end at the deadline.
	if err := c.control().SetReadDeadline(time.Time{}); err != nil {
		return notRun(fault.Internal, "read body", "%v", err)
	}
	return nil
}

func (c *call) cut(err error) *fault.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun(fault.Deadline, "read body", "time-out passed before the request body's end")
	}
	return notRun(fault.Invalid, "read body", "request body ended early: %v", err)
}

func tooLarge(most int64) *fault.Error {
	return notRun(fault.TooLarge, "read body", "request body is over %d bytes", most)
}

func notRun(code fault.Code, step, format string, args ...any) *fault.Error {
	f := fault.New(code, step, "", format, args...)
	f.Execution = fault.NotExecuted
	return f
}

func (c *call) control() *http.ResponseController { return http.NewResponseController(c.w) }

// interrupt makes reads of the caller's body fail.
func (c *call) interrupt() {
	c.interrupted = true
	_ = c.control().SetReadDeadline(c.began)
}

// gone returns a channel that is closed when the caller goes away. The server
// takes an interrupted read for the same, so it says nothing after an interruption.
func (c *call) gone() <-chan struct{} {
	if c.interrupted {
		return nil
	}
	return c.r.Context().Done()
}

// Bounds of the body that is read and thrown away before a refusal.
const (
	skipMost = 256 << 10
	skipWait = time.Second
)

// skipBody reads a short rest of a refused request's body, since closing the
// connection with unread bytes could take the refusal from the caller. A caller
// that asked whether to send its body has not sent it.
func (c *call) skipBody(now time.Time) {
	if c.interrupted || c.r.ContentLength > skipMost || c.r.Header.Get("Expect") != "" {
		c.w.Header().Set("Connection", "close")
		return
	}
	if c.control().SetReadDeadline(now.Add(skipWait)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, skipMost); err != io.EOF {
		c.w.Header().Set("Connection", "close")
	}
}

// source is the caller's body as the upload reads it.
type source struct{ c *call }

// Read implements io.Reader.
func (s source) Read(b []byte) (int, error) {
	n, err := s.c.r.Body.Read(b)
	if err == io.EOF {
		s.c.finished.Store(true)
	}
	return n, err
}

// request describes the attempt that the router ordered.
func (c *call) request(pace func(int, bool) (time.Duration, int)) *forward.Request {
	r := c.r
	target := r.RequestURI
	if target == "" || target[0] != '/' {
		target = r.URL.RequestURI()
	}
	q := &forward.Request{
		Endpoint: c.send.Endpoint, Incarnation: c.send.Incarnation,
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header,
		Workspace: c.send.Workspace, Deadline: c.deadline, NewConnection: c.send.NewConnection,
	}
	if c.send.ThrottleBody {
		q.Throttle = pace
	}
	switch {
	case c.buffered:
		q.Body = c.whole
	case r.ContentLength != 0:
		q.Stream, q.Length, q.MaxBody = source{c}, r.ContentLength, int64(c.send.MaxBody)
		q.Interrupt = c.interrupt
	}
	return q
}
