package journal

import (
	"bytes"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/control/consensus/wire"
)

func entry(index, term uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Data: bytes.Repeat([]byte{byte(index)}, 50)}
}

// newDiskWithEntries returns a disk, and its journal, with a hard state and four entries in three
// batches: 1 and 2, 3, 4.
func newDiskWithEntries(t *testing.T) (*memoryDisk, *Journal) {
	t.Helper()
	m := newMemoryDisk()
	j, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	for _, batch := range [][]*wire.Entry{{entry(1, 1), entry(2, 1)}, {entry(3, 1)}, {entry(4, 2)}} {
		if err := j.Save(&wire.HardState{Id: "a", Term: batch[0].Term}, nil, batch); err != nil {
			t.Fatal(err)
		}
	}
	return m, j
}

const firstSegment = "log-0000000000000000"

// entryTerms opens a disk and returns the terms of the entries after its snapshot.
func entryTerms(t *testing.T, m *memoryDisk) []uint64 {
	t.Helper()
	_, c, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	var out []uint64
	for i, e := range c.Entries {
		if e.Index != c.Snapshot.GetIndex()+uint64(i)+1 {
			t.Fatalf("entry %d is at position %d after snapshot index %d", e.Index, i, c.Snapshot.GetIndex())
		}
		out = append(out, e.Term)
	}
	return out
}

// Guards against a member that loses synced entries, or does not start, after a crash during a write.
// The crash is tried after each byte of the last record.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	m, _ := newDiskWithEntries(t)
	intactSize := len(m.files[firstSegment].data)
	m.syncErr = errors.New("power off")
	j := &Journal{disk: m, segments: []segment{{0, 4, intactSize}}, openSegment: &memoryFile{m, m.files[firstSegment]}}
	is.True(j.Save(nil, nil, []*wire.Entry{entry(5, 2)}) != nil)
	recordSize := len(m.files[firstSegment].data) - intactSize
	is.True(recordSize > 50)
	for tornSize := range recordSize + 1 {
		restarted := m.crash(tornSize)
		want := []uint64{1, 1, 1, 2}
		if tornSize == recordSize {
			want = append(want, 2)
		}
		is.Equal(entryTerms(t, restarted), want)
		reopened, _, err := Open(restarted)
		is.NoErr(err)
		is.NoErr(reopened.Save(nil, nil, []*wire.Entry{entry(5, 3)}))
		is.Equal(entryTerms(t, restarted.crash(0)), []uint64{1, 1, 1, 2, 3})
	}
}

// Guards against a member that starts on damaged data. Any single changed byte must be detected, except
// in the last record, where damage looks like an incomplete write.
func TestDamage(t *testing.T) {
	m, _ := newDiskWithEntries(t)
	lastRecordStart := len(m.files[firstSegment].data) - len(m.files[firstSegment].data)/4
	for name, size := range map[string]int{firstSegment: lastRecordStart - 20, stateFile: len(m.files[stateFile].data)} {
		for i := range size {
			damaged := m.crash(0)
			damaged.files[name].data[i] ^= 0x40
			_, _, err := Open(damaged)
			if err == nil || !strings.Contains(err.Error(), "clear the data folder") {
				t.Fatalf("%s with byte %d changed: got error %v, want one that says to clear the data folder", name, i, err)
			}
		}
	}
	damaged := m.crash(0)
	delete(damaged.files, stateFile)
	if _, _, err := Open(damaged); err == nil {
		t.Error("opened a log without a hard state")
	}
	damaged = m.crash(0)
	damaged.files["log-0000000000000001"] = &fileContent{data: appendRecord(nil, []byte("\x0a\x02\x08\x09"))} // entry 9
	if _, _, err := Open(damaged); err == nil || !strings.Contains(err.Error(), "gap") {
		t.Error("log with a gap: want an error that mentions the gap, got", err)
	}
}

