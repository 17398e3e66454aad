package server

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminfall.example/control/ledger"
	"cuminfall.example/control/ledger/wire"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/rpc"
)

const (
	simStep   = 20 * time.Millisecond
	simLength = 25 * time.Second
	workspace = "workspace/w"
	endpoint  = "slots/10.0.2.1:80"
)

// fill brings a meter up to date.
func (m *meter) fill(now time.Duration) {
	m.tokens = math.Min(m.burst, m.tokens+m.rate*(now-m.at).Seconds())
	m.at = now
}

func (s *sim) spend(id string, n float64) {
	m := s.meters[id]
	m.fill(s.now)
	m.tokens -= n
	s.spent[id] += n
	if m.tokens < -1e-6 && s.fault == "" {
		s.fault = fmt.Sprintf("at %s: spending on %s exceeds rate x t + burst by %g", s.now, id, -m.tokens)
	}
}

// counts checks the units in use under live leases against the total, and the
// ceilings after every commit.
func (s *sim) counts() {
	for id, total := range s.slots {
		sum := uint32(0)
		for _, h := range s.holders {
			if c := h.counters[id]; c != nil && h.clock.Now().Before(h.until) {
				sum += c.Used()
			}
		}
		if sum > total && s.fault == "" {
			s.fault = fmt.Sprintf("at %s: %d of %d units of %s in use", s.now, sum, total, id)
		}
	}
}

// rate changes the workspace; a lowered one is in force after all shares are confirmed or lapsed.
func (s *sim) rate(rate, burst float64) {
	s.section("workspaces", fmt.Sprintf("[[workspace]]\nname = \"w\"\nrate = %g\nburst = %g\n", rate, burst))
	m := s.meters[workspace]
	if m == nil {
		m = new(meter)
		s.meters[workspace] = m
	}
	m.fill(s.now)
	m.rate, m.burst = math.Max(m.rate, rate*(1+s.skew)), math.Max(m.burst, burst)
	s.lowered[workspace] = math.MaxInt64
}

func (s *sim) upstream(incarnation uint64, slots uint32) {
	s.must(ledger.Announce{Upstream: &rpc.Upstream{
		Service: "s", Address: "10.0.2.1:80", Domain: "d1", Slots: slots, Connections: 10, Incarnation: incarnation,
	}})
	s.slots[endpoint] = max(s.slots[endpoint], slots)
	s.lowered[endpoint] = math.MaxInt64
}

// narrow takes a lowered flow as in force one lease after the ledger lends no
// more than it, and a lowered count when the ceilings fit: units taken before
// may stay in use until they are released.
func (s *sim) narrow() {
	const lease = 3100 * time.Millisecond // with a clock that is 1% slow, and exchanges under way
	for _, id := range []string{workspace, endpoint} {
		due, changed := s.lowered[id]
		if !changed {
			continue
		}
		total, _ := s.leader.ledger.Total(ident.Limit(id))
		var shares ledger.Amount
		for _, h := range s.leader.ledger.Holders() {
			s.leader.ledger.EachAllotment(h, func(l ident.Limit, a ledger.Allotment) {
				if string(l) == id {
					shares = shares.Add(a.Share)
				}
			})
		}
		if s.meters[id] == nil {
			shares = s.leader.ledger.CeilingSum(ident.Limit(id))
		}
		if due == math.MaxInt64 && shares.Within(total) {
			s.lowered[id] = s.now + lease
			if s.meters[id] == nil {
				s.lowered[id] = s.now
			}
		}
		if s.now < s.lowered[id] {
			continue
		}
		delete(s.lowered, id)
		if m := s.meters[id]; m != nil {
			m.fill(s.now)
			m.rate, m.burst = total.Rate*(1+s.skew), total.Burst
		} else {
			s.slots[id] = total.Count
		}
	}
}

