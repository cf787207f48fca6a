package wal

import (
	"bytes"
	"testing"
)

// Guards against a crash or a large allocation caused by a damaged record, and
// against a record that decodes to something other than what was written.
func FuzzDecodeRecord(f *testing.F) {
	at := location{replica: 7, sequence: 1, offset: 12}
	entries := []Entry{{Index: 5, Term: 2, Kind: EntryCommand, Data: []byte("command")}}

	for _, b := range []*batch{
		{HardState: &HardState{Term: 2, Vote: 7, Commit: 4}, Entries: entries},
		{Marker: &snapshotMarker{Index: 9, Reset: true}},
	} {
		encoded, err := encodeRecord(at, b)
		if err != nil {
			f.Fatal(err)
		}

		f.Add(encoded)
		f.Add(encoded[headerBytes:])
		f.Add(encoded[:len(encoded)-1])
	}

	f.Fuzz(func(t *testing.T, encoded []byte) {
		b, size, err := decodeRecord(at, encoded)
		if err != nil {
			// A valid header and checksum let the fuzzer reach the payload.
			if encoded, err = frame(at, encoded, MaxRecordBytes); err != nil {
				return
			}

			if b, size, err = decodeRecord(at, encoded); err != nil {
				return
			}
		}

		reencoded, err := encodeRecord(at, b)
		if err != nil || size > int64(len(encoded)) {
			t.Fatalf("record of %d bytes decodes but does not encode: %v", size, err)
		}

		redecoded, _, err := decodeRecord(at, reencoded)
		if err != nil || len(redecoded.Entries) != len(b.Entries) {
			t.Fatalf("record changes when it is encoded again: %v", err)
		}
	})
}

// Guards against the same faults in snapshot files, including trailing bytes.
func FuzzDecodeSnapshot(f *testing.F) {
	encoded, err := EncodeSnapshot(&Snapshot{Index: 9, Term: 2, Members: []Member{{ID: 7}}, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}

	f.Add(encoded)
	f.Add(encoded[headerBytes:])
	f.Add(append(encoded, 0))
	f.Add(encoded[:len(encoded)-1])
	f.Fuzz(func(t *testing.T, encoded []byte) {
		s, err := DecodeSnapshot(encoded)
		if err != nil {
			if encoded, err = frame(snapshotLocation, encoded, MaxSnapshotBytes); err != nil {
				return
			}

			if s, err = DecodeSnapshot(encoded); err != nil {
				return
			}
		}

		reencoded, err := EncodeSnapshot(s)
		if err != nil {
			t.Fatal(err)
		}

		if redecoded, err := DecodeSnapshot(reencoded); err != nil || !bytes.Equal(redecoded.Data, s.Data) {
			t.Fatalf("snapshot changes when it is encoded again: %v", err)
		}
	})
}
