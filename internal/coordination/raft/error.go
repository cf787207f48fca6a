package raft

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotLeader    Kind = "not leader"    // only the leader does this; Leader is a hint
	KindTransferring Kind = "transferring"  // leadership is being handed to another replica
	KindTooLarge     Kind = "too large"     // a proposal or message exceeds its bound
	KindBusy         Kind = "busy"          // too much is uncommitted or unconfirmed
	KindInProgress   Kind = "in progress"   // another membership change is not committed yet
	KindNotReady     Kind = "not ready"     // no entry of the own term is committed yet
	KindNotCaughtUp  Kind = "not caught up" // the learner is silent or lags behind the log
	KindQuorum       Kind = "quorum"        // the change would leave no responsive quorum
	KindInvalid      Kind = "invalid"       // the input makes no sense
	KindForeign      Kind = "foreign"       // for another replica, cluster or generation
	KindStored       Kind = "stored"        // the stored state contradicts itself
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	leader    ReplicaID
	err       error
}

func newError(operation string, kind Kind, format string, arguments ...any) *Error {
	return &Error{operation: operation, kind: kind, err: errors.Errorf(format, arguments...)}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("raft: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Leader returns the leader as far as this replica knows, or 0.
func (e *Error) Leader() ReplicaID { return e.leader }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// refuseUnlessLeader returns an error of KindNotLeader on other replicas.
func (n *Node) refuseUnlessLeader(operation string) error {
	if n.role == Leader {
		return nil
	}

	err := newError(operation, KindNotLeader, "replica %v is %v, the leader is %v", n.config.Replica, n.role, n.leader)
	err.leader = n.leader

	return err
}