func (s *sim) setUp(holders int) {
	s.must(ledger.Bootstrap{Found: &wire.Found{Owners: fmt.Sprintf(
		"[[operator]]\nname = \"op\"\nhash = %q\nsections = [\"owners\", \"places\", \"services\", \"workspaces\"]\n", ledger.Hash("c"))}})
	s.section("places", "[[region]]\nname = \"r\"\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
	s.section("services", "[[service]]\nname = \"s\"\nprefix = \"/s/\"\n")
	s.rate(40, 30)
	s.upstream(1, 12)
	for i := range holders {
		s.start(i)
	}
}

// step lets one step of time pass.
func (s *sim) step(n int) {
	s.now += simStep
	if s.rand.Intn(10) == 0 {
		s.settle()
	}
	for _, h := range s.holders {
		if s.now < h.frozen {
			continue
		}
		if n%10 == s.rand.Intn(10) {
			s.request(h)
		}
	}
	s.deliver()
	if n%10 == 0 {
		s.leader.server.round(context.Background())
	}
	s.narrow()
	for _, h := range s.holders {
		if s.now >= h.frozen {
			s.use(h)
		}
	}
	s.counts()
}

// disturb makes one fault or change.
func (s *sim) disturb(kind, i int) {
	h := s.holders[i%len(s.holders)]
	switch kind {
	case 0:
		h.frozen = s.now + time.Duration(1+i)*time.Second
	case 1:
		h.mute = s.now + time.Duration(1+i)*time.Second
	case 2:
		s.start(i % len(s.holders))
	case 3:
		s.elect()
	case 4:
		s.rate(float64(5+10*i), float64(10+5*i))
	case 5:
		s.upstream(uint64(s.index)+2, uint32(4+i))
	case 6:
		h.deaf = s.now + time.Duration(1+i)*time.Second
	case 7:
		s.leader.leads = !s.leader.leads
	}
}

// TestLimitsHold guards against any exceeding of a flow or count limit when
// exchanges and commits are lost, late, doubled or reordered, holders freeze or
// restart, leaders change, clocks are off by 1%, and totals change.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Int64().Draw(rt, "seed"), rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.5}).Draw(rt, "lossy"),
			time.Duration(rapid.IntRange(0, 6).Draw(rt, "late"))*time.Second, rapid.SampledFrom([]float64{0, 0.01}).Draw(rt, "skew"))
		s.setUp(rapid.IntRange(1, 5).Draw(rt, "holders"))
		steps := int(simLength / simStep)
		events := make(map[int][2]int)
		for range rapid.IntRange(0, 20).Draw(rt, "events") {
			events[rapid.IntRange(50, steps-1).Draw(rt, "at")] = [2]int{rapid.IntRange(0, 7).Draw(rt, "kind"), rapid.IntRange(0, 8).Draw(rt, "which")}
		}
		for n := range steps {
			if e, ok := events[n]; ok {
				s.disturb(e[0], e[1])
			}
			if s.step(n); s.fault != "" {
				rt.Fatal(s.fault)
			}
		}
	})
}

// run lets time pass until the given moment and fails on any exceeding.
func (s *sim) run(t *testing.T, until time.Duration) {
	t.Helper()
	for n := int(s.now / simStep); s.now < until; n++ {
		if s.step(n); s.fault != "" {
			t.Fatal(s.fault)
		}
	}
}

// TestSavedTokensLapse guards against a bucket that keeps its tokens over a
// lapse: the holder is cut off, its burst is lent to and spent by another, and
// the first reply that it gets afterwards already carries a new share.
func TestSavedTokensLapse(t *testing.T) {
	s := newSim(1, 0, 0, 0)
	s.steady = true
	s.setUp(2)
	a, b := s.holders[0], s.holders[1]
	a.saving = true
	s.run(t, 6*time.Second)
	a.mute = 10 * time.Second
	a.deaf = a.mute + 700*time.Millisecond
	s.run(t, 8*time.Second)
	b.saving = true
	s.run(t, 10*time.Second)
	b.saving = false
	s.run(t, a.deaf)
	a.saving = false
	s.run(t, 15*time.Second)
}

// TestLapseCoversClocks guards against a lease that the leader ends before its
// holder does when the holder's clock is 1% slow and the leader's 1% fast.
func TestLapseCoversClocks(t *testing.T) {
	lapse := float64(DefaultTimings.lapse()) / 1.01
	if lease := float64(DefaultTimings.Lease) / 0.99; lapse <= lease {
		t.Fatalf("the leader ends a lease after %g ns, its holder after %g ns", lapse, lease)
	}
}

// TestSpendingIsAllowed guards against limits that hold only because nothing
// is lent: without faults, holders together spend nearly all of the rate.
func TestSpendingIsAllowed(t *testing.T) {
	s := newSim(1, 0, 0, 0)
	s.steady = true
	s.setUp(3)
	s.run(t, 20*time.Second)
	if least := 0.95 * 40 * 20; s.spent[workspace] < least {
		t.Fatalf("spent %g in 20 s, want at least %g", s.spent[workspace], least)
	}
}

// TestEndedReturnsShares guards against shares that a stopped VM keeps for the
// rest of its lease, and against an exchange that renews them afterwards.
func TestEndedReturnsShares(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 0, 0)
	s.setUp(2)
	s.run(t, 2*time.Second)
	a, l := s.holders[0], s.leader
	h := ledger.Holder{VM: ident.VM(a.vm), Incarnation: ident.Incarnation(a.incarnation)}
	is.True(len(l.ledger.Allotments(h)) > 0)
	ask := &rpc.SyncRequest{Vm: a.vm, Incarnation: a.incarnation, Address: "10.0.1.1:80", Domain: "d1", Ended: true}
	for range 2 { // the first answer may be lost
		reply, err := l.server.Sync(context.Background(), ask)
		is.NoErr(err)
		is.Equal(reply.GetLeaseMs(), int64(0))
		is.Equal(l.ledger.RegisteredIndex(h), ident.Index(0))
		_, present := l.ledger.CurrentMember(h)
		is.True(!present) // lookups no longer name it
	}
}
