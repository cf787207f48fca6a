package wal

import (
	"bytes"
	"testing"
)

// Guards against a crash or a large allocation caused by damaged bytes of a
// record, and against a record that decodes to something else than was written.
func FuzzDecodeRecord(f *testing.F) {
	at := place{replica: 7, sequence: 1, offset: 12}
	entries := []Entry{{Index: 5, Term: 2, Kind: EntryCommand, Data: []byte("command")}}

	for _, b := range []*batch{
		{HardState: &HardState{Term: 2, Vote: 7, Commit: 4}, Entries: entries},
		{Marker: &marker{Index: 9, Reset: true}},
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
		b, end, err := decodeRecord(at, encoded)
		if err != nil {
			// A valid header and checksum let the fuzzer reach the payload.
			if encoded, err = frame(at, encoded, MaxRecordBytes); err != nil {
				return
			}

			if b, end, err = decodeRecord(at, encoded); err != nil {
				return
			}
		}

		again, err := encodeRecord(at, b)
		if err != nil || end > int64(len(encoded)) {
			t.Fatalf("record of %d bytes decodes but does not encode: %v", end, err)
		}

		second, _, err := decodeRecord(at, again)
		if err != nil || len(second.Entries) != len(b.Entries) {
			t.Fatalf("record changes when it is encoded again: %v", err)
		}
	})
}

// Guards against the same for snapshot files, including trailing bytes.
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
			if encoded, err = frame(snapshotPlace, encoded, MaxSnapshotBytes); err != nil {
				return
			}

			if s, err = DecodeSnapshot(encoded); err != nil {
				return
			}
		}

		again, err := EncodeSnapshot(s)
		if err != nil {
			t.Fatal(err)
		}

		if second, err := DecodeSnapshot(again); err != nil || !bytes.Equal(second.Data, s.Data) {
			t.Fatalf("snapshot changes when it is encoded again: %v", err)
		}
	})
}
