package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// maxEmptyValues bounds the values that are left out, as in "key:" alone. The
// YAML parser inserts a token for each of them, which moves all tokens behind
// it: 1 MiB of "- a:" lines took minutes. A valid document has none.
const maxEmptyValues = 256

// emptyValues counts, with the tokens of a document, places where the parser
// may insert a value.
type emptyValues struct {
	count  int
	colons []int // in each open bracket since its last comma; inSequence in lists
	before *token.Token
	key    *token.Token // before the token before
}

// inSequence is far below any number of colons.
const inSequence = -1 << 30

// add follows one token that is not a comment and returns the two texts of a
// fault, or nothing.
func (e *emptyValues) add(current *token.Token) (found, allowed string) {
	if e.before != nil && e.leftOut(current) {
		e.count++
	}

	top := len(e.colons) - 1

	switch current.Type {
	case token.SequenceStartType:
		e.colons = append(e.colons, inSequence)
	case token.MappingStartType:
		e.colons = append(e.colons, 0)
	case token.SequenceEndType, token.MappingEndType:
		e.colons = e.colons[:max(top, 0)]
	case token.CollectEntryType:
		if top >= 0 && e.colons[top] > 0 {
			e.colons[top] = 0
		}
	case token.MappingValueType:
		if top >= 0 {
			e.colons[top]++
		}
	case token.MappingKeyType, token.TagType:
		e.count++ // neither has a place in a document, and both may lack a value
	default:
	}

	e.before, e.key = current, e.before

	if e.count > maxEmptyValues {
		return "more empty values", fmt.Sprintf("at most %d", maxEmptyValues)
	}

	return "", ""
}

// leftOut reports whether a value is missing before the current token.
func (e *emptyValues) leftOut(current *token.Token) bool {
	ends := current.Type == token.CollectEntryType || current.Type == token.MappingEndType
	closes := ends || current.Type == token.SequenceEndType

	switch e.before.Type {
	case token.MappingValueType:
		return closes || e.key == nil || e.above(current, e.key)
	case token.SequenceEntryType:
		return closes || e.above(current, e.before)
	case token.MappingStartType, token.CollectEntryType:
		return false
	default:
		// A key without a colon in a flow mapping, as in {a}.
		top := len(e.colons) - 1

		return ends && top >= 0 && e.colons[top] == 0
	}
}

// above reports whether the current token is on a later line than the opener
// of a block and not inside that block.
func (e *emptyValues) above(current, opener *token.Token) bool {
	if current.Position.Line == e.before.Position.Line || len(e.colons) > 0 {
		return false
	}

	if current.Type == token.SequenceEntryType && e.before.Type == token.MappingValueType {
		return current.Position.Column < opener.Position.Column
	}

	return current.Position.Column <= opener.Position.Column
}
