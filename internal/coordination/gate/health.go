package gate

import "time"

const (
	// failureWeight is the share of a new outcome in the average: three failures in
	// a row of a backend server that never failed before reach the limit.
	failureWeight = 0.1

	// failureLimit is the share of failures from which new flows should go
	// elsewhere. Backend servers that are well close an idle flow just as its
	// client uses it again, which is far below.
	failureLimit = 0.25

	// calmLimit is the share of failures below which earlier trouble is forgotten.
	calmLimit = 0.05

	// firstRest and longestRest bound how long new flows go elsewhere before the
	// backend server is tried again. Each time it fails again the rest doubles.
	firstRest   = 2 * time.Second
	longestRest = 16 * time.Second

	// acceptLimit is how long a backend server may take to answer an opening
	// packet. It answers within a few milliseconds, whatever its load.
	acceptLimit = 60 * time.Millisecond
)

// health is what the flows of a backend server tell about it. Its own health
// check may say something else, and takes a slot.
type health struct {
	failures float64 // average share of failures
	rest     time.Duration
	until    time.Time // new flows should go elsewhere
}

// observe takes the outcome of a request into account. An opening packet counts
// only if it was not answered: a backend server that accepts a flow may still fail
// its requests.
func (h *health) observe(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}

	h.failures += failureWeight * (outcome - h.failures)

	switch {
	case h.failures < calmLimit:
		h.rest = 0
	case failed && h.failures >= failureLimit && !h.failing(now):
		h.rest = min(longestRest, max(firstRest, 2*h.rest))
		h.until = now.Add(h.rest)
		h.failures = failureLimit / 2 // so that two failures after the rest are enough
	}
}

// failing reports whether new flows should go elsewhere.
func (h *health) failing(now time.Time) bool { return now.Before(h.until) }
