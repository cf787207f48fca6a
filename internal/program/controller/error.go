package controller

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSettings Kind = "settings" // the settings are not allowed
	KindStorage  Kind = "storage"  // the data directory cannot be used
	KindGroup    Kind = "group"    // the controller must not create a group
	KindNetwork  Kind = "network"  // the listen address cannot be used
	KindLog      Kind = "log"      // the replicated log cannot continue
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("controller", operation, kind, err)
}
