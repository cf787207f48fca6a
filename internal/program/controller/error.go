package controller

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSettings Kind = "settings" // the settings are not allowed
	KindStorage  Kind = "storage"  // the data directory cannot be used
	KindGroup    Kind = "group"    // the controller must not found a group
	KindNetwork  Kind = "network"  // the listen address cannot be used
	KindLog      Kind = "log"      // the replicated log cannot continue
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
	return fmt.Sprintf("controller: %s: %s: %v", e.operation, e.kind, e.err)
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
