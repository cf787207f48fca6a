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
	made := make([]wal.Entry, count)
	for i := range made {
		made[i] = wal.Entry{Index: first + uint64(i), Term: term, Kind: wal.EntryCommand, Data: []byte("command")}
	}

	return made
}

// Guards against entries that a snapshot contradicts: a crash after the snapshot
// was renamed but before the log says so must not bring them back.
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
		is.Equal(len(log.Stored().Entries), saved)
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

// model is what must be found after a restart.
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

// step does one random operation and returns the state after it.
func step(log *wal.Log, random *rand.Rand, m *model, term uint64) (*model, error) {
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

// Guards against lost or invented state after a crash at any moment: full disks
// and failed syncs in the middle of an operation, torn and reordered writes,
// lost renames, compaction and conflicting snapshots.
func TestCrashes(t *testing.T) {
	soak.Run(t, 100, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		d := newDisk(seed)
		m := &model{}

		for term := uint64(1); term < 12; term++ {
			log := open(t, d)
			found := log.Stored()

			if !m.equals(found) {
				t.Fatalf("term %d: found %+v, want %+v", term, found, m)
			}

			var (
				err   error
				after *model
			)

			for range random.IntN(25) {
				if after, err = step(log, random, m, term); err != nil {
					t.Fatal(err)
				}

				m = after
			}

			if random.IntN(2) == 0 {
				d.Limit(random.IntN(100))
			} else {
				d.FailSyncs(true)
			}

			if after, err = step(log, random, m, term); err == nil {
				m = after
			} else {
				expectKind(t, err, wal.KindFailed)
			}

			d.Crash()
			d.Limit(-1)
			d.FailSyncs(false)

			// What a failed operation wrote may have reached the disk.
			if err != nil {
				if log := open(t, d); after.equals(log.Stored()) {
					m = after
				}

				d.Crash()
			}
		}
	})
}

// filled returns a disk with four entries, the name of their segment and the
// offset behind each record.
func filled(t *testing.T) (*disk.Disk, string, []int) {
	t.Helper()

	d := newDisk(1)
	log := open(t, d)
	name := filepath.Join(directory, "0000000000000001.log")
	ends := []int{len(d.Contents(name))}

	for i := range uint64(4) {
		is.New(t).NoErr(log.Save(nil, entries(i+1, 1, 1)))
		ends = append(ends, len(d.Contents(name)))
	}

	is.New(t).NoErr(log.Close())

	return d, name, ends
}

// Guards against acknowledged entries that vanish silently: a flipped bit in any
// byte before the last record must be refused with the place, not truncated.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	is := is.New(t)
	d, name, ends := filled(t)
	intact := slices.Clone(d.Contents(name))

	for offset := range ends[3] {
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
	d, name, ends := filled(t)
	intact := slices.Clone(d.Contents(name))

	for size := ends[3]; size < ends[4]; size++ {
		d.Replace(name, slices.Clone(intact[:size]))

		log := open(t, d)
		is.Equal(len(log.Stored().Entries), 3)
		is.NoErr(log.Save(nil, entries(4, 1, 2)))
		is.NoErr(log.Close())
	}
}

// Guards against records or segments that are valid in themselves but belong to
// another place or replica.
func TestMisplacedRecordsAreRefused(t *testing.T) {
	d, name, ends := filled(t)
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

	// A missing next-to-last record leaves a record that could be mistaken for a
	// torn one.
	for missing := range 4 {
		t.Run(fmt.Sprintf("missing record %d", missing), func(t *testing.T) {
			start := slices.Concat([]int{0}, ends)[missing]
			d.Replace(name, slices.Concat(intact[:start], intact[ends[missing]:]))

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

// Guards against two processes on one directory, readable state, a replica that
// changes its group, and against a difference between simulated and real files.
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

	stored := log.Stored()
	is.Equal(stored.Snapshot.Data, []byte("state"))
	is.Equal(len(stored.Entries), 5)
	is.NoErr(log.Close())

	is.NoErr(os.Chmod(name, 0o755))
	_, err = wal.Open(name)
	expectKind(t, err, wal.KindPermission)
}
