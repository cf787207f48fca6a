package lease

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// KindFull is the kind of a grant beyond MaxLeases.
const KindFull Kind = "full"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("lease", operation, kind, err)
}
