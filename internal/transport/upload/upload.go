// Package upload reads the bodies of HTTP requests. A body may take long over a slow
// link, but has to make progress. A pause of the reading process is not held against its
// sender, and an error tells whether it says anything about the contents.
//
// # Usage
//
//	data, err := upload.Read(w, r, maxBytes)
//
//	var failed *upload.Error
//	if errors.As(err, &failed) && failed.Kind() == upload.KindInterrupted {
//		// The body is not known, so it cannot be judged.
//	}
//
// A server that uses it needs a ReadTimeout above MaxTime, or none.
package upload

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"jayspindle/internal/state/failure"
)

const (
	// IdleTimeout is how long a sender may send nothing: two retransmissions of a lost packet.
	IdleTimeout = 2 * time.Second

	// MaxTime limits the time of a whole body without pauses of this process, so that a
	// sender that trickles does not hold a connection forever.
	MaxTime = 30 * time.Second

	// pauseTolerance is how late a timer may fire before the process counts as paused. A
	// process that has used up its processor time waits for less.
	pauseTolerance = 250 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindTooLarge    Kind = "too large"   // the body exceeds the limit
	KindMalformed   Kind = "malformed"   // the body ends early or is not encoded as HTTP requires
	KindInterrupted Kind = "interrupted" // the body did not arrive, which says nothing about it
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(kind Kind, err error) *Error { return failure.New("upload", "read", kind, err) }

// Read returns the body of a request of at most maxBytes bytes.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	b := &body{reader: http.MaxBytesReader(w, r.Body, maxBytes), control: http.NewResponseController(w)}
	b.watch(time.Now())

	defer b.stop()

	data, err := io.ReadAll(b)
	if err != nil {
		return nil, newError(classify(err), err)
	}

	return data, nil
}

// body is a request body whose Read fails once no bytes have arrived for IdleTimeout.
type body struct {
	reader  io.Reader
	control *http.ResponseController

	mutex   sync.Mutex
	timer   *time.Timer
	due     time.Time // when the timer fires
	ends    time.Time // when the whole body has to be there
	stopped bool
}

func (b *body) watch(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.due, b.ends = now.Add(IdleTimeout), now.Add(MaxTime)
	b.timer = time.AfterFunc(IdleTimeout, b.expire)
}

// Read reads bytes of the body.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.reader.Read(buffer)
	if count > 0 {
		b.extend(time.Now())
	}

	return count, err //nolint:wrapcheck // io.EOF must stay as it is
}

// extend grants the sender another IdleTimeout, within the time for the whole body.
func (b *body) extend(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	if b.stopped {
		return
	}

	b.due = now.Add(IdleTimeout)
	if b.due.After(b.ends) {
		b.due = b.ends
	}

	b.timer.Reset(b.due.Sub(now))
}

// expire interrupts the reader. After a pause of the process the timer fires at once,
// although the bytes that have arrived meanwhile wait to be read.
func (b *body) expire() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	now := time.Now()

	switch late := now.Sub(b.due); {
	case b.stopped || late < 0: // it fired while Read extended the time
		return
	case late > pauseTolerance:
		b.due, b.ends = now.Add(IdleTimeout), b.ends.Add(late)
		b.timer.Reset(IdleTimeout)

		return
	}

	b.stopped = true

	if err := b.control.SetReadDeadline(now); err != nil {
		slog.Warn("could not interrupt an upload", "error", err)
	}
}

func (b *body) stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.stopped = true
	b.timer.Stop()
}

// classify returns the kind of an error of the reader.
func classify(err error) Kind {
	var (
		tooLarge *http.MaxBytesError
		failed   net.Error
	)

	switch {
	case errors.As(err, &tooLarge):
		return KindTooLarge
	case errors.As(err, &failed): // a timeout, or the connection was reset
		return KindInterrupted
	default:
		return KindMalformed
	}
}
