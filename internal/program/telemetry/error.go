package telemetry

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindFile    Kind = "file"    // a file cannot be opened
	KindInvalid Kind = "invalid" // a setting is not allowed
	KindNetwork Kind = "network" // the debug server could not listen
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("telemetry", operation, kind, err)
}
