package journal

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cuminfall.example/control/consensus/wire"
)

func entry(index, term uint64) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Data: bytes.Repeat([]byte{byte(index)}, 50)}
}

// written returns a disk with a state and three batches: entries 1 and 2, 3, and 4.
func written(t *testing.T) (*memory, *Journal) {
	t.Helper()
	m := newMemory()
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

const firstLog = "log-0000000000000000"

// terms returns the terms of the entries that a disk holds after its snapshot.
func terms(t *testing.T, m *memory) []uint64 {
	t.Helper()
	_, c, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	var out []uint64
	for i, e := range c.Entries {
		if e.Index != c.Snapshot.GetIndex()+uint64(i)+1 {
			t.Fatalf("entry %d at place %d after %d", e.Index, i, c.Snapshot.GetIndex())
		}
		out = append(out, e.Term)
	}
	return out
}

// Guards against the loss of synced entries, and against an unfinished write that stops the start, for
// a crash at every byte of the last write.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	m, _ := written(t)
	whole := len(m.files[firstLog].data)
	m.sync = errors.New("power off")
	j := &Journal{disk: m, segments: []segment{{0, 4}}, open: &memoryFile{m, m.files[firstLog]}, size: whole}
	is.True(j.Save(nil, nil, []*wire.Entry{entry(5, 2)}) != nil)
	record := len(m.files[firstLog].data) - whole
	is.True(record > 50)
	for torn := range record + 1 {
		after := m.crash(torn)
		want := []uint64{1, 1, 1, 2}
		if torn == record {
			want = append(want, 2)
		}
		is.Equal(terms(t, after), want)
		again, _, err := Open(after)
		is.NoErr(err)
		is.NoErr(again.Save(nil, nil, []*wire.Entry{entry(5, 3)}))
		is.Equal(terms(t, after.crash(0)), []uint64{1, 1, 1, 2, 3})
	}
}

// Guards against a start on damaged data: any single changed byte is found, unless it is in the last
// record, which cannot be told from a torn one.
func TestDamage(t *testing.T) {
	m, _ := written(t)
	last := len(m.files[firstLog].data) - len(m.files[firstLog].data)/4
	for name, size := range map[string]int{firstLog: last - 20, stateName: len(m.files[stateName].data)} {
		for i := range size {
			bad := m.crash(0)
			bad.files[name].data[i] ^= 0x40
			_, _, err := Open(bad)
			if err == nil || !strings.Contains(err.Error(), "clear the data folder") {
				t.Fatalf("%s with byte %d changed: %v", name, i, err)
			}
		}
	}
	bad := m.crash(0)
	delete(bad.files, stateName)
	if _, _, err := Open(bad); err == nil {
		t.Error("a log without a state was opened")
	}
	bad = m.crash(0)
	bad.files["log-0000000000000001"] = &content{data: appendRecord(nil, []byte("\x0a\x02\x08\x09"))} // entry 9
	if _, _, err := Open(bad); err == nil || !strings.Contains(err.Error(), "gap") {
		t.Error("a log with a gap was opened:", err)
	}
}

// Guards against success, now or later, after a write or sync that failed, and against a disk that
// cannot be opened afterwards.
func TestFailedWrites(t *testing.T) {
	for name, fault := range map[string]func(*memory){
		"full":       func(m *memory) { m.limit, m.room = true, 20 },
		"short":      func(m *memory) { m.limit, m.room, m.short = true, 20, true },
		"sync fails": func(m *memory) { m.sync = errors.New("input/output error") },
	} {
		for what, save := range map[string]func(*Journal) error{
			"entries": func(j *Journal) error { return j.Save(nil, nil, []*wire.Entry{entry(5, 2)}) },
			"state": func(j *Journal) error {
				return j.Save(&wire.HardState{Id: "a", Term: 9, Vote: strings.Repeat("x", 30)}, nil, nil)
			},
			"snapshot": func(j *Journal) error { return j.Compact(&wire.Snapshot{Index: 3, Term: 1, State: make([]byte, 50)}) },
		} {
			t.Run(name+" "+what, func(t *testing.T) {
				is := is.New(t)
				m, j := written(t)
				fault(m)
				is.True(save(j) != nil)
				m.limit, m.sync = false, nil
				is.True(j.Save(&wire.HardState{Id: "a", Term: 3}, nil, []*wire.Entry{entry(5, 2)}) != nil) // stays refused
				after := m.crash(0)
				is.Equal(terms(t, after), []uint64{1, 1, 1, 2})
			})
		}
	}
}

// Guards against a log that does not fit its snapshot: after own and installed snapshots, and after
// entries that replace others.
func TestSnapshots(t *testing.T) {
	is := is.New(t)
	m, j := written(t)
	is.NoErr(j.Save(nil, nil, []*wire.Entry{entry(3, 3), entry(4, 3), entry(5, 3)}))
	is.Equal(terms(t, m.crash(0)), []uint64{1, 1, 3, 3, 3})
	is.NoErr(j.Compact(&wire.Snapshot{Index: 4, Term: 3}))
	is.Equal(terms(t, m.crash(0)), []uint64{3})
	is.NoErr(j.Save(nil, &wire.Snapshot{Index: 9, Term: 4}, []*wire.Entry{entry(10, 4)}))
	is.Equal(terms(t, m.crash(0)), []uint64{4})
	is.Equal(len(j.segments), 1)

	m, j = written(t)
	is.NoErr(j.replace(snapshotName, &wire.Snapshot{Index: 3, Term: 2})) // a crash before the old log's removal
	is.Equal(len(terms(t, m.crash(0))), 0)

	m, j = written(t)
	for i := uint64(5); i < 200; i++ {
		j.size = segmentSize // a segment for each entry
		is.NoErr(j.Save(nil, nil, []*wire.Entry{entry(i, 2)}))
	}
	is.NoErr(j.Compact(&wire.Snapshot{Index: 190, Term: 2}))
	is.Equal(len(j.segments), 9)
	is.Equal(len(terms(t, m.crash(0))), 9)
}

// Guards against records that are read as something else than was written, and against crashes on
// any file contents.
func FuzzReadSegment(f *testing.F) {
	good := appendRecord(appendRecord(nil, []byte("\x0a\x02\x08\x01")), []byte("\x0a\x02\x08\x02"))
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(make([]byte, 8), good...))
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, size, err := readSegment(data)
		if err != nil {
			return
		}
		again, same, err := readSegment(data[:size])
		if err != nil || same != size || len(again) != len(entries) {
			t.Fatalf("good part of %d bytes reads as %d entries of %d bytes, not %d: %v", size, len(again), same, len(entries), err)
		}
		longer, _, err := readSegment(appendRecord(data[:size:size], []byte("\x0a\x02\x08\x07")))
		if err != nil || len(longer) != len(entries)+1 {
			t.Fatalf("an appended record is lost: %v", err)
		}
	})
}
