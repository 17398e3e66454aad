package replica

import (
	"context"
	"time"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// diskWrite is a Save, or a snapshot of the member's own state machine if snapshot is not nil.
type diskWrite struct {
	save     consensus.Save
	snapshot *wire.Snapshot
}

// runDiskWrites performs queued writes. One sync covers all Saves that queued up during the previous one.
func (r *Replica) runDiskWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.diskSignal:
		}
		r.mu.Lock()
		writes := r.diskQueue
		r.diskQueue = nil
		r.mu.Unlock()
		if err := r.writeQueued(writes); err != nil {
			r.fail(err)
			return
		}
	}
}

// writeQueued performs writes in order and combines successive Saves without a snapshot into one.
func (r *Replica) writeQueued(writes []diskWrite) error {
	var batch consensus.Save
	for _, w := range writes {
		if w.snapshot == nil && w.save.Snapshot == nil {
			if w.save.State != nil {
				batch.State = w.save.State
			}
			batch.Entries = append(batch.Entries, w.save.Entries...)
			batch.Seq = w.save.Seq
			continue
		}
		if err := r.writeSave(batch); err != nil {
			return err
		}
		batch = consensus.Save{}
		if w.snapshot == nil {
			if err := r.writeSave(w.save); err != nil {
				return err
			}
			continue
		}
		if err := r.journal.Compact(w.snapshot); err != nil {
			return err
		}
		r.metrics.snapshots.Inc(1)
		r.handleEvent(consensus.Compacted{At: r.nodeTime(), Snapshot: w.snapshot})
	}
	return r.writeSave(batch)
}

func (r *Replica) writeSave(s consensus.Save) error {
	if s.Seq == 0 {
		return nil
	}
	startTime := r.opts.Clock.Now()
	if err := r.journal.Save(s.State, s.Snapshot, s.Entries); err != nil {
		return err
	}
	r.metrics.syncTime.Update(r.opts.Clock.Now().Sub(startTime))
	r.metrics.syncedEntries.Inc(int64(len(s.Entries)))
	r.handleEvent(consensus.Saved{At: r.nodeTime(), Seq: s.Seq})
	return nil
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
				err = a.apply(e.Entries)
			case consensus.Restore:
				err = a.restore(e.Snapshot)
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
}

// maxApplyBatch is how many entries are applied before a waiting View gets its turn.
const maxApplyBatch = 64

func (a *applier) apply(entries []*wire.Entry) error {
	for len(entries) > 0 {
		n := min(len(entries), maxApplyBatch)
		if err := a.applyBatch(entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func (a *applier) applyBatch(entries []*wire.Entry) error {
	r := a.replica
	results := make([]any, len(entries))
	var snapshot *wire.Snapshot
	var err error
	r.applyMu.Lock()
	for i, e := range entries {
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
	if a.entriesSinceSnapshot >= r.opts.SnapshotEvery {
		a.entriesSinceSnapshot = 0
		var state []byte
		if state, err = r.opts.StateMachine.Snapshot(); err == nil {
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
	a.membership, a.entriesSinceSnapshot = s.Members, 0
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appliedIndex = ident.Index(s.Index)
	r.releaseBarriers()
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
		r.diskQueue = append(r.diskQueue, diskWrite{snapshot: snapshot})
		notify(r.diskSignal)
	}
}
