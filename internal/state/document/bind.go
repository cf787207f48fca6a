package document

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

const (
	maxFaults = 10_000

	// maxNodes bounds what aliases can expand to: 10,000 services that share
	// one list of 7 full classes fit.
	maxNodes = 1_000_000
)

// place is one value of the document.
type place struct {
	line, column   int
	found, allowed string
}

// binder fills the raw types from a YAML tree and collects the faults.
type binder struct {
	name    string
	root    ast.Node
	anchors map[string]ast.Node
	nodes   int
	faults  []Fault
	omitted int
	faulted map[string]bool  // paths that have a fault
	places  map[string]place // nil unless places are recorded
}

func newBinder(name string) *binder {
	return &binder{name: name, faulted: map[string]bool{}}
}

func (b *binder) bindRoot(root ast.Node, raw *rawDocument) {
	b.root = root
	b.anchors = map[string]ast.Node{}
	b.bind(root, reflect.ValueOf(raw).Elem(), location{}, fieldRule{allowed: "a mapping"})
}

// location is the place of a value, from the inside out. It is rendered only for
// faults: most documents have none.
type location struct {
	parent *location
	key    string
	index  int
}

func (p *location) String() string {
	if p.parent == nil {
		return ""
	}

	prefix := p.parent.String()

	switch {
	case p.key == "":
		return fmt.Sprintf("%s[%d]", prefix, p.index)
	case prefix == "":
		return p.key
	default:
		return prefix + "." + p.key
	}
}

// exhausted reports whether aliases expand to more than maxNodes values.
func (b *binder) exhausted() bool { return b.nodes > maxNodes }

func (b *binder) bind(node ast.Node, target reflect.Value, at location, rule fieldRule) {
	if b.exhausted() {
		return
	}

	b.nodes++
	if b.exhausted() {
		// This fault explains why the search ends, so it gets a place.
		b.faults = b.faults[:min(len(b.faults), maxFaults-1)]
		b.add(&at, node, "more values through aliases", fmt.Sprintf("at most %d values", maxNodes))

		return
	}

	if anchor, ok := node.(*ast.AnchorNode); ok {
		b.bind(anchor.Value, target, at, rule)
		// Registered after its value, so that no alias can contain itself.
		b.anchors[text(anchor.Name)] = anchor.Value

		return
	}

	if alias, ok := node.(*ast.AliasNode); ok {
		value, ok := b.anchors[text(alias.Value)]
		if !ok {
			b.add(&at, node, "alias "+quote(text(alias.Value)), "an alias of an anchor further up")

			return
		}

		b.bind(value, target, at, rule)

		return
	}

	if b.places != nil {
		line, column := position(node)
		b.places[at.String()] = place{line: line, column: column, found: describe(node), allowed: rule.allowed}
	}

	if !b.bindValue(node, target, &at, rule) {
		b.add(&at, node, describe(node), rule.allowed)
	}
}

// bindValue reports whether the node has the form of the target.
func (b *binder) bindValue(node ast.Node, target reflect.Value, at *location, rule fieldRule) bool {
	if value, ok := target.Addr().Interface().(scalar); ok {
		scalarNode, isScalar := node.(ast.ScalarNode)

		return isScalar && value.parse(text(scalarNode)) == nil
	}

	switch target.Kind() {
	case reflect.Struct:
		return b.bindMapping(node, target, at)
	case reflect.Slice:
		return b.bindSequence(node, target, at, rule.limit)
	case reflect.String:
		value, ok := node.(*ast.StringNode)
		if ok {
			target.SetString(value.Value)
		}

		return ok
	case reflect.Bool:
		value, ok := node.(*ast.BoolNode)
		if ok {
			target.SetBool(value.Value)
		}

		return ok
	default:
		value, ok := node.(*ast.IntegerNode)
		if !ok {
			return false
		}

		parsed, err := parseWhole(value.Token.Value)
		target.SetUint(parsed)

		return err == nil
	}
}

// bindSequence refuses lists beyond the limit before it makes room for them:
// 10,000 aliases of one list would take gigabytes.
func (b *binder) bindSequence(node ast.Node, target reflect.Value, at *location, limit int) bool {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || len(sequence.Values) > limit {
		return false
	}

	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))

	for i, value := range sequence.Values {
		b.bind(value, target.Index(i), location{parent: at, index: i}, fieldRule{allowed: "a mapping"})
	}

	return true
}

func (b *binder) bindMapping(node ast.Node, target reflect.Value, at *location) bool {
	var entries []*ast.MappingValueNode

	switch mapping := node.(type) {
	case *ast.MappingNode:
		entries = mapping.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{mapping}
	default:
		return false
	}

	fields := fieldsOf(target.Type())
	lines := make([]int, len(fields.all)) // 0 until the key was found

	for _, entry := range entries {
		key := text(entry.Key)
		below := location{parent: at, key: key}

		i, ok := fields.byKey[key]
		if !ok || entry.Key.IsMergeKey() {
			b.add(&below, entry.Key, "unknown key "+quote(key), "one of "+fields.keys)

			continue
		}

		if lines[i] != 0 {
			b.add(&below, entry.Key, fmt.Sprintf("a second key, first on line %d", lines[i]), "each key once")

			continue
		}

		lines[i], _ = position(entry.Key)
		lines[i] = max(lines[i], 1)
		b.bind(entry.Value, target.Field(i), below, fields.all[i])
	}

	for i, field := range fields.all {
		if lines[i] == 0 && !field.optional {
			b.add(&location{parent: at, key: field.key}, node, "no value", field.allowed)
		}
	}

	return true
}

// add records a fault at the position of the node.
func (b *binder) add(at *location, node ast.Node, found, allowed string) {
	if len(b.faults) >= maxFaults {
		b.omitted++

		return
	}

	line, column := position(node)
	b.addAt(at.String(), place{line: line, column: column, found: found, allowed: allowed})
}

func (b *binder) addAt(at string, where place) {
	b.faulted[at] = true

	if len(b.faults) >= maxFaults {
		b.omitted++

		return
	}

	if at == "" {
		at = "(document)"
	}

	b.faults = append(b.faults, Fault{
		File: b.name, Line: where.line, Column: where.column, Path: at, Found: where.found, Allowed: where.allowed,
	})
}

func (b *binder) failure() error {
	slices.SortStableFunc(b.faults, func(x, y Fault) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Column, y.Column))
	})

	return &Error{operation: "parse " + b.name, kind: KindInvalid, faults: b.faults, omitted: b.omitted}
}

// position returns where a node starts. The token of a block mapping is the
// colon after its first key, so that key is used instead.
func position(node ast.Node) (line, column int) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		if !mapping.IsFlowStyle && len(mapping.Values) > 0 {
			return position(mapping.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return position(mapping.Key)
	}

	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0, 0
	}

	at := node.GetToken().Position

	return at.Line, at.Column
}

// text returns the text of a scalar as it was written, without quotes.
func text(node ast.Node) string {
	if node == nil || node.GetToken() == nil {
		return ""
	}

	return node.GetToken().Value
}

const maxFoundBytes = 80

func quote(value string) string {
	if len(value) > maxFoundBytes {
		value = strings.ToValidUTF8(value[:maxFoundBytes], "") + "..."
	}

	return fmt.Sprintf("%q", value)
}

// describe names a value in a fault.
func describe(node ast.Node) string {
	switch value := node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return fmt.Sprintf("a list of %d", len(value.Values))
	case *ast.NullNode:
		return "null"
	case *ast.StringNode:
		return quote(value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return strings.Trim(quote(text(value)), `"`)
	default:
		return "a " + strings.ToLower(node.Type().String())
	}
}
