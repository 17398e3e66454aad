package session

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// Source is the state that a session exchanges with control.
type Source interface {
	// Report fills in what this VM holds, wants and heard from upstreams.
	Report(request *rpc.SyncRequest)
	// Synced takes the answer to a report that was begun at sent.
	Synced(sent time.Time, reply *rpc.SyncReply)
}

// Options configures a Session; zero durations mean the defaults.
type Options struct {
	LocalAddr    net.Addr // of connections to control; nil lets the host choose
	Clock        clock.Clock
	Log          *logrus.Logger
	Control      []ident.Address
	JitterSeed   int64         // of the jitter
	SyncInterval time.Duration // between syncs; 200 ms by default
	Timeout      time.Duration // of one exchange; 1 s by default
}

// Stats counts exchanges; all fields are updated atomically.
type Stats struct {
	Syncs    atomic.Int64
	Failures atomic.Int64
	Hints    atomic.Int64 // answers that named another leader
}

// Session talks to the control group.
type Session struct {
	source  net.Addr
	Stats   Stats
	clock   clock.Clock
	log     *logrus.Logger
	period  time.Duration
	timeout time.Duration
	asked   chan struct{}

	mu     sync.Mutex
	peers  []*peer
	leader int // index in peers
	seeds  []ident.Address
	jitter *rand.Rand
	down   bool // the last sync failed
}

// peer is one control VM.
type peer struct {
	address   ident.Address
	client    rpc.Session
	transport *http.Transport
}

// New returns a session that has not exchanged anything yet.
func New(o Options) *Session {
	s := &Session{
		clock: o.Clock, log: o.Log, period: o.SyncInterval, timeout: o.Timeout, seeds: o.Control, source: o.LocalAddr,
		asked: make(chan struct{}, 1), jitter: rand.New(rand.NewSource(o.JitterSeed)),
	}
	if s.clock == nil {
		s.clock = clock.System{}
	}
	if s.period <= 0 {
		s.period = 200 * time.Millisecond
	}
	if s.timeout <= 0 {
		s.timeout = time.Second
	}
	for _, a := range o.Control {
		s.peers = append(s.peers, s.newPeer(a))
	}
	// VMs that start together begin at different members.
	if len(s.peers) > 0 {
		s.leader = s.jitter.Intn(len(s.peers))
	}
	return s
}

func (s *Session) newPeer(a ident.Address) *peer {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.timeout, KeepAlive: s.timeout, LocalAddr: s.source}).DialContext,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
	return &peer{
		address: a, transport: t,
		client: rpc.NewSessionProtobufClient("http://"+string(a), &http.Client{Transport: t}),
	}
}

