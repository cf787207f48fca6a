package rollout

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package. Each of them ends a subscription, and
// the subscriber subscribes again.
const (
	KindEncoding    Kind = "encoding"    // an update cannot be decoded
	KindGap         Kind = "gap"         // an update between the position held and this one is missing
	KindDigest      Kind = "digest"      // the digest of the view is not that of the publisher
	KindEnvironment Kind = "environment" // the view belongs to another environment
	KindStale       Kind = "stale"       // the upstream has not been confirmed by a leader for too long
	KindUpstream    Kind = "upstream"    // the stream ended
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	err       error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("rollout: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
