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

// Guards against an Open that panics or truncates silently on any contents of a
// segment: what is replayed must be contiguous behind the snapshot.
func FuzzReplay(f *testing.F) {
	f.Add(uint64(3), uint64(1), uint8(2), uint64(1), uint64(4), uint8(5), uint64(2), true)
	f.Add(uint64(0), uint64(1), uint8(4), uint64(1), uint64(2), uint8(1), uint64(2), false)
	f.Fuzz(func(t *testing.T, base, first uint64, count uint8, term, next uint64, more uint8, later uint64, reset bool) {
		var r replay

		r.start(&Snapshot{Index: base, Term: term})

		for _, b := range []*batch{
			{Entries: run(first, count, term)}, {Marker: &marker{Reset: reset}}, {Entries: run(next, more, later)},
		} {
			if r.apply(b) != nil {
				return
			}
		}

		for i, entry := range r.finish() {
			if entry.Index != base+uint64(i)+1 {
				t.Fatalf("entry %d at position %d behind snapshot %d", entry.Index, i, base)
			}
		}
	})
}

func run(first uint64, count uint8, term uint64) []Entry {
	var entries []Entry
	for i := range uint64(count) {
		entries = append(entries, Entry{Index: first + i, Term: term})
	}

	return entries
}
