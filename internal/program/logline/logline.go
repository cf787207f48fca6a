// Package logline writes structured log lines at a bounded cost: the number of
// lines per second is limited, and logging never waits for a slow reader.
//
// # Usage
//
//	lines := logline.New(os.Stdout, slog.LevelInfo)
//	logger := slog.New(lines.Handler())
//	defer lines.Close()
//
// Lines beyond the limit, and lines that do not fit into the buffer because the
// reader is slow, are dropped and counted. The next line that is written states
// how many were dropped before it.
package logline

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is as much as an on-call engineer can still read, and takes
	// about 0.1% of a core.
	linesPerSecond = 100

	// burstLines allows for a restart, or for a fault that affects many flows.
	burstLines = 300

	// bufferLines is the number of lines buffered for a slow reader, about 100 KB.
	bufferLines = 512
)

// Lines is a log with a rate limit and a bounded buffer.
type Lines struct {
	limiter      *rate.Limiter
	buffer       chan []byte
	unreported   atomic.Uint64 // lines dropped since the last line that was written
	totalDropped atomic.Uint64
	level        slog.Level
	output       io.Writer
	writer       sync.WaitGroup
	closeOnce    sync.Once
}

// New returns a log that writes to the output in its own goroutine.
func New(output io.Writer, level slog.Level) *Lines {
	l := &Lines{
		limiter: rate.NewLimiter(linesPerSecond, burstLines), buffer: make(chan []byte, bufferLines),
		level: level, output: output,
	}

	l.writer.Go(l.writeLines)

	return l
}

// Dropped returns the number of lines dropped so far.
func (l *Lines) Dropped() uint64 { return l.totalDropped.Load() }

// Handler returns the handler for a logger.
func (l *Lines) Handler() slog.Handler {
	return &handler{lines: l, inner: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: l.level})}
}

// Close writes the buffered lines. No line may be logged afterwards.
func (l *Lines) Close() {
	l.closeOnce.Do(func() { close(l.buffer) })
	l.writer.Wait()
}

// Write buffers one formatted line, or drops it if the buffer is full.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.buffer <- append([]byte(nil), line...):
	default:
		l.countDropped()
	}

	return len(line), nil
}

func (l *Lines) countDropped() {
	l.unreported.Add(1)
	l.totalDropped.Add(1)
}

// writeLines writes the buffered lines to the output. A failed write, for example
// after the reader has exited, counts as a dropped line and must not stop the
// process.
func (l *Lines) writeLines() {
	for line := range l.buffer {
		if _, err := l.output.Write(line); err != nil {
			l.countDropped()
		}
	}
}

// handler formats the lines that are within the rate limit.
type handler struct {
	lines *Lines
	inner slog.Handler
}

func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	if level < h.lines.level {
		return false
	}

	if h.lines.limiter.Allow() {
		return true
	}

	h.lines.countDropped()

	return false
}

func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if dropped := h.lines.unreported.Swap(0); dropped > 0 {
		record.AddAttrs(slog.Uint64("dropped_lines", dropped))
	}

	return h.inner.Handle(ctx, record)
}

func (h *handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &handler{lines: h.lines, inner: h.inner.WithAttrs(attributes)}
}

func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{lines: h.lines, inner: h.inner.WithGroup(name)}
}
