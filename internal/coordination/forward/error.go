package forward

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindReversal Kind = "reversal" // the view has a lower position than the one in force
	KindKeys     Kind = "keys"     // the fabric keys of the view cannot be used
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(kind Kind, err error) *Error {
	return failure.New("forward", "apply", kind, err)
}
