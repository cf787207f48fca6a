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

	// maxNodes limits the number of values after the expansion of aliases. 10,000
	// services that share one list of 7 full classes stay below it.
	maxNodes = 1_000_000
)

// sourceValue describes one value of the document for faults.
type sourceValue struct {
	line, column   int
	found, allowed string
}

// binder fills the raw types from a YAML tree and collects the faults.
type binder struct {
	name        string
	root        ast.Node
	anchors     map[string]ast.Node
	nodes       int
	faults      []Fault
	omitted     int
	faultyPaths map[string]bool        // paths that have a fault
	recorded    map[string]sourceValue // values by path; nil unless they are recorded
}

func newBinder(name string) *binder {
	return &binder{name: name, faultyPaths: map[string]bool{}}
}

func (b *binder) bindRoot(root ast.Node, raw *rawDocument) {
	b.root = root
	b.anchors = map[string]ast.Node{}
	b.bind(root, reflect.ValueOf(raw).Elem(), valuePath{}, fieldRule{allowed: "a mapping"})
}

// valuePath is the path of a value, linked from the value to its parents. It is
// formatted only for faults, because most documents have none.
type valuePath struct {
	parent *valuePath
	key    string
	index  int
}

func (p *valuePath) String() string {
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

// exceedsMaxNodes reports whether aliases expand to more than maxNodes values.
func (b *binder) exceedsMaxNodes() bool { return b.nodes > maxNodes }

func (b *binder) bind(node ast.Node, target reflect.Value, path valuePath, rule fieldRule) {
	if b.exceedsMaxNodes() {
		return
	}

	b.nodes++
	if b.exceedsMaxNodes() {
		// This fault explains why the search stops, so it must not be omitted.
		b.faults = b.faults[:min(len(b.faults), maxFaults-1)]
		b.add(&path, node, "more values through aliases", fmt.Sprintf("at most %d values", maxNodes))

		return
	}

	if anchor, ok := node.(*ast.AnchorNode); ok {
		b.bind(anchor.Value, target, path, rule)
		// Registered after its value, so that no alias can contain itself.
		b.anchors[scalarText(anchor.Name)] = anchor.Value

		return
	}

	if alias, ok := node.(*ast.AliasNode); ok {
		value, ok := b.anchors[scalarText(alias.Value)]
		if !ok {
			b.add(&path, node, "alias "+quote(scalarText(alias.Value)), "an alias of an anchor further up")

			return
		}

		b.bind(value, target, path, rule)

		return
	}

	if b.recorded != nil {
		line, column := position(node)
		b.recorded[path.String()] = sourceValue{line: line, column: column, found: describe(node), allowed: rule.allowed}
	}

	if !b.bindValue(node, target, &path, rule) {
		b.add(&path, node, describe(node), rule.allowed)
	}
}

// bindValue stores the node in the target and reports whether the node has the
// target's type.
func (b *binder) bindValue(node ast.Node, target reflect.Value, path *valuePath, rule fieldRule) bool {
	if value, ok := target.Addr().Interface().(scalar); ok {
		scalarNode, isScalar := node.(ast.ScalarNode)

		return isScalar && value.parse(scalarText(scalarNode)) == nil
	}

	switch target.Kind() {
	case reflect.Struct:
		return b.bindMapping(node, target, path)
	case reflect.Slice:
		return b.bindSequence(node, target, path, rule.maxItems)
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

		parsed, err := parseDecimal(value.Token.Value)
		target.SetUint(parsed)

		return err == nil
	}
}

// bindSequence refuses lists beyond the limit before it allocates memory for them:
// 10,000 aliases of one list would take gigabytes.
func (b *binder) bindSequence(node ast.Node, target reflect.Value, path *valuePath, maxItems int) bool {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok || len(sequence.Values) > maxItems {
		return false
	}

	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))

	for i, value := range sequence.Values {
		b.bind(value, target.Index(i), valuePath{parent: path, index: i}, fieldRule{allowed: "a mapping"})
	}

	return true
}

func (b *binder) bindMapping(node ast.Node, target reflect.Value, path *valuePath) bool {
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
	keyLines := make([]int, len(fields.all)) // 0 until the key is found

	for _, entry := range entries {
		key := scalarText(entry.Key)
		keyPath := valuePath{parent: path, key: key}

		i, ok := fields.byKey[key]
		if !ok || entry.Key.IsMergeKey() {
			b.add(&keyPath, entry.Key, "unknown key "+quote(key), "one of "+fields.keys)

			continue
		}

		if keyLines[i] != 0 {
			b.add(&keyPath, entry.Key, fmt.Sprintf("a second key, first on line %d", keyLines[i]), "each key once")

			continue
		}

		keyLines[i], _ = position(entry.Key)
		keyLines[i] = max(keyLines[i], 1)
		b.bind(entry.Value, target.Field(i), keyPath, fields.all[i])
	}

	for i, field := range fields.all {
		if keyLines[i] == 0 && !field.optional {
			b.add(&valuePath{parent: path, key: field.key}, node, "no value", field.allowed)
		}
	}

	return true
}

// add records a fault at the position of the node.
func (b *binder) add(path *valuePath, node ast.Node, found, allowed string) {
	if len(b.faults) >= maxFaults {
		b.omitted++

		return
	}

	line, column := position(node)
	b.addFault(path.String(), sourceValue{line: line, column: column, found: found, allowed: allowed})
}

func (b *binder) addFault(path string, value sourceValue) {
	b.faultyPaths[path] = true

	if len(b.faults) >= maxFaults {
		b.omitted++

		return
	}

	if path == "" {
		path = "(document)"
	}

	b.faults = append(b.faults, Fault{
		File: b.name, Line: value.line, Column: value.column, Path: path, Found: value.found, Allowed: value.allowed,
	})
}

func (b *binder) invalidError() error {
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

	start := node.GetToken().Position

	return start.Line, start.Column
}

// scalarText returns the text of a scalar as written, without quotes.
func scalarText(node ast.Node) string {
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

// describe returns the text for a value in a fault.
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
		return strings.Trim(quote(scalarText(value)), `"`)
	default:
		return "a " + strings.ToLower(node.Type().String())
	}
}
