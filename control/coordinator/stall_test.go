package coordinator

import (
	"context"
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

// Guards against VMs whose reports fail, and whose leases end, because a claim waits for stalled disks.
func TestReportWithClaimIsAnsweredWhileDisksStall(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)[:3]
	var disks []*stallableDisk
	for _, m := range members {
		m.stop()
		folder, err := journal.OpenFolder(m.folder)
		is.NoErr(err)
		disk := &stallableDisk{Disk: folder}
		m.disk = disk
		disks = append(disks, disk)
	}
	for _, m := range members {
		m.start()
	}
	var facts observation.Set
	eventually(t, "the VM is registered", func() bool { return reportFacts(members[1], "a", &facts) })
	leader, _ := currentLeader(t, members)
	for _, d := range disks {
		d.stall.Lock()
	}
	resume := sync.OnceFunc(func() {
		for _, d := range disks {
			d.stall.Unlock()
		}
	})
	defer resume()
	claim := observation.Fact{Kind: observation.Claim, Subject: "deadly", VM: "a", Round: 1}
	facts.Add(clock.BootTime{}.Now(), claim, time.Hour)
	q := protocol.Report{VM: registry.VM{Name: "a", Domain: "d", Up: true}, Full: true, Observed: facts.Report(clock.BootTime{}.Now())}
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
		is.True(reply.Observed == nil) // the claim is not granted
	}
	resume()
	eventually(t, "the claim is returned", func() bool {
		reply, err := exchange()
		return err == nil && reply.Observed != nil && len(reply.Observed.Facts) == 1
	})
}
