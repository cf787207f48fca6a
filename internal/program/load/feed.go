package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// drainingComment is the server-sent comment by which an agent announces that
// it will stop. Plain readers ignore comments and resume once the feed ends.
const drainingComment = ": draining"

// feed reads server-sent events and resumes from the last event ID. When the
// agent announces that it drains, the next feed is opened before this one is
// closed.
type feed struct {
	caller      *caller
	lastEventID int64       // newest event ID, 0 before the first
	stallTimer  *time.Timer // counts a stalled feed, nil if that is not checked
}

func newFeed(c *caller) *feed {
	return &feed{caller: c}
}

func (f *feed) run(ctx context.Context) {
	if silence := f.caller.workload.FeedSilence; silence > 0 {
		result := f.caller.client.result
		f.stallTimer = time.AfterFunc(silence, func() { result.add(&result.FeedStalls) })

		defer f.stallTimer.Stop()
	}

	var current io.ReadCloser

	for ctx.Err() == nil {
		if current == nil {
			current = f.open(ctx)
		}

		if current == nil {
			sleep(ctx, minRetryDelay)

			continue
		}

		current = f.read(ctx, current)
	}

	if current != nil {
		_ = current.Close()
	}
}

// open starts a feed after the last event. It returns nil if that fails.
func (f *feed) open(ctx context.Context) io.ReadCloser {
	c := f.caller
	url := fmt.Sprintf("https://%s:%d%s", c.workload.Service, c.workload.Port, c.workload.Feed)

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}

	request.Header.Set("Accept", "text/event-stream")

	if f.lastEventID != 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatInt(f.lastEventID, 10))
	}

	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil
	}

	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()

		return nil
	}

	c.client.logger.Info("feed opened", "caller", c.name, "backend_server", response.Header.Get("Backend-Server"))

	return response.Body
}

// read reads events until the feed ends or the agent drains. It returns the
// feed to read next, or nil if there is none yet.
func (f *feed) read(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	defer body.Close()

	id := "" // of the event that has not ended yet

	lines := bufio.NewScanner(body)

	for lines.Scan() {
		text := lines.Text()

		switch {
		case strings.HasPrefix(text, "id: "):
			id = text[len("id: "):]
		case text == "" && id != "":
			f.recordEvent(id)

			id = ""
		case text == drainingComment:
			if next := f.openNext(ctx); next != nil {
				return next
			}
		}
	}

	return nil
}

// openNext opens the next feed on a new flow. The agent refuses new requests on
// the old one, which makes the transport dial again.
func (f *feed) openNext(ctx context.Context) io.ReadCloser {
	const timeout = 5 * time.Second

	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, minRetryDelay) {
		if next := f.open(ctx); next != nil {
			f.caller.client.result.add(&f.caller.client.result.FeedMoves)

			return next
		}
	}

	return nil
}

// recordEvent counts an event and checks that it follows the previous one.
func (f *feed) recordEvent(text string) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return
	}

	if f.stallTimer != nil {
		f.stallTimer.Reset(f.caller.workload.FeedSilence)
	}

	result := f.caller.client.result
	result.add(&result.FeedEvents)

	switch {
	case f.lastEventID == 0 || id == f.lastEventID+1:
	case id <= f.lastEventID:
		result.add(&result.FeedDuplicates)
	default:
		result.add(&result.FeedGaps)
	}

	f.lastEventID = max(f.lastEventID, id)
}
