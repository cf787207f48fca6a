package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/wal"
	"jayspindle/internal/testing/disk"
	"jayspindle/internal/testing/soak"
)

const directory = "data"

func newDisk(seed uint64) *disk.Disk { return disk.New(rand.New(rand.NewPCG(seed, 1))) }

func open(t *testing.T, d *disk.Disk) *wal.Log {
	t.Helper()

	log, err := wal.Open(directory, wal.WithFiles(d), wal.WithSegmentBytes(512), wal.WithReplica(7))
	is.New(t).NoErr(err)

	return log
}

func entries(first, count, term uint64) []wal.Entry {
	result := make([]wal.Entry, count)
	for i := range result {
		result[i] = wal.Entry{Index: first + uint64(i), Term: term, Kind: wal.EntryCommand, Data: []byte("command")}
	}

	return result
}

// Guards against restoring entries that conflict with a snapshot: a crash after the
// snapshot file was renamed but before its marker was logged must not bring them
// back.
func TestInterruptedSnapshot(t *testing.T) {
	is := is.New(t)
	d := newDisk(4)
	log := open(t, d)
	snapshot := &wal.Snapshot{Index: 5, Term: 2}
	encoded, err := wal.EncodeSnapshot(snapshot)
	is.NoErr(err)
	is.NoErr(log.Save(nil, entries(1, 9, 1)))

	d.Limit(len(encoded))
	expectKind(t, log.SaveSnapshot(snapshot), wal.KindFailed)
	d.Limit(-1)

	for saved := range 3 {
		d.Crash()

		log := open(t, d)
		is.Equal(len(log.TakeStored().Entries), saved)
		is.NoErr(log.Save(nil, entries(uint64(6+saved), 1, 2)))
	}
}

func expectKind(t *testing.T, err error, kind wal.Kind) *wal.Error {
	t.Helper()

	var typed *wal.Error

	is := is.New(t)
	is.True(errors.As(err, &typed))
	is.Equal(typed.Kind(), kind)

	return typed
}

// model is the state that must be found after a restart.
type model struct {
	hardState wal.HardState
	snapshot  wal.Snapshot
	entries   []wal.Entry
}

func (m *model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m *model) save(hardState *wal.HardState, added []wal.Entry) {
	if hardState != nil {
		m.hardState = *hardState
	}

	if len(added) > 0 {
		m.entries = append(m.entries[:added[0].Index-m.snapshot.Index-1:added[0].Index-m.snapshot.Index-1], added...)
	}
}

func (m *model) install(s wal.Snapshot) {
	kept := []wal.Entry(nil)
	if s.Index <= m.last() && m.entries[s.Index-m.snapshot.Index-1].Term == s.Term {
		kept = m.entries[s.Index-m.snapshot.Index:]
	}

	m.snapshot, m.entries = s, kept
}

func (m *model) equals(s wal.Stored) bool {
	same := func(a, b wal.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && bytes.Equal(a.Data, b.Data)
	}

	return s.HardState == m.hardState && s.Snapshot.Index == m.snapshot.Index &&
		slices.EqualFunc(s.Entries, m.entries, same)
}

// randomOperation performs a random operation and returns the state after it.
func randomOperation(log *wal.Log, random *rand.Rand, m *model, term uint64) (*model, error) {
	after := &model{m.hardState, m.snapshot, slices.Clone(m.entries)}

	switch random.IntN(8) {
	case 0:
		s := wal.Snapshot{Index: m.snapshot.Index + 1 + random.Uint64N(uint64(len(m.entries))+5), Term: term}
		if s.Index <= m.last() && random.IntN(3) > 0 {
			s.Term = m.entries[s.Index-m.snapshot.Index-1].Term
		}

		after.install(s)

		return after, log.SaveSnapshot(&s)
	case 1:
		return after, log.Compact()
	default:
		first := m.snapshot.Index + 1 + random.Uint64N(uint64(len(m.entries))+1)
		added := entries(max(first, m.last()-min(m.last(), 3)+1), 1+random.Uint64N(4), term)

		if added[0].Index <= m.snapshot.Index || added[0].Index > m.last()+1 {
			added = nil
		}

		hardState := &wal.HardState{Term: term, Vote: wal.ReplicaID(random.Uint64())}
		after.save(hardState, added)

		return after, log.Save(hardState, added)
	}
}

