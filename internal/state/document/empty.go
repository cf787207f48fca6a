package document

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// maxEmptyValues limits the number of missing values, as in "key:" alone. The
// YAML parser inserts a token for each of them, which moves all later tokens: 1 MiB
// of "- a:" lines took minutes. A valid document has none.
const maxEmptyValues = 256

// emptyValues counts the positions between the tokens of a document at which the
// parser may insert a value.
type emptyValues struct {
	count          int
	colons         []int // colons in each open bracket since its last comma; sequenceBracket in lists
	previous       *token.Token
	beforePrevious *token.Token // the token before previous
}

// sequenceBracket marks the bracket of a list. It is so low that counting colons
// never makes it positive.
const sequenceBracket = -1 << 30

// add processes one token that is not a comment. It returns the texts of a fault if
// there are too many empty values, and empty strings otherwise.
func (e *emptyValues) add(current *token.Token) (found, allowed string) {
	if e.previous != nil && e.isValueMissing(current) {
		e.count++
	}

	top := len(e.colons) - 1

	switch current.Type {
	case token.SequenceStartType:
		e.colons = append(e.colons, sequenceBracket)
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
		e.count++ // a valid document has neither, and both may lack a value
	default:
	}

	e.previous, e.beforePrevious = current, e.previous

	if e.count > maxEmptyValues {
		return "more empty values", fmt.Sprintf("at most %d", maxEmptyValues)
	}

	return "", ""
}

// isValueMissing reports whether the value before the current token is missing.
func (e *emptyValues) isValueMissing(current *token.Token) bool {
	endsPair := current.Type == token.CollectEntryType || current.Type == token.MappingEndType
	endsItem := endsPair || current.Type == token.SequenceEndType

	switch e.previous.Type {
	case token.MappingValueType:
		return endsItem || e.beforePrevious == nil || e.isOutsideBlock(current, e.beforePrevious)
	case token.SequenceEntryType:
		return endsItem || e.isOutsideBlock(current, e.previous)
	case token.MappingStartType, token.CollectEntryType:
		return false
	default:
		// A key without a colon in a flow mapping, as in {a}.
		top := len(e.colons) - 1

		return endsPair && top >= 0 && e.colons[top] == 0
	}
}

// isOutsideBlock reports whether the current token is on a later line than the
// previous token and not indented enough to belong to the block that opener starts.
func (e *emptyValues) isOutsideBlock(current, opener *token.Token) bool {
	if current.Position.Line == e.previous.Position.Line || len(e.colons) > 0 {
		return false
	}

	if current.Type == token.SequenceEntryType && e.previous.Type == token.MappingValueType {
		return current.Position.Column < opener.Position.Column
	}

	return current.Position.Column <= opener.Position.Column
}
