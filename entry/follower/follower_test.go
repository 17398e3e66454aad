package follower

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/process"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// fakeMember is a control member whose log holds one drain command per index.
type fakeMember struct {
	mu           sync.Mutex
	index        ident.Index
	isolated     bool
	catchingUp   bool
	unresponsive bool
	statusDelay  time.Duration // before a reply that carries the status only
	stateDelay   time.Duration // before a reply that carries state
	stateReplies int           // replies that were begun with state
	leader       ident.Address
	unreadable   ident.Index // of a command that cannot be decoded
	commandSize  int         // bytes of each command that compression doesn't remove
	reportTimes  []time.Time // when reports arrived
}

func (m *fakeMember) set(index ident.Index, isolated, unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.isolated, m.unresponsive = index, isolated, unresponsive
}

func (m *fakeMember) follow(ctx context.Context, body []byte) (any, error) {
	var request protocol.FollowRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	m.mu.Lock()
	reply, unresponsive := protocol.FollowReply{Index: m.index, Isolated: m.isolated, CatchingUp: m.catchingUp, Leader: m.leader}, m.unresponsive
	statusDelay, stateDelay, commandSize := m.statusDelay, m.stateDelay, m.commandSize
	if !request.StatusOnly && request.Index < reply.Index {
		m.stateReplies++
	}
	m.mu.Unlock()
	if request.StatusOnly {
		time.Sleep(statusDelay)
		return reply, nil
	}
	time.Sleep(stateDelay)
	for i := request.Index + 1; i <= reply.Index; i++ {
		command := registry.Command{Drain: &registry.Drain{Domain: ident.Domain(rune('a'+i)) + randomDomain(i, commandSize), Active: true}}
		entry := protocol.LogEntry{Index: i, Command: command.Encode()}
		if i == m.unreadable {
			entry.Command = json.RawMessage(`{"drain":1}`)
		}
		reply.Entries = append(reply.Entries, entry)
	}
	if unresponsive {
		<-ctx.Done()
	}
	if len(reply.Entries) == 0 && request.Wait > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	return reply, nil
}

// randomDomain returns a name of a domain that compression makes hardly shorter than size.
func randomDomain(seed ident.Index, size int) ident.Domain {
	data := make([]byte, size*3/4)
	_, _ = rand.New(rand.NewSource(int64(seed))).Read(data) // never fails
	return ident.Domain(base64.StdEncoding.EncodeToString(data))
}

func startMember(t *testing.T, m *fakeMember) ident.Address {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(protocol.FollowPath, protocol.NewHandler(m.follow))
	mux.Handle(protocol.ReportPath, protocol.NewHandler(func(ctx context.Context, _ []byte) (any, error) {
		m.mu.Lock()
		unresponsive := m.unresponsive
		m.reportTimes = append(m.reportTimes, time.Now())
		m.mu.Unlock()
		if unresponsive {
			<-ctx.Done()
		}
		return protocol.ReportReply{}, nil
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.CloseClientConnections)
	return ident.Address(strings.TrimPrefix(server.URL, "http://"))
}

// recordingHandler records the registry indexes and report replies that the follower passes to it.
type recordingHandler struct {
	mu              sync.Mutex
	indexes         []ident.Index
	answeredReports int
	lateReplies     int
	firstAnswerAt   time.Time
}

func (h *recordingHandler) Update(r *registry.Registry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.indexes = append(h.indexes, r.Index)
}

func (h *recordingHandler) Report() protocol.Report { return protocol.Report{} }
func (h *recordingHandler) HandleReply(time.Time, protocol.Report, protocol.ReportReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.answeredReports++; h.answeredReports == 1 {
		h.firstAnswerAt = time.Now()
	}
}
func (h *recordingHandler) HandleLateReply(time.Time, protocol.Report, protocol.ReportReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateReplies++
}

func (h *recordingHandler) lastIndex() ident.Index {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.indexes) == 0 {
		return 0
	}
	return h.indexes[len(h.indexes)-1]
}

func waitForIndex(t *testing.T, h *recordingHandler, index ident.Index) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); h.lastIndex() < index; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("registry is at index %d, want %d", h.lastIndex(), index)
		}
	}
}

