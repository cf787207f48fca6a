package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/peer"
)

// events returns complete events with the IDs, followed by a tail.
func events(from, to int, tail string) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: alert\n\n", id)
	}

	return text.String() + tail
}

// truncated returns a result whose body fails after the text.
func truncated(text string) *result {
	outcome := answered("")
	outcome.body = io.NopCloser(io.MultiReader(strings.NewReader(text), failingReader{}))

	return outcome
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// serveFeed serves a feed whose backend servers return the results in turn, and
// returns the caller's response.
func serveFeed(t *testing.T, results ...*result) (*httptest.ResponseRecorder, *scriptedRunner) {
	t.Helper()

	p, shared := newScripted(3, results...)
	f := newFeeds(p, slog.New(slog.DiscardHandler))
	recorder := httptest.NewRecorder()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	f.serve(ctx, recorder, newTestCall(feed, "GET"))

	return recorder, shared
}

func TestFeeds(t *testing.T) {
	cases := map[string]struct {
		results []*result
		want    string
	}{
		// Guards against a gap or a repeated event when a backend server ends its
		// feed in the middle of an event.
		"partial event": {[]*result{truncated(events(1, 2, "id: 3\nda")), answered(events(3, 4, ""))}, events(1, 4, "")},
		"cut in the blank line": {
			[]*result{truncated(events(1, 1, "id: 2\ndata: alert\n")), answered(events(2, 3, ""))}, events(1, 3, ""),
		},
		// Guards against an event that is sent twice when the backend server
		// resumes with the last event ID instead of after it.
		"inclusive resumption": {[]*result{truncated(events(1, 2, "")), answered(events(2, 3, ""))}, events(1, 3, "")},
		"refused meanwhile": {
			[]*result{truncated(events(1, 1, "")), notRun(causeShed, ""), notRun(causeShed, ""), answered(events(2, 2, ""))},
			events(1, 2, ""),
		},
		// Guards against a feed that delivers no event because its lines end with CRLF.
		"CRLF": {[]*result{answered("id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n")}, "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				recorder, _ := serveFeed(t, test.results...)
				is.New(t).Equal(recorder.Body.String(), test.want)
			})
		})
	}

	// Guards against a backend server that ends each feed immediately and is
	// flooded with resumptions.
	t.Run("empty feeds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var empty []*result
			for range 1000 {
				empty = append(empty, answered(""))
			}

			_, shared := serveFeed(t, empty...)
			is.New(t).True(shared.calls <= 16) // 10 s with pauses of up to 1 s
		})
	})

	// Guards against a caller that waits forever on a feed that no backend server
	// resumes.
	t.Run("cannot be resumed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			gone := answered("")
			gone.status = http.StatusGone
			_, shared := serveFeed(t, truncated(events(1, 1, "")), gone, answered(events(2, 2, "")))
			is.New(t).Equal(shared.calls, 2)
		})
	})

	// Guards against a truncated answer to a refused feed that goes unnoticed.
	t.Run("truncated answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			refused := truncated("reas")
			refused.status = http.StatusForbidden
			defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()

			serveFeed(t, refused)
		})
	})

	// Guards against a drain that ends feeds in the middle of an event, or that
	// does not tell callers.
	t.Run("drain", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			open := answered("")
			open.body = reader
			p, _ := newScripted(3, open)
			f := newFeeds(p, slog.New(slog.DiscardHandler))
			recorder := httptest.NewRecorder()

			go func() {
				io.WriteString(writer, events(1, 1, "id: 2\nda"))
				time.Sleep(time.Second)
				f.drain()
				time.Sleep(time.Second)
				f.stop()
			}()

			f.serve(t.Context(), recorder, newTestCall(feed, "GET"))
			is.New(t).Equal(recorder.Body.String(), events(1, 1, "")+drainingComment)
		})
	})
}

// Guards against a truncated answer that the caller takes for a complete one.
func TestTruncatedAnswer(t *testing.T) {
	h := &handler{logger: slog.New(slog.DiscardHandler)}
	defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()

	outcome := truncated("par")
	outcome.state = peer.Answered
	h.write(t.Context(), httptest.NewRecorder(), outcome)
}
