package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// progressInterval is the time between two lines of progress.
const progressInterval = 2 * time.Second

// ShowProgress writes a progress line at regular intervals until the context
// ends.
func (c *Client) ShowProgress(ctx context.Context, writer io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()

	started := time.Now()

	for {
		select {
		case <-ticker.C:
			requests, broken := c.result.progress()
			fmt.Fprintf(writer, "load: %s of %s, %d requests ended, %d flows broken\n",
				time.Since(started).Round(time.Second), c.config.Duration, requests, broken)
		case <-ctx.Done():
			return
		}
	}
}

// progress returns the requests that have ended and the flows that broke.
func (r *Result) progress() (requests, broken int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for _, class := range r.classes {
		requests += class.Requests
	}

	return requests, r.BrokenFlows
}
