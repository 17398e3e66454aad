package journal

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

const (
	stateFile    = "state"
	snapshotFile = "snapshot"
	logPrefix    = "log-"
	tempSuffix   = ".new"
	segmentSize  = 4 << 20  // bytes after which a new segment starts
	maxBatchSize = 16 << 20 // bytes of entries after which a write is split into another record
)

// Journal writes the hard state, the log and the snapshot of a member to a Disk. It is not safe for
// concurrent use.
type Journal struct {
	disk        Disk
	segments    []segment
	openSegment File // last segment; nil until the first write after Open
	openSize    int
	writeErr    error
}

// segment is a log file and the highest entry index in it.
type segment struct {
	number    uint64
	lastIndex uint64
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", logPrefix, s.number) }

// Contents is the data that Open read from a data folder.
type Contents struct {
	State          *wire.HardState // nil in an empty folder
	Snapshot       *wire.Snapshot  // nil if there is none
	Entries        []*wire.Entry   // entries after the snapshot
	TruncatedBytes int             // size of an incomplete last record that was removed
}

// Open reads a data folder and removes the remains of an unfinished write. It returns an error if
// synced data is damaged; the member must then rejoin with an empty folder.
func Open(disk Disk) (*Journal, Contents, error) {
	j := &Journal{disk: disk}
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
			err = j.readSingleRecord(name, c.Snapshot)
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

// loadSegments reads the log from its segments. An incomplete record at the end of the last segment is
// removed.
func (j *Journal) loadSegments(segmentNames []string, c *Contents) error {
	firstIndex := c.Snapshot.GetIndex() + 1
	for i, name := range segmentNames {
		var s segment
		if _, err := fmt.Sscanf(name, logPrefix+"%x", &s.number); err != nil {
			return corruptionError(name, "is not a segment of the log")
		}
		data, err := j.disk.Read(name)
		if err != nil {
			return err
		}
		entries, validSize, err := readSegment(data)
		if err != nil {
			return corruptionError(name, "has an "+err.Error())
		}
		if validSize < len(data) {
			if i < len(segmentNames)-1 {
				return corruptionError(name, fmt.Sprintf("has an invalid record at byte %d, but is not the last segment", validSize))
			}
			c.TruncatedBytes = len(data) - validSize
			if err := j.disk.Truncate(name, int64(validSize)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if !insertEntry(c, e, firstIndex) {
				return corruptionError(name, fmt.Sprintf("has a gap before entry %d", e.Index))
			}
			s.lastIndex = max(s.lastIndex, e.Index)
		}
		j.segments = append(j.segments, s)
	}
	return nil
}

// insertEntry adds an entry to the log read so far and replaces the entries from its index on. It
// returns false if there is a gap before the entry.
func insertEntry(c *Contents, e *wire.Entry, firstIndex uint64) bool {
	if len(c.Entries) == 0 || e.Index < c.Entries[0].Index {
		c.Entries = []*wire.Entry{e}
		return e.Index <= firstIndex
	}
	position := e.Index - c.Entries[0].Index
	if position > uint64(len(c.Entries)) {
		return false
	}
	c.Entries = append(c.Entries[:position], e)
	return true
}

// discardCovered drops the entries that the snapshot covers. It removes the whole log if the log does
// not contain the snapshot's last entry: then a leader installed the snapshot, and a crash interrupted
// the removal of the old log.
func (j *Journal) discardCovered(c *Contents) error {
	if c.Snapshot == nil || len(c.Entries) == 0 || c.Entries[0].Index > c.Snapshot.Index {
		return nil
	}
	position := c.Snapshot.Index - c.Entries[0].Index
	if position < uint64(len(c.Entries)) && c.Entries[position].Term == c.Snapshot.Term {
		c.Entries = c.Entries[position+1:]
		return nil
	}
	c.Entries = nil
	return j.removeSegments()
}

// Save writes a hard state, an installed snapshot that replaces the log, and entries that replace the
// log from the index of the first one on; each may be nil. Everything is durable when Save returns nil.
// After an error, every further write returns the same error, because the contents of the disk are
// unknown.
func (j *Journal) Save(state *wire.HardState, snapshot *wire.Snapshot, entries []*wire.Entry) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if state != nil {
		j.writeErr = j.replaceFile(stateFile, state)
	}
	if j.writeErr == nil && snapshot != nil {
		if j.writeErr = j.replaceFile(snapshotFile, snapshot); j.writeErr == nil {
			j.writeErr = j.removeSegments()
		}
	}
	if j.writeErr == nil && len(entries) > 0 {
		j.writeErr = j.appendEntries(entries)
	}
	return j.writeErr
}

// Compact writes a snapshot of the member's state machine and removes the segments that it covers.
// After an error, every further write returns the same error.
func (j *Journal) Compact(snapshot *wire.Snapshot) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if j.writeErr = j.replaceFile(snapshotFile, snapshot); j.writeErr != nil {
		return j.writeErr
	}
	removed := false
	for len(j.segments) > 1 && j.segments[0].lastIndex <= snapshot.Index {
		if j.writeErr = j.disk.Remove(j.segments[0].name()); j.writeErr != nil {
			return j.writeErr
		}
		j.segments, removed = j.segments[1:], true
	}
	if removed {
		j.writeErr = j.disk.Sync()
	}
	return j.writeErr
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
	if j.openSegment == nil || j.openSize >= segmentSize {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := writeSync(j.openSegment, record); err != nil {
		return err
	}
	j.openSize += len(record)
	s := &j.segments[len(j.segments)-1]
	for _, e := range entries {
		s.lastIndex = max(s.lastIndex, e.Index)
	}
	return nil
}

func (j *Journal) startSegment() error {
	var s segment
	if len(j.segments) > 0 {
		s.number = j.segments[len(j.segments)-1].number + 1
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
	j.openSegment, j.openSize = f, 0
	j.segments = append(j.segments, s)
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
		// Without a sync after each one, the removals could become durable in another order.
		if err := j.disk.Sync(); err != nil {
			return err
		}
		j.segments = j.segments[:last]
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
