package gate

import "time"

const (
	// failureWeight is the weight of a new outcome in the moving average. Three
	// consecutive failures of a backend server that never failed before reach
	// failureLimit.
	failureWeight = 0.1

	// failureLimit is the failure rate from which new flows should go elsewhere.
	// Healthy backend servers cause a far lower rate, when they close an idle flow
	// just as its client uses it again.
	failureLimit = 0.25

	// recoveredLimit is the failure rate below which the backoff is reset.
	recoveredLimit = 0.05

	// minBackoff and maxBackoff bound how long new flows go elsewhere before the
	// backend server is tried again. The backoff doubles each time it fails again.
	minBackoff = 2 * time.Second
	maxBackoff = 16 * time.Second

	// acceptTimeout is how long a backend server may take to answer an opening
	// packet. Healthy ones answer within a few milliseconds, whatever their load.
	acceptTimeout = 60 * time.Millisecond
)

// health is a passive health check based on the outcomes of requests. The backend
// server's own health check may disagree with them, and it occupies a slot.
type health struct {
	failureRate  float64 // moving average, 0 to 1
	backoff      time.Duration
	backoffUntil time.Time // new flows should go elsewhere
}

// observe adds the outcome of a request to the failure rate. An opening packet is
// observed only if it was not answered, because a backend server that accepts a
// flow may still fail its requests.
func (h *health) observe(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}

	h.failureRate += failureWeight * (outcome - h.failureRate)

	switch {
	case h.failureRate < recoveredLimit:
		h.backoff = 0
	case failed && h.failureRate >= failureLimit && !h.failing(now):
		h.backoff = min(maxBackoff, max(minBackoff, 2*h.backoff))
		h.backoffUntil = now.Add(h.backoff)
		h.failureRate = failureLimit / 2 // so that two failures after the backoff are enough
	}
}

// failing reports whether new flows should go elsewhere.
func (h *health) failing(now time.Time) bool { return now.Before(h.backoffUntil) }
