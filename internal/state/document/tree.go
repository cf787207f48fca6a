package document

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds the recursion of the YAML parser. Half a million levels
// fit into 1 MiB and would exhaust the stack, which no recover can stop. A
// valid document nests five levels deep.
const maxNesting = 32

// parseTree returns the root of the only YAML document in data. A panic of the
// YAML library becomes a syntax error.
func parseTree(name string, data []byte) (root ast.Node, err error) {
	operation := "parse " + name

	defer func() {
		if cause := recover(); cause != nil {
			root, err = nil, newError(operation, KindSyntax, fmt.Errorf("the YAML parser failed: %v", cause))
		}
	}()

	if !utf8.Valid(data) {
		return nil, newError(operation, KindSyntax, errors.New("found bytes that are not UTF-8"))
	}

	tokens := lexer.Tokenize(string(data))
	if fault, ok := nestingFault(name, tokens); ok {
		return nil, &Error{operation: operation, kind: KindSyntax, faults: []Fault{fault}}
	}

	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(operation, name, err)
	}

	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, newError(operation, KindSyntax,
			fmt.Errorf("found %d YAML documents, allowed: one that is not empty", len(file.Docs)))
	}

	return file.Docs[0].Body, nil
}

func syntaxError(operation, name string, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil || located.GetToken().Position == nil {
		return newError(operation, KindSyntax, err)
	}

	position := located.GetToken().Position

	return &Error{operation: operation, kind: KindSyntax, faults: []Fault{{
		File: name, Line: position.Line, Column: position.Column, Path: "(syntax)",
		Found: quote(located.GetToken().Value), Allowed: "valid YAML: " + located.GetMessage(),
	}}}
}

// shape follows the tokens of a document and finds what would cost the parser
// too much: it recurses for each level of nesting, and for each key of a block
// mapping with a cost that grows with their square. 170,000 keys fit into
// 1 MiB and took minutes.
type shape struct {
	line  int
	flow  []int // keys in each open bracket
	row   int   // block entries and keys on this line
	depth []keyCount
}

// keyCount is the number of keys of a block mapping at a column.
type keyCount struct{ column, keys int }

// maxKeys bounds the keys of one block mapping. The largest valid one has 8.
const maxKeys = 64

// nestingFault looks for nesting deeper than maxNesting, for mappings of more
// than maxKeys keys, and for more than maxEmptyValues empty values.
func nestingFault(name string, tokens token.Tokens) (Fault, bool) {
	var (
		s shape
		e emptyValues
	)

	for _, current := range tokens {
		if current.Position == nil || current.Type == token.CommentType {
			continue
		}

		found, allowed := s.add(current)
		if found == "" {
			found, allowed = e.add(current)
		}

		if found == "" {
			continue
		}

		return Fault{
			File: name, Line: current.Position.Line, Column: current.Position.Column, Path: "(syntax)",
			Found: found, Allowed: allowed,
		}, true
	}

	return Fault{}, false
}

// add follows one token and returns the two texts of a fault, or nothing.
func (s *shape) add(current *token.Token) (found, allowed string) {
	if current.Position.Line != s.line {
		s.row, s.line = 0, current.Position.Line

		if len(s.flow) == 0 && s.startLine(current) > maxKeys {
			return "more keys", fmt.Sprintf("at most %d keys in a mapping", maxKeys)
		}
	}

	keys := 0

	switch current.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flow = append(s.flow, 0)
	case token.SequenceEndType, token.MappingEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		if len(s.flow) == 0 {
			s.row++
		} else {
			s.flow[len(s.flow)-1]++
			keys = s.flow[len(s.flow)-1]
		}
	default:
	}

	if len(s.flow) > maxNesting || s.row > maxNesting || len(s.depth) > maxNesting {
		return "deeper nesting", fmt.Sprintf("at most %d levels", maxNesting)
	}

	if keys > maxKeys {
		return "more keys", fmt.Sprintf("at most %d keys in a mapping", maxKeys)
	}

	return "", ""
}

// startLine returns how many lines of the same mapping start at the column of
// the line's first token.
func (s *shape) startLine(first *token.Token) int {
	column := first.Position.Column

	for len(s.depth) > 0 && s.depth[len(s.depth)-1].column > column {
		s.depth = s.depth[:len(s.depth)-1]
	}

	if len(s.depth) == 0 || s.depth[len(s.depth)-1].column < column {
		s.depth = append(s.depth, keyCount{column: column})
	}

	top := &s.depth[len(s.depth)-1]
	if first.Type != token.SequenceEntryType {
		top.keys++
	}

	return top.keys
}
