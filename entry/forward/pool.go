package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
)

// pool holds the connections to one incarnation of an endpoint.
type pool struct {
	client      *Client
	address     ident.Address
	incarnation ident.Incarnation

	mu        sync.Mutex
	maxOpen   int
	openCount int // connections in use, idle or being opened
	idle      []*conn
	retired   bool
	previous  *pool // pool of the earlier incarnation while that has open connections

	roundTrip atomic.Int64 // shortest time that opening a connection took, in nanoseconds; 0 if none was opened
}

const (
	// maxRoundTrip bounds the round trip time that is taken from one connection, which a lost packet or a busy upstream
	// may have held up.
	maxRoundTrip = 200 * time.Millisecond
	// returnMargin is added to the round trip time for delays within this process.
	returnMargin = 5 * time.Millisecond
)

// recordRoundTrip records how long opening a connection took, which includes one round trip.
func (p *pool) recordRoundTrip(elapsed time.Duration) {
	shortest := p.roundTrip.Load()
	if elapsed = min(elapsed, maxRoundTrip); shortest == 0 || int64(elapsed) < shortest {
		p.roundTrip.Store(int64(elapsed))
	}
}

// returnTime returns by how much an upstream's time limit ends before the deadline of a request. A response that it sends
// at its limit, such as a refusal of a request which waited in its queue until then, still arrives in time.
func (p *pool) returnTime() time.Duration { return time.Duration(p.roundTrip.Load()) + returnMargin }

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	p.maxOpen = n
	var surplus []*conn
	for p.openCount-len(surplus) > n && len(surplus) < len(p.idle) {
		surplus = append(surplus, p.idle[len(surplus)])
	}
	p.idle = append(p.idle[:0], p.idle[len(surplus):]...)
	p.addOpen(-len(surplus))
	p.mu.Unlock()
	for _, c := range surplus {
		c.closeSocket()
	}
}

// openTotalLocked returns the number of open connections of this and earlier incarnations. The
// caller holds p.mu.
func (p *pool) openTotalLocked() int {
	n := p.openCount
	if p.previous != nil {
		p.previous.mu.Lock()
		previousOpen := p.previous.openTotalLocked()
		p.previous.mu.Unlock()
		if previousOpen == 0 {
			p.previous = nil
		}
		n += previousOpen
	}
	return n
}

// reserve adds one open connection to the count if the limit allows it.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired || p.openTotalLocked() >= p.maxOpen {
		return false
	}
	p.addOpen(1)
	return true
}

// addOpen changes the number of open connections; p.mu is held.
func (p *pool) addOpen(n int) {
	p.openCount += n
	p.client.open.Add(int64(n))
}

func (p *pool) release() {
	p.mu.Lock()
	p.addOpen(-1)
	p.mu.Unlock()
}

// get returns an idle connection that is still usable, or a new one. With r.NewConnection it always
// returns a new one.
func (p *pool) get(ctx context.Context, r *Request) (*conn, error) {
	deadline := r.Deadline
	// The response to a request without an ID is known only by its connection.
	forceNew := r.NewConnection || p.client.wireFormat.RequestIDHeader != "" && p.client.wireFormat.requestID(r) == ""
	if forceNew {
		p.closeIdle(1) // frees a place if the limit is reached
	}
	for !forceNew {
		p.mu.Lock()
		if p.retired {
			p.mu.Unlock()
			return nil, newFailure(ConnectFailed, false, p.address, fault.Unreachable, "upstream is not registered or has restarted")
		}
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		live := c.withinIdleLimits(r.MaxIdle) && c.isUsable()
		if live && c.identifies(r) {
			p.client.Stats.Reused.Add(1)
			c.reused = true
			return c, nil
		}
		p.client.Stats.Stale.Add(1)
		c.closeAndRelease()
		if live {
			break
		}
	}
	if !p.client.makeRoom() || !p.reserve() {
		p.client.Stats.Limited.Add(1)
		return nil, newFailure(ConnectFailed, false, p.address, fault.Busy, "connection limit reached")
	}
	startedAt := p.client.clock.Now()
	raw, err := p.connect(ctx, deadline)
	if err != nil {
		p.release()
		if ctx.Err() != nil {
			return nil, newFailure(Cancelled, false, p.address, fault.Upstream, "client disconnected")
		}
		return nil, newFailure(ConnectFailed, false, p.address, fault.Unreachable, err.Error())
	}
	p.recordRoundTrip(p.client.clock.Now().Sub(startedAt))
	p.client.Stats.Dialed.Add(1)
	c, err := newConn(p, raw)
	if err != nil {
		p.release()
		return nil, newFailure(ConnectFailed, false, p.address, fault.Unreachable, err.Error())
	}
	return c, nil
}

func (p *pool) connect(ctx context.Context, deadline time.Time) (*net.TCPConn, error) {
	d := net.Dialer{
		Timeout: p.client.dialTimeout, Deadline: clock.Deadline(p.client.clock, deadline), LocalAddr: p.client.localAddr, Control: process.TCPUserTimeout(2 * p.client.silenceTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.client.silenceTimeout / 2, Interval: p.client.silenceTimeout / 4, Count: 3},
	}
	raw, err := d.DialContext(ctx, "tcp", string(p.address))
	if err != nil {
		return nil, err
	}
	return raw.(*net.TCPConn), nil
}

// probe reports whether a new connection to the endpoint can be opened. It also returns true if the
// limit leaves no place for one, so that the connection without progress is closed: otherwise an
// upload whose deadline is hours away would hang on it.
func (p *pool) probe(deadline time.Time) bool {
	if !p.reserve() && !(p.closeIdle(1) && p.reserve()) {
		return true
	}
	defer p.release()
	raw, err := p.connect(context.Background(), deadline)
	if err != nil {
		return false
	}
	_ = raw.Close()
	return true
}

// refuses reports whether the endpoint's host refuses a new connection. It returns false if the limit leaves no place
// for one.
func (p *pool) refuses(deadline time.Time) bool {
	if !p.reserve() && !(p.closeIdle(1) && p.reserve()) {
		return false
	}
	defer p.release()
	raw, err := p.connect(context.Background(), deadline)
	if err == nil {
		_ = raw.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// put makes a connection that was used available to the next request.
func (p *pool) put(c *conn) {
	c.idleSince = p.client.clock.Now()
	p.putBack(c)
}

// putBack makes a connection that was not used available to the next request.
func (p *pool) putBack(c *conn) {
	p.mu.Lock()
	if p.retired || p.openCount > p.maxOpen {
		p.mu.Unlock()
		c.closeAndRelease()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// closeIdle closes up to n idle connections, oldest first; -1 means all. It reports whether it
// closed any.
func (p *pool) closeIdle(n int) bool {
	p.mu.Lock()
	if n < 0 || n > len(p.idle) {
		n = len(p.idle)
	}
	closed := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.addOpen(-n)
	p.mu.Unlock()
	for _, c := range closed {
		c.closeSocket()
	}
	return n > 0
}

func (p *pool) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

func (p *pool) openTotal() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openTotalLocked()
}

func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle(-1)
}

func (p *pool) sweep(cutoff time.Time) {
	p.mu.Lock()
	var closed []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince.Before(cutoff) || !c.withinIdleLimits(0) || !c.isUsable() {
			closed = append(closed, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.addOpen(-len(closed))
	p.mu.Unlock()
	for _, c := range closed {
		c.closeSocket()
	}
}