// Guards against a VM that keeps following a member which is isolated or unresponsive, and against one that returns to
// an older state when it switches to a member that lags.
func TestFollowsMemberInContactWithMajority(t *testing.T) {
	is := is.New(t)
	first, second := &fakeMember{}, &fakeMember{}
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: []ident.Address{startMember(t, first), startMember(t, second)},
		Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	first.set(3, false, false)
	second.set(1, true, false) // isolated and behind
	waitForIndex(t, h, 3)
	second.set(2, false, false) // no longer isolated, but still behind
	first.set(3, false, true)
	time.Sleep(100 * time.Millisecond)
	second.set(5, false, false)
	waitForIndex(t, h, 5)
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := 1; i < len(h.indexes); i++ {
		is.True(h.indexes[i] > h.indexes[i-1])
	}
}

// Guards against a VM that follows the same member again and again because it answers searches first, but nothing else.
func TestMemberThatAnswersOnlySearchesIsNotFollowedAgain(t *testing.T) {
	quick, other := &fakeMember{}, &fakeMember{statusDelay: 50 * time.Millisecond}
	quick.set(5, false, true)
	other.set(5, false, false)
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: []ident.Address{startMember(t, quick), startMember(t, other)},
		Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	waitForIndex(t, h, 5)
	quick.set(6, false, false)
	other.set(5, true, false)
	waitForIndex(t, h, 6) // it is followed where no other member can be
}

// Guards against a restarted VM that uses an upstream or a key again which is gone.
func TestTakesNoRegistryFromMemberThatCatchesUp(t *testing.T) {
	is := is.New(t)
	m := &fakeMember{index: 2, catchingUp: true}
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: []ident.Address{startMember(t, m)}, Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	time.Sleep(3 * probeRetryDelay)
	is.Equal(h.lastIndex(), ident.Index(0))
	m.mu.Lock()
	m.index, m.catchingUp = 5, false
	m.mu.Unlock()
	waitForIndex(t, h, 5)
	m.mu.Lock() // it loses contact and regains it between two requests
	m.index, m.catchingUp = 6, true
	m.mu.Unlock()
	time.Sleep(3 * probeRetryDelay)
	h.mu.Lock()
	defer h.mu.Unlock()
	is.Equal(h.indexes, []ident.Index{5})
}

// Guards against a VM that keeps sending reports to an unresponsive member until it stops following that member. A new
// leader grants no allowances until all VMs have reported, so one late VM delays all of them by seconds.
func TestReportsSwitchToResponsiveMember(t *testing.T) {
	is := is.New(t)
	unresponsive, responsive := &fakeMember{}, &fakeMember{}
	unresponsive.set(1, false, true)
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: nil, Log: process.NewLogger(io.Discard, "info")})
	f.leader, f.followed = startMember(t, unresponsive), startMember(t, responsive)
	f.members = []ident.Address{f.leader, f.followed}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout+reportInterval)
	defer cancel()
	f.runReports(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	is.True(h.answeredReports > 0)
}

// startQueuedLink returns the address of a relay to a member with a queue of packets in each direction, which delays them. A connection is
// open once its first packet and the answer have passed the queues.
func startQueuedLink(t *testing.T, member ident.Address, delay *atomic.Int64) ident.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go relayQueued(near, member, delay)
		}
	}()
	return ident.Address(l.Addr().String())
}

// relayQueued relays one connection of a queued link. Packets of a connection that is closed meanwhile are lost.
func relayQueued(near net.Conn, member ident.Address, delay *atomic.Int64) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", string(member))
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	closed := make(chan struct{}, 2)
	openedAt := time.Now().Add(2 * time.Duration(delay.Load()))
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			defer func() { closed <- struct{}{} }()
			for {
				data := make([]byte, 64<<10)
				n, err := pair[0].Read(data)
				if err != nil {
					return
				}
				passAt := time.Now()
				if passAt.Before(openedAt) {
					passAt = openedAt
				}
				time.AfterFunc(time.Until(passAt.Add(time.Duration(delay.Load()))), func() { _, _ = pair[1].Write(data[:n]) })
			}
		}()
	}
	<-closed
}

