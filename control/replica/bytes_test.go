package replica

import (
	"context"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/control/journal"
	"cuminfall.example/fleet/ident"
)

// lastEntryMachine is a state machine with the last entry as its state, like a configuration that each change replaces.
type lastEntryMachine struct {
	last  []byte
	index ident.Index
	delay time.Duration // of each Apply
}

func (m *lastEntryMachine) Apply(e Entry) any {
	time.Sleep(m.delay)
	m.last, m.index = e.Data, e.Index
	return len(e.Data)
}
func (m *lastEntryMachine) Snapshot() ([]byte, error)                 { return m.last, nil }
func (m *lastEntryMachine) MemberJoined(Entry, string, ident.Address) {}
func (m *lastEntryMachine) Restore(state []byte) error                { m.last = state; return nil }

const (
	smallMemory = ident.Bytes(64 << 20)
	smallDisk   = ident.Bytes(32 << 20)
	entrySize   = 200 << 10
	entryCount  = 400 // more than the memory and more than twice the disk
)

func folderSize(t *testing.T, folder string) ident.Bytes {
	t.Helper()
	files, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	total := ident.Bytes(0)
	for _, f := range files {
		if info, err := f.Info(); err == nil { // it may have been removed meanwhile
			total += ident.Bytes(info.Size())
		}
	}
	return total
}

func heapSize() ident.Bytes {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return ident.Bytes(m.HeapAlloc)
}

// largeEntry returns an entry that no other one equals.
func largeEntry(i int) string {
	data := make([]byte, entrySize)
	for j := range data {
		data[j] = byte('a' + (i+j*j)%26)
	}
	return string(data)
}

// Guards against members whose memory and disk fill up after hundreds of large changes, as a log bounded by its number of
// entries does, also while a member is away.
func TestLargeEntriesFitMemoryAndDisk(t *testing.T) {
	is := is.New(t)
	group := newSmallGroup(t)
	before := heapSize()
	away := group[0]
	if leader(group) == away {
		away = group[1]
	}
	for i := range entryCount {
		switch i {
		case entryCount / 8:
			away.stop()
		case entryCount / 2:
			away.start()
		}
		propose(t, group, largeEntry(i))
		if i%25 > 0 {
			continue
		}
		for _, m := range group {
			is.True(folderSize(t, m.folder) <= smallDisk)
		}
		is.True(heapSize()-before <= smallMemory) // of three members
	}
	awaitLastEntry(t, group, largeEntry(entryCount-1))
}

// Guards against a member whose disk fills up with committed entries because its state machine is slower than the others'.
func TestSlowStateMachineFitsDisk(t *testing.T) {
	is := is.New(t)
	group := newSmallGroup(t)
	slow := group[0]
	if leader(group) == slow {
		slow = group[1]
	}
	slow.stop()
	slow.delay = 40 * time.Millisecond
	slow.start()
	for i := range entryCount {
		propose(t, group, largeEntry(i))
		is.True(folderSize(t, slow.folder) <= smallDisk)
	}
	awaitLastEntry(t, group, largeEntry(entryCount-1))
}

// newSmallGroup returns a group of three voters on VMs with little memory and disk.
func newSmallGroup(t *testing.T) []*testMember {
	group := newGroup(t, 3)
	for _, m := range group {
		m.stop()
		m.kept, m.memory, m.disk = &lastEntryMachine{}, smallMemory, smallDisk
		m.start()
	}
	waitFor(t, "three voters", func() bool { l := leader(group); return l != nil && countVoters(l) == 3 })
	return group
}

// awaitLastEntry waits until all members have applied an entry as the last one.
func awaitLastEntry(t *testing.T, group []*testMember, entry string) {
	t.Helper()
	waitFor(t, "all members have applied the last entry", func() bool {
		for _, m := range group {
			same := false
			m.View(func() { same = string(m.kept.last) == entry })
			if !same {
				return false
			}
		}
		return true
	})
}

// Guards against a member that takes the memory of the whole log which an earlier build left, and that keeps it on its
// disk.
func TestLongLogOfEarlierBuildFitsMemoryAndIsCompacted(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(Init(folder, "vm", "127.0.0.1:1", nil))
	disk, err := journal.OpenFolder(folder)
	is.NoErr(err)
	j, c, err := journal.Open(disk)
	is.NoErr(err)
	for i := range entryCount {
		is.NoErr(j.Save(nil, nil, []*wire.Entry{{Index: uint64(i) + 2, Term: c.State.Term, Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: []byte(largeEntry(i))}}))
	}
	is.NoErr(j.Close())
	is.NoErr(disk.Close())
	is.True(folderSize(t, folder) > smallMemory)
	before := heapSize()
	machine := &lastEntryMachine{}
	r, err := Open(Options{Name: "vm", Address: "127.0.0.1:1", Folder: folder, StateMachine: machine, Memory: smallMemory, DiskSize: smallDisk})
	is.NoErr(err)
	is.True(heapSize()-before <= smallMemory/4)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	waitFor(t, "all entries are applied", func() bool {
		index := ident.Index(0)
		r.View(func() { index = machine.index })
		return index == entryCount+1
	})
	r.View(func() { is.Equal(string(machine.last), largeEntry(entryCount-1)) })
	is.True(heapSize()-before <= smallMemory/2)
	waitFor(t, "the log is compacted", func() bool { return folderSize(t, folder) <= smallDisk })
	cancel()
	is.NoErr(<-done)
}
