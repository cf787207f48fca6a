package wal

// replay tracks the state of the log while its records are read and written. Both
// use the same checks, so that Save accepts exactly what Open can read.
type replay struct {
	hardState     HardState
	snapshotIndex uint64  // index of the newest saved snapshot
	base          uint64  // index before the first entry
	baseTerm      uint64  // term of the snapshot at base
	matched       bool    // the log contained the snapshot's last entry
	entries       []Entry // filled only while reading
	terms         []uint64
	reading       bool
}

// start prepares for reading a log whose entries up to the snapshot's index are
// covered by the snapshot.
func (r *replay) start(snapshot *Snapshot) {
	*r = replay{base: snapshot.Index, baseTerm: snapshot.Term, reading: true}
}

func (r *replay) last() uint64 { return r.base + uint64(len(r.terms)) }

// apply checks a record that is read and applies it to the entries.
func (r *replay) apply(b *batch) error {
	for _, entry := range b.Entries {
		if entry.Index > r.last()+1 {
			return errGap
		}

		r.add(entry)
	}

	if b.Marker != nil && b.Marker.Reset {
		r.truncate(r.base + 1)
		r.matched = false
	}

	return nil
}

// add appends an entry and drops the entries from its index on, which it replaces.
func (r *replay) add(entry Entry) {
	if entry.Index <= r.base {
		r.truncate(r.base + 1)
		r.matched = entry.Index == r.base && entry.Term == r.baseTerm

		return
	}

	r.truncate(entry.Index)
	r.terms = append(r.terms, entry.Term)

	if r.reading {
		r.entries = append(r.entries, entry)
	}
}

// truncate drops the entries from the given index on.
func (r *replay) truncate(index uint64) {
	keep := index - r.base - 1
	if keep >= uint64(len(r.terms)) {
		return
	}

	r.terms = r.terms[:keep]

	if r.reading {
		r.entries = r.entries[:keep]
	}
}

// update applies the hard state, the snapshot marker and the entry indexes of a
// record that was read or written.
func (r *replay) update(current *segment, b *batch) {
	if b.HardState != nil {
		r.hardState = *b.HardState
	}

	if b.Marker != nil {
		r.snapshotIndex = max(r.snapshotIndex, b.Marker.Index)
	}

	for _, entry := range b.Entries {
		current.lastIndex = max(current.lastIndex, entry.Index)

		if !r.reading {
			r.add(entry)
		}
	}
}

// finish ends reading and returns the entries after the snapshot. If the marker
// of a snapshot is missing, a crash followed the saving of the snapshot. Unless the
// log contains the last entry of such a snapshot, the entries after it may conflict
// with it and are dropped.
func (r *replay) finish() []Entry {
	if r.snapshotIndex < r.base && !r.matched {
		r.truncate(r.base + 1)
	}

	entries := r.entries
	r.entries = nil
	r.reading = false

	return entries
}

// contains reports whether the log has an entry with this index and term.
func (r *replay) contains(index, term uint64) bool {
	if index == r.base {
		return r.baseTerm == term
	}

	return index > r.base && index <= r.last() && r.terms[index-r.base-1] == term
}

// compact moves the base to a saved snapshot.
func (r *replay) compact(index, term uint64) {
	if index > r.last() {
		r.terms = nil
	} else {
		r.terms = append([]uint64(nil), r.terms[index-r.base:]...)
	}

	r.base, r.baseTerm = index, term
}
