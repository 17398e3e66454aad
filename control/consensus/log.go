package consensus

import (
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

const (
	batchEntries = 1024
	batchBytes   = 512 << 10 // fits into one exchange of 1 s on a slow link
)

// entryLog is the part of the log after base.
type entryLog struct {
	base     uint64
	baseTerm uint64
	baseTime int64 // log time of the entry at base, in milliseconds
	baseSet  *wire.Membership
	list     []*wire.Entry
	set      *wire.Membership // latest membership in the log, committed or not
	setIndex uint64
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.list)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *entryLog) lastTime() int64 {
	if len(l.list) == 0 {
		return l.baseTime
	}
	return l.list[len(l.list)-1].LogMs
}

// term returns the term of the entry at index; ok is false outside of the log.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.list[index-l.base-1].Term, true
}

// from returns a copy of the entries after index and up to limit, cut to the size of a batch.
func (l *entryLog) from(index, limit uint64, count, size int) []*wire.Entry {
	var out []*wire.Entry
	for i := index + 1; i <= limit && len(out) < count; i++ {
		e := l.list[i-l.base-1]
		size -= proto.Size(e)
		if size < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

func (l *entryLog) append(entries ...*wire.Entry) {
	for _, e := range entries {
		l.list = append(l.list, e)
		if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			l.set, l.setIndex = e.Members, e.Index
		}
	}
}

// truncate drops the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	if index > l.last() {
		return
	}
	l.list = l.list[:index-l.base-1]
	if l.setIndex < index {
		return
	}
	l.set, l.setIndex = l.baseSet, l.base
	for i := len(l.list) - 1; i >= 0; i-- {
		if e := l.list[i]; e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			l.set, l.setIndex = e.Members, e.Index
			return
		}
	}
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.last() {
		return
	}
	dropped := l.list[:index-l.base]
	for _, e := range dropped {
		if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			l.baseSet = e.Members
		}
	}
	edge := dropped[len(dropped)-1]
	l.list = append([]*wire.Entry(nil), l.list[index-l.base:]...)
	l.base, l.baseTerm, l.baseTime = edge.Index, edge.Term, edge.LogMs
}

// reset makes the log empty after a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	*l = entryLog{
		base: s.GetIndex(), baseTerm: s.GetTerm(), baseTime: s.GetLogMs(), baseSet: s.GetMembers(),
		set: s.GetMembers(), setIndex: s.GetIndex(),
	}
}

// conflict returns the index to continue from after a mismatch at index: the last one before the
// run of entries of the mismatching term, so that one exchange skips a whole term.
func (l *entryLog) conflict(index, floor uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	bad, _ := l.term(index)
	for index > floor && index > l.base {
		if t, _ := l.term(index); t != bad {
			break
		}
		index--
	}
	return index
}
