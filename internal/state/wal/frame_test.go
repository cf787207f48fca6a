package wal_test

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/wal"
)

// cutFile takes one byte less than it gets, and reports no error.
type cutFile struct{ synced bool }

func (*cutFile) Write(data []byte) (int, error) { return len(data) - 1, nil }

func (c *cutFile) Sync() error {
	c.synced = true

	return nil
}

func (*cutFile) Close() error { return nil }

// TestWriteSync guards against a write that was cut short and counts as durable.
func TestWriteSync(t *testing.T) {
	is := is.New(t)
	file := &cutFile{}

	is.True(errors.Is(wal.WriteSync(file, []byte("batch")), io.ErrShortWrite))
	is.True(!file.synced)
}
