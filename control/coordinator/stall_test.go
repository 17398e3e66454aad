package coordinator

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/observation"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// stallableDisk is a disk whose syncs wait while stall is locked.
type stallableDisk struct {
	journal.Disk
	stall sync.RWMutex
}

// Create implements journal.Disk.
func (d *stallableDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return &stallableFile{f, d}, err
}

type stallableFile struct {
	journal.File
	disk *stallableDisk
}

// Sync implements journal.File.
func (f *stallableFile) Sync() error {
	f.disk.stall.RLock()
	defer f.disk.stall.RUnlock()
	return f.File.Sync()
}

// startStallableGroup starts a group and returns three of its four members, whose disks can be stalled together.
func startStallableGroup(t *testing.T) (members []*member, disks []*stallableDisk) {
	t.Helper()
	members = startGroup(t)[:3]
	for _, m := range members {
		m.stop()
		folder, err := journal.OpenFolder(m.folder)
		if err != nil {
			t.Fatal(err)
		}
		disk := &stallableDisk{Disk: folder}
		m.disk = disk
		disks = append(disks, disk)
	}
	for _, m := range members {
		m.start()
	}
	return members, disks
}

// stallDisks stalls disks until the function that it returns is called.
func stallDisks(disks []*stallableDisk) (resume func()) {
	for _, d := range disks {
		d.stall.Lock()
	}
	return sync.OnceFunc(func() {
		for _, d := range disks {
			d.stall.Unlock()
		}
	})
}

// Guards against VMs whose reports fail, and which learn of no crash, because a claim waits for stalled disks.
func TestReportWithClaimIsAnsweredWhileDisksStall(t *testing.T) {
	is := is.New(t)
	members, disks := startStallableGroup(t)
	var facts observation.Set
	addAll(&facts, crashes("deadly", "u", "v", "w"))
	eventually(t, "the leader has the crashes", func() bool { return reportFacts(members[1], "a", &facts) })
	leader, _ := currentLeader(t, members)
	resume := stallDisks(disks)
	defer resume()
	claim := observation.Fact{Kind: observation.Claim, Subject: "deadly", VM: "a", Round: 1}
	addAll(&facts, []observation.Fact{claim})
	q := protocol.Report{VM: registry.VM{Name: "a", Domain: "d", Up: true}, Full: true, Observed: facts.Report(clock.BootTime{}.Now())}
	q.Observed.Applied = 0 // as a VM that lacks all facts
	exchange := func() (reply protocol.ReportReply, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
		defer cancel()
		err = leader.client.Call(ctx, leader.address, protocol.ReportPath, q, &reply)
		return reply, err
	}
	for range 3 {
		reply, err := exchange()
		is.NoErr(err)
		is.True(reply.Lease > 0)
		is.Equal(len(reply.Observed.Facts), 3)
		for _, o := range reply.Observed.Facts {
			is.Equal(o.Kind, observation.Crash) // the claim is not granted
		}
	}
	resume()
	eventually(t, "the claim is returned", func() bool {
		reply, err := exchange()
		return err == nil && slices.ContainsFunc(reply.Observed.Facts, func(o observation.Observation) bool { return o.Fact == claim })
	})
}
