package placement

import "time"

// Policy holds the constants of a picker.
type Policy struct {
	// RampUp is the time in which a sibling that started or recovered rises to
	// its full weight.
	RampUp time.Duration
	// FailuresToEject is the number of failures in a row that ejects a sibling.
	FailuresToEject int
	// Ejection is how long the first ejection lasts; each further one within
	// MaxEjection doubles it, up to MaxEjection.
	Ejection    time.Duration
	MaxEjection time.Duration
	// MaxEjectedPercent bounds how many of the siblings are ejected at a time.
	MaxEjectedPercent int
	// RefusalPause is how long a sibling that refused is passed over.
	RefusalPause time.Duration
}

// DefaultPolicy returns the constants in use. At most half of a service is
// ejected: that lets a service of two lose one, and a misleading majority
// cannot take all backend servers away.
func DefaultPolicy() Policy {
	return Policy{
		RampUp:            10 * time.Second,
		FailuresToEject:   5,
		Ejection:          5 * time.Second,
		MaxEjection:       time.Minute,
		MaxEjectedPercent: 50,
		RefusalPause:      20 * time.Millisecond,
	}
}

// Outcome is what an agent observed of a request that it placed.
type Outcome uint8

// The outcomes of a placed request.
const (
	// Answered: a complete response arrived.
	Answered Outcome = iota + 1
	// Refused: the sibling answered "not run".
	Refused
	// Failed: the connection broke or the time ran out.
	Failed
	// Cancelled: the caller gave up, which tells nothing of the sibling.
	Cancelled
)
