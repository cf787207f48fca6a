package catalog

import "fmt"

// Kind classifies a refusal or an Error.
type Kind string

// The kinds of refusals and errors of this package.
const (
	KindEncoding       Kind = "encoding"        // the bytes are not a command or a snapshot
	KindInvalid        Kind = "invalid"         // a field or the document is not valid
	KindConflict       Kind = "conflict"        // another change or key rotation was first
	KindReused         Kind = "reused"          // the ID belongs to a command with other contents
	KindRejected       Kind = "rejected"        // the same bytes were rejected as the same version
	KindNotInTrial     Kind = "not-in-trial"    // the digest was not accepted in trial
	KindNotPending     Kind = "not-pending"     // no such change is pending
	KindOwner          Kind = "owner"           // the name is not that of an owner
	KindSignature      Kind = "signature"       // the signature is not valid for its key and text
	KindUnknownService Kind = "unknown-service" // the accepted document has no such service
	KindUnknownMember  Kind = "unknown-member"  // no such agent or balancer is announced
	KindSuperseded     Kind = "superseded"      // the member with the boot ID left or was replaced
	KindDraining       Kind = "draining"        // the agent is leaving, so its weight stays 0
	KindFull           Kind = "full"            // a limit on the size of the state is reached
	KindInUse          Kind = "in-use"          // the data address belongs to an active member of another service or role
)

// Error is the error type of this package.
type Error struct {
	operation   string
	kind        Kind
	conflicting *ConflictingChange
	err         error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("catalog: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// ConflictingChange returns the change that a submission conflicts with, or nil if
// the error has another cause.
func (e *Error) ConflictingChange() *ConflictingChange { return e.conflicting }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
