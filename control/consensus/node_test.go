package consensus

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run gives the same result. To search further, set
// -rapid.seed or -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	flagsSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { flagsSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if !flagsSet[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// runStep injects a fault or repairs one, and then runs the simulation for a duration.
func runStep(sim *simulation, fault string, h *host, duration time.Duration) {
	switch fault {
	case "crash":
		if h.node != nil {
			h.crash()
		}
	case "start":
		if h.node == nil {
			h.start()
		}
	case "freeze":
		h.frozenUntil = sim.now + duration
	case "isolate leader":
		if l := sim.leaseHolder(); l != nil {
			sim.setIsolated(l.name, true)
		}
	case "crash leader":
		if l := sim.leaseHolder(); l != nil {
			l.crash()
			l.start()
		}
	case "isolate":
		sim.setIsolated(h.name, true)
	case "block one direction":
		sim.blockedLinks[[2]string{h.name, sim.hosts[sim.rand.IntN(len(sim.hosts))].name}] = true
	case "heal network":
		clear(sim.blockedLinks)
	case "lose disk":
		if sim.isComplete() {
			h.loseDisk()
		}
	case "break disk":
		h.syncFails = true
	case "hand over":
		if h.node != nil {
			h.step(StartHandover{h.localTime()})
		}
	case "unreliable network":
		sim.lossRate, sim.delayRate = 0.2, 0.1
	case "reliable network":
		sim.lossRate, sim.delayRate = 0, 0
	case "slow disk":
		h.syncTime = duration / 4
	}
	runWithProposals(sim, duration)
}

// runWithProposals runs the simulation for a duration and proposes an entry to every host each 30 ms.
func runWithProposals(sim *simulation, duration time.Duration) {
	for end := sim.now + duration; sim.now < end && sim.violation == ""; {
		sim.advance(30 * time.Millisecond)
		for _, h := range sim.hosts {
			if h.node != nil && h.frozenUntil <= sim.now {
				h.propose(fmt.Sprint(h.name, sim.now))
			}
		}
	}
	sim.checkLogs()
}

// repairAndCheck ends all faults and waits until all hosts are voters again and have applied all entries.
func repairAndCheck(sim *simulation) {
	clear(sim.blockedLinks)
	sim.lossRate, sim.delayRate = 0, 0
	for _, h := range sim.hosts {
		h.syncTime = 2 * time.Millisecond
		h.frozenUntil = 0
		if h.node != nil && h.syncFails {
			h.crash()
		}
		if h.node == nil {
			h.start()
		}
	}
	for end := sim.now + 20*time.Second; sim.now < end && sim.violation == "" && !sim.isComplete(); {
		runWithProposals(sim, 100*time.Millisecond)
	}
	for end := sim.now + 10*time.Second; sim.now < end && sim.violation == "" && !(sim.isComplete() && sim.allApplied()); {
		sim.advance(100 * time.Millisecond)
	}
	if !sim.isComplete() || !sim.allApplied() {
		sim.reportViolation("the group did not recover after all faults ended")
	}
	sim.checkLogs()
}

// allApplied returns whether all hosts have applied all committed entries.
func (sim *simulation) allApplied() bool {
	for _, h := range sim.hosts {
		if h.appliedIndex != uint64(len(sim.committed)) {
			return false
		}
	}
	return true
}

