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

// maxNesting limits the recursion of the YAML parser. Half a million levels fit
// into 1 MiB and would overflow the stack, which recover cannot catch. A valid
// document has five levels.
const maxNesting = 32

// parseTree returns the root of the only YAML document in data. It returns a panic
// of the YAML library as a syntax error.
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
	if fault, ok := findLimitFault(name, tokens); ok {
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

// sizeChecker finds input that is too expensive for the parser, before it is parsed.
// The parser recurses for each level of nesting and for each key of a block mapping,
// and the cost of a mapping is quadratic in its keys. 170,000 keys fit into 1 MiB and
// took minutes.
type sizeChecker struct {
	line         int
	openBrackets []int // keys in each open bracket
	lineDepth    int   // block entries and keys on this line
	openMappings []keyCount
}

// keyCount is the number of keys of the block mapping at a column.
type keyCount struct{ column, keys int }

// maxMappingKeys limits the keys of one mapping. The largest valid one has 8.
const maxMappingKeys = 64

// findLimitFault looks for nesting deeper than maxNesting, for mappings of more
// than maxMappingKeys keys, and for more than maxEmptyValues empty values.
func findLimitFault(name string, tokens token.Tokens) (Fault, bool) {
	var (
		s sizeChecker
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

// add processes one token. It returns the texts of a fault if a limit is exceeded,
// and empty strings otherwise.
func (s *sizeChecker) add(current *token.Token) (found, allowed string) {
	if current.Position.Line != s.line {
		s.lineDepth, s.line = 0, current.Position.Line

		if len(s.openBrackets) == 0 && s.countLineStart(current) > maxMappingKeys {
			return "more keys", fmt.Sprintf("at most %d keys in a mapping", maxMappingKeys)
		}
	}

	keys := 0

	switch current.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.openBrackets = append(s.openBrackets, 0)
	case token.SequenceEndType, token.MappingEndType:
		s.openBrackets = s.openBrackets[:max(len(s.openBrackets)-1, 0)]
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		if len(s.openBrackets) == 0 {
			s.lineDepth++
		} else {
			s.openBrackets[len(s.openBrackets)-1]++
			keys = s.openBrackets[len(s.openBrackets)-1]
		}
	default:
	}

	if len(s.openBrackets) > maxNesting || s.lineDepth > maxNesting || len(s.openMappings) > maxNesting {
		return "deeper nesting", fmt.Sprintf("at most %d levels", maxNesting)
	}

	if keys > maxMappingKeys {
		return "more keys", fmt.Sprintf("at most %d keys in a mapping", maxMappingKeys)
	}

	return "", ""
}

// countLineStart returns how many lines of the same mapping start at the column of
// the line's first token.
func (s *sizeChecker) countLineStart(first *token.Token) int {
	column := first.Position.Column

	for len(s.openMappings) > 0 && s.openMappings[len(s.openMappings)-1].column > column {
		s.openMappings = s.openMappings[:len(s.openMappings)-1]
	}

	if len(s.openMappings) == 0 || s.openMappings[len(s.openMappings)-1].column < column {
		s.openMappings = append(s.openMappings, keyCount{column: column})
	}

	top := &s.openMappings[len(s.openMappings)-1]
	if first.Type != token.SequenceEntryType {
		top.keys++
	}

	return top.keys
}
