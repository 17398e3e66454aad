package relay

import (
	"net"
	"sync"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/process"
)

// HostRelay listens in place of a target and uses a separate link for each client host,
// so that the connections between two hosts can be cut without affecting others.
type HostRelay struct {
	listen, target string
	clock          clock.Clock
	log            *logrus.Logger
	listener       net.Listener

	mu    sync.Mutex
	links map[string]*Link
}

// NewHostRelay returns a relay that doesn't listen until Start is called.
func NewHostRelay(listen, target string, c clock.Clock, log *logrus.Logger) *HostRelay {
	return &HostRelay{listen: listen, target: target, clock: c, log: log, links: make(map[string]*Link)}
}

// Start listens and forwards connections. A stopped relay can be started again.
func (h *HostRelay) Start() error {
	listener, err := process.Listen(h.listen)
	if err != nil {
		return err
	}
	h.listener = listener
	go h.accept(listener)
	return nil
}

func (h *HostRelay) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			closeWithReset(c)
			continue
		}
		h.LinkFor(host).handle(c)
	}
}

// LinkFor returns the link that forwards a host's connections, and creates it if needed.
func (h *HostRelay) LinkFor(host string) *Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	link := h.links[host]
	if link == nil {
		link = NewLink(LinkSettings{Name: host, Listen: h.listen, Target: h.target}, h.clock, h.log)
		h.links[host] = link
	}
	return link
}

// Stop closes the listener and resets all connections.
func (h *HostRelay) Stop() {
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, link := range h.links {
		link.ResetConnections()
	}
}
