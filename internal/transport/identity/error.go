package identity

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindInvalid     Kind = "invalid"     // a value or the content of a file is invalid
	KindFile        Kind = "file"        // a file could not be read or written
	KindPermissions Kind = "permissions" // group or others can access a private key file
	KindDenied      Kind = "denied"      // the peer has no trusted certificate or the policy does not allow it
)

// Error is the error type of this package. It never contains a secret.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("identity", operation, kind, err)
}
