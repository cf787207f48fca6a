package wal_test

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/wal"
)

// shortWriteFile writes one byte less than requested and reports no error.
type shortWriteFile struct{ synced bool }

func (*shortWriteFile) Write(data []byte) (int, error) { return len(data) - 1, nil }

func (f *shortWriteFile) Sync() error {
	f.synced = true

	return nil
}

func (*shortWriteFile) Close() error { return nil }

// TestWriteSync guards against a short write that is treated as durable.
func TestWriteSync(t *testing.T) {
	is := is.New(t)
	file := &shortWriteFile{}

	is.True(errors.Is(wal.WriteSync(file, []byte("batch")), io.ErrShortWrite))
	is.True(!file.synced)
}
