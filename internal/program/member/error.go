package member

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindCancelled Kind = "cancelled" // the context ended first
	KindReplaced  Kind = "replaced"  // another incarnation was assigned
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
	return fmt.Sprintf("member: %s: %s: %v", e.operation, e.kind, e.err)
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
