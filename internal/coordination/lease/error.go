package lease

import "fmt"

// Kind classifies an Error.
type Kind string

// KindFull is the kind of a grant beyond MaxLeases.
const KindFull Kind = "full"

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	err       error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("lease: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
