// Package invariant checks at run time the conditions that must always hold.
//
// # Usage
//
//	invariant.Assert(term >= stored, "raft: the term never decreases",
//		slog.Uint64("term", term), slog.Uint64("stored", stored))
//
// A violation panics with a *ViolationError: continuing could break a guarantee to
// callers or co-owners, and a restarted process recovers from durable state.
package invariant

import (
	"fmt"
	"log/slog"
	"strings"
)

// ViolationError is the value that Assert panics with.
type ViolationError struct {
	name       string
	attributes []slog.Attr
}

// Name returns the invariant that was violated.
func (v *ViolationError) Name() string { return v.name }

// Error returns the invariant and the attributes that show the violation.
func (v *ViolationError) Error() string {
	var text strings.Builder

	fmt.Fprintf(&text, "invariant violated: %s", v.name)

	for _, attribute := range v.attributes {
		fmt.Fprintf(&text, " %s", attribute)
	}

	return text.String()
}

// Assert panics with a *ViolationError if ok is false.
func Assert(ok bool, name string, attributes ...slog.Attr) {
	if !ok {
		panic(&ViolationError{name: name, attributes: attributes})
	}
}

// Repanic panics again with a recovered value if it is a violation. Those who contain
// the panics of others call it first.
func Repanic(cause any) {
	if violation, ok := cause.(*ViolationError); ok {
		panic(violation)
	}
}
