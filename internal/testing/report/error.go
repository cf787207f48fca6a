package report

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindScenario Kind = "scenario" // a scenario failed or was interrupted
	KindOutput   Kind = "output"   // the report cannot be drawn or written
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("report", operation, kind, err)
}
