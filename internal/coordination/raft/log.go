package raft

import (
	"log/slog"

	"jayspindle/internal/state/invariant"
)

// entryOverheadBytes is added to the data size of each entry when the size of messages
// and of uncommitted entries is limited.
const entryOverheadBytes = 32

// entryLog holds the entries that are not compacted yet and the newest snapshot.
type entryLog struct {
	snapshot  Snapshot // newest one; sent to replicas that need entries up to base
	base      uint64   // index of the entry before entries[0]
	baseTerm  uint64
	entries   []Entry
	stable    uint64 // entries up to this index are on the local disk
	commit    uint64
	delivered uint64 // committed entries up to this index were returned by Ready

	uncommittedBytes int // size of the entries after commit, with overhead
}

// totalBytes returns the size of entries, including their overhead.
func totalBytes(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.Data) + entryOverheadBytes
	}

	return total
}

func newEntryLog(stored *Stored) (*entryLog, error) {
	l := &entryLog{snapshot: stored.Snapshot, base: stored.Snapshot.Index, baseTerm: stored.Snapshot.Term}
	l.entries = append(l.entries, stored.Entries...)

	index, term := l.base, l.baseTerm
	for _, entry := range l.entries {
		if entry.Index != index+1 || entry.Term < term {
			return nil, newError("new", KindCorrupt, "entry %d of term %d follows entry %d of term %d",
				entry.Index, entry.Term, index, term)
		}

		index, term = entry.Index, entry.Term
	}

	l.stable = l.last()
	l.delivered = l.base
	l.commit = max(l.base, stored.HardState.Commit)

	if l.commit > l.last() {
		return nil, newError("new", KindCorrupt, "commit index %d exceeds the last entry %d", l.commit, l.last())
	}

	l.uncommittedBytes = totalBytes(l.entries[l.commit-l.base:])

	return l, nil
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())

	return term
}

// term returns the term of an entry; ok is false if the log doesn't hold it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index > l.base && index <= l.last():
		return l.entries[index-l.base-1].Term, true
	default:
		return 0, false
	}
}

func (l *entryLog) matches(index, term uint64) bool {
	localTerm, ok := l.term(index)

	return ok && localTerm == term
}

// upToDate implements the election restriction of section 5.4.1 of the paper.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// slice returns the entries first to last, cut off at maxCount and maxBytes, but at
// least one if there is any.
func (l *entryLog) slice(first, last uint64, maxCount, maxBytes int) []Entry {
	if first > last || first <= l.base {
		return nil
	}

	entries := l.entries[first-l.base-1 : last-l.base]
	bytes := 0

	for i, entry := range entries {
		bytes += len(entry.Data) + entryOverheadBytes
		if i > 0 && (i >= maxCount || bytes > maxBytes) {
			return entries[:i:i]
		}
	}

	return entries[:len(entries):len(entries)]
}

// append appends an entry and counts it as uncommitted.
func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	l.uncommittedBytes += len(entry.Data) + entryOverheadBytes
}

// truncate removes the entries from index on. The remaining ones are copied because a
// Ready may still refer to the removed entries.
func (l *entryLog) truncate(index uint64) {
	invariant.Assert(index > l.commit, "raft: committed entries are never overwritten",
		slog.Uint64("index", index), slog.Uint64("commit", l.commit))

	l.uncommittedBytes -= totalBytes(l.entries[index-l.base-1:])
	l.entries = append([]Entry(nil), l.entries[:index-l.base-1]...)
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) commitTo(index uint64) {
	invariant.Assert(index >= l.commit && index <= l.last(), "raft: the commit index never decreases or exceeds the log",
		slog.Uint64("index", index), slog.Uint64("commit", l.commit), slog.Uint64("last", l.last()))

	l.uncommittedBytes -= totalBytes(l.entries[l.commit-l.base : index-l.base])
	l.commit = index
}

// findConflictByTerm returns index and term of the highest entry up to index whose term
// is at most term. It lets a leader and a follower with conflicting logs skip a whole
// term with each message instead of one entry (section 5.3 of the paper).
func (l *entryLog) findConflictByTerm(index, term uint64) (hintIndex, hintTerm uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if localTerm, _ := l.term(index); localTerm <= term {
			return index, localTerm
		}
	}

	return l.base, l.baseTerm
}

// compact stores a snapshot and removes the entries that it covers, except the last keep entries.
func (l *entryLog) compact(snapshot *Snapshot, keep uint64) {
	l.snapshot = *snapshot

	if snapshot.Index <= keep || snapshot.Index-keep <= l.base {
		return
	}

	base := snapshot.Index - keep
	l.baseTerm, _ = l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base = base
}

// restore replaces the log with a snapshot.
func (l *entryLog) restore(snapshot *Snapshot) {
	invariant.Assert(snapshot.Index > l.commit, "raft: a snapshot never reverts committed entries",
		slog.Uint64("index", snapshot.Index), slog.Uint64("commit", l.commit))

	l.commit = snapshot.Index
	l.uncommittedBytes = 0
	l.snapshot = *snapshot
	l.base, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	l.stable = snapshot.Index
	l.delivered = snapshot.Index
}
