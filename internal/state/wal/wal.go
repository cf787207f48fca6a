// Package wal keeps the durable state of one replica of the replicated log in a
// data directory: its identity, hard state, log entries and snapshot.
//
// The directory contains:
//
//   - identity: the random replica ID, the cluster ID and the generation;
//   - lock: held by the process that has the directory open;
//   - SEQUENCE.log: segments of records, numbered in hexadecimal from 1;
//   - INDEX.snapshot: the snapshot up to a log index in hexadecimal.
//
// Every Save writes one record and syncs it before it returns. Only the last
// record can therefore be torn by a crash; Open truncates it. A record that does
// not match its checksum and is followed by other data is refused with an error
// that names file and offset. The checksum covers the replica ID, the segment's
// sequence number and the offset, so that a misplaced record is detected.
//
// # Usage
//
//	log, err := wal.Open(directory)
//	stored := log.Stored() // input of raft.New
//	err = log.Save(hardState, entries)
//	err = log.SaveSnapshot(snapshot)
//	err = log.Compact()
//
// After a failed write or fsync every operation returns an error of KindFailed:
// the kernel may have dropped the unsynced pages, so that a repeated fsync could
// succeed although the data is lost. Reopening the directory reads what is on
// disk. A Log is not safe for concurrent use.
package wal

import (
	"errors"
	"io"
	"log/slog"
	"path/filepath"

	"jayspindle/internal/state/invariant"
)

const (
	defaultSegmentBytes = 4 << 20
	// MaxRecordBytes limits the size of a record, and so the memory that a damaged
	// length field can cause to be allocated.
	MaxRecordBytes = 16 << 20
	entryOverhead  = 32 // upper bound of the bytes of an encoded entry besides its data
)

// Option changes a default of Open.
type Option func(*Log)

// WithFiles replaces the file operations of the operating system.
func WithFiles(files Files) Option { return func(l *Log) { l.files = files } }

// WithSegmentBytes sets the size in bytes at which a segment is closed and a new
// one started.
func WithSegmentBytes(size int64) Option { return func(l *Log) { l.segmentBytes = size } }

// WithReplica sets the replica ID of a new data directory, which is random by
// default. An existing directory keeps its ID.
func WithReplica(replica ReplicaID) Option { return func(l *Log) { l.newReplica = replica } }

// Log is an open data directory.
type Log struct {
	files        Files
	directory    string
	segmentBytes int64
	newReplica   ReplicaID

	lock           io.Closer
	identity       Identity
	stored         Stored
	storedReturned bool // Stored was called
	replay         replay
	segments       []segment
	active         File
	failed         error
}

// segment describes one segment file.
type segment struct {
	sequence  uint64
	size      int64
	lastIndex uint64 // highest entry index in the segment
}

// Open creates or opens a data directory. The error kinds are KindLocked,
// KindPermission, KindCorrupt and KindFiles.
func Open(directory string, options ...Option) (*Log, error) {
	l := &Log{files: OS(), directory: directory, segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(l)
	}

	if err := l.open(); err != nil {
		if l.active != nil {
			err = errors.Join(err, l.active.Close())
		}

		if l.lock != nil {
			err = errors.Join(err, l.lock.Close())
		}

		return nil, err
	}

	return l, nil
}

func (l *Log) open() error {
	if err := l.files.MakeDirectory(l.directory); err != nil {
		return newError("open", KindPermission, l.directory, 0, err)
	}

	lock, err := l.files.Lock(l.path(lockName))
	if err != nil {
		return newError("open", KindLocked, l.path(lockName), 0, err)
	}

	l.lock = lock

	names, err := l.files.List(l.directory)
	if err != nil {
		return newError("open", KindFiles, l.directory, 0, err)
	}

	steps := []func([]string) error{l.removeTemporary, l.openIdentity, l.openSnapshot, l.openSegments}
	for _, step := range steps {
		if err := step(names); err != nil {
			return err
		}
	}

	interrupted := l.replay.snapshotIndex < l.stored.Snapshot.Index
	matched := l.replay.matched
	l.stored.Entries = l.replay.finish()
	l.stored.HardState = l.replay.hardState

	if err := l.openActive(); err != nil || !interrupted {
		return err
	}

	// Entries saved from now on must not be mistaken for those before the snapshot.
	return l.append("open", &batch{Marker: &snapshotMarker{Index: l.stored.Snapshot.Index, Reset: !matched}})
}

// Identity returns the identity of the replica.
func (l *Log) Identity() Identity { return l.identity }

// TakeStored returns the state that Open found, or the latest snapshot that was saved
// since in a directory without entries. Only the first call returns it, so that the
// log doesn't keep it in memory.
func (l *Log) TakeStored() Stored {
	stored := l.stored
	l.stored = Stored{}
	l.storedReturned = true

	return stored
}

// Save appends hard state and entries and syncs them, in one record unless the
// entries exceed half of MaxRecordBytes. The entries replace all stored entries
// from the index of the first one on. A nil hard state leaves the stored one
// unchanged.
//
// The hard state is in the last record: its commit index must not refer to
// entries that a crash could truncate.
func (l *Log) Save(hardState *HardState, entries []Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}

	for len(entries) > 0 {
		count := recordEntries(entries)
		if count == len(entries) {
			break
		}

		if err := l.append("save", &batch{Entries: entries[:count]}); err != nil {
			return err
		}

		entries = entries[count:]
	}

	return l.append("save", &batch{HardState: hardState, Entries: entries})
}

// recordEntries returns how many of the entries fit into one record.
func recordEntries(entries []Entry) int {
	size := 0

	for i, entry := range entries {
		size += len(entry.Data) + entryOverhead
		if size > MaxRecordBytes/2 && i > 0 {
			return i
		}
	}

	return len(entries)
}

func (l *Log) append(operation string, b *batch) error {
	if l.failed != nil {
		return newError(operation, KindFailed, l.directory, 0, l.failed)
	}

	if n := len(b.Entries); n > 0 {
		invariant.Assert(b.Entries[0].Index <= l.replay.last()+1, "wal: entries are contiguous",
			slog.Uint64("first", b.Entries[0].Index), slog.Uint64("last", l.replay.last()))
	}

	if err := l.rotate(); err != nil {
		return err
	}

	current := &l.segments[len(l.segments)-1]

	encoded, err := encodeRecord(l.location(current.sequence, current.size), b)
	if err != nil {
		return newError(operation, KindTooLarge, l.segmentPath(current.sequence), current.size, err)
	}

	if err := l.write(l.active, l.segmentPath(current.sequence), encoded); err != nil {
		return err
	}

	current.size += int64(len(encoded))
	l.replay.update(current, b)

	return nil
}

// write appends data to a file and syncs it. After a failure the log refuses all
// further writes.
func (l *Log) write(file File, name string, data []byte) error {
	if err := WriteSync(file, data); err != nil {
		return l.fail("write", name, err)
	}

	return nil
}

func (l *Log) fail(operation, name string, err error) error {
	l.failed = err

	return newError(operation, KindFailed, name, 0, err)
}

// Close releases the data directory. Everything saved is already durable.
func (l *Log) Close() error {
	l.failed = errors.New("the log is closed")

	return errors.Join(l.active.Close(), l.lock.Close())
}

func (l *Log) path(name string) string { return filepath.Join(l.directory, name) }
