package wal

import (
	"errors"
	"fmt"
	"strings"
)

const (
	segmentSuffix   = ".log"
	temporarySuffix = ".tmp"
	lockName        = "lock"

	maxSegmentHeaderBytes = 128
)

func (l *Log) segmentPath(sequence uint64) string {
	return l.path(fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

func (l *Log) location(sequence uint64, offset int64) location {
	return location{replica: l.identity.Replica, sequence: sequence, offset: offset}
}

// parseNumbers returns the numbers in the file names that end in suffix, in the
// order of names.
func parseNumbers(names []string, suffix string) []uint64 {
	var numbers []uint64

	for _, name := range names {
		var number uint64

		text, ok := strings.CutSuffix(name, suffix)
		if _, err := fmt.Sscanf(text, "%016x", &number); ok && err == nil {
			numbers = append(numbers, number)
		}
	}

	return numbers
}

// removeTemporary removes the files that an interrupted replaceFile left behind.
func (l *Log) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}

		if err := l.files.Remove(l.path(name)); err != nil {
			return newError("open", KindFiles, l.path(name), 0, err)
		}
	}

	return nil
}

func (l *Log) openSegments(names []string) error {
	l.replay.start(&l.stored.Snapshot)

	sequences := parseNumbers(names, segmentSuffix)
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return newError("open", KindCorrupt, l.segmentPath(sequence-1), 0, errors.New("segment is missing"))
		}

		if err := l.openSegment(sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}

	if l.replay.snapshotIndex > l.stored.Snapshot.Index {
		return newError("open", KindCorrupt, l.snapshotPath(l.replay.snapshotIndex), 0, errors.New("snapshot is missing"))
	}

	return nil
}

// openSegment replays one segment. Only the last one may end in a torn record.
func (l *Log) openSegment(sequence uint64, last bool) error {
	name := l.segmentPath(sequence)

	data, err := l.files.Read(name)
	if err != nil {
		return newError("open", KindFiles, name, 0, err)
	}

	current := segment{sequence: sequence}

	for current.size < int64(len(data)) {
		at := l.location(sequence, current.size)
		rest := data[current.size:]

		b, size, err := decodeRecord(at, rest)
		if err == nil {
			err = l.replay.apply(b)
		}

		if err != nil {
			if last && isTorn(at, rest, size, err) {
				break
			}

			return newError("open", KindCorrupt, name, current.size, err)
		}

		current.size += size
		l.replay.update(&current, b)
	}

	if current.size < int64(len(data)) {
		if err := l.files.Truncate(name, current.size); err != nil {
			return newError("open", KindFiles, name, current.size, err)
		}
	}

	l.segments = append(l.segments, current)

	return nil
}

// isTorn reports whether the rest of a segment is a record that a crash interrupted,
// as opposed to a damaged one. Save syncs a record before it writes the next, so no
// other header follows a torn record.
func isTorn(at location, rest []byte, size int64, err error) bool {
	if !errors.Is(err, errTruncated) && !errors.Is(err, errChecksum) {
		return false
	}

	if size > 0 {
		return size >= int64(len(rest))
	}

	limit := headerBytes + MaxRecordBytes
	if at.offset == 0 {
		limit = maxSegmentHeaderBytes // a longer segment belongs to another replica or sequence number
	}

	if len(rest) > limit {
		return false
	}

	for skip := 1; skip < len(rest); skip++ {
		if isHeader(rest[skip:]) {
			return false
		}
	}

	return true
}

// openActive opens the last segment for appending, or the first one of a new
// directory. A crash during the creation of a segment leaves it empty.
//
// The last record may have been written by a process that was killed before it synced it.
// It counts as stored from now on, so it is synced here.
func (l *Log) openActive() error {
	if len(l.segments) == 0 {
		return l.createSegment(1)
	}

	current := l.segments[len(l.segments)-1]
	if current.size == 0 {
		l.segments = l.segments[:len(l.segments)-1]

		return l.createSegment(current.sequence)
	}

	active, err := l.files.Append(l.segmentPath(current.sequence))
	if err != nil {
		return newError("open", KindFiles, l.segmentPath(current.sequence), 0, err)
	}

	l.active = active

	if err := active.Sync(); err != nil {
		return newError("open", KindFiles, l.segmentPath(current.sequence), 0, err)
	}

	if err := l.files.SyncDirectory(l.directory); err != nil {
		return newError("open", KindFiles, l.directory, 0, err)
	}

	return nil
}

// createSegment starts a segment with a record that holds the hard state, so
// that older segments can be removed without losing it.
func (l *Log) createSegment(sequence uint64) error {
	name := l.segmentPath(sequence)
	hardState := l.replay.hardState

	header := &batch{HardState: &hardState, Marker: &snapshotMarker{Index: l.replay.snapshotIndex}}

	encoded, err := encodeRecord(l.location(sequence, 0), header)
	if err != nil {
		return newError("create", KindTooLarge, name, 0, err)
	}

	file, err := l.files.Append(name)
	if err != nil {
		return l.fail("create", name, err)
	}

	if err := l.write(file, name, encoded); err != nil {
		return errors.Join(err, file.Close())
	}

	if err := l.files.SyncDirectory(l.directory); err != nil {
		return errors.Join(l.fail("create", name, err), file.Close())
	}

	l.active = file
	l.segments = append(l.segments, segment{sequence: sequence, size: int64(len(encoded))})

	return nil
}

// rotate starts a new segment when the active one is full.
func (l *Log) rotate() error {
	current := l.segments[len(l.segments)-1]
	if current.size < l.segmentBytes {
		return nil
	}

	if err := l.active.Close(); err != nil {
		return l.fail("rotate", l.segmentPath(current.sequence), err)
	}

	return l.createSegment(current.sequence + 1)
}

// Compact removes the oldest segments whose entries are all covered by the saved
// snapshot, and the snapshots that a newer one has replaced.
func (l *Log) Compact() error {
	if l.failed != nil {
		return newError("compact", KindFailed, l.directory, 0, l.failed)
	}

	covered := l.replay.snapshotIndex
	for len(l.segments) > 1 && l.segments[0].lastIndex <= covered {
		name := l.segmentPath(l.segments[0].sequence)
		if err := l.files.Remove(name); err != nil {
			return l.fail("compact", name, err)
		}

		// A crash must never leave a gap between segments.
		if err := l.files.SyncDirectory(l.directory); err != nil {
			return l.fail("compact", l.directory, err)
		}

		l.segments = l.segments[1:]
	}

	return l.removeSnapshots(covered)
}
