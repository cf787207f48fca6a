package agent

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/peer"
)

const (
	// drainingComment announces on a feed that the agent will stop. Readers of
	// server-sent events ignore comments unless they know this one.
	drainingComment = ": draining\n\n"
	// maxEvent bounds one server-sent event in bytes.
	maxEvent = 1 << 20
	// resumePause is the pause before a feed is resumed at another backend server.
	// It doubles up to maxResumePause while no event arrives: a backend server
	// that ends every feed at once would otherwise get as many as it can refuse.
	resumePause    = 50 * time.Millisecond
	maxResumePause = time.Second
	// resumeTimeout bounds the wait for the first byte of a resumed feed.
	resumeTimeout = 2 * time.Second
)

// feeds keeps the feeds of callers open while backend servers come and go.
type feeds struct {
	placer  *placer
	logger  *slog.Logger
	drained chan struct{}
	ended   chan struct{}
}

func newFeeds(placer *placer, logger *slog.Logger) *feeds {
	return &feeds{placer: placer, logger: logger, drained: make(chan struct{}), ended: make(chan struct{})}
}

// drain announces to all callers that the agent will stop.
func (f *feeds) drain() { close(f.drained) }

// end ends all feeds between two events, so that callers can resume.
func (f *feeds) end() { close(f.ended) }

// serve copies events to the caller until the caller leaves. When a backend
// server ends its feed, another one resumes it after the last event.
func (f *feeds) serve(ctx context.Context, response http.ResponseWriter, c *call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stream := &eventWriter{response: response, last: c.header.Get(headerLastEvent)}

	for wait := resumePause; ; wait = min(2*wait, maxResumePause) {
		before := stream.written
		outcome := f.placer.placeNear(ctx, c)

		switch {
		case outcome.state == peer.Answered && outcome.status == http.StatusOK:
			f.count(stream)
			stream.start(outcome)
			f.copy(ctx, stream, outcome.body)
		case !f.failed(response, stream, outcome):
			return
		}

		if stream.written > before {
			wait = resumePause
		}

		if ctx.Err() != nil || closed(f.ended) || !pause(ctx, wait) {
			return
		}

		c.deadline = time.Now().Add(resumeTimeout)

		if stream.last != "" {
			c.header.Set(headerLastEvent, stream.last)
		}
	}
}

// count counts a feed that a backend server has started.
func (*feeds) count(stream *eventWriter) {
	switch {
	case stream.started:
		feedEvents.Add("moved to another backend server", 1)
	case stream.last != "":
		feedEvents.Add("resumed by a caller", 1)
	default:
		feedEvents.Add("opened", 1)
	}
}

// failed handles a feed that did not start. It reports whether to try again,
// which is the case once the caller has received the start of the feed, unless
// a backend server answers that it cannot be resumed: the caller then learns
// why when it asks itself.
func (f *feeds) failed(response http.ResponseWriter, stream *eventWriter, outcome *result) bool {
	if outcome.state == peer.Answered {
		defer outcome.body.Close()
	}

	feedEvents.Add("not started: "+outcome.state.String(), 1)

	if stream.started {
		if outcome.state == peer.Answered && outcome.status < http.StatusInternalServerError {
			f.logger.Warn("feed ended, it cannot be resumed", "status", outcome.status)

			return false
		}

		f.logger.Warn("feed not resumed yet", "outcome", outcome.state.String(), "reason", outcome.reason)

		return true
	}

	if outcome.state != peer.Answered {
		countFailure(outcome)
		refuse(response, http.StatusServiceUnavailable, outcome.reason)

		return false
	}

	for name, values := range outcome.header {
		response.Header()[name] = values
	}

	response.WriteHeader(outcome.status)

	if _, err := io.Copy(response, outcome.body); err != nil {
		panic(http.ErrAbortHandler) // a part must not pass for the whole
	}

	return false
}

// copy copies whole events until the backend server or the caller ends the
// feed, or the agent stops.
func (f *feeds) copy(ctx context.Context, stream *eventWriter, body io.ReadCloser) {
	ctx, cancel := context.WithCancel(ctx)
	reader := make(chan []byte)

	var group conc.WaitGroup

	group.Go(func() {
		if err := readEvents(ctx, body, reader); err != nil {
			f.logger.Info("feed of a backend server broke off", "cause", err)
		}
	})

	defer func() {
		cancel()

		_ = body.Close()

		group.Wait()
	}()

	announced := f.drained

	for {
		select {
		case event, ok := <-reader:
			if !ok || !stream.write(event) {
				return
			}
		case <-announced:
			announced = nil

			if !stream.comment(drainingComment) {
				return
			}
		case <-f.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readEvents sends the whole events of a body and closes the channel at its
// end. A part of an event at the end is dropped: the resumed feed repeats it.
func readEvents(ctx context.Context, body io.Reader, events chan<- []byte) error {
	defer close(events)

	var pending []byte

	buffer := make([]byte, 16<<10)

	for len(pending) < maxEvent {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)

		for {
			end := eventEnd(pending)
			if end < 0 {
				break
			}

			event := bytes.Clone(pending[:end])
			pending = pending[end:]

			select {
			case events <- event:
			case <-ctx.Done():
				return nil
			}
		}

		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		}

		if err != nil {
			return err
		}
	}

	return newError("read feed", KindBackend, errors.Errorf("an event exceeds %d bytes", maxEvent))
}

// eventEnd returns the length of the first event in text, or -1 if it is not
// whole. An empty line ends an event; lines end with LF or CRLF.
func eventEnd(text []byte) int {
	end := -1

	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if at := bytes.Index(text, []byte(blank)); at >= 0 && (end < 0 || at+len(blank) < end) {
			end = at + len(blank)
		}
	}

	return end
}

// eventWriter writes events to the caller and remembers the last event ID.
type eventWriter struct {
	response http.ResponseWriter
	started  bool
	written  int // events
	last     string
}

// start sends the header of the first response.
func (w *eventWriter) start(outcome *result) {
	if w.started {
		return
	}

	w.started = true

	for name, values := range outcome.header {
		w.response.Header()[name] = values
	}

	w.response.WriteHeader(outcome.status)
	w.flush()
}

// write sends an event unless it is the one that was sent last.
func (w *eventWriter) write(event []byte) bool {
	if id, ok := eventID(event); ok {
		if id == w.last {
			return true
		}

		w.last = id
	}

	w.written++

	return w.comment(string(event))
}

func (w *eventWriter) comment(text string) bool {
	if _, err := io.WriteString(w.response, text); err != nil {
		return false
	}

	return w.flush()
}

func (w *eventWriter) flush() bool {
	return http.NewResponseController(w.response).Flush() == nil
}

// eventID returns the value of the id field of an event.
func eventID(event []byte) (string, bool) {
	for line := range strings.SplitSeq(string(event), "\n") {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(id), true
		}
	}

	return "", false
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
