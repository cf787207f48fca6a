package wal_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/wal"
)

func openOnDisk(b *testing.B, name string) *wal.Log {
	log, err := wal.Open(name)
	is.New(b).NoErr(err)

	return log
}

// BenchmarkOpen measures a restart without a snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []uint64{1000, 10000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			is := is.New(b)
			name := filepath.Join(b.TempDir(), "data")
			log := openOnDisk(b, name)

			for index := uint64(1); index <= count; index += 10 {
				is.NoErr(log.Save(nil, entries(index, 10, 1)))
			}

			is.NoErr(log.Close())

			for b.Loop() {
				log := openOnDisk(b, name)
				is.Equal(len(log.TakeStored().Entries), int(count))
				is.NoErr(log.Close())
			}
		})
	}
}

// BenchmarkSaveSnapshot measures a snapshot of 4 MiB, which is many times the size
// of a full view in current deployments.
func BenchmarkSaveSnapshot(b *testing.B) {
	is := is.New(b)
	log := openOnDisk(b, filepath.Join(b.TempDir(), "data"))
	data := make([]byte, 4<<20)

	b.SetBytes(int64(len(data)))

	for index := uint64(1); b.Loop(); index++ {
		is.NoErr(log.SaveSnapshot(&wal.Snapshot{Index: index, Term: 1, Data: data}))
		is.NoErr(log.Compact())
	}

	is.NoErr(log.Close())
}
