package keyring

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindEmpty     Kind = "empty"     // there is no fabric key yet
	KindAmbiguous Kind = "ambiguous" // two keys share the identifier that is sent
	KindCipher    Kind = "cipher"    // a key could not be prepared for use
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("keyring", operation, kind, err)
}
