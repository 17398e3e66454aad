package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// Options configures a Client; zero durations mean the defaults.
type Options struct {
	Origin         uint64   // sets the attempts of this process apart from those of others
	LocalAddr      net.Addr // of connections to upstreams; nil lets the host choose
	Clock          clock.Clock
	SilenceTimeout time.Duration // without progress, after which a connection is checked; 10 s by default
	DialTimeout    time.Duration // time-out of a new connection; 1 s by default
	IdleTimeout    time.Duration // after which an unused connection is closed; 60 s by default
	WireFormat     *WireFormat   // nil means the product's own
}

// Endpoint is an upstream to which requests may be sent.
type Endpoint struct {
	Address        ident.Address
	Incarnation    ident.Incarnation
	MaxConnections ident.Connections // most open connections of this process; 0 means none
}

// Stats counts what a Client did; all fields are updated atomically.
type Stats struct {
	Dialed  atomic.Int64 // new connections
	Reused  atomic.Int64 // requests on an idle connection
	Stale   atomic.Int64 // idle connections found closed or with unexpected bytes
	Silent  atomic.Int64 // connections closed because they went silent
	Limited atomic.Int64 // requests without a connection because of the limit
	Crossed atomic.Int64 // answers that carried the id of another attempt
}

// Client sends requests to upstreams.
type Client struct {
	dialect *WireFormat
	origin  uint64
	serial  atomic.Uint64 // of the last attempt
	source  net.Addr
	Stats   Stats
	clock   clock.Clock
	silence time.Duration
	dial    time.Duration
	idle    time.Duration
	mu      sync.RWMutex
	pools   map[ident.Address]*pool
}

// New returns a client that knows no endpoint yet.
func New(o Options) *Client {
	c := &Client{origin: o.Origin, source: o.LocalAddr, clock: o.Clock, silence: o.SilenceTimeout, dial: o.DialTimeout, idle: o.IdleTimeout, pools: make(map[ident.Address]*pool)}
	if c.dialect = o.WireFormat; c.dialect == nil {
		c.dialect = &own
	}
	if c.clock == nil {
		c.clock = clock.System{}
	}
	if c.silence <= 0 {
		c.silence = 10 * time.Second
	}
	if c.dial <= 0 {
		c.dial = time.Second
	}
	if c.idle <= 0 {
		c.idle = time.Minute
	}
	return c
}

// Request is one attempt at an upstream.
type Request struct {
	Endpoint      ident.Address
	Incarnation   ident.Incarnation
	Method        string
	Target        string // request target as the caller sent it
	Host          string
	Header        http.Header // the caller's; not changed
	Workspace     ident.Workspace
	Identity      string // of the upstream, for dialects that name it
	Deadline      time.Time
	MaxIdle       time.Duration // a kept connection must have been used within this time; 0 means any
	NewConnection bool          // on a new connection, because an earlier attempt broke on an old one
	Body          []byte        // the whole body, when Stream is nil
	Stream        io.Reader     // the body, read by another goroutine until Close or a failed Do returns
	Length        int64         // of Stream; -1 when unknown
	MaxBody       int64         // largest Stream; 0 means no limit
	// Interrupt makes a pending Read of Stream fail; required with Stream.
	Interrupt func()
	// Throttle returns how long to wait before n more body bytes may move, and 0
	// once they may; a positive most is the largest n that will ever do. Nil
	// means no limit. Calls may come from two goroutines.
	Throttle func(n int, back bool) (wait time.Duration, most int)
}

// Reason says why an exchange failed.
type Reason uint8

// Reasons of failures.
const (
	ConnectFailed    Reason = iota + 1 // no connection could be had
	Broken                             // the upstream closed the connection or broke the protocol
	DeadlineExceeded                   // the deadline passed
	Unresponsive                       // the connection made no progress while a new one opened
	Cancelled                          // the caller's context ended
	UploadFailed                       // the caller's body could not be read to its end
	BodyTooLarge                       // the caller's body is over the limit
)

// Aborted reports whether this side ended the exchange, so that the upstream may still run the request.
func (r Reason) Aborted() bool {
	switch r {
	case DeadlineExceeded, Unresponsive, Cancelled, UploadFailed, BodyTooLarge:
		return true
	default:
		return false
	}
}

// Failure is the error of an exchange.
type Failure struct {
	Reason Reason
	Sent   bool // a byte was handed to the upstream's connection
	Reused bool // the connection had served an earlier request
	// Incomplete says that the end of the request was never written, so that no upstream can have run it.
	Incomplete bool
	Fault      *fault.Error
}

// Error implements error.
func (f *Failure) Error() string { return f.Fault.Error() }

func (c *Client) poolOf(r *Request) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	p := c.pools[r.Endpoint]
	if p == nil || p.incarnation != r.Incarnation {
		return nil
	}
	return p
}

// Update replaces the known endpoints. It closes the idle connections to those
// that disappeared or came back as another incarnation.
func (c *Client) Update(endpoints []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[ident.Address]*pool, len(endpoints))
	for _, e := range endpoints {
		old := c.pools[e.Address]
		p := old
		if old == nil || old.incarnation != e.Incarnation || old.isRetired() {
			// Connections still in use at the earlier incarnation count against the new limit.
			p = &pool{client: c, address: e.Address, incarnation: e.Incarnation, previous: old}
		}
		p.setLimit(int(e.MaxConnections))
		kept[e.Address] = p
	}
	for a, p := range c.pools {
		if kept[a] == p {
			continue
		}
		p.retire()
		if kept[a] == nil && p.count() > 0 {
			kept[a] = p
		}
	}
	c.pools = kept
}

// Sweep closes idle connections that the upstream closed or that were unused for too long.
func (c *Client) Sweep() {
	c.mu.RLock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	oldest := c.clock.Now().Add(-c.idle)
	for _, p := range pools {
		p.sweep(oldest)
	}
}

// Close closes all idle connections and forgets all endpoints.
func (c *Client) Close() { c.Update(nil) }

// Do sends a request and reads the head of its answer. The error is a *Failure.
func (c *Client) Do(ctx context.Context, r *Request) (*Exchange, error) {
	p := c.poolOf(r)
	if p == nil {
		return nil, failure(ConnectFailed, false, r.Endpoint, fault.Unreachable, "endpoint has left or restarted")
	}
	if ctx.Err() != nil {
		return nil, failure(Cancelled, false, r.Endpoint, fault.Upstream, "caller went away")
	}
	// A process that was stopped for a while must not send late.
	if !c.clock.Now().Before(r.Deadline) {
		return nil, failure(DeadlineExceeded, false, r.Endpoint, fault.Deadline, "deadline passed before the send")
	}
	cn, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	x := &Exchange{c: cn, r: r, ctx: ctx, id: attemptID{c.origin, c.serial.Add(1)}}
	cn.begin(x, r.Deadline)
	x.stop = context.AfterFunc(ctx, x.cancel)
	err = x.send()
	if err == nil {
		err = x.readHead()
	}
	if err == nil {
		return x, nil
	}
	x.Close()
	var f *Failure
	if errors.As(err, &f) {
		f.Reused = cn.reused
	}
	return nil, err
}

func failure(reason Reason, sent bool, peer ident.Address, code fault.Code, text string) *Failure {
	run := fault.NotExecuted
	if sent {
		run = fault.ExecutionUnknown
	}
	return &Failure{Reason: reason, Sent: sent, Fault: &fault.Error{
		Code: code, Step: "forward", Peer: string(peer), Message: text, Execution: run,
	}}
}
