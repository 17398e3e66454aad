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

// skewedClock is a clock that runs faster or slower than the simulated time by a constant factor.
type skewedClock struct {
	clock.Fake
	trueTime *time.Duration
	rate     float64
}

func (c *skewedClock) Now() time.Time {
	return time.Time{}.Add(time.Hour + time.Duration(float64(*c.trueTime)*c.rate))
}

// fakeReplica is the leader of one term. The commands proposed to it are applied to the ledger at once,
// later after an error, or never.
type fakeReplica struct {
	sim       *sim
	server    *Server
	ledger    *ledger.Ledger
	clock     *skewedClock
	term      ident.Term
	termStart time.Time
	leading   bool
}

func (l *fakeReplica) Propose(_ context.Context, data []byte) (any, error) {
	if !l.leading {
		return nil, fault.New(fault.NotLeader, "propose", "", "this member does not lead")
	}
	switch p := l.sim.rand.Float64(); {
	case p < l.sim.faultRate/4: // never appended
		return nil, fault.New(fault.Unreachable, "propose", "", "the command was lost")
	case p < l.sim.faultRate: // committed after the proposer got an error
		l.sim.pending = append(l.sim.pending, data)
		return nil, fault.New(fault.Unreachable, "propose", "", "the command is delayed")
	}
	l.sim.commitPending()
	return l.sim.commit(data), nil
}

func (l *fakeReplica) Leadership() (ident.Term, time.Time, bool) {
	return l.term, l.termStart, l.leading
}
func (l *fakeReplica) View(f func()) { f() }
func (l *fakeReplica) Remove(context.Context, string) error {
	return nil
}
func (l *fakeReplica) GroupStatus() *rpc.StatusReply {
	return &rpc.StatusReply{Member: "c1", Leader: "10.0.0.1:1"}
}

// simHolder simulates an entry VM that uses its shares as far as its lease allows.
type simHolder struct {
	vm               string
	incarnation      uint64
	clock            *skewedClock
	frozenUntil      time.Duration // time until which it is frozen
	sendsLostUntil   time.Duration // time until which its messages are lost
	repliesLostUntil time.Duration // time until which replies to it are lost
	keepsTokens      bool          // takes no tokens from its buckets
	versions         rpc.Versions
	leaseExpiry      time.Time
	buckets          map[string]*limit.Bucket
	counters         map[string]*limit.Counter
	demand           float64
}

// message is a sync request, or the reply to one, that was not yet delivered.
type message struct {
	due     time.Duration // time of delivery
	holder  *simHolder
	sent    time.Time // time at which the request was sent, by the holder's clock
	request *rpc.SyncRequest
	reply   *rpc.SyncReply
}

// referenceBucket is a token bucket for the whole fleet. As long as the fleet spends no more than its
// tokens, spending within any window of length t is at most rate x t + burst.
type referenceBucket struct {
	tokens, rate, burst float64
	updated             time.Duration
}

// sim simulates a control group and entry VMs in steps of simulated time, with faults of the network
// and of commits.
type sim struct {
	now              time.Duration
	rand             *rand.Rand
	faultRate        float64 // probability that a message or a commit fails, is delayed or is duplicated
	maxDelay         time.Duration
	skew             float64
	index            ident.Index
	logTime          time.Duration
	leader           *fakeReplica
	pending          [][]byte
	holders          []*simHolder
	messages         []*message
	referenceBuckets map[string]*referenceBucket
	totals           map[string]uint32        // largest total of a count limit that may still apply
	totalEffectiveAt map[string]time.Duration // time until which a larger, earlier total may still be in use
	spent            map[string]float64
	steadyDemand     bool // holders do not change demand and keepsTokens
	failure          string
}

func newSim(seed int64, faultRate float64, maxDelay time.Duration, skew float64) *sim {
	s := &sim{
		rand: rand.New(rand.NewSource(seed)), faultRate: faultRate, maxDelay: maxDelay, skew: skew,
		referenceBuckets: make(map[string]*referenceBucket), totals: make(map[string]uint32),
		totalEffectiveAt: make(map[string]time.Duration), spent: make(map[string]float64),
	}
	s.startTerm()
	return s
}

func (s *sim) newClock() *skewedClock {
	return &skewedClock{trueTime: &s.now, rate: 1 + s.skew*float64(s.rand.Intn(3)-1)}
}

