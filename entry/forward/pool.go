package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
)

// pool holds the connections to one incarnation of an endpoint.
type pool struct {
	client      *Client
	address     ident.Address
	incarnation ident.Incarnation

	mu       sync.Mutex
	limit    int
	open     int // connections in use, idle or being opened
	idle     []*conn
	retired  bool
	previous *pool // earlier incarnation, while it has open connections
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	p.limit = n
	var surplus []*conn
	for p.open-len(surplus) > n && len(surplus) < len(p.idle) {
		surplus = append(surplus, p.idle[len(surplus)])
	}
	p.idle = append(p.idle[:0], p.idle[len(surplus):]...)
	p.open -= len(surplus)
	p.mu.Unlock()
	for _, c := range surplus {
		c.shut()
	}
}

// held counts open connections of this and earlier incarnations.
func (p *pool) held() int {
	n := p.open
	if p.previous != nil {
		p.previous.mu.Lock()
		rest := p.previous.held()
		p.previous.mu.Unlock()
		if rest == 0 {
			p.previous = nil
		}
		n += rest
	}
	return n
}

// reserve counts one more connection if the limit allows.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired || p.held() >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// get returns an idle connection that is still sound, or a new one; with r.NewConnection always a new one.
func (p *pool) get(ctx context.Context, r *Request) (*conn, error) {
	fresh, deadline := r.NewConnection, r.Deadline
	if fresh {
		p.dropIdle(1) // makes room where all connections of the limit are open
	}
	for !fresh {
		p.mu.Lock()
		if p.retired {
			p.mu.Unlock()
			return nil, failure(ConnectFailed, false, p.address, fault.Unreachable, "endpoint has left or restarted")
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
		if c.fresh(r.MaxIdle) && c.sound() {
			p.client.Stats.Reused.Add(1)
			c.reused = true
			return c, nil
		}
		p.client.Stats.Stale.Add(1)
		c.discard()
	}
	if !p.reserve() {
		p.client.Stats.Limited.Add(1)
		return nil, failure(ConnectFailed, false, p.address, fault.Busy, "no connection free within the limit")
	}
	raw, err := p.connect(ctx, deadline)
	if err != nil {
		p.release()
		if ctx.Err() != nil {
			return nil, failure(Cancelled, false, p.address, fault.Upstream, "caller went away")
		}
		return nil, failure(ConnectFailed, false, p.address, fault.Unreachable, err.Error())
	}
	p.client.Stats.Dialed.Add(1)
	c, err := newConn(p, raw)
	if err != nil {
		p.release()
		return nil, failure(ConnectFailed, false, p.address, fault.Unreachable, err.Error())
	}
	return c, nil
}

func (p *pool) connect(ctx context.Context, deadline time.Time) (*net.TCPConn, error) {
	d := net.Dialer{
		Timeout: p.client.dial, Deadline: deadline, LocalAddr: p.client.source, Control: UserTimeout(2 * p.client.silence),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.client.silence / 2, Interval: p.client.silence / 4, Count: 3},
	}
	raw, err := d.DialContext(ctx, "tcp", string(p.address))
	if err != nil {
		return nil, err
	}
	return raw.(*net.TCPConn), nil
}

// probe reports whether a new connection to the endpoint opens. Without room
// for one under the limit a connection without progress is given up too, because
// an upload whose deadline is hours away would otherwise hang on it.
func (p *pool) probe(deadline time.Time) bool {
	if !p.reserve() && !(p.dropIdle(1) && p.reserve()) {
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

// put makes a connection available to the next request.
func (p *pool) put(c *conn) {
	c.since = p.client.clock.Now()
	p.mu.Lock()
	if p.retired || p.open > p.limit {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// dropIdle closes up to n idle connections, oldest first; -1 means all. It reports whether there was any.
func (p *pool) dropIdle(n int) bool {
	p.mu.Lock()
	if n < 0 || n > len(p.idle) {
		n = len(p.idle)
	}
	dropped := append([]*conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
	p.mu.Unlock()
	for _, c := range dropped {
		c.shut()
	}
	return n > 0
}

func (p *pool) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

func (p *pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held()
}

func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.dropIdle(-1)
}

func (p *pool) sweep(oldest time.Time) {
	p.mu.Lock()
	var closed []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.since.Before(oldest) || !c.fresh(0) || !c.sound() {
			closed = append(closed, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.open -= len(closed)
	p.mu.Unlock()
	for _, c := range closed {
		c.shut()
	}
}
