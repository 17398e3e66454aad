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
	simStep        = 20 * time.Millisecond
	simDuration    = 25 * time.Second
	workspaceLimit = "workspace/w"
	slotsLimit     = "slots/10.0.2.1:80"
)

// advance adds the tokens that accrued until now.
func (m *referenceBucket) advance(now time.Duration) {
	m.tokens = math.Min(m.burst, m.tokens+m.rate*(now-m.updated).Seconds())
	m.updated = now
}

func (s *sim) spend(id string, n float64) {
	m := s.referenceBuckets[id]
	m.advance(s.now)
	m.tokens -= n
	s.spent[id] += n
	if m.tokens < -1e-6 && s.failure == "" {
		s.failure = fmt.Sprintf("at %s: use of %s exceeds rate x t + burst by %g tokens", s.now, id, -m.tokens)
	}
}

// checkCounts records a failure if holders with a valid lease use more units of a count limit than its
// total.
func (s *sim) checkCounts() {
	for id, total := range s.totals {
		sum := uint32(0)
		for _, h := range s.holders {
			if c := h.counters[id]; c != nil && h.clock.Now().Before(h.leaseExpiry) {
				sum += c.Used()
			}
		}
		if sum > total && s.failure == "" {
			s.failure = fmt.Sprintf("at %s: %d of %d units of %s in use", s.now, sum, total, id)
		}
	}
}

// setRate changes the rate and burst of the workspace. Lower values apply only after every holder has
// confirmed its lowered share or its lease has expired.
func (s *sim) setRate(rate, burst float64) {
	s.setSection("workspaces", fmt.Sprintf("[[workspace]]\nname = \"w\"\nrate = %g\nburst = %g\n", rate, burst))
	m := s.referenceBuckets[workspaceLimit]
	if m == nil {
		m = new(referenceBucket)
		s.referenceBuckets[workspaceLimit] = m
	}
	m.advance(s.now)
	m.rate, m.burst = math.Max(m.rate, rate*(1+s.skew)), math.Max(m.burst, burst)
	s.totalEffectiveAt[workspaceLimit] = math.MaxInt64
}

func (s *sim) announceUpstream(incarnation uint64, slots uint32) {
	s.mustApply(ledger.Announce{Upstream: &rpc.Upstream{
		Service: "s", Address: "10.0.2.1:80", Domain: "d1", Slots: slots, Connections: 10, Incarnation: incarnation,
	}})
	s.totals[slotsLimit] = max(s.totals[slotsLimit], slots)
	s.totalEffectiveAt[slotsLimit] = math.MaxInt64
}

// applyLoweredTotals lowers the totals against which the simulation checks. A lowered rate applies one
// lease after the sum of shares fits it. A lowered count applies when the sum of ceilings fits it,
// because units that were taken before may stay in use until they are released.
func (s *sim) applyLoweredTotals() {
	const lease = 3100 * time.Millisecond // covers a clock that is 1% slow and requests in progress
	for _, id := range []string{workspaceLimit, slotsLimit} {
		effective, changed := s.totalEffectiveAt[id]
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
		if s.referenceBuckets[id] == nil {
			shares = s.leader.ledger.CeilingSum(ident.Limit(id))
		}
		if effective == math.MaxInt64 && shares.Within(total) {
			s.totalEffectiveAt[id] = s.now + lease
			if s.referenceBuckets[id] == nil {
				s.totalEffectiveAt[id] = s.now
			}
		}
		if s.now < s.totalEffectiveAt[id] {
			continue
		}
		delete(s.totalEffectiveAt, id)
		if m := s.referenceBuckets[id]; m != nil {
			m.advance(s.now)
			m.rate, m.burst = total.Rate*(1+s.skew), total.Burst
		} else {
			s.totals[id] = total.Count
		}
	}
}

