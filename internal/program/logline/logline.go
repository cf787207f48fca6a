// Package logline writes structured log lines that cost a bounded share of a
// process: no more lines a second than a limit, and no wait for a reader.
//
// # Usage
//
//	lines := logline.New(os.Stdout, slog.LevelInfo)
//	logger := slog.New(lines.Handler())
//	defer lines.Close()
//
// Lines beyond the limit, and lines for which there is no room while the reader
// is slow, are dropped and counted. The next line that is written says how many
// were dropped before it.
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
	// linesPerSecond is what an on-call engineer can still read, and about 0.1%
	// of a core.
	linesPerSecond = 100

	// burstLines is the lines of a restart or of a fault that hits many flows.
	burstLines = 300

	// bufferLines is the lines that wait for a slow reader, about 100 KB.
	bufferLines = 512
)

// Lines is a bounded log.
type Lines struct {
	limiter *rate.Limiter
	buffer  chan []byte
	dropped atomic.Uint64 // since the last line that was written
	total   atomic.Uint64
	level   slog.Level
	output  io.Writer
	done    sync.WaitGroup
	closing sync.Once
}

// New returns a log that writes to the output.
func New(output io.Writer, level slog.Level) *Lines {
	l := &Lines{
		limiter: rate.NewLimiter(linesPerSecond, burstLines), buffer: make(chan []byte, bufferLines),
		level: level, output: output,
	}

	l.done.Go(l.write)

	return l
}

// Dropped returns the number of lines dropped so far.
func (l *Lines) Dropped() uint64 { return l.total.Load() }

// Handler returns the handler for a logger.
func (l *Lines) Handler() slog.Handler {
	return &handler{lines: l, inner: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: l.level})}
}

// Close writes the lines that wait. No line may be logged afterwards.
func (l *Lines) Close() {
	l.closing.Do(func() { close(l.buffer) })
	l.done.Wait()
}

// Write takes one formatted line.
func (l *Lines) Write(line []byte) (int, error) {
	select {
	case l.buffer <- append([]byte(nil), line...):
	default:
		l.drop()
	}

	return len(line), nil
}

func (l *Lines) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

// write passes lines on. A reader that is gone must not stop the process.
func (l *Lines) write() {
	for line := range l.buffer {
		if _, err := l.output.Write(line); err != nil {
			l.drop()
		}
	}
}

// handler formats the lines that are within the limit.
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

	h.lines.drop()

	return false
}

func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if dropped := h.lines.dropped.Swap(0); dropped > 0 {
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
