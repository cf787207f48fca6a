package wal

import (
	"fmt"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
)

const (
	snapshotSuffix = ".snapshot"
	// MaxSnapshotBytes bounds an encoded snapshot.
	MaxSnapshotBytes = 256 << 20
)

// snapshotPlace seeds the checksum of a snapshot file, which any replica reads.
var snapshotPlace = place{}

// EncodeSnapshot returns the contents of a snapshot file.
func EncodeSnapshot(snapshot *Snapshot) ([]byte, error) {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, err
	}

	return frame(snapshotPlace, payload, MaxSnapshotBytes)
}

// DecodeSnapshot reads the contents of a snapshot file. The error says that the
// bytes are cut off, damaged or followed by others.
func DecodeSnapshot(encoded []byte) (*Snapshot, error) {
	payload, end, err := unframe(snapshotPlace, encoded, MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}

	if end != int64(len(encoded)) {
		return nil, fmt.Errorf("%w: %d bytes follow the snapshot", errChecksum, int64(len(encoded))-end)
	}

	snapshot := new(Snapshot)
	if err := decoding.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("snapshot does not decode: %w", err)
	}

	return snapshot, nil
}

func (l *Log) snapshotPath(index uint64) string {
	return l.path(fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

func (l *Log) openSnapshot(names []string) error {
	indexes := numbered(names, snapshotSuffix)
	if len(indexes) == 0 {
		return nil
	}

	newest := indexes[len(indexes)-1]
	name := l.snapshotPath(newest)

	encoded, err := l.files.Read(name)
	if err != nil {
		return newError("open", KindFiles, name, 0, err)
	}

	snapshot, err := DecodeSnapshot(encoded)
	if err == nil && snapshot.Index != newest {
		err = fmt.Errorf("snapshot ends at index %d", snapshot.Index)
	}

	if err != nil {
		return newError("open", KindCorrupt, name, 0, err)
	}

	l.stored.Snapshot = *snapshot

	return nil
}

// SaveSnapshot makes a snapshot durable. Log entries up to its index are then
// covered; the entries behind it are kept if the log contains its last entry
// and dropped otherwise. A snapshot older than the saved one is ignored.
func (l *Log) SaveSnapshot(snapshot *Snapshot) error {
	if l.failed != nil {
		return newError("snapshot", KindFailed, l.directory, 0, l.failed)
	}

	if snapshot.Index <= l.replay.marker {
		return nil
	}

	name := l.snapshotPath(snapshot.Index)

	encoded, err := EncodeSnapshot(snapshot)
	if err != nil {
		return newError("snapshot", KindTooLarge, name, 0, err)
	}

	if err := l.replaceFile(name, encoded); err != nil {
		return err
	}

	saved := &marker{Index: snapshot.Index, Reset: !l.replay.contains(snapshot.Index, snapshot.Term)}
	if err := l.append("snapshot", &batch{Marker: saved}); err != nil {
		return err
	}

	if saved.Reset {
		l.replay.terms = nil
	}

	l.replay.compact(snapshot.Index, snapshot.Term)

	if !l.taken && len(l.stored.Entries) == 0 {
		l.stored.Snapshot = *snapshot
	}

	return nil
}

// removeSnapshots removes the snapshots that precede the one at index.
func (l *Log) removeSnapshots(index uint64) error {
	names, err := l.files.List(l.directory)
	if err != nil {
		return newError("compact", KindFiles, l.directory, 0, err)
	}

	for _, older := range numbered(names, snapshotSuffix) {
		if older >= index {
			continue
		}

		if err := l.files.Remove(l.snapshotPath(older)); err != nil {
			return l.fail("compact", l.snapshotPath(older), err)
		}
	}

	return nil
}

// replaceFile replaces a file of the directory. A failure ends the log.
func (l *Log) replaceFile(name string, data []byte) error {
	if err := Replace(l.files, l.directory, filepath.Base(name), data); err != nil {
		return l.fail("replace", name, err)
	}

	return nil
}
