package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run gives the same verdict. Give -rapid.seed or
// -rapid.checks to search further.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// act performs one step of a script and lets the world run on.
func act(w *world, kind string, h *host, d time.Duration) {
	switch kind {
	case "crash":
		if h.node != nil {
			h.crash()
		}
	case "start":
		if h.node == nil {
			h.start()
		}
	case "freeze":
		h.frozen = w.now + d
	case "isolate leader":
		if l := w.leader(); l != nil {
			w.isolate(l.name, true)
		}
	case "crash leader":
		if l := w.leader(); l != nil {
			l.crash()
			l.start()
		}
	case "isolate":
		w.isolate(h.name, true)
	case "one way":
		w.blocked[[2]string{h.name, w.hosts[w.rand.IntN(len(w.hosts))].name}] = true
	case "heal":
		clear(w.blocked)
	case "lose disk":
		if w.whole() {
			h.loseDisk()
		}
	case "break disk":
		h.broken = true
	case "hand over":
		if h.node != nil {
			h.step(StartHandover{h.local()})
		}
	case "noise":
		w.loss, w.late = 0.2, 0.1
	case "quiet":
		w.loss, w.late = 0, 0
	case "slow disk":
		h.syncTime = d / 4
	}
	work(w, d)
}

// work proposes an entry to every host each 30 ms.
func work(w *world, d time.Duration) {
	for end := w.now + d; w.now < end && w.fault == ""; {
		w.advance(30 * time.Millisecond)
		for _, h := range w.hosts {
			if h.node != nil && h.frozen <= w.now {
				h.propose(fmt.Sprint(h.name, w.now))
			}
		}
	}
	w.checkLogs()
}

// repair ends all faults and waits until the group is whole and equal.
func repair(w *world) {
	clear(w.blocked)
	w.loss, w.late = 0, 0
	for _, h := range w.hosts {
		h.syncTime = 2 * time.Millisecond
		h.frozen = 0
		if h.node != nil && h.broken {
			h.crash()
		}
		if h.node == nil {
			h.start()
		}
	}
	for end := w.now + 20*time.Second; w.now < end && w.fault == "" && !w.whole(); {
		work(w, 100*time.Millisecond)
	}
	for end := w.now + 10*time.Second; w.now < end && w.fault == "" && !(w.whole() && w.equal()); {
		w.advance(100 * time.Millisecond)
	}
	if !w.whole() || !w.equal() {
		w.fail("the group does not recover")
	}
	w.checkLogs()
}

// equal returns whether all hosts have applied everything.
func (w *world) equal() bool {
	for _, h := range w.hosts {
		if h.applied != uint64(len(w.committed)) {
			return false
		}
	}
	return true
}

// Guards the invariants of check_test.go against any mix of lost, late, doubled and reordered
// messages, crashes with loss of unsynced writes, partitions, freezes, failed and lost disks,
// hand-overs and clocks that are off by up to 5%.
func TestInvariants(t *testing.T) {
	kinds := []string{"run", "crash", "start", "freeze", "isolate", "one way", "heal", "lose disk", "lose disk",
		"break disk", "hand over", "noise", "quiet", "slow disk", "start", "heal", "isolate leader", "crash leader"}
	commits, elections, installs, replaced := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.95, 1, 1.05})
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rate.Draw(t, "rate0"), rate.Draw(t, "rate1"), rate.Draw(t, "rate2"))
		work(w, 3*time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			h := w.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			w.delay = time.Duration(rapid.IntRange(1, 100).Draw(t, "delay")) * time.Millisecond
			act(w, kind, h, time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths"))*100*time.Millisecond)
		}
		repair(w)
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		commits, elections, installs, replaced = commits+len(w.committed), elections+w.elections, installs+w.installs, replaced+len(w.lost)
	})
	t.Logf("%d entries committed, %d elections, %d snapshots installed, %d disks lost", commits, elections, installs, replaced)
	if elections == 0 || installs == 0 || replaced == 0 {
		t.Error("the scripts do not reach elections, installs and lost disks")
	}
}

// form waits until all hosts are voters.
func form(t *testing.T, w *world) {
	t.Helper()
	for end := w.now + 20*time.Second; w.now < end && !w.whole(); {
		w.advance(100 * time.Millisecond)
	}
	if !w.whole() || w.leader() != w.hosts[0] {
		t.Fatal("the group does not form", w.fault)
	}
}

// Guards against a lease that outlasts the followers' promise: the leader's clock is slow, the
// followers' are fast, and the leader is cut off at any moment of a heartbeat.
func TestLeaseMargin(t *testing.T) {
	for seed := range uint64(300) {
		w := newWorld(seed, 0.95, 1.05, 1.05)
		w.delay = time.Millisecond
		form(t, w)
		w.advance(w.pause(DefaultHeartbeat))
		w.isolate("vm0", true)
		for end := w.now + 3*time.Second; w.now < end; {
			w.advance(time.Millisecond)
			w.checkLeases()
		}
		if w.fault != "" {
			t.Fatal(seed, w.fault)
		}
		if w.leader() == nil {
			t.Fatal(seed, "no other leader")
		}
	}
}

// Guards against a member that deposes a working leader when it comes back from a partition.
func TestReturnAfterPartition(t *testing.T) {
	w := newWorld(1, 1, 1, 1)
	form(t, w)
	l, term := w.leader(), w.leader().node.term
	w.isolate("vm2", true)
	work(w, 10*time.Second)
	w.isolate("vm2", false)
	work(w, 3*time.Second)
	if w.fault != "" || w.leader() != l || l.node.term != term || w.hosts[2].applied < l.applied-10 {
		t.Fatal(w.fault, w.leader(), l.node.term, term, w.hosts[2].applied, l.applied)
	}
}

// Guards against a group that does not survive a second lost disk right after the repair of the first.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 1, 1, 1)
		form(t, w)
		for i := range 5 {
			h := w.hosts[(int(seed)+i)%3]
			if !w.whole() {
				t.Fatal(seed, "not whole before loss", i)
			}
			h.loseDisk()
			h.start()
			for end := w.now + 10*time.Second; w.now < end && !w.whole(); {
				work(w, 10*time.Millisecond)
			}
		}
		repair(w)
		if w.fault != "" {
			t.Fatal(seed, w.fault)
		}
	}
}
