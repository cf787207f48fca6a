package raft

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotLeader    Kind = "not leader"    // only the leader can do this; Error.Leader names the presumed leader
	KindTransferring Kind = "transferring"  // leadership is being transferred to another replica
	KindTooLarge     Kind = "too large"     // a proposal, message or state exceeds its size limit
	KindBusy         Kind = "busy"          // too much is uncommitted, unconfirmed or not in a snapshot
	KindInProgress   Kind = "in progress"   // another membership change is not committed yet
	KindNotReady     Kind = "not ready"     // no entry of the current term is committed yet
	KindNotCaughtUp  Kind = "not caught up" // the learner is unresponsive or lags too far behind
	KindQuorum       Kind = "quorum"        // the change would leave too few responsive voters for a quorum
	KindInvalid      Kind = "invalid"       // invalid argument or malformed message
	KindForeign      Kind = "foreign"       // message for another replica, cluster or generation
	KindCorrupt      Kind = "stored"        // the stored state is inconsistent
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

// Leader returns the presumed leader, or 0 if it is unknown.
func (e *Error) Leader() ReplicaID { return e.leader }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// checkLeader returns an error of KindNotLeader unless this replica leads.
func (n *Node) checkLeader(operation string) error {
	if n.role == Leader {
		return nil
	}

	err := newError(operation, KindNotLeader, "replica %v is %v, the leader is %v", n.config.Replica, n.role, n.leader)
	err.leader = n.leader

	return err
}
