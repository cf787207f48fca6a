package gate

import (
	"fmt"
	"strconv"
	"time"

	"jayspindle/internal/state/failure"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of errors of this package.
const (
	KindWrongService ErrorKind = "foreign" // the report is of another service
	KindInvalid      ErrorKind = "invalid" // the report has a value that cannot be true
)

// Error is the error type of this package.
type Error = failure.Error[ErrorKind]

func newError(operation string, kind ErrorKind, err error) *Error {
	return failure.New("gate", operation, kind, err)
}

// Report is a status report of a backend server.
type Report struct {
	ID              string
	Service         string
	StartMillis     int64  // start time in Unix milliseconds; higher for a later start
	Sequence        uint64 // increases with each report of the same start
	Slots           uint16 // maximum number of concurrent requests
	Leaving         bool
	WarmUpRemaining time.Duration // how much longer it is slow because it has just started
}

// Outcome tells what a report changed.
type Outcome uint8

// The outcomes of a report.
const (
	Unchanged Outcome = iota + 1
	Changed           // the agent's record has to be published again
	Outdated          // a newer report or start was received before
)

// The bounds of what a report can truthfully say. They only exclude what has no
// explanation: a wrong value within them is outlived by later reports.
const (
	// maxClockError is how far in the future a start may be. The largest common error
	// is a hardware clock that keeps local time, up to 14 hours ahead of UTC.
	maxClockError = 14 * time.Hour

	// maxSequence is reached after 34 years by a backend server that reports every
	// millisecond.
	maxSequence = 1 << 40

	// maxWarmUp is far above the warm-up of backend servers, which takes seconds.
	maxWarmUp = time.Hour

	// maxIDBytes is an order of magnitude above the longest ID in use.
	maxIDBytes = 256
)

// check refuses a report that cannot be true. It may come from another writer, so it
// must not replace what the backend server has reported.
func (g *Gate) check(now time.Time, report Report) error {
	refuse := func(kind ErrorKind, field string, value any, allowed string) error {
		return newError("report", kind, fmt.Errorf("%s: found %v, allowed: %s", field, value, allowed))
	}

	latest := now.Add(maxClockError)

	switch {
	case report.Service != g.config.Service:
		return refuse(KindWrongService, "service", strconv.Quote(report.Service), strconv.Quote(g.config.Service))
	case report.ID == "" || len(report.ID) > maxIDBytes:
		return refuse(KindInvalid, "id", fmt.Sprintf("%d bytes", len(report.ID)), fmt.Sprintf("1 to %d bytes", maxIDBytes))
	case report.Slots == 0:
		return refuse(KindInvalid, "slots", report.Slots, "1 or more")
	case report.StartMillis <= 0 || report.StartMillis > latest.UnixMilli():
		return refuse(KindInvalid, "start", report.StartMillis, fmt.Sprintf("1 to %d ms", latest.UnixMilli()))
	case report.Sequence > maxSequence:
		return refuse(KindInvalid, "sequence", report.Sequence, fmt.Sprintf("0 to %d", uint64(maxSequence)))
	case report.WarmUpRemaining < 0 || report.WarmUpRemaining > maxWarmUp:
		return refuse(KindInvalid, "warm-up", report.WarmUpRemaining, fmt.Sprintf("0 to %v", maxWarmUp))
	}

	return nil
}
