package link

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

const operationDial = "dial"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package. The first five are failures of the link
// itself, the others usually come from the handler at the server.
const (
	KindUnreachable    Kind = "unreachable" // no connection; the request was not sent
	KindPathTimeout    Kind = "silent"      // the idle timeout expired; the outcome is unknown
	KindConnectionLost Kind = "gone"        // the peer closed or lost the connection; the outcome is unknown
	KindDeadline       Kind = "deadline"    // the deadline passed; the outcome is unknown
	KindTooLarge       Kind = "too-large"   // a frame exceeds MaxFrameBytes

	KindRedirect      Kind = "redirect"  // not run; the leader is at the redirect address, if that is known
	KindClosing       Kind = "closing"   // not run; the server is shutting down
	KindUnknownMethod Kind = "method"    // not run; the method does not exist
	KindInvalid       Kind = "invalid"   // the request is malformed or a field is out of range
	KindDenied        Kind = "denied"    // the caller may not do this
	KindNotFound      Kind = "not-found" // the object does not exist
	KindConflict      Kind = "conflict"  // the state has changed since the caller read it
	KindBusy          Kind = "busy"      // not run; a queue is full
	KindInternal      Kind = "internal"  // the handler failed
)

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	redirect  netip.AddrPort
	err       error
}

// NewError returns a handler's error. Its kind and message are sent to the caller.
func NewError(kind Kind, err error) *Error {
	return &Error{operation: "handle", kind: kind, err: err}
}

// Errorf is NewError with a formatted message.
func Errorf(kind Kind, format string, arguments ...any) *Error {
	return NewError(kind, errors.Errorf(format, arguments...))
}

// Redirect returns an error that redirects the caller to the leader. An invalid
// address means that the leader is unknown.
func Redirect(leader netip.AddrPort) *Error {
	return &Error{
		operation: "handle", kind: KindRedirect, redirect: leader,
		err: errors.Errorf("the leader is %s", leader),
	}
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.operation, e.kind, e.err) }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Redirect returns the leader's address of a KindRedirect error, and false if the
// error has none.
func (e *Error) Redirect() (netip.AddrPort, bool) { return e.redirect, e.redirect.IsValid() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// KindOf returns the kind of an error of this package, and KindInternal for
// other errors.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.kind
	}

	return KindInternal
}

// classify returns an Error with the kind of a QUIC or context error.
func classify(operation string, err error) *Error {
	var (
		typed       *Error
		idle        *quic.IdleTimeoutError
		application *quic.ApplicationError
	)

	kind := KindConnectionLost

	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &idle):
		kind = KindPathTimeout
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		kind = KindDeadline
	case errors.As(err, &application):
		kind = KindConnectionLost
	}

	return &Error{operation: operation, kind: kind, err: err}
}
