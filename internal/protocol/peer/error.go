package peer

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies an Error.
type Kind string

// KindBounds is the kind of an error about a field that is out of bounds.
const KindBounds Kind = "bounds"

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func newError(operation, text string) *Error {
	return &Error{operation: operation, kind: KindBounds, err: errors.New(text)}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
