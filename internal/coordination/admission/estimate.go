package admission

import "time"

const (
	meanGain      = 0.125 // gains of RFC 6298
	deviationGain = 0.25
	likelyFactor  = 2
	upperFactor   = 4 // the factor K of RFC 6298

	// initialService is assumed before the first observation. It is short, so
	// that an unknown class is tried and not refused.
	initialService = 10 * time.Millisecond
)

// estimate follows the service time of a class with a smoothed mean and a
// smoothed mean deviation (RFC 6298, section 2).
type estimate struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// observe takes one measured service time into account.
func (e *estimate) observe(taken time.Duration) {
	if !e.known {
		e.known = true
		e.mean = taken
		e.deviation = taken / 2

		return
	}

	e.deviation += time.Duration(deviationGain * float64((taken-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(taken-e.mean))
}

// observeAtLeast takes a lower bound of a service time into account.
func (e *estimate) observeAtLeast(taken time.Duration) {
	if !e.known || taken > e.mean {
		e.observe(taken)
	}
}

func (e *estimate) expected() time.Duration {
	if !e.known {
		return initialService
	}

	return max(e.mean, time.Microsecond)
}

// likely is a service time that most requests do not exceed.
func (e *estimate) likely() time.Duration {
	return e.expected() + likelyFactor*e.deviation
}

// upper is a service time that few requests exceed.
func (e *estimate) upper() time.Duration {
	return e.expected() + upperFactor*e.deviation
}
