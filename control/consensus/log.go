package consensus

import (
	"google.golang.org/protobuf/proto"

	"cuminfall.example/control/consensus/wire"
)

const (
	maxBatchEntries = 1024
	maxBatchBytes   = 512 << 10 // can be transferred within the request timeout of 1 s on a slow link
)

// Evict returns a copy of an entry that is on the member's disk, without its data. Only data entries have data.
func Evict(e *wire.Entry) *wire.Entry {
	if e.Kind != wire.EntryKind_ENTRY_KIND_DATA {
		return e
	}
	return &wire.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind, LogMs: e.LogMs, TimeMs: e.TimeMs}
}

// IsEvicted returns whether the data of an entry must be loaded from the member's disk. An entry with empty data may be loaded, too.
func IsEvicted(e *wire.Entry) bool {
	return e.Kind == wire.EntryKind_ENTRY_KIND_DATA && len(e.Data) == 0
}

// entryLog is the part of the log after baseIndex; earlier entries were compacted or covered by a snapshot.
type entryLog struct {
	baseIndex       uint64
	baseTerm        uint64
	baseLogTime     int64            // log time of the entry at baseIndex, in milliseconds
	baseMembership  *wire.Membership // latest membership up to baseIndex
	entries         []*wire.Entry
	ends            []int            // for each entry, the encoded size of the log up to it, with all data, in bytes
	baseEnd         int              // the same for baseIndex
	evictedIndex    uint64           // data entries up to it are evicted, or compacted
	heldBytes       int              // size of the entries after evictedIndex
	membership      *wire.Membership // latest membership in the log, committed or not
	membershipIndex uint64
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

func (l *entryLog) lastLogTime() int64 {
	if len(l.entries) == 0 {
		return l.baseLogTime
	}
	return l.entries[len(l.entries)-1].LogMs
}

// termAt returns the term of the entry at index; ok is false if the log does not reach that index.
func (l *entryLog) termAt(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesAfter returns the entries after index and up to last in a new slice, at most maxEntries and
// maxBytes of them, but at least one if there is any.
func (l *entryLog) entriesAfter(index, last uint64, maxEntries, maxBytes int) []*wire.Entry {
	var out []*wire.Entry
	for i := index + 1; i <= last && len(out) < maxEntries; i++ {
		e := l.entries[i-l.baseIndex-1]
		maxBytes -= l.bytesBetween(i-1, i)
		if maxBytes < 0 && len(out) > 0 {
			break
		}
		out = append(out, e)
	}
	return out
}

func (l *entryLog) append(entries ...*wire.Entry) {
	for _, e := range entries {
		l.appendSized(e, proto.Size(e))
	}
}

// appendSized appends an entry of a known size. Entries that are evicted already must come first.
func (l *entryLog) appendSized(e *wire.Entry, size int) {
	l.entries, l.ends = append(l.entries, e), append(l.ends, l.endAt(l.lastIndex())+size)
	l.heldBytes += size
	if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
		l.membership, l.membershipIndex = e.Members, e.Index
	}
	if IsEvicted(e) {
		l.evictedIndex, l.heldBytes = e.Index, 0
	}
}

// endAt returns the size of the log up to an index that it reaches.
func (l *entryLog) endAt(index uint64) int {
	if index == l.baseIndex {
		return l.baseEnd
	}
	return l.ends[index-l.baseIndex-1]
}

// bytesBetween returns the size of the entries after index and up to last.
func (l *entryLog) bytesBetween(index, last uint64) int {
	index, last = max(index, l.baseIndex), min(last, l.lastIndex())
	if index >= last {
		return 0
	}
	return l.endAt(last) - l.endAt(index)
}

// evict drops the data of the oldest entries up to last until the others have at most maxBytes.
func (l *entryLog) evict(last uint64, maxBytes int) {
	for i := l.evictedIndex + 1; i <= min(last, l.lastIndex()) && l.heldBytes > maxBytes; i++ {
		position := i - l.baseIndex - 1
		l.entries[position] = Evict(l.entries[position])
		l.evictedIndex = i
		l.heldBytes -= l.bytesBetween(i-1, i)
	}
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	l.heldBytes -= l.bytesBetween(max(index-1, l.evictedIndex), l.lastIndex())
	l.evictedIndex = min(l.evictedIndex, index-1)
	position := index - l.baseIndex - 1
	clear(l.entries[position:])
	l.entries, l.ends = l.entries[:position], l.ends[:position]
	if l.membershipIndex < index {
		return
	}
	l.membership, l.membershipIndex = l.baseMembership, l.baseIndex
	for i := len(l.entries) - 1; i >= 0; i-- {
		if e := l.entries[i]; e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			l.membership, l.membershipIndex = e.Members, e.Index
			return
		}
	}
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.lastIndex() {
		return
	}
	dropped := l.entries[:index-l.baseIndex]
	for _, e := range dropped {
		if e.Kind == wire.EntryKind_ENTRY_KIND_MEMBERS {
			l.baseMembership = e.Members
		}
	}
	lastDropped := dropped[len(dropped)-1]
	l.heldBytes -= l.bytesBetween(l.evictedIndex, index)
	l.evictedIndex = max(l.evictedIndex, index)
	l.entries = append([]*wire.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseEnd, l.ends = l.endAt(index), append([]int(nil), l.ends[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm, l.baseLogTime = lastDropped.Index, lastDropped.Term, lastDropped.LogMs
}

// reset replaces the log with an empty one that starts after a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	*l = entryLog{
		baseIndex: s.GetIndex(), baseTerm: s.GetTerm(), baseLogTime: s.GetLogMs(), baseMembership: s.GetMembers(),
		membership: s.GetMembers(), membershipIndex: s.GetIndex(), evictedIndex: s.GetIndex(),
	}
}

// conflictHint returns the index from which the leader should retry after a mismatch at index. It goes
// back to the last entry before those of the conflicting term, but not below minimum, so that each
// retry skips a whole term.
func (l *entryLog) conflictHint(index, minimum uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	conflictingTerm, _ := l.termAt(index)
	for index > minimum && index > l.baseIndex {
		if term, _ := l.termAt(index); term != conflictingTerm {
			break
		}
		index--
	}
	return index
}