// Guards against a journal that reports success for a write that failed, against a disk that cannot be opened after
// a failed write, and against a write that is lost, or loses an earlier one, when it is repeated once the disk works again.
func TestFailedWrites(t *testing.T) {
	for name, injectFault := range map[string]func(*memoryDisk){
		"disk full":   func(m *memoryDisk) { m.limited, m.freeBytes = true, 20 },
		"short write": func(m *memoryDisk) { m.limited, m.freeBytes, m.shortWrite = true, 20, true },
		"sync fails":  func(m *memoryDisk) { m.syncErr = errors.New("input/output error") },
	} {
		for target, save := range map[string]func(*Journal) error{
			"entries": func(j *Journal) error { return j.Save(nil, nil, []*wire.Entry{entry(5, 2)}) },
			"state": func(j *Journal) error {
				return j.Save(&wire.HardState{Id: "a", Term: 9, Vote: strings.Repeat("x", 30)}, nil, nil)
			},
			"snapshot": func(j *Journal) error { return j.Compact(&wire.Snapshot{Index: 3, Term: 1, State: make([]byte, 50)}) },
		} {
			t.Run(name+" "+target, func(t *testing.T) {
				is := is.New(t)
				m, j := newDiskWithEntries(t)
				injectFault(m)
				for range 3 { // the fault lasts
					is.True(save(j) != nil)
					is.Equal(entryTerms(t, m.crash(0)), []uint64{1, 1, 1, 2})
					is.Equal(entryTerms(t, m.crash(1<<20))[:4], []uint64{1, 1, 1, 2}) // what was not synced may survive
				}
				m.limited, m.syncErr, m.shortWrite = false, nil, false
				is.NoErr(save(j))
				is.NoErr(j.Save(&wire.HardState{Id: "a", Term: 9}, nil, []*wire.Entry{entry(5, 2), entry(6, 3)}))
				_, c, err := Open(m.crash(0))
				is.NoErr(err)
				is.Equal(c.State.Term, uint64(9))
				var terms []uint64
				for _, e := range c.Entries {
					terms = append(terms, e.Term)
					loaded, err := j.Load(e.Index, e.Term)
					is.NoErr(err)
					is.Equal(loaded.Data, entry(e.Index, e.Term).Data)
				}
				want := []uint64{1, 1, 1, 2, 2, 3}
				is.Equal(terms, want[c.Snapshot.GetIndex():])
			})
		}
	}
}

// Guards against a start that takes the memory of the whole log, which an earlier build left, and against entries whose
// data is lost because of that.
func TestLongLogIsNotHeldInMemory(t *testing.T) {
	is := is.New(t)
	m := newMemoryDisk()
	j, _, err := Open(m)
	is.NoErr(err)
	const count, size = 40, 700_000
	for i := uint64(1); i <= count; i++ {
		is.NoErr(j.Save(&wire.HardState{Id: "a", Term: 1}, nil, []*wire.Entry{{Index: i, Term: 1, Kind: wire.EntryKind_ENTRY_KIND_DATA, Data: bytes.Repeat([]byte{byte(i)}, size)}}))
	}
	j, c, err := Open(m.crash(0))
	is.NoErr(err)
	held := 0
	for i, e := range c.Entries {
		held += len(e.Data)
		is.True(c.Sizes[i] > size && c.Sizes[i] < size+100)
		loaded, err := j.Load(e.Index, e.Term)
		is.NoErr(err)
		is.Equal(loaded.Data, bytes.Repeat([]byte{byte(i + 1)}, size))
	}
	is.Equal(len(c.Entries), count)
	is.True(held > 0 && held <= maxLoadedBytes)
	_, err = j.Load(3, 2) // of another term
	is.True(err != nil)
}

// Guards against a member that does not start because the removals of covered segments became durable in another order.
func TestCoveredSegmentsMayBeMissing(t *testing.T) {
	is := is.New(t)
	m, j := newDiskWithEntries(t)
	for i := uint64(5); i < 10; i++ {
		j.segments[len(j.segments)-1].size = segmentSize
		is.NoErr(j.Save(nil, nil, []*wire.Entry{entry(i, 2)}))
	}
	is.NoErr(j.replaceFile(snapshotFile, &wire.Snapshot{Index: 7, Term: 2}))
	is.NoErr(m.Remove(j.segments[1].name()))
	is.NoErr(m.Sync())
	restarted := m.crash(0)
	is.Equal(entryTerms(t, restarted), []uint64{2, 2})
	names, err := restarted.List()
	is.NoErr(err)
	is.Equal(len(names), 4) // the state, the snapshot and the segments of entries 8 and 9
}

