package backend

import "jayspindle/internal/state/failure"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindFile    Kind = "file"    // a ledger file could not be opened, read or written
	KindNetwork Kind = "network" // the server could not listen or serve
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("backend", operation, kind, err)
}
