package backend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// feedEpoch is the time of event 0. All backend servers share it, so that an
// event has the same ID at each of them.
var feedEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// handleFeed sends one server-sent event per period. It starts after the
// Last-Event-ID of the request or, without one, after the newest event.
func (s *Server) handleFeed(response http.ResponseWriter, request *http.Request, route Route) {
	next := eventAt(time.Now(), route.Duration) + 1

	if text := request.Header.Get("Last-Event-ID"); text != "" {
		last, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(response, fmt.Sprintf("Last-Event-ID %q is not a number", text), http.StatusBadRequest)

			return
		}

		next = last + 1
	}

	response.Header().Set("Content-Type", "text/event-stream")
	response.WriteHeader(http.StatusOK)

	controller := http.NewResponseController(response)

	for {
		if err := controller.Flush(); err != nil {
			return
		}

		if !s.waitUntil(request.Context(), feedEpoch.Add(time.Duration(next)*route.Duration)) {
			return
		}

		if _, err := fmt.Fprintf(response, "id: %d\ndata: alert %d\n\n", next, next); err != nil {
			return
		}

		next++
	}
}

// eventAt returns the ID of the newest event at the given time.
func eventAt(now time.Time, period time.Duration) int64 {
	return int64(now.Sub(feedEpoch) / period)
}

// waitUntil waits for a point in time. It returns false if the caller or the server
// stops first. A feed ends only between two events, so that the caller can resume
// without a gap.
func (s *Server) waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.runCtx.Done():
		return false
	}
}
