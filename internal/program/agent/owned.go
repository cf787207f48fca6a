package agent

import (
	"context"
	"time"
)

// runOwned runs an event on the goroutine that owns some state and waits for
// it. It reports false if the event has not run: the context ended first, or the
// owner has stopped, which it also does when an event panics. Once the event is
// in the queue, the end of the context does not matter any more: an event that
// runs after runOwned has returned would change variables that its caller reads,
// and would begin claims that nobody ends.
func runOwned(
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
