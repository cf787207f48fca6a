package admission

import "time"

const (
	meanGain      = 0.125 // gains of RFC 6298
	deviationGain = 0.25
	likelyFactor  = 2
	upperFactor   = 4 // the factor K of RFC 6298

	// initialService is the service time assumed before the first sample. It is
	// short, so that requests of an unknown class are run and not refused.
	initialService = 10 * time.Millisecond
)

// estimate tracks the service time of a class as a smoothed mean and a smoothed
// mean deviation (RFC 6298, section 2).
type estimate struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// observe updates the estimate with a measured service time.
func (e *estimate) observe(sample time.Duration) {
	if !e.known {
		e.known = true
		e.mean = sample
		e.deviation = sample / 2

		return
	}

	e.deviation += time.Duration(deviationGain * float64((sample-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(sample-e.mean))
}

// observeAtLeast updates the estimate with a lower bound of a service time.
func (e *estimate) observeAtLeast(sample time.Duration) {
	if !e.known || sample > e.mean {
		e.observe(sample)
	}
}

func (e *estimate) expected() time.Duration {
	if !e.known {
		return initialService
	}

	return max(e.mean, time.Microsecond)
}

// likely returns a service time that most requests do not exceed.
func (e *estimate) likely() time.Duration {
	return e.expected() + likelyFactor*e.deviation
}

// upper returns a service time that few requests exceed.
func (e *estimate) upper() time.Duration {
	return e.expected() + upperFactor*e.deviation
}
