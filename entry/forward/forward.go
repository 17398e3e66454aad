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
	ClientID       uint64   // unique per client; part of the ID of each attempt
	LocalAddr      net.Addr // local address of connections to upstreams; nil lets the host choose
	Clock          clock.Clock
	SilenceTimeout time.Duration // time without progress after which a connection is checked; 10 s by default
	DialTimeout    time.Duration // timeout for opening a connection; 1 s by default
	IdleTimeout    time.Duration // time after which an unused connection is closed; 60 s by default
	MaxConns       int           // open connections to all endpoints together; 0 means no limit
	WireFormat     *WireFormat   // nil means the default header names
}

// Endpoint is an upstream to which requests may be sent.
type Endpoint struct {
	Address        ident.Address
	Incarnation    ident.Incarnation
	MaxConnections ident.Connections // open connections allowed to this process; 0 means none
}

// Stats counts the events of a Client. All fields are updated atomically.
type Stats struct {
	Dialed  atomic.Int64 // new connections
	Reused  atomic.Int64 // requests on an idle connection
	Stale   atomic.Int64 // idle connections that were closed, too old, had unexpected bytes to read or would not identify the response
	Silent  atomic.Int64 // connections closed because they made no progress
	Limited atomic.Int64 // requests that got no connection because of the limit
	Crossed atomic.Int64 // responses that carried the ID of another attempt
}

// Client sends requests to upstreams.
type Client struct {
	wireFormat     *WireFormat
	id             uint64
	lastSerial     atomic.Uint64 // serial number of the last attempt
	localAddr      net.Addr
	Stats          Stats
	clock          clock.Clock
	silenceTimeout time.Duration
	dialTimeout    time.Duration
	idleTimeout    time.Duration
	maxConns       int64
	open           atomic.Int64 // connections of all pools
	mu             sync.RWMutex
	pools          map[ident.Address]*pool
}

// New returns a client without endpoints; Update sets them.
func New(o Options) *Client {
	c := &Client{id: o.ClientID, localAddr: o.LocalAddr, clock: o.Clock, silenceTimeout: o.SilenceTimeout, dialTimeout: o.DialTimeout, idleTimeout: o.IdleTimeout, maxConns: int64(o.MaxConns), pools: make(map[ident.Address]*pool)}
	if c.wireFormat = o.WireFormat; c.wireFormat == nil {
		c.wireFormat = &defaultWireFormat
	}
	if c.clock == nil {
		c.clock = clock.System{}
	}
	if c.silenceTimeout <= 0 {
		c.silenceTimeout = 10 * time.Second
	}
	if c.dialTimeout <= 0 {
		c.dialTimeout = time.Second
	}
	if c.idleTimeout <= 0 {
		c.idleTimeout = time.Minute
	}
	return c
}

// Request is one attempt to run a caller's request at an upstream.
type Request struct {
	Endpoint      ident.Address
	Incarnation   ident.Incarnation
	Method        string
	Target        string // request target of the HTTP request line, as the caller sent it
	Host          string
	Header        http.Header // the caller's header fields; not modified
	Workspace     ident.Workspace
	Identity      string // the upstream's name, for wire formats with an IdentityHeader
	Deadline      time.Time
	StartBy       time.Time     // time before which the first byte must be written; zero means Deadline
	MaxIdle       time.Duration // idle time up to which a connection may be reused; 0 means no limit
	NewConnection bool          // open a new connection, because an earlier attempt failed on a reused one
	NeedsIdentity bool          // use a connection on which the response is known to belong to this request
	Body          []byte        // the whole body, if Stream is nil
	Stream        io.Reader     // the body; another goroutine reads it until Close or a failed Do returns
	Length        int64         // length of Stream in bytes; -1 if unknown
	MaxBody       int64         // largest allowed length of Stream in bytes; 0 means no limit
	// Interrupt makes a pending Read of Stream fail. It is required with Stream.
	Interrupt func()
	// BeforeSend is called right before the first byte is written. If it returns an error, nothing is
	// sent and Do fails with Withheld. Nil allows every send.
	BeforeSend func() error
	// OnHead is called with each response head of this request, interim ones included, even if the
	// exchange fails afterwards. It must not modify the header.
	OnHead func(status int, header http.Header)
	// Throttle returns how long to wait before n more body bytes may be transferred, and 0 once
	// they may. A positive maxBytes is the largest n that can ever be allowed. Nil means no limit.
	// Two goroutines may call it at the same time.
	Throttle func(n int, fromUpstream bool) (wait time.Duration, maxBytes int)
}

// Reason tells why an exchange failed.
type Reason uint8

