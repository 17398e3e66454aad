package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/clock"
	"cuminfall.example/fleet/ident"
)

// diskWrite is a Save, or a snapshot of the member's own state machine if snapshot is not nil.
type diskWrite struct {
	save     consensus.Save
	snapshot *wire.Snapshot
}

// slowWriteTime is the time from which a write counts as slow. A leader whose writes take as long has almost lost its
// followers.
const slowWriteTime = 500 * time.Millisecond

// diskRetryInterval is the pause before a failed write is tried again.
const diskRetryInterval = 100 * time.Millisecond

// runDiskWrites performs queued writes. One sync covers all Saves that queued up during the previous one. A write that
// fails is repeated until it succeeds, as a full disk may get room again; nothing that waits for it is acknowledged.
func (r *Replica) runDiskWrites(ctx context.Context) {
	var trouble diskTrouble
	var waiting []diskWrite
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-r.diskSignal:
			}
		} else if clock.Sleep(ctx, r.opts.Clock, diskRetryInterval) != nil {
			return
		}
		r.mu.Lock()
		waiting = joinWrites(waiting, r.diskQueue)
		r.diskQueue = nil
		r.mu.Unlock()
		var err error
		if waiting, err = r.writeQueued(waiting); err != nil {
			r.metrics.failedWrites.Inc(1)
		}
		trouble.report(r, err)
	}
}

// diskTrouble is the state of a disk that refuses writes.
type diskTrouble struct {
	since    time.Time // of the first failed write; zero if the last one succeeded
	attempts int
}

// report logs the first failed write and the first one that succeeds again.
func (t *diskTrouble) report(r *Replica, err error) {
	log := r.opts.Log.WithField("event", "disk")
	switch now := r.opts.Clock.Now(); {
	case err != nil && t.since.IsZero():
		*t = diskTrouble{since: now, attempts: 1}
		log.WithError(err).Error("the disk refuses writes: this member acknowledges nothing until they succeed")
	case err != nil:
		t.attempts++
	case !t.since.IsZero():
		log.WithFields(logrus.Fields{"after": now.Sub(t.since).String(), "attempts": t.attempts}).Info("the disk takes writes again")
		*t = diskTrouble{}
	}
}

// joinWrites appends writes to those that wait. Only the newest snapshot is kept, which replaces the older ones.
func joinWrites(waiting, added []diskWrite) []diskWrite {
	all := append(waiting, added...)
	newest := -1
	for i, w := range all {
		if w.snapshot != nil {
			newest = i
		}
	}
	kept := all[:0]
	for i, w := range all {
		if w.snapshot == nil || i == newest {
			kept = append(kept, w)
		}
	}
	clear(all[len(kept):])
	return kept
}

// writeQueued performs writes in order and combines successive Saves without a snapshot into one. It returns the
// writes that are left after an error.
func (r *Replica) writeQueued(writes []diskWrite) ([]diskWrite, error) {
	for len(writes) > 0 {
		if s := writes[0].snapshot; s != nil {
			if err := r.writeSnapshot(s); err != nil {
				return writes, err
			}
			writes = writes[1:]
			continue
		}
		batch, count := nextBatch(writes)
		if err := r.writeSave(batch); err != nil {
			return r.makeRoom(writes, err)
		}
		writes = writes[count:]
	}
	return nil, nil
}

// nextBatch combines the Saves at the start of writes, and returns their number.
func nextBatch(writes []diskWrite) (batch consensus.Save, count int) {
	if writes[0].save.Snapshot != nil {
		return writes[0].save, 1
	}
	for _, w := range writes {
		if w.snapshot != nil || w.save.Snapshot != nil {
			break
		}
		if w.save.State != nil {
			batch.State = w.save.State
		}
		batch.Entries = append(batch.Entries, w.save.Entries...)
		batch.Seq = w.save.Seq
		count++
	}
	return batch, count
}

// makeRoom writes a snapshot that waits behind a failed Save, as the disk may have no room before the log is compacted.
func (r *Replica) makeRoom(writes []diskWrite, failure error) ([]diskWrite, error) {
	for i, w := range writes {
		if w.snapshot == nil {
			continue
		}
		if err := r.writeSnapshot(w.snapshot); err != nil {
			return writes, failure
		}
		return append(writes[:i:i], writes[i+1:]...), failure
	}
	return writes, failure
}

