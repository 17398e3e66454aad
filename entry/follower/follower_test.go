package follower

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// member is a stand-in control member with so many drains in its log.
type member struct {
	mu     sync.Mutex
	index  ident.Index
	cut    bool
	silent bool
	link   time.Duration // that the state takes on its way
	leader ident.Address
}

func (m *member) set(index ident.Index, cut, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.cut, m.silent = index, cut, silent
}

func (m *member) follow(ctx context.Context, body []byte) (any, error) {
	var q protocol.FollowRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	m.mu.Lock()
	reply, silent := protocol.FollowReply{Index: m.index, Isolated: m.cut, Leader: m.leader}, m.silent
	if q.StatusOnly {
		m.mu.Unlock()
		return reply, nil
	}
	time.Sleep(m.link)
	for i := q.Index + 1; i <= m.index; i++ {
		c := registry.Command{Drain: &registry.Drain{Domain: ident.Domain(rune('a' + i)), On: true}}
		reply.Entries = append(reply.Entries, protocol.LogEntry{Index: i, Command: c.Encode()})
	}
	m.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if len(reply.Entries) == 0 && q.Wait > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	return reply, nil
}

func serve(t *testing.T, m *member) ident.Address {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(protocol.FollowPath, protocol.Handle(m.follow))
	mux.Handle(protocol.ReportPath, protocol.Handle(func(ctx context.Context, _ []byte) (any, error) {
		m.mu.Lock()
		silent := m.silent
		m.mu.Unlock()
		if silent {
			<-ctx.Done()
		}
		return protocol.ReportReply{}, nil
	}))
	s := httptest.NewServer(mux)
	t.Cleanup(s.CloseClientConnections)
	return ident.Address(strings.TrimPrefix(s.URL, "http://"))
}

// entry keeps the indexes that it was given.
type entry struct {
	mu      sync.Mutex
	indexes []ident.Index
	lent    int       // reports that were answered
	at      time.Time // of the first of them
}

func (e *entry) Update(r *registry.Registry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.indexes = append(e.indexes, r.Index)
}

func (e *entry) Report() protocol.Report { return protocol.Report{} }
func (e *entry) HandleReply(time.Time, protocol.Report, protocol.ReportReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lent++; e.lent == 1 {
		e.at = time.Now()
	}
}

func (e *entry) last() ident.Index {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.indexes) == 0 {
		return 0
	}
	return e.indexes[len(e.indexes)-1]
}

func reach(t *testing.T, e *entry, index ident.Index) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); e.last() < index; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("at index %d, want %d", e.last(), index)
		}
	}
}

// Guards against a VM that stays with a member without contact or with a silent one, and against one that goes
// back to an older state when it turns to a member that lags.
func TestFollowsTheMemberInContact(t *testing.T) {
	is := is.New(t)
	one, two := &member{}, &member{}
	e := &entry{}
	f := New(Options{Clock: clock.System{}, Handler: e, Seeds: []ident.Address{serve(t, one), serve(t, two)},
		Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	one.set(3, false, false)
	two.set(1, true, false) // cut off, and behind
	reach(t, e, 3)
	two.set(2, false, false) // in contact again, and still behind
	one.set(3, false, true)
	time.Sleep(100 * time.Millisecond)
	two.set(5, false, false)
	reach(t, e, 5)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := 1; i < len(e.indexes); i++ {
		is.True(e.indexes[i] > e.indexes[i-1])
	}
}

// Guards against VMs that a new leader hears of seconds after the others, because they report to the member that
// froze until they stop following it: nothing is lent until all are heard.
func TestReportsFindAnotherMember(t *testing.T) {
	is := is.New(t)
	frozen, other := &member{}, &member{}
	frozen.set(1, false, true)
	e := &entry{}
	f := New(Options{Clock: clock.System{}, Handler: e, Seeds: nil, Log: process.NewLogger(io.Discard, "info")})
	f.leader, f.current = serve(t, frozen), serve(t, other)
	f.members = []ident.Address{f.leader, f.current}
	ctx, cancel := context.WithTimeout(context.Background(), reportTime+reportPeriod)
	defer cancel()
	f.reports(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(e.lent > 0)
}

// Guards against VMs that never serve again after a restart of all: the whole state takes longer on a link of
// 2 Mbit/s than a search for a member may, and that of five members at once five times as long.
func TestCatchesUpOverSlowLink(t *testing.T) {
	is := is.New(t)
	far := &member{index: 200, link: probeTime + 300*time.Millisecond}
	e := &entry{}
	f := New(Options{Clock: clock.System{}, Handler: e, Seeds: []ident.Address{serve(t, far)}, Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	time.Sleep(far.link + 500*time.Millisecond)
	is.Equal(e.last(), ident.Index(200))
}

// Guards against callers who are refused for rates for half a second after the loss of all VMs: a new leader lends
// nothing before all VMs have reported, and these waited for their next turn.
func TestNewLeaderHearsAtOnce(t *testing.T) {
	is := is.New(t)
	for range 6 {
		m := &member{index: 1, cut: true}
		address := serve(t, m)
		e := &entry{}
		f := New(Options{Clock: clock.System{}, Log: process.NewLogger(io.Discard, "info"), Seeds: []ident.Address{address}, Handler: e})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(2 * wakePause)
		m.mu.Lock()
		m.cut, m.leader = false, address
		m.mu.Unlock()
		reach(t, e, 1)
		followed := time.Now()
		time.Sleep(reportPeriod)
		cancel()
		<-done
		e.mu.Lock()
		is.True(e.lent > 0)
		is.True(e.at.Sub(followed) < reportPeriod/3) // as soon as the leader is known
		e.mu.Unlock()
	}
}
