package rollout

import "jayspindle/internal/state/failure"

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
	KindUpstream    Kind = "upstream"    // the upstream cannot be reached, or the stream ended
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("rollout", operation, kind, err)
}
