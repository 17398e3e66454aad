package server

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/control/replica"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/limit"
	"cuminfall.example/fleet/rpc"
)

// skewed is a clock that runs at a rate of its own against the true time of the test.
type skewed struct {
	clock.Fake
	true *time.Duration
	rate float64
}

func (c *skewed) Now() time.Time {
	return time.Time{}.Add(time.Hour + time.Duration(float64(*c.true)*c.rate))
}

// leader is one term of the control group: a replica whose commits reach the
// ledger at once, late with an error, or never.
type leader struct {
	sim    *sim
	server *Server
	ledger *ledger.Ledger
	clock  *skewed
	term   ident.Term
	since  time.Time
	leads  bool
}

func (l *leader) Propose(_ context.Context, data []byte) (any, error) {
	if !l.leads {
		return nil, fault.New(fault.Leader, "propose", "", "not leading")
	}
	switch p := l.sim.rand.Float64(); {
	case p < l.sim.lossy/4: // never appended
		return nil, fault.New(fault.Unreachable, "propose", "", "lost")
	case p < l.sim.lossy: // committed later, after the proposer gave up
		l.sim.pending = append(l.sim.pending, data)
		return nil, fault.New(fault.Unreachable, "propose", "", "late")
	}
	l.sim.settle()
	return l.sim.commit(data), nil
}

func (l *leader) Leadership() (ident.Term, time.Time, bool) { return l.term, l.since, l.leads }
func (l *leader) View(f func())                             { f() }
func (l *leader) Remove(context.Context, string) error {
	return nil
}
func (l *leader) Group() *rpc.StatusReply {
	return &rpc.StatusReply{Member: "c1", Leader: "10.0.0.1:1"}
}

// holder is a fake entry VM that spends what it may.
type holder struct {
	vm          string
	incarnation uint64
	clock       *skewed
	frozen      time.Duration // until when it does not run
	mute        time.Duration // until when its messages are lost
	deaf        time.Duration // until when replies to it are lost
	saving      bool          // leaves its tokens in the bucket
	held        rpc.Versions
	until       time.Time
	buckets     map[string]*limit.Bucket
	counters    map[string]*limit.Counter
	wanted      float64
}

// message is an exchange on its way; reply is nil for a request.
type message struct {
	due   time.Duration
	from  *holder
	sent  time.Time // by the holder's clock
	ask   *rpc.SyncRequest
	reply *rpc.SyncReply
}

// meter is a reference bucket for the whole fleet: while spending never exceeds
// its tokens, spending over every window of t stays within rate x t + burst.
type meter struct {
	tokens, rate, burst float64
	at                  time.Duration
}

type sim struct {
	now     time.Duration
	rand    *rand.Rand
	lossy   float64 // part of exchanges and commits that go wrong
	late    time.Duration
	skew    float64
	index   ident.Index
	logTime time.Duration
	leader  *leader
	pending [][]byte
	holders []*holder
	net     []*message
	meters  map[string]*meter
	slots   map[string]uint32        // largest total in force
	lowered map[string]time.Duration // until when an earlier total may be in use
	spent   map[string]float64
	steady  bool // holders keep their demand and whether they save
	fault   string
}

func newSim(seed int64, lossy float64, late time.Duration, skew float64) *sim {
	s := &sim{
		rand: rand.New(rand.NewSource(seed)), lossy: lossy, late: late, skew: skew,
		meters: make(map[string]*meter), slots: make(map[string]uint32),
		lowered: make(map[string]time.Duration), spent: make(map[string]float64),
	}
	s.elect()
	return s
}

func (s *sim) newClock() *skewed {
	return &skewed{true: &s.now, rate: 1 + s.skew*float64(s.rand.Intn(3)-1)}
}

// elect starts a leader that knows the committed state only.
func (s *sim) elect() {
	state := ledger.New()
	if s.leader != nil {
		s.leader.leads = false
		s.settle()
		data, err := s.leader.ledger.Snapshot()
		if err == nil {
			err = state.Restore(data)
		}
		if err != nil {
			s.fault = err.Error()
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &leader{sim: s, ledger: state, clock: s.newClock(), leads: true}
	if s.leader != nil {
		l.term = s.leader.term
	}
	l.term++
	l.since = l.clock.Now()
	l.server = New(Options{Replica: l, Ledger: state, Clock: l.clock, Log: log, Metrics: metrics.NewRegistry(), Timings: DefaultTimings})
	s.leader = l
}

func (s *sim) commit(data []byte) any {
	s.index++
	s.logTime += time.Millisecond
	result := s.leader.ledger.Apply(replica.Entry{Index: s.index, LogTime: s.logTime + s.now, Data: data})
	return result
}

// settle commits what proposers gave up on.
func (s *sim) settle() {
	late := s.pending
	s.pending = nil
	for _, data := range late {
		s.commit(data)
	}
}

// must commits a command for the set-up.
func (s *sim) must(c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		s.fault = err.Error()
		return
	}
	switch r := s.commit(data).(type) {
	case *fault.Error:
		s.fault = r.Error()
	case *rpc.ApplyReply:
		if r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
			s.fault = r.GetReason()
		}
	}
}

