package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Sizes of the buffers of a direction of one connection.
const (
	pieceSize = 16 << 10
	pieces    = 256
)

// longestBacklog is the queue of a line with limited rate; readers wait beyond it, as they would at a router.
const longestBacklog = 50 * time.Millisecond

// dialTimeout bounds the connection to the target.
const dialTimeout = 3 * time.Second

// pair is one connection with its continuation to the target.
type pair struct {
	link   *Link
	near   net.Conn
	far    net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// piece is some bytes, or the end of a direction, on their way.
type piece struct {
	text []byte
	at   time.Time // of arrival
	end  error     // io.EOF for an orderly end
}

// run connects to the target and passes bytes until both directions have ended.
func (p *pair) run() {
	defer p.close()
	// A cut of either direction stops the handshake of a new connection.
	if !p.link.passable(false, true, p.closed) {
		return
	}
	if !p.wait(2 * p.link.Status().State.Delay.Duration) {
		return
	}
	far, err := net.DialTimeout("tcp", p.link.set.Target, dialTimeout)
	if err != nil {
		p.link.log.WithError(err).Debug("target not reached")
		return
	}
	p.link.mu.Lock()
	p.far = far
	p.link.mu.Unlock()
	select {
	case <-p.closed:
		reset(far)
		return
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { p.pass(p.near, far, false) })
	both.Go(func() { p.pass(far, p.near, true) })
	both.Wait()
}

// pass moves one direction; an orderly end is passed on, and any other ends both directions.
func (p *pair) pass(from, to net.Conn, back bool) {
	way := make(chan piece, pieces)
	go p.collect(from, way, back)
	for {
		var next piece
		select {
		case next = <-way:
		case <-p.closed:
			return
		}
		if !p.wait(next.at.Sub(p.link.clock.Now())) || !p.link.passable(back, false, p.closed) {
			return
		}
		if p.silent.Load() {
			<-p.closed
			return
		}
		if next.end != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(next.end, io.EOF) {
				tcp.CloseWrite()
				return
			}
			p.close()
			return
		}
		if _, err := to.Write(next.text); err != nil {
			p.close()
			return
		}
	}
}

func (p *pair) collect(from net.Conn, way chan<- piece, back bool) {
	for {
		buffer := make([]byte, pieceSize)
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.send(way, piece{text: buffer[:n], at: p.link.schedule(back, n)}) {
				return
			}
		}
		if err != nil {
			p.send(way, piece{end: err, at: p.link.schedule(back, 0)})
			return
		}
		if over := p.link.backlog(back) - longestBacklog; over > 0 && !p.wait(over) {
			return
		}
	}
}

func (p *pair) send(way chan<- piece, next piece) bool {
	select {
	case way <- next:
		return true
	case <-p.closed:
		return false
	}
}

// wait waits for d, and returns false when the pair closes first.
func (p *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-p.link.clock.After(d):
		return true
	case <-p.closed:
		return false
	}
}

// close resets both connections.
func (p *pair) close() {
	p.once.Do(func() {
		close(p.closed)
		p.link.mu.Lock()
		far := p.far
		delete(p.link.pairs, p)
		p.link.mu.Unlock()
		reset(p.near)
		if far != nil {
			reset(far)
		}
	})
}

// reset closes a connection; bytes that were not read yet make the peer see a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
