package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// linkDelay is the time that bytes take one way between the operator and a machine, as between clients and machines.
const linkDelay = 8 * time.Millisecond

// link is the operator's link to a core machine. While the machine is suspended it takes nothing: bytes of open connections
// are held up. Afterwards the operator's host sends them again, and the close of a connection once they are acknowledged.
type link struct {
	address string

	mu   sync.Mutex
	open chan struct{} // closed while the machine is reachable
}

func (d *deployment) newLink(n int, m *machine) (*link, error) {
	k := &link{address: fmt.Sprintf("%s:%d", d.ip(110+n), controlPort), open: make(chan struct{})}
	close(k.open)
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
	}()
	return k, nil
}

// hold stops the link until the returned function is called.
func (k *link) hold() (release func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open = make(chan struct{})
	return sync.OnceFunc(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		close(k.open)
	})
}

// await waits until the link is open, and reports whether it had to.
func (k *link) await() (held bool) {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	select {
	case <-open:
		return false
	default:
		<-open
		return true
	}
}

func (k *link) carry(operator net.Conn, target string) {
	defer func() { _ = operator.Close() }()
	k.await()
	m, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = m.Close() }()
	back := make(chan struct{})
	go func() {
		defer close(back)
		k.pump(operator, m)
		_ = operator.(*net.TCPConn).CloseWrite()
	}()
	k.pump(m, operator)
	_ = m.(*net.TCPConn).CloseWrite()
	<-back
}

// pump carries the bytes of one direction until their sender has closed its side.
func (k *link) pump(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for heldBytes := false; ; {
		n, err := from.Read(buffer)
		held := k.await()
		time.Sleep(linkDelay)
		if err != nil {
			if heldBytes {
				time.Sleep(2 * linkDelay) // the close follows the acknowledgement of the bytes
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		heldBytes = held
	}
}