// Guards against lost state, or state that was never saved, after a crash at any
// moment: full disks and failed syncs in the middle of an operation, torn and
// reordered writes, lost renames, compaction and conflicting snapshots.
func TestCrashes(t *testing.T) {
	soak.Run(t, 100, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := newDisk(seed)
		m := &model{}

		for term := uint64(1); term < 12; term++ {
			log := open(t, d)
			found := log.TakeStored()

			if !m.equals(found) {
				t.Fatalf("term %d: found %+v, want %+v", term, found, m)
			}

			var (
				err   error
				after *model
			)

			for range random.IntN(25) {
				if after, err = randomOperation(log, random, m, term); err != nil {
					t.Fatal(err)
				}

				m = after
			}

			if random.IntN(2) == 0 {
				d.Limit(random.IntN(100))
			} else {
				d.FailSyncs(true)
			}

			if after, err = randomOperation(log, random, m, term); err == nil {
				m = after
			} else {
				expectKind(t, err, wal.KindFailed)
			}

			d.Crash()
			d.Limit(-1)
			d.FailSyncs(false)

			// The writes of a failed operation may have reached the disk.
			if err != nil {
				if log := open(t, d); after.equals(log.TakeStored()) {
					m = after
				}

				d.Crash()
			}
		}
	})
}

// Guards against entries that a killed process has written but not synced: a replica
// that read them after its restart and confirmed them lost them with the next loss of
// power.
func TestKilledDuringSync(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		d := newDisk(seed)

		log := open(t, d)
		is.NoErr(log.Save(&wal.HardState{Term: 1}, entries(1, 1, 1)))
		d.FailSyncs(true)
		is.True(log.Save(nil, entries(2, 1, 1)) != nil)
		is.NoErr(log.Close())
		d.FailSyncs(false)

		log = open(t, d)
		found := log.TakeStored()
		is.NoErr(log.Close())
		d.Crash()
		is.Equal(open(t, d).TakeStored(), found)
	}
}

// Guards against open files that accumulate while a full disk is opened again and again.
func TestOpenOnFullDisk(t *testing.T) {
	is := is.New(t)
	d := newDisk(1)
	snapshot := &wal.Snapshot{Index: 2, Term: 1, Data: []byte("state")}
	encoded, err := wal.EncodeSnapshot(snapshot)
	is.NoErr(err)

	// The snapshot is stored, but not the record that refers to it.
	log := open(t, d)
	is.NoErr(log.Save(&wal.HardState{Term: 1}, entries(1, 2, 1)))
	d.Limit(len(encoded))
	is.True(log.SaveSnapshot(snapshot) != nil)
	is.NoErr(log.Close())

	for range 3 {
		_, err := wal.Open(directory, wal.WithFiles(d))
		is.True(err != nil)
		is.Equal(d.OpenFiles(), 0)
	}

	d.Limit(-1)
	is.NoErr(open(t, d).Close())
}

// newFilledDisk returns a disk with four entries, the name of their segment and the
// offset at which each record ends.
func newFilledDisk(t *testing.T) (*disk.Disk, string, []int) {
	t.Helper()

	d := newDisk(1)
	log := open(t, d)
	name := filepath.Join(directory, "0000000000000001.log")
	recordEnds := []int{len(d.Contents(name))}

	for i := range uint64(4) {
		is.New(t).NoErr(log.Save(nil, entries(i+1, 1, 1)))
		recordEnds = append(recordEnds, len(d.Contents(name)))
	}

	is.New(t).NoErr(log.Close())

	return d, name, recordEnds
}

