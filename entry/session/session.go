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
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/rpc"
)

// Handler provides the reports of a session and handles the replies to them.
type Handler interface {
	// FillReport fills in what this VM holds and requests, and the renewals that upstreams sent to
	// it.
	FillReport(request *rpc.SyncRequest)
	// HandleReply handles the reply to a report. The time sent is taken just before the report was
	// sent.
	HandleReply(sent time.Time, reply *rpc.SyncReply)
}

// Options configures a Session; zero durations mean the defaults.
type Options struct {
	LocalAddr        net.Addr // local address of connections to control; nil lets the host choose
	Clock            clock.Clock
	Log              *logrus.Logger
	ControlAddresses []ident.Address
	JitterSeed       int64         // random seed for the jitter of SyncInterval
	SyncInterval     time.Duration // time between syncs; 200 ms by default
	Timeout          time.Duration // timeout of one exchange; 1 s by default
}

// Stats counts exchanges. All fields are updated atomically.
type Stats struct {
	Syncs    atomic.Int64
	Failures atomic.Int64
	Hints    atomic.Int64 // replies that named another leader
}

// Session exchanges messages with the control group.
type Session struct {
	localAddr     net.Addr
	Stats         Stats
	clock         clock.Clock
	log           *logrus.Logger
	syncInterval  time.Duration
	timeout       time.Duration
	syncRequested chan struct{}

	mu                  sync.Mutex
	peers               []*peer
	leaderIndex         int // index in peers of the member to call first, usually the leader
	configuredAddresses []ident.Address
	jitter              *rand.Rand
	replies             process.ReadBudget
	failing             bool // the last sync failed
}

// peer is a control VM.
type peer struct {
	address   ident.Address
	client    rpc.Session
	transport *http.Transport
}

// New returns a session that has not contacted control yet.
func New(o Options) *Session {
	s := &Session{
		clock: o.Clock, log: o.Log, syncInterval: o.SyncInterval, timeout: o.Timeout, configuredAddresses: o.ControlAddresses, localAddr: o.LocalAddr,
		syncRequested: make(chan struct{}, 1), jitter: rand.New(rand.NewSource(o.JitterSeed)), replies: process.ReadBudget{Max: process.MaxReplyBytes},
	}
	if s.clock == nil {
		s.clock = clock.System{}
	}
	if s.syncInterval <= 0 {
		s.syncInterval = 200 * time.Millisecond
	}
	if s.timeout <= 0 {
		s.timeout = time.Second
	}
	for _, a := range o.ControlAddresses {
		s.peers = append(s.peers, s.newPeer(a))
	}
	// The first member is chosen at random, so that VMs that start at the same time spread over
	// the members.
	if len(s.peers) > 0 {
		s.leaderIndex = s.jitter.Intn(len(s.peers))
	}
	return s
}

func (s *Session) newPeer(a ident.Address) *peer {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: s.timeout, KeepAlive: s.timeout, LocalAddr: s.localAddr}).DialContext,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: process.MaxReplyHeaderBytes,
	}
	return &peer{
		address: a, transport: transport,
		client: rpc.NewSessionProtobufClient("http://"+string(a), &http.Client{Transport: s.replies.Transport(transport)}),
	}
}

// TriggerSync requests a sync without waiting for the next interval.
func (s *Session) TriggerSync() {
	select {
	case s.syncRequested <- struct{}{}:
	default:
	}
}

// Run syncs at intervals and on request until ctx ends.
func (s *Session) Run(ctx context.Context, handler Handler) {
	for ctx.Err() == nil {
		ok := s.Sync(ctx, handler) == nil
		delay := s.syncDelay(ok)
		syncRequested := s.syncRequested
		if !ok {
			syncRequested = nil // requests for a sync must not turn a failing sync into a busy loop
		}
		select {
		case <-ctx.Done():
		case <-syncRequested:
		case <-s.clock.After(delay):
		}
	}
}

// syncDelay returns the delay before the next sync, shorter after a failure (ok is false). It
// varies by up to 10 % either way, so that VMs do not sync in step.
func (s *Session) syncDelay(ok bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.syncInterval
	if !ok {
		d /= 4
	}
	return d + time.Duration((s.jitter.Float64()-0.5)*0.2*float64(d))
}

// Sync exchanges a report and a reply with the leader. It may call several members to find the
// leader.
func (s *Session) Sync(ctx context.Context, handler Handler) error {
	var reply *rpc.SyncReply
	var sent time.Time
	s.mu.Lock()
	maxCalls := len(s.peers) + 1
	s.mu.Unlock()
	err := s.callLeader(ctx, maxCalls, func(ctx context.Context, c rpc.Session) error {
		request := new(rpc.SyncRequest)
		handler.FillReport(request)
		// The configuration's age counts from before the request is sent, so that delays never
		// make it look younger.
		sent = s.clock.Now()
		var err error
		reply, err = c.Sync(ctx, request)
		return err
	})
	s.recordResult(err)
	if err != nil {
		return err
	}
	s.Stats.Syncs.Add(1)
	s.updatePeers(reply.GetControl())
	handler.HandleReply(sent, reply)
	return nil
}

