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

// events returns whole events with the IDs, followed by a tail.
func events(from, to int, tail string) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: alert\n\n", id)
	}

	return text.String() + tail
}

// broken is a body that breaks off after a text.
func broken(text string) *result {
	outcome := answered("")
	outcome.body = io.NopCloser(io.MultiReader(strings.NewReader(text), iotestErr{}))

	return outcome
}

type iotestErr struct{}

func (iotestErr) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// serveFeed serves a feed whose backend servers follow the script, until the
// script has ended, and returns what the caller got.
func serveFeed(t *testing.T, results ...*result) (*httptest.ResponseRecorder, *script) {
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
		"partial event": {[]*result{broken(events(1, 2, "id: 3\nda")), answered(events(3, 4, ""))}, events(1, 4, "")},
		"cut in the blank line": {
			[]*result{broken(events(1, 1, "id: 2\ndata: alert\n")), answered(events(2, 3, ""))}, events(1, 3, ""),
		},
		// Guards against an event that is passed twice when the backend server
		// counts the last event ID as not yet seen.
		"inclusive resumption": {[]*result{broken(events(1, 2, "")), answered(events(2, 3, ""))}, events(1, 3, "")},
		"refused meanwhile": {
			[]*result{broken(events(1, 1, "")), notRun(causeShed, ""), notRun(causeShed, ""), answered(events(2, 2, ""))},
			events(1, 2, ""),
		},
		// Guards against a feed that passes no event because its lines end with CRLF.
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

	// Guards against a backend server that ends each feed at once and gets as
	// many resumptions as the agent can send.
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

	// Guards against a caller that waits for ever on a feed that no backend
	// server will resume.
	t.Run("cannot be resumed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			gone := answered("")
			gone.status = http.StatusGone
			_, shared := serveFeed(t, broken(events(1, 1, "")), gone, answered(events(2, 2, "")))
			is.New(t).Equal(shared.calls, 2)
		})
	})

	// Guards against a refused feed whose answer breaks off unnoticed.
	t.Run("cut answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			cut := broken("reas")
			cut.status = http.StatusForbidden
			defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()

			serveFeed(t, cut)
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
				f.end()
			}()

			f.serve(t.Context(), recorder, newTestCall(feed, "GET"))
			is.New(t).Equal(recorder.Body.String(), events(1, 1, "")+drainingComment)
		})
	})
}

// Guards against a part of an answer that passes for the whole.
func TestCutAnswer(t *testing.T) {
	h := &handler{logger: slog.New(slog.DiscardHandler)}
	defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()

	outcome := broken("par")
	outcome.state = peer.Answered
	h.write(t.Context(), httptest.NewRecorder(), outcome)
}
