package journal

import (
	"fmt"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
)

const (
	stateFile    = "state"
	snapshotFile = "snapshot"
	logPrefix    = "log-"
	tempSuffix   = ".new"
	segmentSize  = 4 << 20 // bytes after which a new segment starts
	maxBatchSize = 4 << 20 // bytes of entries after which a write is split into another record
	// maxLoadedBytes limits the entries that Open returns with their data. A log that an earlier build left may be larger
	// than the memory of the VM.
	maxLoadedBytes = 4 << 20
)

// Journal writes the hard state, the log and the snapshot of a member to a Disk. Only Load may be called
// concurrently with other methods.
type Journal struct {
	disk        Disk
	segments    []segment
	openSegment File // last segment; nil before the first write after Open or after a failed write
	failed      bool // the last write failed, and the last segment may end with a part of it

	mu        sync.Mutex // guards the fields below
	locations map[uint64]location
	loaded    loadedRecord
}

// segment is a log file.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index of its entries
	size      int    // bytes of its complete records
}

// location is where the record with an entry is in the log.
type location struct {
	segment uint64
	offset  int64
	size    int
}

// loadedRecord is the record that Load read last.
type loadedRecord struct {
	location
	entries []*wire.Entry
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", logPrefix, s.number) }

// Contents is the data that Open read from a data folder.
type Contents struct {
	State          *wire.HardState // nil in an empty folder
	Snapshot       *wire.Snapshot  // nil if there is none
	Entries        []*wire.Entry   // entries after the snapshot; all but the last ones are evicted if the log is long
	Sizes          []int           // encoded sizes of Entries, with their data, in bytes
	TruncatedBytes int             // size of an incomplete last record that was removed
}

// Open reads a data folder and removes the remains of an unfinished write. It returns an error if
// synced data is damaged; the member must then rejoin with an empty folder.
func Open(disk Disk) (*Journal, Contents, error) {
	j := &Journal{disk: disk, locations: map[uint64]location{}}
	c, err := j.load()
	if err != nil {
		return nil, Contents{}, err
	}
	return j, c, nil
}

func (j *Journal) load() (Contents, error) {
	var c Contents
	names, err := j.disk.List()
	if err != nil {
		return c, err
	}
	var segmentNames []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			err = j.disk.Remove(name)
		case name == stateFile:
			c.State = &wire.HardState{}
			err = j.readSingleRecord(name, c.State)
		case name == snapshotFile:
			c.Snapshot = &wire.Snapshot{}
			if err = j.readSingleRecord(name, c.Snapshot); err == nil {
				err = unpackState(c.Snapshot)
			}
		case strings.HasPrefix(name, logPrefix):
			segmentNames = append(segmentNames, name)
		}
		if err != nil {
			return c, err
		}
	}
	if c.State == nil && (c.Snapshot != nil || len(segmentNames) > 0) {
		return c, corruptionError(stateFile, "is missing although a log or a snapshot exists")
	}
	if err := j.loadSegments(segmentNames, &c); err != nil {
		return c, err
	}
	return c, j.discardCovered(&c)
}

// readSingleRecord reads a file that consists of one record and decodes it into m.
func (j *Journal) readSingleRecord(name string, m proto.Message) error {
	data, err := j.disk.Read(name)
	if err != nil {
		return err
	}
	payload, rest, ok := readRecord(data)
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, m) != nil {
		return corruptionError(name, "does not match its checksum")
	}
	return nil
}

// corruptionError returns the error for synced data that is missing or damaged.
func corruptionError(name, problem string) error {
	return errors.Errorf("file %s %s: synced data is lost or damaged; clear the data folder and restart the member, "+
		"which then rejoins under a new identity", name, problem)
}

// loadSegments reads the log from its segments, one at a time. An incomplete record at the end of the last
// segment is removed.
func (j *Journal) loadSegments(segmentNames []string, c *Contents) error {
	l := loader{contents: c, firstIndex: c.Snapshot.GetIndex() + 1}
	for i, name := range segmentNames {
		var s segment
		if _, err := fmt.Sscanf(name, logPrefix+"%x", &s.number); err != nil {
			return corruptionError(name, "is not a segment of the log")
		}
		data, err := j.disk.Read(name)
		if err != nil {
			return err
		}
		s.size, err = readSegment(data, func(offset, size int, entries []*wire.Entry) error {
			for _, e := range entries {
				if !l.insert(e) {
					return errors.Errorf("a gap before entry %d", e.Index)
				}
				j.locations[e.Index] = location{s.number, int64(offset), size}
				s.lastIndex = max(s.lastIndex, e.Index)
			}
			return nil
		})
		if err != nil {
			return corruptionError(name, "has "+err.Error())
		}
		if s.size < len(data) {
			if i < len(segmentNames)-1 {
				return corruptionError(name, fmt.Sprintf("has an invalid record at byte %d, but is not the last segment", s.size))
			}
			c.TruncatedBytes = len(data) - s.size
			if err := j.disk.Truncate(name, int64(s.size)); err != nil {
				return err
			}
		}
		j.segments = append(j.segments, s)
	}
	return nil
}

