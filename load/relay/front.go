package relay

import (
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/process"
)

// Front listens in place of a target and keeps a link of its own for each host
// that connects, so that two hosts can be cut off from each other alone.
type Front struct {
	listen, target string
	clock          clock.Clock
	log            *logrus.Logger
	listener       net.Listener

	mu    sync.Mutex
	links map[string]*Link
}

// NewFront returns a front that is not listening yet.
func NewFront(listen, target string, c clock.Clock, log *logrus.Logger) *Front {
	return &Front{listen: listen, target: target, clock: c, log: log, links: make(map[string]*Link)}
}

// Start listens and passes connections on.
func (f *Front) Start() error {
	l, err := process.Listen(f.listen)
	if err != nil {
		return err
	}
	f.listener = l
	go f.accept()
	return nil
}

func (f *Front) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			reset(c)
			continue
		}
		f.From(host).take(c)
	}
}

// From returns the link that carries a host's connections.
func (f *Front) From(host string) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	link := f.links[host]
	if link == nil {
		link = NewLink(LinkSettings{Name: host, Listen: f.listen, Target: f.target}, f.clock, f.log)
		f.links[host] = link
	}
	return link
}

// Stop closes the listener and all connections.
func (f *Front) Stop() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, link := range f.links {
		link.Reset()
	}
}
