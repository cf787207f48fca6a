package wal

import (
	"fmt"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
)

const (
	snapshotSuffix = ".snapshot"
	// MaxSnapshotBytes limits the size of an encoded snapshot.
	MaxSnapshotBytes = 256 << 20
)

// snapshotLocation seeds the checksum of a snapshot file. It is the same for every
// replica, because any of them may read the file.
var snapshotLocation = location{}

// EncodeSnapshot returns the contents of a snapshot file.
func EncodeSnapshot(snapshot *Snapshot) ([]byte, error) {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, err
	}

	return frame(snapshotLocation, payload, MaxSnapshotBytes)
}

// DecodeSnapshot decodes the contents of a snapshot file. It returns an error if
// the data is truncated, damaged or followed by other bytes.
func DecodeSnapshot(encoded []byte) (*Snapshot, error) {
	payload, size, err := unframe(snapshotLocation, encoded, MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}

	if size != int64(len(encoded)) {
		return nil, fmt.Errorf("%w: %d bytes follow the snapshot", errChecksum, int64(len(encoded))-size)
	}

	snapshot := new(Snapshot)
	if err := decMode.Unmarshal(payload, snapshot); err != nil {
		return nil, fmt.Errorf("decoding snapshot: %w", err)
	}

	return snapshot, nil
}

func (l *Log) snapshotPath(index uint64) string {
	return l.path(fmt.Sprintf("%016x%s", index, snapshotSuffix))
}

func (l *Log) openSnapshot(names []string) error {
	indexes := parseNumbers(names, snapshotSuffix)
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

// SaveSnapshot makes a snapshot durable. It covers the log entries up to its index;
// the entries after it are kept if the log contains the snapshot's last entry and
// dropped otherwise. A snapshot that is not newer than the saved one is ignored.
func (l *Log) SaveSnapshot(snapshot *Snapshot) error {
	if l.failed != nil {
		return newError("snapshot", KindFailed, l.directory, 0, l.failed)
	}

	if snapshot.Index <= l.replay.snapshotIndex {
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

	saved := &snapshotMarker{Index: snapshot.Index, Reset: !l.replay.contains(snapshot.Index, snapshot.Term)}
	if err := l.append("snapshot", &batch{Marker: saved}); err != nil {
		return err
	}

	if saved.Reset {
		l.replay.terms = nil
	}

	l.replay.compact(snapshot.Index, snapshot.Term)

	if !l.storedReturned && len(l.stored.Entries) == 0 {
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

	for _, older := range parseNumbers(names, snapshotSuffix) {
		if older >= index {
			continue
		}

		if err := l.files.Remove(l.snapshotPath(older)); err != nil {
			return l.fail("compact", l.snapshotPath(older), err)
		}
	}

	return nil
}

// replaceFile replaces a file of the directory. After a failure the log refuses all
// further writes.
func (l *Log) replaceFile(name string, data []byte) error {
	if err := ReplaceFile(l.files, l.directory, filepath.Base(name), data); err != nil {
		return l.fail("replace", name, err)
	}

	return nil
}
