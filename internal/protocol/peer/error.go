package peer

import (
	"github.com/juju/errors"

	"jayspindle/internal/state/failure"
)

// Kind classifies an Error.
type Kind string

// KindBounds is the kind of an error about a field that is out of bounds.
const KindBounds Kind = "bounds"

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation, text string) *Error {
	return failure.New("peer", operation, KindBounds, errors.New(text))
}