// TriggerSync requests a sync at once.
func (s *Session) TriggerSync() {
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

// Run syncs until ctx ends.
func (s *Session) Run(ctx context.Context, source Source) {
	for ctx.Err() == nil {
		ok := s.Sync(ctx, source) == nil
		wait := s.wait(ok)
		asked := s.asked
		if !ok {
			asked = nil // an ask must not turn a failing sync into a busy loop
		}
		select {
		case <-ctx.Done():
		case <-asked:
		case <-s.clock.After(wait):
		}
	}
}

// wait returns the pause before the next sync, spread by a tenth so that VMs do not keep step.
func (s *Session) wait(ok bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.period
	if !ok {
		d /= 4
	}
	return d + time.Duration((s.jitter.Float64()-0.5)*0.2*float64(d))
}

// Sync makes one exchange, with as many members as it takes to find the leader.
func (s *Session) Sync(ctx context.Context, source Source) error {
	var reply *rpc.SyncReply
	var sent time.Time
	s.mu.Lock()
	tries := len(s.peers) + 1
	s.mu.Unlock()
	err := s.follow(ctx, tries, func(ctx context.Context, c rpc.Session) error {
		request := new(rpc.SyncRequest)
		source.Report(request)
		// Age counts from before the send, so that delay never makes a configuration look younger.
		sent = s.clock.Now()
		var err error
		reply, err = c.Sync(ctx, request)
		return err
	})
	s.note(err)
	if err != nil {
		return err
	}
	s.Stats.Syncs.Add(1)
	s.learn(reply.GetControl())
	source.Synced(sent, reply)
	return nil
}

// End makes the last exchange of a VM that has stopped; it takes one pass over the members.
func (s *Session) End(ctx context.Context, source Source) error {
	s.mu.Lock()
	tries := len(s.peers) + 1
	s.mu.Unlock()
	return s.follow(ctx, tries, func(ctx context.Context, c rpc.Session) error {
		request := new(rpc.SyncRequest)
		source.Report(request)
		_, err := c.Sync(ctx, request)
		return err
	})
}

// note logs the first failure of a run of failures, and its end.
func (s *Session) note(err error) {
	s.mu.Lock()
	changed := s.down != (err != nil)
	s.down = err != nil
	s.mu.Unlock()
	if err != nil {
		s.Stats.Failures.Add(1)
	}
	if !changed || s.log == nil {
		return
	}
	if err != nil {
		s.log.WithField("step", "sync").WithError(err).Warn("control does not answer")
		return
	}
	s.log.WithField("step", "sync").Info("control answers")
}

// learn adds the members that control names, and drops those that it no longer
// names unless the settings do.
func (s *Session) learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := make(map[ident.Address]bool, len(addresses)+len(s.seeds))
	for _, a := range addresses {
		wanted[ident.Address(a)] = true
	}
	for _, a := range s.seeds {
		wanted[a] = true
	}
	current := s.peers[s.leader]
	kept := s.peers[:0]
	for _, p := range s.peers {
		if wanted[p.address] {
			kept = append(kept, p)
			delete(wanted, p.address)
			continue
		}
		p.transport.CloseIdleConnections()
	}
	for _, a := range addresses {
		if wanted[ident.Address(a)] && valid(a) {
			kept = append(kept, s.newPeer(ident.Address(a)))
			delete(wanted, ident.Address(a))
		}
	}
	s.peers, s.leader = kept, 0
	for i, p := range kept {
		if p == current {
			s.leader = i
		}
	}
}

func valid(a string) bool {
	_, err := netip.ParseAddrPort(a)
	return err == nil
}

// follow calls at the leader, and at other members while the answer says that
// the call had no effect there because another member leads, or that none was reached.
func (s *Session) follow(ctx context.Context, tries int, call func(context.Context, rpc.Session) error) error {
	var last *fault.Error
	for range tries {
		s.mu.Lock()
		if len(s.peers) == 0 {
			s.mu.Unlock()
			return fault.New(fault.Unreachable, "session", "", "no control address is known")
		}
		p := s.peers[s.leader]
		s.mu.Unlock()
		within, stop := s.bound(ctx)
		err := call(within, p.client)
		stop()
		if err == nil {
			return nil
		}
		last = fault.Of(err)
		if last.Peer == "" {
			last.Step, last.Peer = "session", string(p.address)
		}
		if ctx.Err() != nil || !elsewhere(last.Code) {
			return last
		}
		s.move(p, last)
	}
	return last
}

// elsewhere reports whether another member may answer where one failed with code.
func elsewhere(code fault.Code) bool {
	return code == fault.Leader || code == fault.Isolated || code == fault.Unreachable || code == fault.Stopping
}

// move goes on to the member that a failed answer names, or else to the next.
func (s *Session) move(from *peer, e *fault.Error) {
	// The next exchange with this member opens a new connection, because the old one may be silent.
	from.transport.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 || s.peers[s.leader%len(s.peers)] != from {
		return // another call has moved on already
	}
	if e.Code == fault.Leader && e.Peer != string(from.address) && valid(e.Peer) {
		s.Stats.Hints.Add(1)
		for i, p := range s.peers {
			if string(p.address) == e.Peer {
				s.leader = i
				return
			}
		}
		s.peers = append(s.peers, s.newPeer(ident.Address(e.Peer)))
		s.leader = len(s.peers) - 1
		return
	}
	s.leader = (s.leader + 1) % len(s.peers)
}

// bound ends an exchange after the time-out.
func (s *Session) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// until repeats a call that is safe to repeat until it succeeds, is refused, or the deadline passes.
func (s *Session) until(ctx context.Context, deadline time.Time, call func(context.Context, rpc.Session) error) error {
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	for {
		s.mu.Lock()
		tries := len(s.peers) + 1
		s.mu.Unlock()
		err := s.follow(ctx, tries, call)
		if err == nil || !elsewhere(fault.Of(err).Code) {
			return err
		}
		if clock.Sleep(ctx, s.clock, s.wait(false)) != nil {
			return err
		}
	}
}
