package control

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindEncoding Kind = "encoding" // the bytes are not a valid encoding of the message
	KindBounds   Kind = "bounds"   // a field is out of bounds
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("control", operation, kind, err)
}