// writeSnapshot writes a snapshot of the state machine, unless the disk has a newer one of a leader.
func (r *Replica) writeSnapshot(s *wire.Snapshot) error {
	if s.Index <= r.savedSnapshot {
		return nil
	}
	startTime := r.opts.Clock.Now()
	if err := r.journal.Compact(s); err != nil {
		return err
	}
	r.logSlowWrite(startTime, logrus.Fields{"snapshot": s.Index})
	r.savedSnapshot = s.Index
	r.metrics.snapshots.Inc(1)
	r.handleEvent(consensus.Compacted{At: r.nodeTime(), Snapshot: s})
	return nil
}

func (r *Replica) writeSave(s consensus.Save) error {
	if s.Seq == 0 {
		return nil
	}
	startTime := r.opts.Clock.Now()
	if err := r.journal.Save(s.State, s.Snapshot, s.Entries); err != nil {
		return err
	}
	r.savedSnapshot = max(r.savedSnapshot, s.Snapshot.GetIndex())
	r.metrics.syncTime.Update(r.opts.Clock.Now().Sub(startTime))
	r.logSlowWrite(startTime, logrus.Fields{"entries": len(s.Entries), "term": s.State.GetTerm()})
	r.metrics.syncedEntries.Inc(int64(len(s.Entries)))
	r.handleEvent(consensus.Saved{At: r.nodeTime(), Seq: s.Seq})
	return nil
}

// logSlowWrite logs a write that took so long that the group may have chosen another leader because of it.
func (r *Replica) logSlowWrite(startTime time.Time, fields logrus.Fields) {
	if took := r.opts.Clock.Now().Sub(startTime); took >= slowWriteTime {
		r.opts.Log.WithFields(fields).WithFields(logrus.Fields{"event": "slow_disk", "took": took.String()}).Warn("a write to the disk took long")
	}
}

// runApply applies committed entries and installed snapshots to the state machine in the order of the log.
func (r *Replica) runApply(ctx context.Context) {
	a := applier{replica: r, membership: r.baseMembership}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.applySignal:
		}
		r.mu.Lock()
		effects := r.applyQueue
		r.applyQueue = nil
		r.mu.Unlock()
		for _, effect := range effects {
			var err error
			switch e := effect.(type) {
			case consensus.Apply:
				if !r.hasRestoreQueued() {
					err = a.apply(ctx, e.Entries)
				}
			case consensus.Restore:
				err = a.restore(e.Snapshot)
			}
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				r.fail(err)
				return
			}
		}
	}
}

// applier is the state of the goroutine that calls the state machine.
type applier struct {
	replica              *Replica
	membership           *wire.Membership // membership at the last applied entry
	entriesSinceSnapshot int
	bytesSinceSnapshot   ident.Bytes
	stateSize            ident.Bytes // of the last snapshot
}

const (
	// maxApplyBatch is how many entries are applied before a waiting View gets its turn.
	maxApplyBatch = 64
	// maxApplyBatchBytes limits their data for the same reason.
	maxApplyBatchBytes = ident.Bytes(1 << 20)
	// loadRetryInterval is the pause before an entry that could not be read from the disk is read again.
	loadRetryInterval = 100 * time.Millisecond
)

func (a *applier) apply(ctx context.Context, entries []*wire.Entry) error {
	for len(entries) > 0 {
		batch, err := a.nextBatch(ctx, entries)
		if err != nil || len(batch) == 0 {
			return err
		}
		if err := a.applyBatch(batch); err != nil {
			return err
		}
		entries = entries[len(batch):]
	}
	return nil
}

// nextBatch returns the first entries with their data. It returns none if a snapshot that is to be restored covers them
// or if ctx is done.
func (a *applier) nextBatch(ctx context.Context, entries []*wire.Entry) ([]*wire.Entry, error) {
	r := a.replica
	var batch []*wire.Entry
	size := ident.Bytes(0)
	for _, e := range entries[:min(len(entries), maxApplyBatch)] {
		for failed := false; consensus.IsEvicted(e); {
			loaded, err := r.journal.Load(e.Index, e.Term)
			if err == nil {
				e = loaded
				break
			}
			if r.hasRestoreQueued() {
				return nil, nil
			}
			if !failed {
				r.opts.Log.WithFields(logrus.Fields{"event": "load", "index": e.Index}).WithError(err).Error("could not read a committed entry from the disk")
			}
			failed = true
			if clock.Sleep(ctx, r.opts.Clock, loadRetryInterval) != nil {
				return nil, nil
			}
		}
		size += ident.Bytes(len(e.Data))
		if batch = append(batch, e); size > maxApplyBatchBytes {
			break
		}
	}
	return batch, nil
}

