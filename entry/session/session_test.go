package session

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// fakeMember is a control VM. Its embedded interface is nil, so that calls other than Sync panic.
type fakeMember struct {
	rpc.Session
	address string
	syncs   atomic.Int32
	conns   atomic.Int32 // connections opened
	onSync  func(ctx context.Context, n int32) (*rpc.SyncReply, error)
}

func (m *fakeMember) Sync(ctx context.Context, _ *rpc.SyncRequest) (*rpc.SyncReply, error) {
	reply, err := m.onSync(ctx, m.syncs.Add(1))
	return reply, fault.Twirp(err)
}

func startMember(t *testing.T, onSync func(context.Context, int32) (*rpc.SyncReply, error)) *fakeMember {
	m := &fakeMember{onSync: onSync}
	s := httptest.NewUnstartedServer(rpc.NewSessionServer(m))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			m.conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	m.address = s.Listener.Addr().String()
	return m
}

// syncOK accepts a sync as the leader.
func syncOK(context.Context, int32) (*rpc.SyncReply, error) { return &rpc.SyncReply{Term: 1}, nil }

// replyRecorder records the replies that it is given.
type replyRecorder struct {
	sent  []time.Time
	terms []uint64
}

func (s *replyRecorder) FillReport(r *rpc.SyncRequest) { r.Vm = "e1" }

func (s *replyRecorder) HandleReply(sent time.Time, reply *rpc.SyncReply) {
	s.sent = append(s.sent, sent)
	s.terms = append(s.terms, reply.Term)
}

// newSession returns a session that calls the first member first.
func newSession(timeout time.Duration, members ...string) *Session {
	o := Options{Timeout: timeout, Clock: clock.BootTime{}} // its times are no deadlines of contexts
	for _, m := range members {
		o.ControlAddresses = append(o.ControlAddresses, ident.Address(m))
	}
	s := New(o)
	s.leaderIndex = 0
	return s
}

// Guards against a session that does not find the leader: by a hint to a known or an unknown
// member, or past members that are isolated, stopping or unreachable.
func TestFindsLeader(t *testing.T) {
	leader := startMember(t, syncOK)
	startRefusing := func(code fault.Code, peer string) *fakeMember {
		return startMember(t, func(context.Context, int32) (*rpc.SyncReply, error) {
			return nil, fault.New(code, "sync", peer, "no")
		})
	}
	hint, other := startRefusing(fault.NotLeader, leader.address), startRefusing(fault.NotLeader, "")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	closedAddress := l.Addr().String()
	is.New(t).NoErr(l.Close())
	for _, c := range []struct {
		name    string
		members []string
		hints   int64
	}{
		{"hint to a known member", []string{hint.address, other.address, leader.address}, 1},
		{"hint to an unknown member", []string{hint.address}, 1},
		{"no hint", []string{other.address, leader.address}, 0},
		{"isolated", []string{startRefusing(fault.Isolated, "").address, leader.address}, 0},
		{"stopping", []string{startRefusing(fault.Stopping, "").address, leader.address}, 0},
		{"unreachable", []string{closedAddress, leader.address}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, to := is.New(t), new(replyRecorder)
			s := newSession(time.Second, c.members...)
			before := other.syncs.Load()
			is.NoErr(s.Sync(context.Background(), to))
			is.Equal(to.terms, []uint64{1})
			is.Equal(s.Stats.Hints.Load(), c.hints)
			if c.hints > 0 {
				is.Equal(other.syncs.Load(), before) // the hint is followed without calling other members
			}
			is.Equal(string(s.peers[s.leaderIndex].address), leader.address)
		})
	}
	refused := startRefusing(fault.Invalid, "")
	s := newSession(time.Second, refused.address, leader.address)
	is.New(t).Equal(fault.Of(s.Sync(context.Background(), new(replyRecorder))).Code, fault.Invalid) // no other member is called
	is.New(t).Equal(refused.syncs.Load(), int32(1))
}

// Guards against a session that keeps using an unresponsive connection, and against a reply whose
// age is counted from a later time than its request.
func TestSilentMember(t *testing.T) {
	is, to := is.New(t), new(replyRecorder)
	arrived := make(chan struct{}, 2)
	silent := startMember(t, func(ctx context.Context, n int32) (*rpc.SyncReply, error) {
		switch n {
		case 1, 2: // at the same time, so that two connections are opened
			arrived <- struct{}{}
			for len(arrived) < 2 {
				time.Sleep(time.Millisecond)
			}
		case 3:
			<-ctx.Done() // the reply never arrives
			return nil, ctx.Err()
		case 4:
			time.Sleep(50 * time.Millisecond)
		}
		return &rpc.SyncReply{Term: uint64(n)}, nil
	})
	s := newSession(200*time.Millisecond, silent.address)
	other := make(chan error)
	go func() { other <- s.Sync(context.Background(), new(replyRecorder)) }()
	is.NoErr(s.Sync(context.Background(), new(replyRecorder)))
	is.NoErr(<-other)
	is.Equal(silent.conns.Load(), int32(2))
	began := s.clock.Now()
	is.NoErr(s.Sync(context.Background(), to))
	is.Equal(to.terms, []uint64{4})                               // the exchange without a reply delivers nothing
	is.Equal(silent.conns.Load(), int32(3))                       // the idle connection is not used, because it may be unresponsive as well
	is.True(to.sent[0].Sub(began) >= 200*time.Millisecond)        // sent is the time of the second request
	is.True(s.clock.Now().Sub(to.sent[0]) >= 50*time.Millisecond) // and not that of its reply
}

// Guards against a final sync whose reply is handled, or that waits longer than its context for an
// unresponsive control group.
func TestFinalSync(t *testing.T) {
	is, to := is.New(t), new(replyRecorder)
	leader := startMember(t, syncOK)
	is.NoErr(newSession(time.Second, leader.address).FinalSync(context.Background(), to))
	is.Equal(len(to.terms), 0)
	is.Equal(leader.syncs.Load(), int32(1))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	silent := startMember(t, func(ctx context.Context, _ int32) (*rpc.SyncReply, error) { <-ctx.Done(); return nil, ctx.Err() })
	began := time.Now()
	is.True(newSession(time.Second, silent.address).FinalSync(ctx, to) != nil)
	is.True(time.Since(began) < time.Second)
}

// Guards against a deadline by a clock that counts suspensions which ends a call at once.
func TestDeadlineByTheSessionsClock(t *testing.T) {
	is := is.New(t)
	s := newSession(time.Second, startMember(t, syncOK).address)
	var remaining time.Duration
	is.NoErr(s.callUntilDeadline(context.Background(), s.clock.Now().Add(time.Minute), func(ctx context.Context, _ rpc.Session) error {
		deadline, _ := ctx.Deadline()
		remaining = time.Until(deadline)
		return ctx.Err()
	}))
	is.True(remaining > 0)
}