// loader builds the log from the entries of its segments and keeps the data of the last ones only.
type loader struct {
	contents   *Contents
	firstIndex uint64 // index after the snapshot
	bytes      int    // of the entries with data
	evicted    int    // number of entries at the start that have no data
}

// insert adds an entry to the log read so far and replaces the entries from its index on. It returns false if
// there is a gap before the entry. Entries that the snapshot covers may be missing, as Compact removes them.
func (l *loader) insert(e *wire.Entry) bool {
	c := l.contents
	if len(c.Entries) > 0 && e.Index >= c.Entries[0].Index && e.Index-c.Entries[0].Index <= uint64(len(c.Entries)) {
		l.truncate(int(e.Index - c.Entries[0].Index))
	} else {
		l.truncate(0)
		if e.Index > l.firstIndex {
			return false
		}
	}
	size := proto.Size(e)
	c.Entries, c.Sizes = append(c.Entries, e), append(c.Sizes, size)
	for l.bytes += size; l.bytes > maxLoadedBytes && l.evicted < len(c.Entries)-1; l.evicted++ {
		c.Entries[l.evicted] = consensus.Evict(c.Entries[l.evicted])
		l.bytes -= c.Sizes[l.evicted]
	}
	return true
}

// truncate keeps the first entries of the log read so far.
func (l *loader) truncate(count int) {
	c := l.contents
	for i := max(count, l.evicted); i < len(c.Entries); i++ {
		l.bytes -= c.Sizes[i]
	}
	l.evicted = min(l.evicted, count)
	c.Entries, c.Sizes = c.Entries[:count], c.Sizes[:count]
}

// discardCovered drops the entries that the snapshot covers, and the segments with no others. It removes the
// whole log if the log does not contain the snapshot's last entry: then a leader installed the snapshot, and
// a crash interrupted the removal of the old log.
func (j *Journal) discardCovered(c *Contents) error {
	if c.Snapshot == nil || len(c.Entries) == 0 {
		return nil
	}
	if first := c.Entries[0].Index; first <= c.Snapshot.Index {
		position := c.Snapshot.Index - first
		if position >= uint64(len(c.Entries)) || c.Entries[position].Term != c.Snapshot.Term {
			c.Entries, c.Sizes = nil, nil
			return j.removeSegments()
		}
		c.Entries, c.Sizes = c.Entries[position+1:], c.Sizes[position+1:]
	}
	return j.removeCovered(c.Snapshot.Index)
}

// removeCovered removes the segments with no entries after index, oldest first, but keeps the last one.
func (j *Journal) removeCovered(index uint64) error {
	removed := false
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
		if err := j.disk.Remove(j.segments[0].name()); err != nil {
			return err
		}
		j.forget(j.segments[0])
		j.segments, removed = j.segments[1:], true
	}
	if !removed {
		return nil
	}
	return j.disk.Sync()
}

// forget drops the locations of the entries in a segment that was removed.
func (j *Journal) forget(s segment) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for index, l := range j.locations {
		if l.segment == s.number {
			delete(j.locations, index)
		}
	}
	if j.loaded.segment == s.number {
		j.loaded = loadedRecord{}
	}
}

// Load returns a saved entry with its data. It may be called concurrently with all other methods.
func (j *Journal) Load(index, term uint64) (*wire.Entry, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	l, ok := j.locations[index]
	if !ok {
		return nil, errors.Errorf("entry %d is not in the log", index)
	}
	if j.loaded.location != l || len(j.loaded.entries) == 0 {
		name := segment{number: l.segment}.name()
		data, err := j.disk.ReadAt(name, l.offset, l.size)
		if err != nil {
			return nil, err
		}
		entries, _, ok := readBatch(data)
		if !ok {
			return nil, corruptionError(name, fmt.Sprintf("has an invalid record at byte %d", l.offset))
		}
		j.loaded = loadedRecord{l, entries}
	}
	for i := len(j.loaded.entries) - 1; i >= 0; i-- {
		if e := j.loaded.entries[i]; e.Index == index && e.Term == term {
			return e, nil
		}
	}
	return nil, errors.Errorf("entry %d of term %d is not in the log", index, term)
}

// Save writes a hard state, an installed snapshot that replaces the log, and entries that replace the
// log from the index of the first one on; each may be nil. Everything is durable when Save returns nil.
// After an error, the same call may be repeated; nothing else may be written before it succeeds, except by Compact.
func (j *Journal) Save(state *wire.HardState, snapshot *wire.Snapshot, entries []*wire.Entry) error {
	err := j.repair()
	if err == nil && state != nil {
		err = j.replaceFile(stateFile, state)
	}
	if err == nil && snapshot != nil {
		if err = j.replaceSnapshot(snapshot); err == nil {
			err = j.removeSegments()
		}
	}
	if err == nil && len(entries) > 0 {
		err = j.appendEntries(entries)
	}
	j.failed = err != nil
	return err
}

