package replica

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/fault"
)

// suspendedClock is a clock since boot that jumps ahead by the time for which the VM was suspended.
type suspendedClock struct {
	clock.BootTime
	suspended atomic.Int64
}

func (c *suspendedClock) Now() time.Time {
	return c.BootTime.Now().Add(time.Duration(c.suspended.Load()))
}

// timedMachine records when the leader says that entries were proposed.
type timedMachine struct {
	recordingMachine
	wallTimes []time.Time
}

func (m *timedMachine) Apply(e Entry) any {
	m.wallTimes = append(m.wallTimes, e.WallTime)
	return m.recordingMachine.Apply(e)
}

// startSingle starts the only member of a group and waits until it leads.
func startSingle(t *testing.T, c clock.Clock, machine StateMachine) (*Replica, metrics.Registry) {
	t.Helper()
	folder := t.TempDir()
	if err := Init(folder, "vm", "127.0.0.1:1", nil); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := metrics.NewRegistry()
	r, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Folder: folder, StateMachine: machine, Log: log, Clock: c, Metrics: registry})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	waitFor(t, "a leader", func() bool { _, _, ok := r.Leadership(); return ok })
	return r, registry
}

// Guards against an audit trail whose times are those since the boot of the leader's VM, and against commit times that
// are measured from then on.
func TestEntriesHaveTimeOfDay(t *testing.T) {
	is := is.New(t)
	machine := &timedMachine{}
	r, registry := startSingle(t, clock.BootTime{}, machine)
	proposedAt := time.Now().Truncate(time.Millisecond)
	_, err := r.Propose(context.Background(), []byte("one"))
	is.NoErr(err)
	r.View(func() {
		is.Equal(len(machine.wallTimes), 1)
		is.True(!machine.wallTimes[0].Before(proposedAt))
		is.True(machine.wallTimes[0].Sub(proposedAt) < time.Minute)
	})
	commitTime := newReplicaMetrics(registry).commitTime
	is.Equal(commitTime.Count(), int64(1))
	is.True(time.Duration(commitTime.Max()) < time.Minute)
}

// Guards against a leader that acts on a lease which ran out while its VM was suspended.
func TestLeaseEndsDuringSuspension(t *testing.T) {
	is := is.New(t)
	c := &suspendedClock{}
	r, _ := startSingle(t, c, &recordingMachine{})
	r.mu.Lock() // no tick comes between the suspension and the check
	c.suspended.Add(int64(10 * time.Second))
	err := r.checkLease("test")
	r.mu.Unlock()
	is.True(err != nil)
	is.Equal(fault.Of(err).Execution, fault.NotExecuted)
}