// Guards against a log that can't be compacted because it fills its disk.
func TestSnapshotOnFullDisk(t *testing.T) {
	is := is.New(t)
	m, j := newDiskWithEntries(t)
	state := []byte(strings.Repeat(`{"route":"r"}`, 1000))
	m.limited, m.freeBytes, m.noSpace = true, 2000, syscall.ENOSPC
	m.givesBack = true
	is.NoErr(j.Compact(&wire.Snapshot{Index: 3, Term: 1, State: state}))
	_, c, err := Open(m.crash(0))
	is.NoErr(err)
	is.Equal(c.Snapshot.State, state)
	is.Equal(len(c.Entries), 1)
}

// Guards against a log that does not continue its snapshot, for snapshots that the member made or a
// leader installed, and after entries that replace others.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	m, j := newDiskWithEntries(t)
	is.NoErr(j.Save(nil, nil, []*wire.Entry{entry(3, 3), entry(4, 3), entry(5, 3)}))
	is.Equal(entryTerms(t, m.crash(0)), []uint64{1, 1, 3, 3, 3})
	is.NoErr(j.Compact(&wire.Snapshot{Index: 4, Term: 3}))
	is.Equal(entryTerms(t, m.crash(0)), []uint64{3})
	is.NoErr(j.Save(nil, &wire.Snapshot{Index: 9, Term: 4}, []*wire.Entry{entry(10, 4)}))
	is.Equal(entryTerms(t, m.crash(0)), []uint64{4})
	is.Equal(len(j.segments), 1)

	m, j = newDiskWithEntries(t)
	is.NoErr(j.replaceFile(snapshotFile, &wire.Snapshot{Index: 3, Term: 2})) // as after a crash before the removal of the old log
	is.Equal(len(entryTerms(t, m.crash(0))), 0)

	m, j = newDiskWithEntries(t)
	for i := uint64(5); i < 200; i++ {
		j.segments[len(j.segments)-1].size = segmentSize // forces a new segment for each entry
		is.NoErr(j.Save(nil, nil, []*wire.Entry{entry(i, 2)}))
	}
	is.NoErr(j.Compact(&wire.Snapshot{Index: 190, Term: 2}))
	is.Equal(len(j.segments), 9)
	is.Equal(len(entryTerms(t, m.crash(0))), 9)
}

// Guards against segment files, with any contents, that make the reader panic or read back other
// entries than were written.
func FuzzReadSegment(f *testing.F) {
	validSegment := appendRecord(appendRecord(nil, []byte("\x0a\x02\x08\x01")), []byte("\x0a\x02\x08\x02"))
	f.Add(validSegment)
	f.Add(validSegment[:len(validSegment)-1])
	f.Add(append(make([]byte, 8), validSegment...))
	read := func(data []byte) (entries []*wire.Entry, validSize int, err error) {
		validSize, err = readSegment(data, func(_, _ int, batch []*wire.Entry) error {
			entries = append(entries, batch...)
			return nil
		})
		return entries, validSize, err
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, validSize, err := read(data)
		if err != nil {
			return
		}
		rereadEntries, rereadSize, err := read(data[:validSize])
		if err != nil || rereadSize != validSize || len(rereadEntries) != len(entries) {
			t.Fatalf("valid part of %d bytes reads back as %d entries in %d bytes, want %d entries: %v", validSize, len(rereadEntries), rereadSize, len(entries), err)
		}
		extendedEntries, _, err := read(appendRecord(data[:validSize:validSize], []byte("\x0a\x02\x08\x07")))
		if err != nil || len(extendedEntries) != len(entries)+1 {
			t.Fatalf("appended record is not read back: %v", err)
		}
	})
}
