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
	// maxEventBytes bounds one server-sent event in bytes.
	maxEventBytes = 1 << 20
	// resumeDelay is the delay before a feed is resumed on another backend server.
	// It doubles up to maxResumeDelay while no event arrives. Otherwise a backend
	// server that ends every feed immediately would be flooded with resumptions.
	resumeDelay    = 50 * time.Millisecond
	maxResumeDelay = time.Second
	// resumeTimeout bounds the wait for the first byte of a resumed feed.
	resumeTimeout = 2 * time.Second
)

// feeds keeps the feeds of callers open while backend servers come and go. A feed
// is a response of server-sent events that stays open.
type feeds struct {
	placer  *placer
	logger  *slog.Logger
	drained chan struct{}
	stopped chan struct{}
}

func newFeeds(placer *placer, logger *slog.Logger) *feeds {
	return &feeds{placer: placer, logger: logger, drained: make(chan struct{}), stopped: make(chan struct{})}
}

// drain tells all callers that the agent will stop.
func (f *feeds) drain() { close(f.drained) }

// stop closes all feeds between two events, so that callers can resume them.
func (f *feeds) stop() { close(f.stopped) }

// serve copies events to the caller until the caller disconnects. When a
// backend server ends the feed, another one resumes it after the last event.
func (f *feeds) serve(ctx context.Context, response http.ResponseWriter, c *call) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stream := &eventWriter{response: response, lastEventID: c.header.Get(headerLastEvent)}

	for delay := resumeDelay; ; delay = min(2*delay, maxResumeDelay) {
		before := stream.eventsWritten
		outcome := f.placer.placeLocalFirst(ctx, c)

		switch {
		case outcome.state == peer.Answered && outcome.status == http.StatusOK:
			f.countStart(stream)
			stream.writeHeader(outcome)
			f.copyEvents(ctx, stream, outcome.body)
		case !f.handleFailure(response, stream, outcome):
			return
		}

		if stream.eventsWritten > before {
			delay = resumeDelay
		}

		if ctx.Err() != nil || isClosed(f.stopped) || !sleep(ctx, delay) {
			return
		}

		c.deadline = time.Now().Add(resumeTimeout)

		if stream.lastEventID != "" {
			c.header.Set(headerLastEvent, stream.lastEventID)
		}
	}
}

// countStart counts a feed that a backend server has started.
func (*feeds) countStart(stream *eventWriter) {
	switch {
	case stream.started:
		feedEvents.Add("moved to another backend server", 1)
	case stream.lastEventID != "":
		feedEvents.Add("resumed by a caller", 1)
	default:
		feedEvents.Add("opened", 1)
	}
}

// handleFailure handles a feed that did not start and reports whether to retry. It
// retries once the caller has received the header of the feed, unless a backend
// server answers that the feed cannot be resumed: the caller then gets the reason
// when it opens the feed again.
func (f *feeds) handleFailure(response http.ResponseWriter, stream *eventWriter, outcome *result) bool {
	if outcome.state == peer.Answered {
		defer outcome.body.Close()
	}

	feedEvents.Add("not started: "+outcome.state.String(), 1)

	if stream.started {
		if outcome.state == peer.Answered && outcome.status < http.StatusInternalServerError {
			f.logger.Warn("feed ended, it cannot be resumed", "status", outcome.status)

			return false
		}

		f.logger.Warn("could not resume the feed, retrying", "outcome", outcome.state.String(), "reason", outcome.reason)

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
		panic(http.ErrAbortHandler) // the caller must not take a truncated body for a complete one
	}

	return false
}

// copyEvents copies whole events until the backend server or the caller ends the
// feed, or the agent stops.
func (f *feeds) copyEvents(ctx context.Context, stream *eventWriter, body io.ReadCloser) {
	ctx, cancel := context.WithCancel(ctx)
	eventCh := make(chan []byte)

	var group conc.WaitGroup

	group.Go(func() {
		if err := readEvents(ctx, body, eventCh); err != nil {
			f.logger.Info("backend server feed interrupted", "cause", err)
		}
	})

	defer func() {
		cancel()

		_ = body.Close()

		group.Wait()
	}()

	drainSignal := f.drained

	for {
		select {
		case event, ok := <-eventCh:
			if !ok || !stream.write(event) {
				return
			}
		case <-drainSignal:
			drainSignal = nil

			if !stream.writeText(drainingComment) {
				return
			}
		case <-f.stopped:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readEvents sends the complete events of a body and closes the channel at its
// end. A partial event at the end is dropped because the resumed feed repeats it.
func readEvents(ctx context.Context, body io.Reader, events chan<- []byte) error {
	defer close(events)

	var pending []byte

	buffer := make([]byte, 16<<10)

	for len(pending) < maxEventBytes {
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

	return newError("read feed", KindBackend, errors.Errorf("an event exceeds %d bytes", maxEventBytes))
}

// eventEnd returns the length of the first event in text, or -1 if the event is
// incomplete. An empty line ends an event; lines end with LF or CRLF.
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
	response      http.ResponseWriter
	started       bool
	eventsWritten int
	lastEventID   string
}

// writeHeader sends the header of the first response.
func (w *eventWriter) writeHeader(outcome *result) {
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
		if id == w.lastEventID {
			return true
		}

		w.lastEventID = id
	}

	w.eventsWritten++

	return w.writeText(string(event))
}

func (w *eventWriter) writeText(text string) bool {
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

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
