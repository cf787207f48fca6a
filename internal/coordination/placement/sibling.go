package placement

import (
	"time"

	"jayspindle/internal/state/view"
)

// minRampFraction is the fraction of its weight that a sibling starts with. It
// must be above zero, or the sibling would get no request to observe.
const minRampFraction = 0.1

// sibling is the state that a picker keeps for one agent of the service.
type sibling struct {
	incarnation view.Incarnation
	weight      float64 // from the view; 0 if the sibling must not get requests
	pass        float64 // requests received per share, as in stride scheduling
	inFlight    int     // own requests only

	rampStart    time.Time // zero at full weight
	ejectedUntil time.Time // zero if not ejected
	pausedUntil  time.Time
	failures     int // in a row
	ejections    int // since the last answer at full weight
}

// share returns the weight, reduced while the sibling ramps up. It ends a ramp
// whose time is over.
func (s *sibling) share(now time.Time, rampUp time.Duration) float64 {
	if s.rampStart.IsZero() {
		return s.weight
	}

	fraction := now.Sub(s.rampStart).Seconds() / rampUp.Seconds()
	if fraction >= 1 {
		s.rampStart = time.Time{}

		return s.weight
	}

	return s.weight * max(fraction, minRampFraction)
}

// ejected reports whether the sibling is ejected. It ends an ejection whose time
// is over and starts the ramp.
func (s *sibling) ejected(now time.Time) bool {
	if s.ejectedUntil.IsZero() {
		return false
	}

	if now.Before(s.ejectedUntil) {
		return true
	}

	s.rampStart = s.ejectedUntil
	s.ejectedUntil = time.Time{}
	s.failures = 0

	return false
}
