package coordinator

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/registry"
)

// fillableDisk is a disk that refuses every write while it is full.
type fillableDisk struct {
	journal.Disk
	full atomic.Bool
}

// Create implements journal.Disk.
func (d *fillableDisk) Create(name string) (journal.File, error) {
	f, err := d.Disk.Create(name)
	return &fillableFile{f, d}, err
}

type fillableFile struct {
	journal.File
	disk *fillableDisk
}

// Write implements journal.File.
func (f *fillableFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// Guards against a member that ends because its disk is full, and against one that stays and acknowledges the
// announcements of upstreams without a leader to report them to, so that the leader removes the upstreams of a whole
// region 9 s later, or that does not take part again once the disk has room.
func TestMemberWithFullDiskStaysAndReturns(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	m := members[3]
	m.stop()
	folder, err := journal.OpenFolder(m.folder)
	is.NoErr(err)
	disk := &fillableDisk{Disk: folder}
	m.disk = disk
	m.start()
	upstream := registry.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Domain: "d", StartedAt: 1, Slots: 1, State: registry.Ready}
	eventually(t, "an announcement at the member is accepted", func() bool { return m.Announce(context.Background(), upstream) == nil })
	disk.full.Store(true)
	other := registry.Upstream{ID: "v", Service: "s", Address: "127.0.0.1:2", Domain: "d", StartedAt: 1, Slots: 1, State: registry.Ready}
	eventually(t, "an announcement at another member is accepted", func() bool { return members[0].Announce(context.Background(), other) == nil })
	accepted := 0
	for end := time.Now().Add(upstreamSilenceTimeout + 2*time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		select {
		case err := <-m.done:
			t.Fatal("the member ended:", err)
		default:
		}
		if m.Announce(context.Background(), upstream) == nil {
			accepted++
		}
		for _, o := range members {
			if o != m && accepted > 0 {
				is.True(o.knows("u")) // its announcements were accepted
			}
		}
	}
	is.True(accepted > 0) // the leader is in contact with the member
	disk.full.Store(false)
	eventually(t, "the member has all commands", func() bool {
		// The other upstream has been silent for so long that it has to be added again.
		return members[0].Announce(context.Background(), other) == nil && m.knows("v") && m.Announce(context.Background(), upstream) == nil
	})
}

// knows reports whether an upstream is in the member's registry.
func (m *member) knows(id registry.UpstreamID) (known bool) {
	m.opts.StateMachine.view(func(r *registry.Registry) { _, known = r.Upstreams[id] })
	return known
}
