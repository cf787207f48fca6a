// Package failure provides the error type that all packages share. It holds the
// package, the operation that failed, a kind that callers can act on, and the
// cause.
//
// # Usage
//
// Each package declares its kinds and an alias for its error type:
//
//	type Kind string
//
//	const KindFile Kind = "file" // the file cannot be read
//
//	type Error = failure.Error[Kind]
//
//	func newError(operation string, kind Kind, err error) *Error {
//		return failure.New("settings", operation, kind, err)
//	}
//
// Callers use errors.As with the alias:
//
//	var failed *settings.Error
//	if errors.As(err, &failed) && failed.Kind() == settings.KindFile {
//		// ...
//	}
package failure

import "fmt"

// Error is an error with the operation that failed and its kind.
type Error[K ~string] struct {
	packageName string
	operation   string
	kind        K
	err         error
}

// New returns an error of the package with the given name.
func New[K ~string](packageName, operation string, kind K, err error) *Error[K] {
	return &Error[K]{packageName: packageName, operation: operation, kind: kind, err: err}
}

// Error returns the package, the operation, the kind and the cause.
func (e *Error[K]) Error() string {
	return fmt.Sprintf("%s: %s: %s: %v", e.packageName, e.operation, e.kind, e.err)
}

// Operation returns the operation that failed.
func (e *Error[K]) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error[K]) Kind() K { return e.kind }

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.err }
