package wal_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/wal"
)

// TestWithoutModes guards against a replica that cannot start on a file system
// that does not store permissions.
func TestWithoutModes(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "data")
	is.NoErr(os.Mkdir(directory, 0o755))

	_, err := wal.Open(directory)
	is.True(err != nil)

	log, err := wal.Open(directory, wal.WithFiles(wal.WithoutModes()))
	is.NoErr(err)
	is.NoErr(log.Close())
}
