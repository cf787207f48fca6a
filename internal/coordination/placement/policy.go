package placement

import "time"

// Policy holds the constants of a picker.
type Policy struct {
	// RampUp is the time in which the share of a sibling that started or
	// recovered rises to its full weight.
	RampUp time.Duration
	// FailuresToEject is the number of failures in a row that ejects a sibling.
	FailuresToEject int
	// BaseEjection is how long the first ejection lasts. Each further one doubles it,
	// up to MaxEjection, until the sibling answers at its full weight.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// MaxEjectedPercent bounds how many of the siblings are ejected at a time.
	MaxEjectedPercent int
	// RefusalPause is how long a sibling that refused gets no requests.
	RefusalPause time.Duration
}

// DefaultPolicy returns the constants in use. At most half of the siblings are
// ejected: a service with two can lose one, and false failures at most of the
// siblings cannot eject all of them.
func DefaultPolicy() Policy {
	return Policy{
		RampUp:            10 * time.Second,
		FailuresToEject:   5,
		BaseEjection:      5 * time.Second,
		MaxEjection:       time.Minute,
		MaxEjectedPercent: 50,
		RefusalPause:      20 * time.Millisecond,
	}
}

// Outcome tells how a request that the agent placed has ended.
type Outcome uint8

// The outcomes of a placed request.
const (
	// Answered: a complete response arrived.
	Answered Outcome = iota + 1
	// Refused: the sibling answered "not run".
	Refused
	// Failed: the connection broke or the request timed out.
	Failed
	// Cancelled: the caller gave up, which says nothing about the sibling.
	Cancelled
)
