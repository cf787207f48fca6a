package agent

import (
	"context"
	"time"
)

// runOnOwner runs an event on the owner, the goroutine that runs the event loop of
// some state, and waits until it has run. It reports false if the event has not run
// because the context ended first or the owner has stopped, which it also does when
// an event panics. Once the event is queued, the context is ignored: an event that
// ran after runOnOwner returned would race with its caller on captured variables
// and could begin a claim that is never ended.
func runOnOwner(
	ctx context.Context, events chan<- func(now time.Time), stopped <-chan struct{}, event func(now time.Time),
) bool {
	done := make(chan struct{})

	select {
	case events <- func(now time.Time) { event(now); close(done) }:
	case <-stopped:
		return false
	case <-ctx.Done():
		return false
	}

	select {
	case <-done:
		return true
	case <-stopped:
		return false
	}
}
