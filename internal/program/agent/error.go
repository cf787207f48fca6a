package agent

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindCaller  Kind = "caller"  // the request of the caller is malformed
	KindBackend Kind = "backend" // the backend server did not answer
	KindSetup   Kind = "setup"   // the agent cannot start
	KindSibling Kind = "sibling" // another agent did not answer
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("agent", operation, kind, err)
}