// Guards against violations of the invariants in invariants_test.go under any mix of lost, delayed,
// duplicated and reordered messages, crashes that lose unsynced writes, partitions, frozen processes,
// failed and lost disks, handovers and clock rates that are off by up to 5%.
func TestInvariants(t *testing.T) {
	faults := []string{"no fault", "crash", "start", "freeze", "isolate", "block one direction", "heal network", "lose disk", "lose disk",
		"break disk", "hand over", "unreliable network", "reliable network", "slow disk", "start", "heal network", "isolate leader", "crash leader"}
	commits, elections, installs, lostDisks, loads := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		clockRate := rapid.SampledFrom([]float64{0.95, 1, 1.05})
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), clockRate.Draw(t, "rate0"), clockRate.Draw(t, "rate1"), clockRate.Draw(t, "rate2"))
		runWithProposals(sim, 3*time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			fault := rapid.SampledFrom(faults).Draw(t, "kind")
			h := sim.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			sim.maxDelay = time.Duration(rapid.IntRange(1, 100).Draw(t, "delay")) * time.Millisecond
			runStep(sim, fault, h, time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths"))*100*time.Millisecond)
		}
		repairAndCheck(sim)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		commits, elections, installs, lostDisks = commits+len(sim.committed), elections+sim.electionCount, installs+sim.installCount, lostDisks+len(sim.lostIdentities)
		loads += sim.loadCount
	})
	t.Logf("%d entries committed, %d elections, %d snapshots installed, %d disks lost, %d evicted entries loaded", commits, elections, installs, lostDisks, loads)
	if elections == 0 || installs == 0 || lostDisks == 0 || loads == 0 {
		t.Error("the random steps must cause elections, snapshot installs, lost disks and loads of evicted entries")
	}
}

// formGroup waits until all hosts are voters.
func formGroup(t *testing.T, sim *simulation) {
	t.Helper()
	for end := sim.now + 20*time.Second; sim.now < end && !sim.isComplete(); {
		sim.advance(100 * time.Millisecond)
	}
	if !sim.isComplete() || sim.leaseHolder() != sim.hosts[0] {
		t.Fatal("the hosts did not all become voters under the first leader", sim.violation)
	}
}

// Guards against a lease that outlasts the followers' promise not to vote for another leader. The
// leader's clock runs slow, the followers' clocks run fast, and the leader is isolated at a random
// moment between two heartbeats.
func TestLeaseMargin(t *testing.T) {
	for seed := range uint64(300) {
		sim := newSimulation(seed, 0.95, 1.05, 1.05)
		sim.maxDelay = time.Millisecond
		formGroup(t, sim)
		sim.advance(sim.randomDuration(DefaultHeartbeat))
		sim.setIsolated("vm0", true)
		for end := sim.now + 3*time.Second; sim.now < end; {
			sim.advance(time.Millisecond)
			sim.checkLeases()
		}
		if sim.violation != "" {
			t.Fatal(seed, sim.violation)
		}
		if sim.leaseHolder() == nil {
			t.Fatal(seed, "no other member became leader")
		}
	}
}

// Guards against a member that deposes a working leader when it reconnects after a partition.
func TestReturnAfterPartition(t *testing.T) {
	sim := newSimulation(1, 1, 1, 1)
	formGroup(t, sim)
	leader, term := sim.leaseHolder(), sim.leaseHolder().node.term
	sim.setIsolated("vm2", true)
	runWithProposals(sim, 10*time.Second)
	sim.setIsolated("vm2", false)
	runWithProposals(sim, 3*time.Second)
	if sim.violation != "" || sim.leaseHolder() != leader || leader.node.term != term || sim.hosts[2].appliedIndex < leader.appliedIndex-10 {
		t.Fatal(sim.violation, sim.leaseHolder(), leader.node.term, term, sim.hosts[2].appliedIndex, leader.appliedIndex)
	}
}

// Guards against a group that cannot recover if it loses a second disk right after the first one was
// replaced.
func TestSecondLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed, 1, 1, 1)
		formGroup(t, sim)
		for i := range 5 {
			h := sim.hosts[(int(seed)+i)%3]
			if !sim.isComplete() {
				t.Fatal(seed, "not all hosts are voters before the loss of disk", i)
			}
			h.loseDisk()
			h.start()
			for end := sim.now + 10*time.Second; sim.now < end && !sim.isComplete(); {
				runWithProposals(sim, 10*time.Millisecond)
			}
		}
		repairAndCheck(sim)
		if sim.violation != "" {
			t.Fatal(seed, sim.violation)
		}
	}
}
