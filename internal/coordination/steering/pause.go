package steering

import "time"

// pauses notices that the router was not called for longer than usual, or that its machine
// was suspended. What it reads first after that has waited in its sockets.
type pauses struct {
	lastRun   time.Time
	suspended time.Duration // of the machine so far
	resumed   time.Time     // end of the last pause; zero if there was none
}

// observe records that the router runs.
func (p *pauses) observe(now time.Time, suspended time.Duration) {
	if now.Sub(p.lastRun) > MinPause || suspended-p.suspended > MinPause {
		p.resumed = now
	}

	p.lastRun, p.suspended = now, suspended
}

// mayBeStale reports whether a packet that is read now may have arrived before the last
// pause ended.
func (p *pauses) mayBeStale(now time.Time) bool {
	return !p.resumed.IsZero() && now.Sub(p.resumed) < staleWindow
}