// FinalSync sends the last report of a VM that has stopped. It tries to find the leader once and
// ignores the reply.
func (s *Session) FinalSync(ctx context.Context, handler Handler) error {
	s.mu.Lock()
	maxCalls := len(s.peers) + 1
	s.mu.Unlock()
	return s.callLeader(ctx, maxCalls, func(ctx context.Context, c rpc.Session) error {
		request := new(rpc.SyncRequest)
		handler.FillReport(request)
		_, err := c.Sync(ctx, request)
		return err
	})
}

// recordResult counts failed syncs, and logs the first failure of a series and its end.
func (s *Session) recordResult(err error) {
	s.mu.Lock()
	stateChanged := s.failing != (err != nil)
	s.failing = err != nil
	s.mu.Unlock()
	if err != nil {
		s.Stats.Failures.Add(1)
	}
	if !stateChanged || s.log == nil {
		return
	}
	if err != nil {
		s.log.WithField("step", "sync").WithError(err).Warn("control group does not answer sync requests")
		return
	}
	s.log.WithField("step", "sync").Info("control group answers sync requests again")
}

// updatePeers adds the members that control names. It drops those that control no longer names,
// except the configured ones.
func (s *Session) updatePeers(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := make(map[ident.Address]bool, len(addresses)+len(s.configuredAddresses))
	for _, a := range addresses {
		wanted[ident.Address(a)] = true
	}
	for _, a := range s.configuredAddresses {
		wanted[a] = true
	}
	current := s.peers[s.leaderIndex]
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
		if wanted[ident.Address(a)] && isAddrPort(a) {
			kept = append(kept, s.newPeer(ident.Address(a)))
			delete(wanted, ident.Address(a))
		}
	}
	s.peers, s.leaderIndex = kept, 0
	for i, p := range kept {
		if p == current {
			s.leaderIndex = i
		}
	}
}

func isAddrPort(a string) bool {
	_, err := netip.ParseAddrPort(a)
	return err == nil
}

// callLeader calls the presumed leader. It goes on to other members, up to maxCalls calls in all,
// while the error says that another member may answer.
func (s *Session) callLeader(ctx context.Context, maxCalls int, call func(context.Context, rpc.Session) error) error {
	var lastErr *fault.Error
	for range maxCalls {
		s.mu.Lock()
		if len(s.peers) == 0 {
			s.mu.Unlock()
			return fault.New(fault.Unreachable, "session", "", "no control address is known")
		}
		p := s.peers[s.leaderIndex]
		s.mu.Unlock()
		callCtx, cancel := s.withTimeout(ctx)
		err := call(callCtx, p.client)
		cancel()
		if err == nil {
			return nil
		}
		lastErr = fault.Of(err)
		if lastErr.Peer == "" {
			lastErr.Step, lastErr.Peer = "session", string(p.address)
		}
		if ctx.Err() != nil || !otherMemberMayAnswer(lastErr.Code) {
			return lastErr
		}
		s.switchPeer(p, lastErr)
	}
	return lastErr
}

// otherMemberMayAnswer reports whether another member may be able to answer a call that failed with
// code.
func otherMemberMayAnswer(code fault.Code) bool {
	return code == fault.NotLeader || code == fault.Isolated || code == fault.Unreachable || code == fault.Stopping
}

// switchPeer switches from a peer whose call failed to the leader that its error names, or else to
// the next peer.
func (s *Session) switchPeer(from *peer, err *fault.Error) {
	// The next exchange with this member must open a new connection, because the old one may be
	// unresponsive.
	from.transport.CloseIdleConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 || s.peers[s.leaderIndex%len(s.peers)] != from {
		return // another call has already switched
	}
	if err.Code == fault.NotLeader && err.Peer != string(from.address) && isAddrPort(err.Peer) {
		s.Stats.Hints.Add(1)
		for i, p := range s.peers {
			if string(p.address) == err.Peer {
				s.leaderIndex = i
				return
			}
		}
		s.peers = append(s.peers, s.newPeer(ident.Address(err.Peer)))
		s.leaderIndex = len(s.peers) - 1
		return
	}
	s.leaderIndex = (s.leaderIndex + 1) % len(s.peers)
}

// withTimeout returns a context that ends one exchange after the timeout.
func (s *Session) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.timeout)
}

// callUntilDeadline repeats an idempotent call until it succeeds, fails with an error of its own,
// or the deadline passes.
func (s *Session) callUntilDeadline(ctx context.Context, deadline time.Time, call func(context.Context, rpc.Session) error) error {
	ctx, cancel := context.WithDeadline(ctx, clock.Deadline(s.clock, deadline))
	defer cancel()
	for {
		s.mu.Lock()
		maxCalls := len(s.peers) + 1
		s.mu.Unlock()
		err := s.callLeader(ctx, maxCalls, call)
		if err == nil || !otherMemberMayAnswer(fault.Of(err).Code) {
			return err
		}
		if clock.Sleep(ctx, s.clock, s.syncDelay(false)) != nil {
			return err
		}
	}
}
