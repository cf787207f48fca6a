package document

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSize    Kind = "size"    // the document is longer than MaxBytes
	KindSyntax  Kind = "syntax"  // the bytes are not one YAML document
	KindInvalid Kind = "invalid" // the document breaks rules of the schema
	KindKey     Kind = "key"     // a text is not a public key
)

// Fault is one violation of a rule in a document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`    // of the key, as in "services[2].classes[0].deadline"
	Found   string `json:"found"`   // the value found, truncated
	Allowed string `json:"allowed"` // the values allowed
}

// String returns the fault on one line, as "file:line:column: path: ...".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: found %s, allowed: %s", f.File, f.Line, f.Column, f.Path, f.Found, f.Allowed)
}

// Error is the error type of this package.
type Error struct {
	operation string
	kind      Kind
	faults    []Fault
	omitted   int
	err       error
}

func newError(operation string, kind Kind, err error) *Error {
	return &Error{operation: operation, kind: kind, err: err}
}

// Error returns the operation, the kind, the cause and one line for each fault.
func (e *Error) Error() string {
	var text strings.Builder

	fmt.Fprintf(&text, "document: %s: %s", e.operation, e.kind)

	if e.err != nil {
		fmt.Fprintf(&text, ": %v", e.err)
	}

	for _, fault := range e.faults {
		fmt.Fprintf(&text, "\n%s", fault)
	}

	if e.omitted > 0 {
		fmt.Fprintf(&text, "\nand %d more", e.omitted)
	}

	return text.String()
}

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Faults returns the faults of the document, sorted by line. At most 10,000 are
// kept.
func (e *Error) Faults() []Fault { return e.faults }

// Unwrap returns the cause, or nil if the error consists of faults.
func (e *Error) Unwrap() error { return e.err }