func (s *sim) section(name, text string) {
	base := uint64(0)
	for _, x := range s.leader.ledger.Sections() {
		if x.GetName() == name {
			base = x.GetRevision()
		}
	}
	s.must(ledger.Change{Change: &wire.Change{Section: name, Base: base, Id: fmt.Sprint(name, base), Operator: "op", Hash: ledger.Hash("c"), Text: text}})
}

// start replaces the process of a VM.
func (s *sim) start(i int) {
	h := &holder{
		vm: fmt.Sprintf("e%d", i), incarnation: s.rand.Uint64() | 1, clock: s.newClock(),
		buckets: make(map[string]*limit.Bucket), counters: make(map[string]*limit.Counter), wanted: 10,
	}
	if i == len(s.holders) {
		s.holders = append(s.holders, h)
		return
	}
	s.holders[i] = h
}

// post sends a message with the network's faults.
func (s *sim) post(m message) {
	if s.now < m.from.mute || m.reply != nil && s.now < m.from.deaf {
		return
	}
	copies := 1
	if s.rand.Float64() < s.lossy {
		copies = s.rand.Intn(3)
	}
	for range copies {
		c := m
		c.due = s.now + time.Duration(s.rand.Int63n(int64(60*time.Millisecond)))
		if s.rand.Float64() < s.lossy {
			c.due += time.Duration(s.rand.Int63n(int64(s.late) + 1))
		}
		s.net = append(s.net, &c)
	}
}

func (s *sim) request(h *holder) {
	r := &rpc.SyncRequest{
		Vm: h.vm, Incarnation: h.incarnation, Address: "10.0.1.1:80", Domain: "d1",
		Held: &rpc.Versions{Allotments: h.held.GetAllotments()},
	}
	d := &rpc.Demand{Limit: endpoint, Wanted: h.wanted / 4}
	if c := h.counters[endpoint]; c != nil {
		d.Used = c.Used()
	}
	r.Demands = []*rpc.Demand{{Limit: workspace, Wanted: h.wanted}, d}
	for _, u := range s.leader.ledger.Upstreams() {
		r.Renewals = append(r.Renewals, &rpc.Renewal{Address: u.GetAddress(), Incarnation: u.GetIncarnation()})
	}
	s.post(message{from: h, sent: h.clock.Now(), ask: r})
}

// deliver hands over the messages that are due, in the order in which they fell due.
func (s *sim) deliver() {
	var rest []*message
	for _, m := range s.net {
		switch {
		case m.due > s.now:
			rest = append(rest, m)
		case m.reply != nil:
			if s.now >= m.from.frozen {
				m.from.receive(m)
			} else {
				rest = append(rest, m) // waits in the socket of the frozen process
			}
		default:
			reply, err := s.leader.server.sync(context.Background(), m.ask)
			if err == nil {
				defer s.post(message{from: m.from, sent: m.sent, reply: reply})
			}
		}
	}
	s.net = rest
}

// receive applies a reply as an entry VM does: shares only forward, the lease from the send time.
func (h *holder) receive(m *message) {
	now := h.clock.Now()
	v := m.reply.GetVersions().GetAllotments()
	if m.reply.GetAllotments() != nil && v > h.held.GetAllotments() {
		h.held.Allotments = v
		h.resize(now, m.reply.GetAllotments().GetAllotments())
	}
	until := m.sent.Add(time.Duration(m.reply.GetLeaseMs()) * time.Millisecond)
	if until.After(h.until) {
		h.until = until
	}
	for _, b := range h.buckets {
		b.Renew(now, until)
	}
	for _, c := range h.counters {
		c.Renew(until)
	}
}

func (h *holder) resize(now time.Time, list []*rpc.Allotment) {
	listed := make(map[string]bool)
	for _, a := range list {
		listed[a.GetLimit()] = true
		kind, _ := limit.Split(ident.Limit(a.GetLimit()))
		if kind.IsRate() {
			b := h.buckets[a.GetLimit()]
			if b == nil {
				b = new(limit.Bucket)
				h.buckets[a.GetLimit()] = b
			}
			b.Resize(now, a.GetRate(), a.GetBurst())
			continue
		}
		c := h.counters[a.GetLimit()]
		if c == nil {
			c = new(limit.Counter)
			h.counters[a.GetLimit()] = c
		}
		c.Resize(a.GetCount())
	}
	for id, b := range h.buckets {
		if !listed[id] {
			b.Resize(now, 0, 0)
		}
	}
	for id, c := range h.counters {
		if !listed[id] {
			c.Resize(0)
		}
	}
}

// use spends and takes what a running holder may; a lapsed one ends its work.
func (s *sim) use(h *holder) {
	now := h.clock.Now()
	if !s.steady && s.rand.Intn(100) == 0 {
		h.saving = !h.saving
	}
	if !s.steady && s.rand.Intn(50) == 0 {
		h.wanted = []float64{0, 1, 10, 100}[s.rand.Intn(4)]
	}
	if b := h.buckets[workspace]; b != nil && s.rand.Intn(3) > 0 {
		for !h.saving && b.Take(now, 1) {
			s.spend(workspace, 1)
		}
	}
	if c := h.counters[endpoint]; c != nil {
		for c.Used() > 0 && (!now.Before(h.until) || s.rand.Intn(20) == 0) {
			c.Release()
		}
		for s.rand.Intn(4) > 0 && c.Take(now) {
			continue
		}
	}
}
