package settings

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindFile    Kind = "file"    // the file cannot be read
	KindSyntax  Kind = "syntax"  // not YAML, or the structure doesn't match
	KindInvalid Kind = "invalid" // a value is not allowed
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("settings", operation, kind, err)
}