// Reasons of failures.
const (
	ConnectFailed    Reason = iota + 1 // no connection could be opened
	Broken                             // the upstream closed the connection or broke the protocol
	DeadlineExceeded                   // the deadline passed
	Unresponsive                       // the connection made no progress while a new one opened
	Cancelled                          // the caller's context ended
	UploadFailed                       // the caller's body could not be read to its end
	BodyTooLarge                       // the caller's body is over the limit
	StartedLate                        // Request.StartBy passed before the first byte was written
	Withheld                           // Request.BeforeSend did not allow the send
)

// Aborted reports whether this side ended the exchange. The upstream may then still run the
// request.
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
	Sent   bool // at least one byte was written to the connection
	Reused bool // the connection had served an earlier request
	// Incomplete reports that the end of the request was never written and that the upstream has not
	// begun to answer.
	Incomplete bool
	Fault      *fault.Error
}

// Error implements error.
func (f *Failure) Error() string { return f.Fault.Error() }

func (c *Client) findPool(r *Request) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	p := c.pools[r.Endpoint]
	if p == nil || p.incarnation != r.Incarnation {
		return nil
	}
	return p
}

// Update replaces the endpoints. It closes the idle connections to endpoints that were removed or
// have another incarnation now.
func (c *Client) Update(endpoints []Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make(map[ident.Address]*pool, len(endpoints))
	for _, e := range endpoints {
		old := c.pools[e.Address]
		p := old
		if old == nil || old.incarnation != e.Incarnation || old.isRetired() {
			// Connections still in use at the earlier incarnation count towards the new limit.
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
		if kept[a] == nil && p.openTotal() > 0 {
			kept[a] = p
		}
	}
	c.pools = kept
}

// Sweep closes idle connections that the upstream closed or that were unused for too long.
func (c *Client) Sweep() { c.sweepBefore(c.clock.Now().Add(-c.idleTimeout)) }

// sweepBefore closes idle connections that the upstream closed or that were last used before cutoff.
func (c *Client) sweepBefore(cutoff time.Time) {
	c.mu.RLock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	for _, p := range pools {
		p.sweep(cutoff)
	}
}

// minUnused is the time for which a connection must have been unused to be closed at the limit.
const minUnused = 10 * time.Millisecond

// makeRoom reports whether one more connection may be opened. At the limit it closes unused
// connections first, beginning with those that were unused for longest.
func (c *Client) makeRoom() bool {
	if c.maxConns <= 0 {
		return true
	}
	for unused := c.idleTimeout / 2; c.open.Load() >= c.maxConns && unused > minUnused; unused /= 2 {
		c.sweepBefore(c.clock.Now().Add(-unused))
	}
	return c.open.Load() < c.maxConns
}

// Close closes all idle connections and removes all endpoints.
func (c *Client) Close() { c.Update(nil) }

// Do sends a request and reads the head of its response. The error is a *Failure.
func (c *Client) Do(ctx context.Context, r *Request) (*Exchange, error) {
	p := c.findPool(r)
	if p == nil {
		return nil, newFailure(ConnectFailed, false, r.Endpoint, fault.Unreachable, "upstream is not registered or has restarted")
	}
	if ctx.Err() != nil {
		return nil, newFailure(Cancelled, false, r.Endpoint, fault.Upstream, "client disconnected")
	}
	// A process that was suspended for a while must not send a request after its deadline.
	if !c.clock.Now().Before(r.Deadline) {
		return nil, newFailure(DeadlineExceeded, false, r.Endpoint, fault.Deadline, "deadline exceeded before the request was sent")
	}
	cn, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	x := &Exchange{conn: cn, request: r, ctx: ctx, id: attemptID{c.id, c.lastSerial.Add(1)}}
	cn.startExchange(x, r.Deadline)
	cn.carried.add(c.wireFormat.requestID(r))
	x.stopCancelHook = context.AfterFunc(ctx, x.onCancel)
	err = x.send()
	if err == nil {
		err = x.readResponseHead()
	}
	if err == nil {
		return x, nil
	}
	if x.withheld {
		x.release()
		return nil, err
	}
	x.Close()
	var f *Failure
	if errors.As(err, &f) {
		f.Reused = cn.reused
	}
	return nil, err
}

// Refuses reports whether an endpoint refuses a new connection, as it does when its process has ended. It returns false
// if that is not known, and also if the process has been replaced.
func (c *Client) Refuses(address ident.Address, incarnation ident.Incarnation) bool {
	p := c.findPool(&Request{Endpoint: address, Incarnation: incarnation})
	return p != nil && p.refuses(c.clock.Now().Add(c.dialTimeout))
}

func newFailure(reason Reason, sent bool, peer ident.Address, code fault.Code, message string) *Failure {
	execution := fault.NotExecuted
	if sent {
		execution = fault.ExecutionUnknown
	}
	return &Failure{Reason: reason, Sent: sent, Fault: &fault.Error{
		Code: code, Step: "forward", Peer: string(peer), Message: message, Execution: execution,
	}}
}
