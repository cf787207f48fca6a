package claim

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindEncoding Kind = "encoding" // the bytes are not a message
	KindLimit    Kind = "limit"    // a field or a store exceeds its limit
	KindSeat     Kind = "seat"     // the store does not hold the seat, or holds it already
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("claim", operation, kind, err)
}