// setUp creates the document and one upstream, and starts the holders.
func (s *sim) setUp(holders int) {
	s.mustApply(ledger.Bootstrap{Found: &wire.Found{Owners: fmt.Sprintf(
		"[[operator]]\nname = \"op\"\nhash = %q\nsections = [\"owners\", \"places\", \"services\", \"workspaces\"]\n", ledger.HashCredential("c"))}})
	s.setSection("places", "[[region]]\nname = \"r\"\n[[domain]]\nname = \"d1\"\nregion = \"r\"\n")
	s.setSection("services", "[[service]]\nname = \"s\"\nprefix = \"/s/\"\n")
	s.setRate(40, 30)
	s.announceUpstream(1, 12)
	for i := range holders {
		s.startHolder(i)
	}
}

// step advances the time by simStep, delivers messages and lets holders use their shares.
func (s *sim) step(n int) {
	s.now += simStep
	if s.rand.Intn(10) == 0 {
		s.commitPending()
	}
	for _, h := range s.holders {
		if s.now < h.frozenUntil {
			continue
		}
		if n%10 == s.rand.Intn(10) {
			s.sendSync(h)
		}
	}
	s.deliver()
	if n%10 == 0 {
		s.leader.server.planOnce(context.Background())
	}
	s.applyLoweredTotals()
	for _, h := range s.holders {
		if s.now >= h.frozenUntil {
			s.useShares(h)
		}
	}
	s.checkCounts()
}

// injectEvent causes the fault or change with number kind, which affects the holder with number i.
func (s *sim) injectEvent(kind, i int) {
	h := s.holders[i%len(s.holders)]
	switch kind {
	case 0:
		h.frozenUntil = s.now + time.Duration(1+i)*time.Second
	case 1:
		h.sendsLostUntil = s.now + time.Duration(1+i)*time.Second
	case 2:
		s.startHolder(i % len(s.holders))
	case 3:
		s.startTerm()
	case 4:
		s.setRate(float64(5+10*i), float64(10+5*i))
	case 5:
		s.announceUpstream(uint64(s.index)+2, uint32(4+i))
	case 6:
		h.repliesLostUntil = s.now + time.Duration(1+i)*time.Second
	case 7:
		s.leader.leading = !s.leader.leading
	}
}

// TestLimitsHold guards against a rate or count limit that is exceeded when messages and commits are
// lost, delayed, duplicated or reordered, holders freeze or restart, leaders change, clocks are 1% fast
// or slow, and totals change.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Int64().Draw(rt, "seed"), rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.5}).Draw(rt, "lossy"),
			time.Duration(rapid.IntRange(0, 6).Draw(rt, "late"))*time.Second, rapid.SampledFrom([]float64{0, 0.01}).Draw(rt, "skew"))
		s.setUp(rapid.IntRange(1, 5).Draw(rt, "holders"))
		steps := int(simDuration / simStep)
		events := make(map[int][2]int)
		for range rapid.IntRange(0, 20).Draw(rt, "events") {
			events[rapid.IntRange(50, steps-1).Draw(rt, "at")] = [2]int{rapid.IntRange(0, 7).Draw(rt, "kind"), rapid.IntRange(0, 8).Draw(rt, "which")}
		}
		for n := range steps {
			if e, ok := events[n]; ok {
				s.injectEvent(e[0], e[1])
			}
			if s.step(n); s.failure != "" {
				rt.Fatal(s.failure)
			}
		}
	})
}

// runUntil advances the time to until and fails the test if a limit is exceeded.
func (s *sim) runUntil(t *testing.T, until time.Duration) {
	t.Helper()
	for n := int(s.now / simStep); s.now < until; n++ {
		if s.step(n); s.failure != "" {
			t.Fatal(s.failure)
		}
	}
}

// TestUnusedTokensExpireWithLease guards against a bucket that keeps its tokens after its lease expires.
// One holder loses contact, another gets and uses its burst, and the first reply that the holder gets
// afterwards already contains a new share.
func TestUnusedTokensExpireWithLease(t *testing.T) {
	s := newSim(1, 0, 0, 0)
	s.steadyDemand = true
	s.setUp(2)
	a, b := s.holders[0], s.holders[1]
	a.keepsTokens = true
	s.runUntil(t, 6*time.Second)
	a.sendsLostUntil = 10 * time.Second
	a.repliesLostUntil = a.sendsLostUntil + 700*time.Millisecond
	s.runUntil(t, 8*time.Second)
	b.keepsTokens = true
	s.runUntil(t, 10*time.Second)
	b.keepsTokens = false
	s.runUntil(t, a.repliesLostUntil)
	a.keepsTokens = false
	s.runUntil(t, 15*time.Second)
}

