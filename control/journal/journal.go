package journal

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

const (
	stateName    = "state"
	snapshotName = "snapshot"
	logPrefix    = "log-"
	newSuffix    = ".new"
	segmentSize  = 4 << 20
	recordSize   = 16 << 20 // entries of one sync beyond this are split over several records
)

// Journal is the durable part of a member. It is not safe for concurrent use.
type Journal struct {
	disk     Disk
	segments []segment
	open     File // last segment, or nil
	size     int
	err      error
}

// segment is a log file and the highest index in it.
type segment struct {
	number uint64
	last   uint64
}

func (s segment) name() string { return fmt.Sprintf("%s%016x", logPrefix, s.number) }

// Contents is what a data folder held when it was opened.
type Contents struct {
	State          *wire.HardState // nil in an empty folder
	Snapshot       *wire.Snapshot  // nil if there is none
	Entries        []*wire.Entry   // after the snapshot
	TruncatedBytes int             // bytes of a torn tail that were removed
}

// Open reads a data folder and removes what an unfinished write left behind. Damage to synced
// data is an error: the member must rejoin with an empty folder.
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
	var logs []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, newSuffix):
			err = j.disk.Remove(name)
		case name == stateName:
			c.State = &wire.HardState{}
			err = j.readWhole(name, c.State)
		case name == snapshotName:
			c.Snapshot = &wire.Snapshot{}
			err = j.readWhole(name, c.Snapshot)
		case strings.HasPrefix(name, logPrefix):
			logs = append(logs, name)
		}
		if err != nil {
			return c, err
		}
	}
	if c.State == nil && (c.Snapshot != nil || len(logs) > 0) {
		return c, damaged(stateName, "is missing, but there is a log or a snapshot")
	}
	if err := j.loadLog(logs, &c); err != nil {
		return c, err
	}
	return c, j.fit(&c)
}

// readWhole reads a file that consists of one record.
func (j *Journal) readWhole(name string, m proto.Message) error {
	data, err := j.disk.Read(name)
	if err != nil {
		return err
	}
	payload, rest, ok := readRecord(data)
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, m) != nil {
		return damaged(name, "does not match its checksum")
	}
	return nil
}

// damaged returns the error for synced data that cannot be read back.
func damaged(name, what string) error {
	return errors.Errorf("file %s %s: the disk lost synced data; clear the data folder and start again, "+
		"and the member rejoins under a new identity", name, what)
}

