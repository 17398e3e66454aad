package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Buffer limits for each direction of a connection; chunkSize is in bytes.
const (
	chunkSize       = 16 << 10
	maxQueuedChunks = 256
)

// maxBacklog bounds the queue of a rate-limited link, like a router's buffer; reading pauses above it.
const maxBacklog = 50 * time.Millisecond

// dialTimeout bounds the connection setup to the target.
const dialTimeout = 3 * time.Second

// connectionPair is a client's connection and the relay's connection to the target.
type connectionPair struct {
	link      *Link
	client    net.Conn
	target    net.Conn
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// chunk is data, or the end of the stream, that is in transit on the link.
type chunk struct {
	data    []byte
	arrival time.Time // when it is due at the receiver
	err     error     // reason for the end of the stream; io.EOF for a half-close
}

// run connects to the target and forwards data until both directions have ended.
func (p *connectionPair) run() {
	defer p.close()
	// A cut of one direction is enough to block the TCP handshake of a new connection.
	if !p.link.waitUncut(false, true, p.closed) {
		return
	}
	if !p.sleep(2 * p.link.Status().State.Delay.Duration) {
		return
	}
	target, err := net.DialTimeout("tcp", p.link.settings.Target, dialTimeout)
	if err != nil {
		p.link.log.WithError(err).Debug("cannot connect to the target")
		return
	}
	p.link.mu.Lock()
	p.target = target
	p.link.mu.Unlock()
	select {
	case <-p.closed:
		closeWithReset(target)
		return
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(p.client, target, false) })
	directions.Go(func() { p.forward(target, p.client, true) })
	directions.Wait()
}

// forward copies one direction. It forwards a half-close; any other end closes both connections.
func (p *connectionPair) forward(from, to net.Conn, toClient bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.readChunks(from, chunks, toClient)
	for {
		var next chunk
		select {
		case next = <-chunks:
		case <-p.closed:
			return
		}
		if !p.sleep(next.arrival.Sub(p.link.clock.Now())) || !p.link.waitUncut(toClient, false, p.closed) {
			return
		}
		if p.silent.Load() {
			<-p.closed
			return
		}
		if next.err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && errors.Is(next.err, io.EOF) {
				tcp.CloseWrite()
				return
			}
			p.close()
			return
		}
		if _, err := to.Write(next.data); err != nil {
			p.close()
			return
		}
	}
}

func (p *connectionPair) readChunks(from net.Conn, chunks chan<- chunk, toClient bool) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.enqueue(chunks, chunk{data: buffer[:n], arrival: p.link.scheduleSend(toClient, n)}) {
				return
			}
		}
		if err != nil {
			p.enqueue(chunks, chunk{err: err, arrival: p.link.scheduleSend(toClient, 0)})
			return
		}
		if excess := p.link.backlog(toClient) - maxBacklog; excess > 0 && !p.sleep(excess) {
			return
		}
	}
}

func (p *connectionPair) enqueue(chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-p.closed:
		return false
	}
}

// sleep waits for d and returns false if the pair is closed first.
func (p *connectionPair) sleep(d time.Duration) bool {
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

// close resets both connections and removes the pair from its link.
func (p *connectionPair) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.link.mu.Lock()
		target := p.target
		delete(p.link.pairs, p)
		p.link.mu.Unlock()
		closeWithReset(p.client)
		if target != nil {
			closeWithReset(target)
		}
	})
}

// closeWithReset closes a connection with a TCP reset instead of a FIN.
func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
