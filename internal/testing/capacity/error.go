package capacity

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindProbe  Kind = "probe"  // a measurement failed
	KindReport Kind = "report" // the report cannot be written
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("capacity: %s: %s: %v", e.operation, e.kind, e.err)
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
