package udp

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen  Kind = "listen"  // the socket could not be opened or set up
	KindReceive Kind = "receive" // the socket can no longer receive
	KindClose   Kind = "close"   // the socket could not be closed
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("udp", operation, kind, err)
}
