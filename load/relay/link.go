package relay

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/load/command"
)

// CutDirection selects the directions of a link that forward nothing.
type CutDirection string

// Cuts of a link. Bytes are held until the cut ends, as they would be in the peers' TCP buffers.
const (
	CutNone    CutDirection = ""
	CutForward CutDirection = "forward" // from the client to the target
	CutBack    CutDirection = "back"    // from the target to the client
	CutBoth    CutDirection = "both"
)

// LinkState is the part of a link's configuration that can change at run time.
type LinkState struct {
	Delay     command.TextDuration `json:"delay"`
	Rate      ident.BitRate        `json:"rate"`
	Cut       CutDirection         `json:"cut"`
	RefuseNew bool                 `json:"refuse"` // reset new connections
}

func (s LinkState) check() error {
	switch s.Cut {
	case CutNone, CutForward, CutBack, CutBoth:
	default:
		return fault.New(fault.Invalid, "set link", "", "unknown cut %q: allowed are forward, back, both", s.Cut)
	}
	if s.Rate < 0 || s.Delay.Duration < 0 || s.Delay.Duration > maxDelay {
		return fault.New(fault.Invalid, "set link", "", "delay must be 0 to %s and rate 0 or more", maxDelay)
	}
	return nil
}

// LinkStatus is a snapshot of a link.
type LinkStatus struct {
	Name              string      `json:"name"`
	Listen            string      `json:"listen"`
	Target            string      `json:"target"`
	State             LinkState   `json:"state"`
	OpenConnections   int         `json:"open"`   // connections that forward data
	SilentConnections int         `json:"silent"` // silenced connections that are still open
	TotalConnections  uint64      `json:"total"`  // connections accepted since the start
	ForwardBytes      ident.Bytes `json:"forward"`
	BackBytes         ident.Bytes `json:"back"`
}

// Link is a listener whose connections are forwarded to a target.
type Link struct {
	settings LinkSettings
	clock    clock.Clock
	log      *logrus.Entry

	mu               sync.Mutex
	state            LinkState
	stateChanged     chan struct{} // closed and replaced when the state changes
	listener         net.Listener
	pairs            map[*connectionPair]bool
	totalConnections uint64
	forward          linkDirection
	back             linkDirection
}

// linkDirection tracks the bytes that all connections of a link send in one direction.
type linkDirection struct {
	idleAt time.Time // when all scheduled bytes are sent
	bytes  ident.Bytes
}

// NewLink returns a link that doesn't listen until Start is called.
func NewLink(settings LinkSettings, c clock.Clock, log *logrus.Logger) *Link {
	return &Link{
		settings: settings, clock: c, log: log.WithField("link", settings.Name), pairs: make(map[*connectionPair]bool), stateChanged: make(chan struct{}),
		state: LinkState{Delay: command.TextDuration{Duration: settings.Delay}, Rate: settings.Rate},
	}
}

// Start listens and forwards connections.
func (l *Link) Start() error {
	listener, err := process.Listen(l.settings.Listen)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.settings.Listen = listener.Addr().String()
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		l.handle(c)
	}
}

// handle starts forwarding an accepted connection.
func (l *Link) handle(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.RefuseNew {
		closeWithReset(c)
		return
	}
	p := &connectionPair{link: l, client: c, closed: make(chan struct{})}
	l.pairs[p] = true
	l.totalConnections++
	go p.run()
}

// Stop closes the listener and resets all connections.
func (l *Link) Stop() {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	l.ResetConnections()
}

// ResetConnections resets all open connections.
func (l *Link) ResetConnections() {
	for _, p := range l.openPairs() {
		p.close()
	}
}

// SilenceConnections permanently stops forwarding on all open connections, which stay open; new ones work.
func (l *Link) SilenceConnections() {
	for _, p := range l.openPairs() {
		p.silent.Store(true)
	}
}

func (l *Link) openPairs() []*connectionPair {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*connectionPair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

// SetState replaces the state of the link.
func (l *Link) SetState(s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
}

// Status returns a snapshot of the link.
func (l *Link) Status() LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LinkStatus{
		Name: l.settings.Name, Listen: l.settings.Listen, Target: l.settings.Target, State: l.state, TotalConnections: l.totalConnections,
		ForwardBytes: l.forward.bytes, BackBytes: l.back.bytes,
	}
	for p := range l.pairs {
		if p.silent.Load() {
			s.SilentConnections++
		} else {
			s.OpenConnections++
		}
	}
	return s
}

// waitUncut waits until the direction isn't cut, or until neither direction is cut if eitherDirection
// is set. It returns false if closed is closed first.
func (l *Link) waitUncut(toClient, eitherDirection bool, closed <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut := l.state.Cut
		changed := l.stateChanged
		l.mu.Unlock()
		blocked := cut == CutBoth || cut == CutForward && (eitherDirection || !toClient) || cut == CutBack && (eitherDirection || toClient)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// scheduleSend schedules n bytes at the link's rate and returns the time at which the last one arrives.
func (l *Link) scheduleSend(toClient bool, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &l.forward
	if toClient {
		d = &l.back
	}
	now := l.clock.Now()
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	if l.state.Rate > 0 {
		d.idleAt = d.idleAt.Add(time.Duration(float64(n) / l.state.Rate.BytesPerSecond() * float64(time.Second)))
	}
	d.bytes += ident.Bytes(n)
	return d.idleAt.Add(l.state.Delay.Duration)
}

// backlog returns the time until all scheduled bytes of a direction are sent.
func (l *Link) backlog(toClient bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &l.forward
	if toClient {
		d = &l.back
	}
	return d.idleAt.Sub(l.clock.Now())
}