// Compact writes a snapshot of the member's state machine and removes the segments that it covers.
// After an error, it may be repeated.
func (j *Journal) Compact(snapshot *wire.Snapshot) error {
	err := j.repair()
	if err == nil {
		err = j.replaceSnapshot(snapshot)
	}
	if err == nil {
		err = j.removeCovered(snapshot.Index)
	}
	j.failed = err != nil
	return err
}

// repair removes what a failed write left at the end of the last segment. The next entries start another segment,
// because the state of this one in the memory of the operating system is unknown.
func (j *Journal) repair() error {
	if !j.failed {
		return nil
	}
	if j.openSegment != nil {
		_ = j.openSegment.Close() // what was not synced counts as not written
		j.openSegment = nil
	}
	if len(j.segments) == 0 {
		return nil
	}
	last := j.segments[len(j.segments)-1]
	return j.disk.Truncate(last.name(), int64(last.size))
}

// replaceSnapshot writes the snapshot. On a full disk it writes it compressed, as the segments that it covers can be
// removed only afterwards.
func (j *Journal) replaceSnapshot(snapshot *wire.Snapshot) error {
	err := j.replaceFile(snapshotFile, snapshot)
	if !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	packed, err := packState(snapshot)
	if err != nil {
		return err
	}
	return j.replaceFile(snapshotFile, packed)
}

// replaceFile replaces a file of one record atomically: it writes a temporary file and renames it.
func (j *Journal) replaceFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.WithStack(err)
	}
	f, err := j.disk.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	if err := writeSync(f, appendRecord(nil, payload)); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errors.WithStack(err)
	}
	if err := j.disk.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return j.disk.Sync()
}

// writeSync writes data to a file and syncs it.
func writeSync(f File, data []byte) error {
	if n, err := f.Write(data); err != nil {
		return errors.WithStack(err)
	} else if n < len(data) {
		return errors.Errorf("short write: %d of %d bytes", n, len(data))
	}
	return errors.WithStack(f.Sync())
}

// appendEntries writes entries to the log and syncs them.
func (j *Journal) appendEntries(entries []*wire.Entry) error {
	for len(entries) > 0 {
		count, size := 0, 0
		for count < len(entries) && (count == 0 || size < maxBatchSize) {
			size += proto.Size(entries[count])
			count++
		}
		payload, err := proto.Marshal(&wire.Batch{Entries: entries[:count]})
		if err != nil {
			return errors.WithStack(err)
		}
		if err := j.writeRecord(appendRecord(nil, payload), entries[:count]); err != nil {
			return err
		}
		entries = entries[count:]
	}
	return nil
}

func (j *Journal) writeRecord(record []byte, entries []*wire.Entry) error {
	if j.openSegment == nil || j.segments[len(j.segments)-1].size >= segmentSize {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := writeSync(j.openSegment, record); err != nil {
		return err
	}
	s := &j.segments[len(j.segments)-1]
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.locations == nil {
		j.locations = map[uint64]location{}
	}
	for _, e := range entries {
		j.locations[e.Index] = location{s.number, int64(s.size), len(record)}
		s.lastIndex = max(s.lastIndex, e.Index)
	}
	s.size += len(record)
	return nil
}

// startSegment opens the next segment for writing. An empty last segment, as a failed write leaves it, is used again.
func (j *Journal) startSegment() error {
	var s segment
	count := len(j.segments)
	if count > 0 {
		if s = j.segments[count-1]; s.size > 0 {
			s = segment{number: s.number + 1}
		} else {
			count--
		}
	}
	f, err := j.disk.Create(s.name())
	if err != nil {
		return err
	}
	if j.openSegment != nil {
		if err := j.openSegment.Close(); err != nil {
			return errors.WithStack(err)
		}
	}
	j.openSegment = f
	j.segments = append(j.segments[:count], s)
	return j.disk.Sync()
}

// removeSegments removes all segments, newest first, so that a crash in between leaves a log without gaps.
func (j *Journal) removeSegments() error {
	if j.openSegment != nil {
		if err := j.openSegment.Close(); err != nil {
			return errors.WithStack(err)
		}
		j.openSegment = nil
	}
	for len(j.segments) > 0 {
		last := len(j.segments) - 1
		if err := j.disk.Remove(j.segments[last].name()); err != nil {
			return err
		}
		j.forget(j.segments[last])
		j.segments = j.segments[:last]
		// Without a sync after each one, the removals could become durable in another order.
		if err := j.disk.Sync(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the segment that is open for writing, if any.
func (j *Journal) Close() error {
	if j.openSegment == nil {
		return nil
	}
	err := j.openSegment.Close()
	j.openSegment = nil
	return errors.WithStack(err)
}