// Guards against acknowledged entries that are lost silently: a flipped bit before
// the last record must be refused with an error that names file and offset, and not
// be truncated.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	d, name, recordEnds := newFilledDisk(t)
	intact := slices.Clone(d.Contents(name))

	for offset := range recordEnds[3] {
		damaged := slices.Clone(intact)
		damaged[offset] ^= 0x10
		d.Replace(name, damaged)

		_, err := wal.Open(directory, wal.WithFiles(d))
		typed := expectKind(t, err, wal.KindCorrupt)
		is.Equal(typed.File(), name)
		is.True(typed.Offset() <= int64(offset))
	}
}

// Guards against a restart that fails because the last write was torn.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	d, name, recordEnds := newFilledDisk(t)
	intact := slices.Clone(d.Contents(name))

	for size := recordEnds[3]; size < recordEnds[4]; size++ {
		d.Replace(name, slices.Clone(intact[:size]))

		log := open(t, d)
		is.Equal(len(log.TakeStored().Entries), 3)
		is.NoErr(log.Save(nil, entries(4, 1, 2)))
		is.NoErr(log.Close())
	}
}

// Guards against records or segments that are intact but belong to another position
// or replica.
func TestMisplacedRecordsAreRefused(t *testing.T) {
	d, name, recordEnds := newFilledDisk(t)
	intact := slices.Clone(d.Contents(name))

	t.Run("segment of another replica", func(t *testing.T) {
		other := newDisk(2)
		log, err := wal.Open(directory, wal.WithFiles(other), wal.WithReplica(8))
		is.New(t).NoErr(err)
		is.New(t).NoErr(log.Close())
		other.Replace(name, slices.Clone(intact))

		_, err = wal.Open(directory, wal.WithFiles(other))
		expectKind(t, err, wal.KindCorrupt)
	})

	// If the next-to-last record is missing, the last one could be mistaken for a
	// torn record.
	for missing := range 4 {
		t.Run(fmt.Sprintf("missing record %d", missing), func(t *testing.T) {
			start := slices.Concat([]int{0}, recordEnds)[missing]
			d.Replace(name, slices.Concat(intact[:start], intact[recordEnds[missing]:]))

			_, err := wal.Open(directory, wal.WithFiles(d))
			expectKind(t, err, wal.KindCorrupt)
		})
	}
}

// Guards against a retried fsync that reports success for lost pages.
func TestFailedSyncIsFinal(t *testing.T) {
	d := newDisk(3)
	log := open(t, d)

	d.FailSyncs(true)
	expectKind(t, log.Save(nil, entries(1, 1, 1)), wal.KindFailed)
	d.FailSyncs(false)
	expectKind(t, log.Save(nil, entries(1, 1, 1)), wal.KindFailed)
	expectKind(t, log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1}), wal.KindFailed)
}

// Guards against two processes that use one directory, a directory that others can
// read, a replica that changes its group, and against differences between simulated
// and real files.
func TestOperatingSystem(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "data")
	log, err := wal.Open(name)
	is.NoErr(err)

	info, err := os.Stat(name)
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(0o700))

	_, err = wal.Open(name)
	expectKind(t, err, wal.KindLocked)

	is.NoErr(log.Join(5, 1))
	expectKind(t, log.Join(6, 1), wal.KindIdentity)
	is.NoErr(log.Save(&wal.HardState{Term: 3, Commit: 2}, entries(1, 9, 3)))
	is.NoErr(log.SaveSnapshot(&wal.Snapshot{Index: 4, Term: 3, Data: []byte("state")}))
	is.NoErr(log.Compact())
	identity := log.Identity()
	is.NoErr(log.Close())

	log, err = wal.Open(name)
	is.NoErr(err)
	is.Equal(log.Identity(), identity)
	is.True(identity.Replica != 0)

	stored := log.TakeStored()
	is.Equal(stored.Snapshot.Data, []byte("state"))
	is.Equal(len(stored.Entries), 5)
	is.NoErr(log.Close())

	is.NoErr(os.Chmod(name, 0o755))
	_, err = wal.Open(name)
	expectKind(t, err, wal.KindPermission)
}
