package logline_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/program/logline"
)

// TestLimit guards against a flood of refused packets whose log lines take more
// processor time than the decisions.
func TestLimit(t *testing.T) {
	is := is.New(t)

	var output bytes.Buffer

	lines := logline.New(&output, slog.LevelInfo)
	logger := slog.New(lines.Handler())

	for range 10_000 {
		logger.Info("refused")
	}

	lines.Close()

	written := strings.Count(output.String(), "\n")
	is.True(written > 100 && written < 1000)
	is.Equal(uint64(10_000-written), lines.Dropped())
}

// TestSlowReader guards against a process that waits for the reader of its log.
func TestSlowReader(t *testing.T) {
	reader, writer := io.Pipe()
	lines := logline.New(writer, slog.LevelInfo)
	logger := slog.New(lines.Handler())

	for range 1000 {
		logger.Info("refused") // must not block although nothing reads the pipe
	}

	is.New(t).NoErr(reader.Close())
	lines.Close()
}
