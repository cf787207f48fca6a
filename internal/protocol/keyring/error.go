package keyring

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindEmpty     Kind = "empty"     // the view has no fabric key
	KindAmbiguous Kind = "ambiguous" // two keys have the same ID in the marker byte
	KindCipher    Kind = "cipher"    // the cipher could not be created from a key
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("keyring", operation, kind, err)
}