// Guards against VMs that count as down because their links are saturated by uploads. When all VMs of a region did, its
// callers moved to other regions at once.
func TestReportsArriveOverSaturatedLink(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	var delay atomic.Int64
	delay.Store(int64(700 * time.Millisecond))
	m := &fakeMember{}
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Log: process.NewLogger(io.Discard, "info")})
	f.leader = startQueuedLink(t, startMember(t, m), &delay)
	f.followed, f.members = f.leader, []ident.Address{f.leader}
	ctx, cancel := context.WithTimeout(context.Background(), lateReportTimeout)
	defer cancel()
	f.runReports(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("reports arrived %v after the start", m.reportTimes)
	const vmSilence = 2500 * time.Millisecond // after which the leader considers the VM as down
	is.True(len(m.reportTimes) > 3)
	for i, at := range m.reportTimes {
		if i > 0 {
			is.True(at.Sub(m.reportTimes[i-1]) < vmSilence)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	is.True(h.lateReplies > 0)
}

// startSlowLink returns the address of a relay to a member. All bytes from the member share a rate, in bytes a second.
func startSlowLink(t *testing.T, member ident.Address, rate int) ident.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var link sync.Mutex
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", string(member))
			if err != nil {
				_ = near.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(far, near)
				_ = far.Close()
			}()
			go func() {
				defer func() { _ = near.Close() }()
				data := make([]byte, 1400)
				for {
					n, err := far.Read(data)
					if err != nil {
						return
					}
					link.Lock()
					time.Sleep(time.Second * time.Duration(n) / time.Duration(rate))
					link.Unlock()
					if _, err := near.Write(data[:n]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ident.Address(l.Addr().String())
}

// startFollower runs a follower until the end of the test and returns its handler.
func startFollower(t *testing.T, seeds ...ident.Address) *recordingHandler {
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: seeds, Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

// Guards against a VM that never gets a large registry because its link is saturated: each request was given up while its
// reply arrived.
func TestLongReplyOverSaturatedLinkIsWaitedFor(t *testing.T) {
	t.Parallel()
	const rate, size = 100_000, 400_000
	m := &fakeMember{index: 4, commandSize: size / 4}
	h := startFollower(t, startSlowLink(t, startMember(t, m), rate))
	waitForIndex(t, h, 4)
	m.mu.Lock()
	m.index = 8
	m.mu.Unlock()
	waitForIndex(t, h, 8)
}

// Guards against a VM that gets no registry for as long as uploads saturate its link: no reply came within the time of a
// request, nor within that of a search over new connections. In the deployment revontuli-alerts-grown this took up to 19 s.
func TestFollowsOverSaturatedLink(t *testing.T) {
	t.Parallel()
	m := &fakeMember{index: 1}
	var delay atomic.Int64
	link := startQueuedLink(t, startMember(t, m), &delay)
	h := startFollower(t, link)
	waitForIndex(t, h, 1)
	delay.Store(int64(1600 * time.Millisecond)) // in each direction
	time.Sleep(time.Second)
	for index := ident.Index(2); index <= 4; index++ {
		m.set(index, false, false)
		waitForIndex(t, h, index)
	}
}

// Guards against a restarted VM that finds no member over a saturated link, as no search waits for its answers.
func TestFindsMemberOverSaturatedLink(t *testing.T) {
	t.Parallel()
	m := &fakeMember{index: 1}
	var delay atomic.Int64
	delay.Store(int64(700 * time.Millisecond))
	waitForIndex(t, startFollower(t, startQueuedLink(t, startMember(t, m), &delay)), 1)
}

// Guards against a late reply that is not used because no search gets an answer over the link that delays it.
func TestLateReplyIsUsedWhileSearchesFail(t *testing.T) {
	t.Parallel()
	const rate, size = 100_000, 400_000
	m := &fakeMember{index: 4, commandSize: size / 4}
	h := startFollower(t, startSlowLink(t, startMember(t, m), rate))
	time.Sleep(probeTimeout) // it follows the member
	m.mu.Lock()
	m.statusDelay = 2 * probeTimeout
	m.mu.Unlock()
	waitForIndex(t, h, 4)
}

// Guards against a VM that waits for the reply of a member on a slow link while another member could send it.
func TestLongReplyOfSlowMemberDoesNotDelayAnother(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	const size = 400_000
	slow, other := &fakeMember{index: 4, commandSize: size / 4}, &fakeMember{index: 4, commandSize: size / 4, statusDelay: 50 * time.Millisecond}
	startedAt := time.Now()
	h := startFollower(t, startSlowLink(t, startMember(t, slow), size/40), startMember(t, other))
	waitForIndex(t, h, 4)
	is.True(time.Since(startedAt) < longPollWait+longPollMargin+2*probeTimeout)
}

// Guards against VMs that never recover after a restart of the whole fleet. The full state takes longer than
// probeTimeout over a 2 Mbit/s link, and the state of five members at once takes five times as long.
func TestCatchesUpOverSlowLink(t *testing.T) {
	is := is.New(t)
	slow := &fakeMember{index: 200, stateDelay: probeTimeout + 300*time.Millisecond}
	h := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Handler: h, Seeds: []ident.Address{startMember(t, slow)}, Log: process.NewLogger(io.Discard, "info")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	waitForIndex(t, h, 200)
	slow.mu.Lock()
	defer slow.mu.Unlock()
	is.Equal(slow.stateReplies, 1) // the transfer was not given up and begun again
}

// Guards against rate-limit refusals for half a second after the loss of all VMs. A new leader grants no allowances
// before all VMs have reported, and VMs used to wait for their next regular report.
func TestReportsToNewLeaderAtOnce(t *testing.T) {
	is := is.New(t)
	for range 6 {
		m := &fakeMember{index: 1, isolated: true}
		address := startMember(t, m)
		h := &recordingHandler{}
		f := New(Options{Clock: clock.System{}, Log: process.NewLogger(io.Discard, "info"), Seeds: []ident.Address{address}, Handler: h})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(2 * minReportInterval)
		m.mu.Lock()
		m.isolated, m.leader = false, address
		m.mu.Unlock()
		waitForIndex(t, h, 1)
		followedAt := time.Now()
		time.Sleep(reportInterval)
		cancel()
		<-done
		h.mu.Lock()
		is.True(h.answeredReports > 0)
		is.True(h.firstAnswerAt.Sub(followedAt) < reportInterval/3) // triggered by the new leader, not by the interval
		h.mu.Unlock()
	}
}

// Guards against one command that cannot be decoded and that ends all changes of the registry at all VMs. Members skip it.
func TestUnreadableCommandIsSkipped(t *testing.T) {
	is := is.New(t)
	member := &fakeMember{index: 3, unreadable: 2}
	handler := &recordingHandler{}
	f := New(Options{Clock: clock.System{}, Log: process.NewLogger(io.Discard, "info"), Handler: handler, Seeds: []ident.Address{startMember(t, member)}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	waitForIndex(t, handler, 3)
	member.set(4, false, false)
	waitForIndex(t, handler, 4)
	handler.mu.Lock()
	defer handler.mu.Unlock()
	is.Equal(handler.indexes, []ident.Index{3, 4})
}

// Guards against a VM that searches on over a saturated link although a member just confirmed that the registry is current.
func TestLateReplyWithoutChangesEndsSearch(t *testing.T) {
	is := is.New(t)
	f := New(Options{Clock: clock.System{}, Log: process.NewLogger(io.Discard, "info"), Handler: &recordingHandler{}})
	call := &followCall{member: "late", cancel: func() {}}
	f.late = []*followCall{call}
	is.True(f.endLateCall(followResult{call: call}))
	is.Equal(f.followedMember(), ident.Address("late"))
	other := &followCall{member: "other", cancel: func() {}}
	f.late = []*followCall{other}
	is.True(!f.endLateCall(followResult{call: other})) // one is followed already
	is.Equal(f.followedMember(), ident.Address("late"))
}
