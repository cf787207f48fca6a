package view

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindEncoding Kind = "encoding" // the bytes are not a view
	KindGap      Kind = "gap"      // a delta does not start at the position of the view
	KindReversal Kind = "reversal" // a delta would lower the position of the view
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("view", operation, kind, err)
}
