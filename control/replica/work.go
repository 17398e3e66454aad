package replica

import (
	"context"
	"time"

	"cuminfall.example/control/consensus"
	"cuminfall.example/control/consensus/wire"
	"cuminfall.example/fleet/ident"
)

// diskWork is a Save, or a snapshot of the own machine.
type diskWork struct {
	save    consensus.Save
	compact *wire.Snapshot
}

// runDisk writes what is queued; one sync covers all Saves that queued up during the previous one.
func (r *Replica) runDisk(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeDisk:
		}
		r.mu.Lock()
		work := r.disk
		r.disk = nil
		r.mu.Unlock()
		if err := r.write(work); err != nil {
			r.fail(err)
			return
		}
	}
}

func (r *Replica) write(work []diskWork) error {
	var group consensus.Save
	for _, w := range work {
		if w.compact == nil && w.save.Snapshot == nil {
			if w.save.State != nil {
				group.State = w.save.State
			}
			group.Entries = append(group.Entries, w.save.Entries...)
			group.Seq = w.save.Seq
			continue
		}
		if err := r.writeGroup(group); err != nil {
			return err
		}
		group = consensus.Save{}
		if w.compact == nil {
			if err := r.writeGroup(w.save); err != nil {
				return err
			}
			continue
		}
		if err := r.journal.Compact(w.compact); err != nil {
			return err
		}
		r.meters.snapshots.Inc(1)
		r.feed(consensus.Compacted{At: r.at(), Snapshot: w.compact})
	}
	return r.writeGroup(group)
}

func (r *Replica) writeGroup(s consensus.Save) error {
	if s.Seq == 0 {
		return nil
	}
	begin := r.opts.Clock.Now()
	if err := r.journal.Save(s.State, s.Snapshot, s.Entries); err != nil {
		return err
	}
	r.meters.syncs.UpdateSince(begin)
	r.meters.synced.Inc(int64(len(s.Entries)))
	r.feed(consensus.Saved{At: r.at(), Seq: s.Seq})
	return nil
}

// runApply calls the machine in the order of the log.
func (r *Replica) runApply(ctx context.Context) {
	a := applier{replica: r, set: r.baseSet}
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeApply:
		}
		r.mu.Lock()
		work := r.apply
		r.apply = nil
		r.mu.Unlock()
		for _, w := range work {
			var err error
			switch e := w.(type) {
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

// applier is the state of the goroutine that calls the machine.
type applier struct {
	replica *Replica
	set     *wire.Membership // as of the last entry applied
	since   int              // entries since the last snapshot
}

// applyChunk is how many entries are applied without letting View in.
const applyChunk = 64

func (a *applier) apply(entries []*wire.Entry) error {
	for len(entries) > 0 {
		n := min(len(entries), applyChunk)
		if err := a.applyChunk(entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func (a *applier) applyChunk(entries []*wire.Entry) error {
	r := a.replica
	results := make([]any, len(entries))
	var snapshot *wire.Snapshot
	var err error
	r.applyMu.Lock()
	for i, e := range entries {
		switch e.Kind {
		case wire.EntryKind_ENTRY_KIND_DATA:
			results[i] = r.opts.StateMachine.Apply(entryOf(e))
		case wire.EntryKind_ENTRY_KIND_MEMBERS:
			for _, m := range joined(a.set, e.Members) {
				r.opts.StateMachine.MemberJoined(entryOf(e), m.Name, ident.Address(m.Address))
			}
			a.set = e.Members
		}
	}
	last := entries[len(entries)-1]
	a.since += len(entries)
	if a.since >= r.opts.SnapshotEvery {
		a.since = 0
		var state []byte
		if state, err = r.opts.StateMachine.Snapshot(); err == nil {
			snapshot = &wire.Snapshot{Index: last.Index, Term: last.Term, LogMs: last.LogMs, Members: a.set, State: state}
		}
	}
	r.applyMu.Unlock()
	if err != nil {
		return err
	}
	r.finish(entries, results, snapshot)
	return nil
}

func entryOf(e *wire.Entry) Entry {
	return Entry{Index: ident.Index(e.Index), LogTime: time.Duration(e.LogMs) * time.Millisecond, WallTime: wall(e), Data: e.Data}
}

// joined returns the members of a set that an earlier one lacks in this identity
// and at this address. The first set is made by "control init", which is no join.
func joined(old, set *wire.Membership) []*wire.Member {
	var list []*wire.Member
	if old == nil {
		return nil
	}
	for _, m := range set.GetMembers() {
		known := false
		for _, o := range old.GetMembers() {
			known = known || o.Id == m.Id && o.Address == m.Address
		}
		if !known {
			list = append(list, m)
		}
	}
	return list
}

func wall(e *wire.Entry) time.Time {
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
	a.set, a.since = s.Members, 0
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = ident.Index(s.Index)
	r.releaseBarriers()
	return nil
}

// finish hands the results to the proposers that wait for them.
func (r *Replica) finish(entries []*wire.Entry, results []any, snapshot *wire.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, e := range entries {
		r.applied = ident.Index(e.Index)
		if w := r.waiters[r.applied]; w != nil {
			delete(r.waiters, r.applied)
			if w.term == ident.Term(e.Term) {
				w.done <- outcome{result: results[i]}
			} else {
				w.done <- outcome{err: r.replaced()}
			}
		}
	}
	r.releaseBarriers()
	if snapshot != nil {
		r.disk = append(r.disk, diskWork{compact: snapshot})
		wake(r.wakeDisk)
	}
}
