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

	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

// member is a control VM; the embedded interface is nil, so that a call without a function fails.
type member struct {
	rpc.Session
	address string
	syncs   atomic.Int32
	conns   atomic.Int32 // opened
	sync    func(ctx context.Context, n int32) (*rpc.SyncReply, error)
}

func (m *member) Sync(ctx context.Context, _ *rpc.SyncRequest) (*rpc.SyncReply, error) {
	reply, err := m.sync(ctx, m.syncs.Add(1))
	return reply, fault.Twirp(err)
}

func start(t *testing.T, sync func(context.Context, int32) (*rpc.SyncReply, error)) *member {
	m := &member{sync: sync}
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

func leads(context.Context, int32) (*rpc.SyncReply, error) { return &rpc.SyncReply{Term: 1}, nil }

// source notes the replies that it was given.
type source struct {
	sent  []time.Time
	terms []uint64
}

func (s *source) Report(r *rpc.SyncRequest) { r.Vm = "e1" }

func (s *source) Synced(sent time.Time, reply *rpc.SyncReply) {
	s.sent = append(s.sent, sent)
	s.terms = append(s.terms, reply.Term)
}

// session returns one that begins at the first member.
func session(timeout time.Duration, members ...string) *Session {
	o := Options{Timeout: timeout}
	for _, m := range members {
		o.Control = append(o.Control, ident.Address(m))
	}
	s := New(o)
	s.leader = 0
	return s
}

// Guards against a session that does not find the leader, by a hint to a known
// or an unknown member, or past members that are cut off, stopping or gone.
func TestFindsLeader(t *testing.T) {
	leader := start(t, leads)
	refuse := func(code fault.Code, peer string) *member {
		return start(t, func(context.Context, int32) (*rpc.SyncReply, error) {
			return nil, fault.New(code, "sync", peer, "no")
		})
	}
	hint, other := refuse(fault.Leader, leader.address), refuse(fault.Leader, "")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	gone := l.Addr().String()
	is.New(t).NoErr(l.Close())
	for _, c := range []struct {
		name    string
		members []string
		hints   int64
	}{
		{"hint to a known member", []string{hint.address, other.address, leader.address}, 1},
		{"hint to an unknown member", []string{hint.address}, 1},
		{"no hint", []string{other.address, leader.address}, 0},
		{"cut off", []string{refuse(fault.Isolated, "").address, leader.address}, 0},
		{"stopping", []string{refuse(fault.Stopping, "").address, leader.address}, 0},
		{"gone", []string{gone, leader.address}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is, to := is.New(t), new(source)
			s := session(time.Second, c.members...)
			before := other.syncs.Load()
			is.NoErr(s.Sync(context.Background(), to))
			is.Equal(to.terms, []uint64{1})
			is.Equal(s.Stats.Hints.Load(), c.hints)
			if c.hints > 0 {
				is.Equal(other.syncs.Load(), before) // the hint is followed at once
			}
			is.Equal(string(s.peers[s.leader].address), leader.address)
		})
	}
	refused := refuse(fault.Invalid, "")
	s := session(time.Second, refused.address, leader.address)
	is.New(t).Equal(fault.Of(s.Sync(context.Background(), new(source))).Code, fault.Invalid) // not tried elsewhere
	is.New(t).Equal(refused.syncs.Load(), int32(1))
}

// Guards against a session that stays on a silent connection, and against a
// reply that counts from a later time than its request.
func TestSilentMember(t *testing.T) {
	is, to := is.New(t), new(source)
	both := make(chan struct{}, 2)
	silent := start(t, func(ctx context.Context, n int32) (*rpc.SyncReply, error) {
		switch n {
		case 1, 2: // at the same time, so that two connections are opened
			both <- struct{}{}
			for len(both) < 2 {
				time.Sleep(time.Millisecond)
			}
		case 3:
			<-ctx.Done() // the reply never comes
			return nil, ctx.Err()
		case 4:
			time.Sleep(50 * time.Millisecond)
		}
		return &rpc.SyncReply{Term: uint64(n)}, nil
	})
	s := session(200*time.Millisecond, silent.address)
	other := make(chan error)
	go func() { other <- s.Sync(context.Background(), new(source)) }()
	is.NoErr(s.Sync(context.Background(), new(source)))
	is.NoErr(<-other)
	is.Equal(silent.conns.Load(), int32(2))
	began := time.Now()
	is.NoErr(s.Sync(context.Background(), to))
	is.Equal(to.terms, []uint64{4})                        // the lost exchange reports nothing
	is.Equal(silent.conns.Load(), int32(3))                // the idle connection may be silent as well
	is.True(to.sent[0].Sub(began) >= 200*time.Millisecond) // when the second request was sent
	is.True(time.Since(to.sent[0]) >= 50*time.Millisecond) // which is before its answer
}

// Guards against a last exchange that is fed to the router, or that waits for a control group that is gone.
func TestEnd(t *testing.T) {
	is, to := is.New(t), new(source)
	leader := start(t, leads)
	is.NoErr(session(time.Second, leader.address).End(context.Background(), to))
	is.Equal(len(to.terms), 0)
	is.Equal(leader.syncs.Load(), int32(1))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	silent := start(t, func(ctx context.Context, _ int32) (*rpc.SyncReply, error) { <-ctx.Done(); return nil, ctx.Err() })
	began := time.Now()
	is.True(session(time.Second, silent.address).End(ctx, to) != nil)
	is.True(time.Since(began) < time.Second)
}