// TestReleaseTimeoutCoversClockRates guards against a leader that regards a lease as expired before its
// holder does, when the holder's clock is 1% slow and the leader's clock is 1% fast.
func TestReleaseTimeoutCoversClockRates(t *testing.T) {
	timeout := float64(DefaultTimings.releaseTimeout()) / 1.01
	if lease := float64(DefaultTimings.LeaseDuration) / 0.99; timeout <= lease {
		t.Fatalf("leader regards a lease as expired after %g ns, its holder after %g ns", timeout, lease)
	}
}

// TestRateIsUsedWithoutFaults guards against limits that hold only because holders get no shares: without
// faults, the holders together must use at least 95% of the rate.
func TestRateIsUsedWithoutFaults(t *testing.T) {
	s := newSim(1, 0, 0, 0)
	s.steadyDemand = true
	s.setUp(3)
	s.runUntil(t, 20*time.Second)
	if minSpent := 0.95 * 40 * 20; s.spent[workspaceLimit] < minSpent {
		t.Fatalf("holders spent %g tokens in 20 s, want at least %g", s.spent[workspaceLimit], minSpent)
	}
}

// TestEndedVMReturnsShares guards against a stopped VM that keeps its shares until its lease expires, and
// against a request that renews the lease afterwards.
func TestEndedVMReturnsShares(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 0, 0, 0)
	s.setUp(2)
	s.runUntil(t, 2*time.Second)
	a, l := s.holders[0], s.leader
	h := ledger.Holder{VM: ident.VM(a.vm), Incarnation: ident.Incarnation(a.incarnation)}
	is.True(len(l.ledger.Allotments(h)) > 0)
	request := &rpc.SyncRequest{Vm: a.vm, Incarnation: a.incarnation, Address: "10.0.1.1:80", Domain: "d1", Ended: true}
	for range 2 { // the first reply may be lost
		reply, err := l.server.Sync(context.Background(), request)
		is.NoErr(err)
		is.Equal(reply.GetLeaseMs(), int64(0))
		is.Equal(l.ledger.RegisteredIndex(h), ident.Index(0))
		_, present := l.ledger.CurrentMember(h)
		is.True(!present) // lookups must not return the VM
	}
}

// TestEndedVMReturnsSlots guards against a stopped VM whose slots stay taken for the longest timeout of their service,
// and against granting those again that its last requests still use.
func TestEndedVMReturnsSlots(t *testing.T) {
	for _, inUse := range []uint32{0, 1} {
		is := is.New(t)
		s := newSim(1, 0, 0, 0)
		s.setUp(2)
		s.runUntil(t, 2*time.Second)
		a, l := s.holders[0], s.leader
		h := ledger.Holder{VM: ident.VM(a.vm), Incarnation: ident.Incarnation(a.incarnation)}
		l.ledger.EachAllotment(h, func(id ident.Limit, held ledger.Allotment) {
			is.True(id != slotsLimit || held.Ceiling.Count > inUse)
		})
		_, err := l.server.Sync(context.Background(), &rpc.SyncRequest{
			Vm: a.vm, Incarnation: a.incarnation, Address: "10.0.1.1:80", Domain: "d1", Ended: true,
			Demands: []*rpc.Demand{{Limit: slotsLimit, Used: inUse, UntilMs: 5000}},
		})
		is.NoErr(err)
		kept := l.ledger.ResidualUsage(l.ledger.LogTime())
		is.Equal(kept[slotsLimit].Count, inUse)
		is.Equal(len(kept), int(inUse))
		is.Equal(len(l.ledger.ResidualUsage(l.ledger.LogTime()+5*time.Second)), 0)
	}
}
