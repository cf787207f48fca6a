package placement

import (
	"time"

	"jayspindle/internal/state/view"
)

// rampFloor is the fraction of its weight that a sibling starts with. It must
// be above zero, or nothing would ever be learned of the sibling.
const rampFloor = 0.1

// sibling is what a picker knows of one agent of the service.
type sibling struct {
	incarnation view.Incarnation
	weight      float64 // from the view, 0 when it must not get new work
	pass        float64 // requests received per share, as in stride scheduling
	inFlight    int     // own requests only

	rampsFrom    time.Time // zero when at full weight
	ejectedUntil time.Time // zero when not ejected
	pausedUntil  time.Time
	failures     int // in a row
	ejections    int // without a stable time between them
}

// share returns the weight with the ramp taken into account. It ends a ramp
// whose time is over.
func (s *sibling) share(now time.Time, rampUp time.Duration) float64 {
	if s.rampsFrom.IsZero() {
		return s.weight
	}

	risen := now.Sub(s.rampsFrom).Seconds() / rampUp.Seconds()
	if risen >= 1 {
		s.rampsFrom = time.Time{}

		return s.weight
	}

	return s.weight * max(risen, rampFloor)
}

// ejected reports whether the sibling is ejected. When the time is over, the
// sibling returns on a ramp.
func (s *sibling) ejected(now time.Time) bool {
	if s.ejectedUntil.IsZero() {
		return false
	}

	if now.Before(s.ejectedUntil) {
		return true
	}

	s.rampsFrom = s.ejectedUntil
	s.ejectedUntil = time.Time{}
	s.failures = 0

	return false
}