// hasRestoreQueued reports whether a snapshot is to be restored next.
func (r *Replica) hasRestoreQueued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, effect := range r.applyQueue {
		if _, ok := effect.(consensus.Restore); ok {
			return true
		}
	}
	return false
}

func (a *applier) applyBatch(entries []*wire.Entry) error {
	r := a.replica
	results := make([]any, len(entries))
	var snapshot *wire.Snapshot
	var err error
	r.applyMu.Lock()
	for i, e := range entries {
		a.bytesSinceSnapshot += ident.Bytes(proto.Size(e))
		switch e.Kind {
		case wire.EntryKind_ENTRY_KIND_DATA:
			results[i] = r.opts.StateMachine.Apply(newEntry(e))
		case wire.EntryKind_ENTRY_KIND_MEMBERS:
			for _, m := range joinedMembers(a.membership, e.Members) {
				r.opts.StateMachine.MemberJoined(newEntry(e), m.Name, ident.Address(m.Address))
			}
			a.membership = e.Members
		}
	}
	last := entries[len(entries)-1]
	a.entriesSinceSnapshot += len(entries)
	if a.isSnapshotDue() {
		a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
		var state []byte
		if state, err = r.opts.StateMachine.Snapshot(); err == nil {
			a.stateSize = ident.Bytes(len(state))
			snapshot = &wire.Snapshot{Index: last.Index, Term: last.Term, LogMs: last.LogMs, Members: a.membership, State: state}
		}
	}
	r.applyMu.Unlock()
	if err != nil {
		return err
	}
	r.deliverResults(entries, results, snapshot)
	return nil
}

// isSnapshotDue reports whether the log has grown so much since the last snapshot that it must be compacted. A large state
// is written less often, so that snapshots take no more writes than the entries.
func (a *applier) isSnapshotDue() bool {
	opts := a.replica.opts
	limit := max(min(opts.Memory, opts.DiskSize)/snapshotPart, 2*a.stateSize)
	return a.entriesSinceSnapshot >= opts.SnapshotEvery || a.bytesSinceSnapshot >= limit
}

func newEntry(e *wire.Entry) Entry {
	return Entry{Index: ident.Index(e.Index), LogTime: time.Duration(e.LogMs) * time.Millisecond, WallTime: wallTime(e), Data: e.Data}
}

// joinedMembers returns the members of the current membership that the previous one does not have with the
// same identity and address. Members of the first membership, which "control init" writes, do not count.
func joinedMembers(previous, current *wire.Membership) []*wire.Member {
	var added []*wire.Member
	if previous == nil {
		return nil
	}
	for _, m := range current.GetMembers() {
		known := false
		for _, o := range previous.GetMembers() {
			known = known || o.Id == m.Id && o.Address == m.Address
		}
		if !known {
			added = append(added, m)
		}
	}
	return added
}

func wallTime(e *wire.Entry) time.Time {
	if e.TimeMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(e.TimeMs)
}

func (a *applier) restore(s *wire.Snapshot) error {
	r := a.replica
	r.applyMu.Lock()
	err := r.opts.StateMachine.Restore(s.State)
	r.applyMu.Unlock()
	if err != nil {
		return err
	}
	a.membership, a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.stateSize = s.Members, 0, 0, ident.Bytes(len(s.State))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appliedIndex = ident.Index(s.Index)
	r.releaseBarriers()
	r.stepLocked(consensus.Applied{At: r.nodeTime(), Index: r.appliedIndex})
	return nil
}

// deliverResults returns the results of applied entries to the waiting proposers and queues a snapshot, if
// any, to be written.
func (r *Replica) deliverResults(entries []*wire.Entry, results []any, snapshot *wire.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range entries {
		r.appliedIndex = ident.Index(e.Index)
		if proposal := r.pendingByIndex[r.appliedIndex]; proposal != nil {
			delete(r.pendingByIndex, r.appliedIndex)
			if proposal.term == ident.Term(e.Term) {
				proposal.done <- outcome{result: results[i]}
			} else {
				proposal.done <- outcome{err: r.replacedError()}
			}
		}
	}
	r.releaseBarriers()
	if snapshot != nil {
		r.diskQueue = joinWrites(r.diskQueue, []diskWrite{{snapshot: snapshot}})
		notify(r.diskSignal)
	}
	r.stepLocked(consensus.Applied{At: r.nodeTime(), Index: r.appliedIndex})
}
