package wal

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindCorrupt    Kind = "corrupt"    // stored bytes are damaged or misplaced
	KindFailed     Kind = "failed"     // this or an earlier write failed; the directory has to be reopened
	KindFiles      Kind = "files"      // a file operation failed before anything was written
	KindIdentity   Kind = "identity"   // the directory belongs to another group or generation
	KindLocked     Kind = "locked"     // another process has the directory open
	KindPermission Kind = "permission" // the directory is accessible to others
	KindTooLarge   Kind = "too large"  // a record or snapshot exceeds its size limit
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	file      string
	offset    int64
	err       error
}

func newError(operation string, kind Kind, file string, offset int64, err error) *Error {
	return &Error{operation: operation, kind: kind, file: file, offset: offset, err: err}
}

// Error returns the operation, the kind, the file, the offset and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("wal: %s: %s: file %s offset %d: %v", e.operation, e.kind, e.file, e.offset, e.err)
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// File returns the name of the file.
func (e *Error) File() string { return e.file }

// Offset returns the byte offset of the damaged record in the file.
func (e *Error) Offset() int64 { return e.offset }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