func (j *Journal) loadLog(names []string, c *Contents) error {
	first := c.Snapshot.GetIndex() + 1
	for i, name := range names {
		var s segment
		if _, err := fmt.Sscanf(name, logPrefix+"%x", &s.number); err != nil {
			return damaged(name, "is not a segment of the log")
		}
		data, err := j.disk.Read(name)
		if err != nil {
			return err
		}
		entries, good, err := readSegment(data)
		if err != nil {
			return damaged(name, "has a "+err.Error())
		}
		if good < len(data) {
			if i < len(names)-1 {
				return damaged(name, fmt.Sprintf("has a bad record at byte %d before the last segment", good))
			}
			c.TruncatedBytes = len(data) - good
			if err := j.disk.Truncate(name, int64(good)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if !place(c, e, first) {
				return damaged(name, fmt.Sprintf("continues with entry %d after a gap", e.Index))
			}
			s.last = max(s.last, e.Index)
		}
		j.segments = append(j.segments, s)
	}
	return nil
}

// place puts an entry into the log read so far; it replaces the entries from its index on. It
// returns false if entries are missing before it.
func place(c *Contents, e *wire.Entry, first uint64) bool {
	if len(c.Entries) == 0 || e.Index < c.Entries[0].Index {
		c.Entries = []*wire.Entry{e}
		return e.Index <= first
	}
	at := e.Index - c.Entries[0].Index
	if at > uint64(len(c.Entries)) {
		return false
	}
	c.Entries = append(c.Entries[:at], e)
	return true
}

// fit drops the entries that the snapshot covers, and all of them if they do not lead up to it: then
// the snapshot was installed by a leader, and the removal of the old log was not finished.
func (j *Journal) fit(c *Contents) error {
	if c.Snapshot == nil || len(c.Entries) == 0 || c.Entries[0].Index > c.Snapshot.Index {
		return nil
	}
	at := c.Snapshot.Index - c.Entries[0].Index
	if at < uint64(len(c.Entries)) && c.Entries[at].Term == c.Snapshot.Term {
		c.Entries = c.Entries[at+1:]
		return nil
	}
	c.Entries = nil
	return j.dropLog()
}

// Save writes a hard state, an installed snapshot that replaces the log, and entries that replace the
// log from the index of the first one on; each may be nil. All is durable when it returns nil. After an
// error the journal refuses every further write, as it is not known what the disk holds.
func (j *Journal) Save(state *wire.HardState, snapshot *wire.Snapshot, entries []*wire.Entry) error {
	if j.err != nil {
		return j.err
	}
	if state != nil {
		j.err = j.replace(stateName, state)
	}
	if j.err == nil && snapshot != nil {
		if j.err = j.replace(snapshotName, snapshot); j.err == nil {
			j.err = j.dropLog()
		}
	}
	if j.err == nil && len(entries) > 0 {
		j.err = j.write(entries)
	}
	return j.err
}

// Compact writes a snapshot of the own state machine and removes the segments that it covers.
func (j *Journal) Compact(snapshot *wire.Snapshot) error {
	if j.err != nil {
		return j.err
	}
	if j.err = j.replace(snapshotName, snapshot); j.err != nil {
		return j.err
	}
	removed := false
	for len(j.segments) > 1 && j.segments[0].last <= snapshot.Index {
		if j.err = j.disk.Remove(j.segments[0].name()); j.err != nil {
			return j.err
		}
		j.segments, removed = j.segments[1:], true
	}
	if removed {
		j.err = j.disk.Sync()
	}
	return j.err
}

// replace writes a file of one record under another name and renames it.
func (j *Journal) replace(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.WithStack(err)
	}
	f, err := j.disk.Create(name + newSuffix)
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
	if err := j.disk.Rename(name+newSuffix, name); err != nil {
		return err
	}
	return j.disk.Sync()
}

func writeSync(f File, data []byte) error {
	if n, err := f.Write(data); err != nil {
		return errors.WithStack(err)
	} else if n < len(data) {
		return errors.Errorf("wrote %d of %d bytes", n, len(data))
	}
	return errors.WithStack(f.Sync())
}

func (j *Journal) write(entries []*wire.Entry) error {
	for len(entries) > 0 {
		count, size := 0, 0
		for count < len(entries) && (count == 0 || size < recordSize) {
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
	if j.open == nil || j.size >= segmentSize {
		if err := j.startSegment(); err != nil {
			return err
		}
	}
	if err := writeSync(j.open, record); err != nil {
		return err
	}
	j.size += len(record)
	s := &j.segments[len(j.segments)-1]
	for _, e := range entries {
		s.last = max(s.last, e.Index)
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
	if j.open != nil {
		if err := j.open.Close(); err != nil {
			return errors.WithStack(err)
		}
	}
	j.open, j.size = f, 0
	j.segments = append(j.segments, s)
	return j.disk.Sync()
}

// dropLog removes all segments, the newest first, so that what is left after a crash has no gap.
func (j *Journal) dropLog() error {
	if j.open != nil {
		if err := j.open.Close(); err != nil {
			return errors.WithStack(err)
		}
		j.open = nil
	}
	for len(j.segments) > 0 {
		last := len(j.segments) - 1
		if err := j.disk.Remove(j.segments[last].name()); err != nil {
			return err
		}
		// Without this sync, the removals could become durable in another order.
		if err := j.disk.Sync(); err != nil {
			return err
		}
		j.segments = j.segments[:last]
	}
	return nil
}

// Close closes the open segment.
func (j *Journal) Close() error {
	if j.open == nil {
		return nil
	}
	err := j.open.Close()
	j.open = nil
	return errors.WithStack(err)
}
