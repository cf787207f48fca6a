package member

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindCancelled Kind = "cancelled" // the context ended first
	KindReplaced  Kind = "replaced"  // another incarnation was assigned
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("member", operation, kind, err)
}
