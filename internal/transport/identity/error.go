package identity

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindInvalid     Kind = "invalid"     // a value or a file's content is not allowed
	KindFile        Kind = "file"        // a file cannot be read or written
	KindPermissions Kind = "permissions" // group or others can access a private key file
	KindDenied      Kind = "denied"      // a peer is not accepted
)

// Error is the error type of this package. It never contains a secret.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("identity", operation, kind, err)
}
