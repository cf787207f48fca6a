package wal_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"jayspindle/internal/state/wal"
)

func openReal(b *testing.B, name string) *wal.Log {
	b.Helper()

	log, err := wal.Open(name)
	if err != nil {
		b.Fatal(err)
	}

	return log
}

func fatal(b *testing.B, err error) {
	b.Helper()

	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkSave measures one fsync per batch of entries.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			log := openReal(b, filepath.Join(b.TempDir(), "data"))

			for index := uint64(1); b.Loop(); index += batch {
				fatal(b, log.Save(nil, entries(index, batch, 1)))
			}

			fatal(b, log.Close())
		})
	}
}

// BenchmarkOpen measures a restart without a snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []uint64{1000, 10000} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			name := filepath.Join(b.TempDir(), "data")
			log := openReal(b, name)

			for index := uint64(1); index <= count; index += 10 {
				fatal(b, log.Save(nil, entries(index, 10, 1)))
			}

			fatal(b, log.Close())

			for b.Loop() {
				log := openReal(b, name)
				if len(log.Stored().Entries) != int(count) {
					b.Fatal("entries are missing")
				}

				fatal(b, log.Close())
			}
		})
	}
}

// BenchmarkSaveSnapshot measures a snapshot of 4 MiB, which is a full view of the
// present deployments many times over.
func BenchmarkSaveSnapshot(b *testing.B) {
	log := openReal(b, filepath.Join(b.TempDir(), "data"))
	data := make([]byte, 4<<20)

	b.SetBytes(int64(len(data)))

	for index := uint64(1); b.Loop(); index++ {
		fatal(b, log.SaveSnapshot(&wal.Snapshot{Index: index, Term: 1, Data: data}))
		fatal(b, log.Compact())
	}

	fatal(b, log.Close())
}
