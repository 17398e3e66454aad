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

// Cut says which directions of a link pass nothing.
type Cut string

// Cuts of a link. Bytes that meet a cut wait for its end, as they would in the peers' TCP buffers.
const (
	NoCut   Cut = ""
	Forward Cut = "forward" // from the connecting side to the target
	Back    Cut = "back"    // from the target to the connecting side
	Both    Cut = "both"
)

// State is what can be changed on a link at run time.
type State struct {
	Delay  command.TextDuration `json:"delay"`
	Rate   ident.BitRate        `json:"rate"`
	Cut    Cut                  `json:"cut"`
	Refuse bool                 `json:"refuse"` // new connections are reset
}

func (s State) check() error {
	switch s.Cut {
	case NoCut, Forward, Back, Both:
	default:
		return fault.New(fault.Invalid, "set link", "", "unknown cut %q: allowed are forward, back, both", s.Cut)
	}
	if s.Rate < 0 || s.Delay.Duration < 0 || s.Delay.Duration > longestDelay {
		return fault.New(fault.Invalid, "set link", "", "delay is 0 to %s and rate 0 or more", longestDelay)
	}
	return nil
}

// Status describes a link at one moment.
type Status struct {
	Name    string      `json:"name"`
	Listen  string      `json:"listen"`
	Target  string      `json:"target"`
	State   State       `json:"state"`
	Open    int         `json:"open"`   // connections that pass bytes
	Silent  int         `json:"silent"` // connections that were silenced and are still open
	Total   uint64      `json:"total"`  // connections since the start
	Forward ident.Bytes `json:"forward"`
	Back    ident.Bytes `json:"back"`
}

// Link is one listener whose connections are passed on to a target.
type Link struct {
	set   LinkSettings
	clock clock.Clock
	log   *logrus.Entry

	mu       sync.Mutex
	state    State
	changed  chan struct{} // closed when the state changes
	listener net.Listener
	pairs    map[*pair]bool
	total    uint64
	forward  direction
	back     direction
}

// direction paces the bytes of one direction over all connections of a link.
type direction struct {
	free  time.Time // when the line has sent all that it was given
	bytes ident.Bytes
}

// NewLink returns a link that is not listening yet.
func NewLink(set LinkSettings, c clock.Clock, log *logrus.Logger) *Link {
	return &Link{
		set: set, clock: c, log: log.WithField("link", set.Name), pairs: make(map[*pair]bool), changed: make(chan struct{}),
		state: State{Delay: command.TextDuration{Duration: set.Delay}, Rate: set.Rate},
	}
}

// Start listens and passes connections on.
func (l *Link) Start() error {
	listener, err := process.Listen(l.set.Listen)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.set.Listen = listener.Addr().String()
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
		l.take(c)
	}
}

// take passes one accepted connection on.
func (l *Link) take(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Refuse {
		reset(c)
		return
	}
	p := &pair{link: l, near: c, closed: make(chan struct{})}
	l.pairs[p] = true
	l.total++
	go p.run()
}

// Stop closes the listener and all connections.
func (l *Link) Stop() {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	l.Reset()
}

// Reset closes all open connections with a reset.
func (l *Link) Reset() {
	for _, p := range l.open() {
		p.close()
	}
}

// Silence makes all open connections silent for good; new ones work.
func (l *Link) Silence() {
	for _, p := range l.open() {
		p.silent.Store(true)
	}
}

func (l *Link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	return list
}

// Set replaces the state.
func (l *Link) Set(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// Status returns the link's present state.
func (l *Link) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Name: l.set.Name, Listen: l.set.Listen, Target: l.set.Target, State: l.state, Total: l.total,
		Forward: l.forward.bytes, Back: l.back.bytes,
	}
	for p := range l.pairs {
		if p.silent.Load() {
			s.Silent++
		} else {
			s.Open++
		}
	}
	return s
}

// passable waits until the direction is not cut; with any, until no direction is. It
// returns false when closed ends first.
func (l *Link) passable(back, either bool, closed <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut := l.state.Cut
		changed := l.changed
		l.mu.Unlock()
		stopped := cut == Both || cut == Forward && (either || !back) || cut == Back && (either || back)
		if !stopped {
			return true
		}
		select {
		case <-changed:
		case <-closed:
			return false
		}
	}
}

// schedule gives n bytes to the line and returns when the last of them arrives.
func (l *Link) schedule(back bool, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &l.forward
	if back {
		d = &l.back
	}
	now := l.clock.Now()
	if d.free.Before(now) {
		d.free = now
	}
	if l.state.Rate > 0 {
		d.free = d.free.Add(time.Duration(float64(n) / l.state.Rate.BytesPerSecond() * float64(time.Second)))
	}
	d.bytes += ident.Bytes(n)
	return d.free.Add(l.state.Delay.Duration)
}

// backlog returns how long the line needs to send what it was given.
func (l *Link) backlog(back bool) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &l.forward
	if back {
		d = &l.back
	}
	return d.free.Sub(l.clock.Now())
}