// startTerm starts a new leader, which has only the committed state of the previous one.
func (s *sim) startTerm() {
	state := ledger.New()
	if s.leader != nil {
		s.leader.leading = false
		s.commitPending()
		data, err := s.leader.ledger.Snapshot()
		if err == nil {
			err = state.Restore(data)
		}
		if err != nil {
			s.failure = err.Error()
		}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &fakeReplica{sim: s, ledger: state, clock: s.newClock(), leading: true}
	if s.leader != nil {
		l.term = s.leader.term
	}
	l.term++
	l.termStart = l.clock.Now()
	l.server = New(Options{Replica: l, Ledger: state, Clock: l.clock, Log: log, Metrics: metrics.NewRegistry(), Timings: DefaultTimings})
	s.leader = l
}

func (s *sim) commit(data []byte) any {
	s.index++
	s.logTime += time.Millisecond
	result := s.leader.ledger.Apply(replica.Entry{Index: s.index, LogTime: s.logTime + s.now, Data: data})
	return result
}

// commitPending commits the delayed commands, whose proposers already got an error.
func (s *sim) commitPending() {
	pending := s.pending
	s.pending = nil
	for _, data := range pending {
		s.commit(data)
	}
}

// mustApply commits a command and records a failure if the command is refused.
func (s *sim) mustApply(c ledger.Command) {
	data, err := ledger.Encode(c)
	if err != nil {
		s.failure = err.Error()
		return
	}
	switch r := s.commit(data).(type) {
	case *fault.Error:
		s.failure = r.Error()
	case *rpc.ApplyReply:
		if r.GetState() != rpc.ApplyState_APPLY_STATE_ACCEPTED {
			s.failure = r.GetReason()
		}
	}
}

func (s *sim) setSection(name, text string) {
	base := uint64(0)
	for _, x := range s.leader.ledger.Sections() {
		if x.GetName() == name {
			base = x.GetRevision()
		}
	}
	s.mustApply(ledger.Change{Change: &wire.Change{Section: name, Base: base, Id: fmt.Sprint(name, base), Operator: "op", Hash: ledger.HashCredential("c"), Text: text}})
}

// startHolder starts a new incarnation of the VM with number i, in place of an earlier one.
func (s *sim) startHolder(i int) {
	h := &simHolder{
		vm: fmt.Sprintf("e%d", i), incarnation: s.rand.Uint64() | 1, clock: s.newClock(),
		buckets: make(map[string]*limit.Bucket), counters: make(map[string]*limit.Counter), demand: 10,
	}
	if i == len(s.holders) {
		s.holders = append(s.holders, h)
		return
	}
	s.holders[i] = h
}

// send sends a message over the simulated network, which may lose, delay or duplicate it.
func (s *sim) send(m message) {
	if s.now < m.holder.sendsLostUntil || m.reply != nil && s.now < m.holder.repliesLostUntil {
		return
	}
	copies := 1
	if s.rand.Float64() < s.faultRate {
		copies = s.rand.Intn(3)
	}
	for range copies {
		c := m
		c.due = s.now + time.Duration(s.rand.Int63n(int64(60*time.Millisecond)))
		if s.rand.Float64() < s.faultRate {
			c.due += time.Duration(s.rand.Int63n(int64(s.maxDelay) + 1))
		}
		s.messages = append(s.messages, &c)
	}
}

func (s *sim) sendSync(h *simHolder) {
	r := &rpc.SyncRequest{
		Vm: h.vm, Incarnation: h.incarnation, Address: "10.0.1.1:80", Domain: "d1",
		Held: &rpc.Versions{Allotments: h.versions.GetAllotments()},
	}
	d := &rpc.Demand{Limit: slotsLimit, Wanted: h.demand / 4}
	if c := h.counters[slotsLimit]; c != nil {
		d.Used = c.Used()
	}
	r.Demands = []*rpc.Demand{{Limit: workspaceLimit, Wanted: h.demand}, d}
	for _, u := range s.leader.ledger.Upstreams() {
		r.Renewals = append(r.Renewals, &rpc.Renewal{Address: u.GetAddress(), Incarnation: u.GetIncarnation()})
	}
	s.send(message{holder: h, sent: h.clock.Now(), request: r})
}

// deliver delivers the messages that are due, in the order in which they were sent.
func (s *sim) deliver() {
	var remaining []*message
	for _, m := range s.messages {
		switch {
		case m.due > s.now:
			remaining = append(remaining, m)
		case m.reply != nil:
			if s.now >= m.holder.frozenUntil {
				m.holder.receive(m)
			} else {
				remaining = append(remaining, m) // stays in the socket buffer of the frozen process
			}
		default:
			reply, err := s.leader.server.sync(context.Background(), m.request)
			if err == nil {
				defer s.send(message{holder: m.holder, sent: m.sent, reply: reply})
			}
		}
	}
	s.messages = remaining
}

// receive applies a reply as an entry VM does: it ignores shares of an older version, and counts the
// lease from the time at which the request was sent.
func (h *simHolder) receive(m *message) {
	now := h.clock.Now()
	v := m.reply.GetVersions().GetAllotments()
	if m.reply.GetAllotments() != nil && v > h.versions.GetAllotments() {
		h.versions.Allotments = v
		h.resize(now, m.reply.GetAllotments().GetAllotments())
	}
	leaseExpiry := m.sent.Add(time.Duration(m.reply.GetLeaseMs()) * time.Millisecond)
	if leaseExpiry.After(h.leaseExpiry) {
		h.leaseExpiry = leaseExpiry
	}
	for _, b := range h.buckets {
		b.Renew(now, leaseExpiry)
	}
	for _, c := range h.counters {
		c.Renew(leaseExpiry)
	}
}

func (h *simHolder) resize(now time.Time, list []*rpc.Allotment) {
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

// useShares takes tokens and units as far as the holder's shares allow. A holder whose lease has
// expired releases its units.
func (s *sim) useShares(h *simHolder) {
	now := h.clock.Now()
	if !s.steadyDemand && s.rand.Intn(100) == 0 {
		h.keepsTokens = !h.keepsTokens
	}
	if !s.steadyDemand && s.rand.Intn(50) == 0 {
		h.demand = []float64{0, 1, 10, 100}[s.rand.Intn(4)]
	}
	if b := h.buckets[workspaceLimit]; b != nil && s.rand.Intn(3) > 0 {
		for !h.keepsTokens && b.Take(now, 1) {
			s.spend(workspaceLimit, 1)
		}
	}
	if c := h.counters[slotsLimit]; c != nil {
		for c.Used() > 0 && (!now.Before(h.leaseExpiry) || s.rand.Intn(20) == 0) {
			c.Release()
		}
		for s.rand.Intn(4) > 0 && c.Take(now) {
			continue
		}
	}
}
