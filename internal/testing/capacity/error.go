package capacity

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindProbe  Kind = "probe"  // a measurement failed
	KindReport Kind = "report" // the report cannot be written
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("capacity", operation, kind, err)
}
