package raft

import (
	"log/slog"

	"jayspindle/internal/state/invariant"
)

// entryOverhead is what an entry counts for besides its data when messages and
// uncommitted entries are bounded.
const entryOverhead = 32

// entryLog holds the entries that are not compacted yet.
type entryLog struct {
	snapshot Snapshot // newest snapshot, sent to replicas behind base
	base     uint64   // index before entries[0]
	baseTerm uint64
	entries  []Entry
	stable   uint64 // entries up to here are on the own disk
	commit   uint64
	handed   uint64 // committed entries up to here were in a Ready

	uncommitted int // what the entries behind commit count for, in bytes
}

// size returns what entries count for, in bytes.
func size(entries []Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.Data) + entryOverhead
	}

	return total
}

func newEntryLog(stored *Stored) (*entryLog, error) {
	l := &entryLog{snapshot: stored.Snapshot, base: stored.Snapshot.Index, baseTerm: stored.Snapshot.Term}
	l.entries = append(l.entries, stored.Entries...)

	index, term := l.base, l.baseTerm
	for _, entry := range l.entries {
		if entry.Index != index+1 || entry.Term < term {
			return nil, newError("new", KindStored, "entry %d of term %d follows entry %d of term %d",
				entry.Index, entry.Term, index, term)
		}

		index, term = entry.Index, entry.Term
	}

	l.stable = l.last()
	l.handed = l.base
	l.commit = max(l.base, stored.HardState.Commit)

	if l.commit > l.last() {
		return nil, newError("new", KindStored, "commit index %d is behind the last entry %d", l.commit, l.last())
	}

	l.uncommitted = size(l.entries[l.commit-l.base:])

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
	own, ok := l.term(index)

	return ok && own == term
}

// upToDate implements the election restriction of section 5.4.1 of the paper.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// slice returns entries from first on, bounded in count and bytes, but at least
// one if there is any.
func (l *entryLog) slice(first, end uint64, maxCount, maxBytes int) []Entry {
	if first > end || first <= l.base {
		return nil
	}

	entries := l.entries[first-l.base-1 : end-l.base]
	bytes := 0

	for i, entry := range entries {
		bytes += len(entry.Data) + entryOverhead
		if i > 0 && (i >= maxCount || bytes > maxBytes) {
			return entries[:i:i]
		}
	}

	return entries[:len(entries):len(entries)]
}

// append adds an entry at the end.
func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	l.uncommitted += len(entry.Data) + entryOverhead
}

// truncate drops the entries from index on. The rest is copied, because a Ready
// may still refer to the dropped entries.
func (l *entryLog) truncate(index uint64) {
	invariant.Assert(index > l.commit, "raft: committed entries are not overwritten",
		slog.Uint64("index", index), slog.Uint64("commit", l.commit))

	l.uncommitted -= size(l.entries[index-l.base-1:])
	l.entries = append([]Entry(nil), l.entries[:index-l.base-1]...)
	l.stable = min(l.stable, index-1)
}

func (l *entryLog) commitTo(index uint64) {
	invariant.Assert(index >= l.commit && index <= l.last(), "raft: the commit index never falls or exceeds the log",
		slog.Uint64("index", index), slog.Uint64("commit", l.commit), slog.Uint64("last", l.last()))

	l.uncommitted -= size(l.entries[l.commit-l.base : index-l.base])
	l.commit = index
}

// hint returns the highest entry up to index whose term is at most term.
// Replicas that disagree skip a whole term with each message instead of one
// entry (section 5.3 of the paper).
func (l *entryLog) hint(index, term uint64) (hintIndex, hintTerm uint64) {
	for index = min(index, l.last()); index > l.base; index-- {
		if own, _ := l.term(index); own <= term {
			return index, own
		}
	}

	return l.base, l.baseTerm
}

// compact keeps a snapshot and drops the entries it covers but for the last keep.
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

// restore replaces the log by a snapshot.
func (l *entryLog) restore(snapshot *Snapshot) {
	invariant.Assert(snapshot.Index > l.commit, "raft: a snapshot never reverts committed entries",
		slog.Uint64("index", snapshot.Index), slog.Uint64("commit", l.commit))

	l.commit = snapshot.Index
	l.uncommitted = 0
	l.snapshot = *snapshot
	l.base, l.baseTerm = snapshot.Index, snapshot.Term
	l.entries = nil
	l.stable = snapshot.Index
	l.handed = snapshot.Index
}
