package document

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// fieldTable describes the keys of one raw type.
type fieldTable struct {
	all   []fieldRule
	byKey map[string]int
	keys  string // all keys, for faults
}

type fieldRule struct {
	key      string
	optional bool
	allowed  string
	maxItems int // maximum length of a list
}

var fieldTables sync.Map // reflect.Type to *fieldTable

func fieldsOf(raw reflect.Type) *fieldTable {
	if cached, ok := fieldTables.Load(raw); ok {
		return cached.(*fieldTable)
	}

	table := &fieldTable{byKey: map[string]int{}}

	var keys []string

	for i := range raw.NumField() {
		field := raw.Field(i)
		key, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		rule := fieldRule{key: key, optional: options == "omitempty", allowed: field.Tag.Get("allowed")}

		switch key {
		case "services":
			rule.maxItems = MaxServices
		case "classes":
			rule.maxItems = MaxClasses
		}

		table.all = append(table.all, rule)
		table.byKey[key] = i
		keys = append(keys, key)
	}

	table.keys = strings.Join(keys, ", ")
	fieldTables.Store(raw, table)

	return table
}

func yamlName(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")

	return key
}

// violation is a broken rule that is found after binding, when only the path of
// the value is known.
type violation struct {
	path           string
	found, allowed string // if empty, those recorded for the path
}

// validate applies the rules in the tags of the raw types.
func (b *binder) validate(raw *rawDocument) {
	var failed validator.ValidationErrors
	if !errors.As(structValidator().Struct(raw), &failed) {
		return
	}

	violations := make([]violation, 0, len(failed))

	for _, failure := range failed {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		violations = append(violations, violation{path: path})
	}

	b.addViolations(violations)
}

// addViolations adds the violations as faults. It binds the tree a second time to
// find the positions: always recording them would double the cost of documents
// without faults. A path that already has a fault, or lies inside a value that
// could not be read, is skipped, because its value is unknown.
func (b *binder) addViolations(violations []violation) {
	if len(violations) == 0 {
		return
	}

	recorder := newBinder(b.name)
	recorder.recorded = map[string]sourceValue{}
	recorder.bindRoot(b.root, &rawDocument{})

	for _, violated := range violations {
		value, ok := recorder.recorded[violated.path]
		if !ok || recorder.faultyPaths[violated.path] {
			continue
		}

		if violated.allowed != "" {
			value.found, value.allowed = violated.found, violated.allowed
		}

		b.addFault(violated.path, value)
	}
}

// checkUnique applies the rules that compare several values.
func (b *binder) checkUnique(raw *rawDocument) {
	var violations []violation

	names, addresses := map[string]int{}, map[string]int{}
	report := func(path, found, allowed string) {
		violations = append(violations, violation{path: path, found: found, allowed: allowed})
	}

	for i := range raw.Services {
		service := &raw.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		address := service.Address.parsed.String()

		if first, ok := setIfAbsent(names, service.Name, i); !ok {
			report(path+".name", quote(service.Name), fmt.Sprintf("a name other than that of services[%d]", first))
		}

		if first, ok := setIfAbsent(addresses, address, i); !ok && service.Address.parsed.IsValid() {
			report(path+".address", quote(address), fmt.Sprintf("an address other than that of services[%d]", first))
		}

		checkClasses(service.Classes, path, report)
	}

	b.addViolations(violations)
}

func checkClasses(classes []rawClass, servicePath string, report func(path, found, allowed string)) {
	names, routes := map[string]int{}, map[string]int{}
	share := uint64(0)

	for i := range classes {
		class := &classes[i]
		classPath := fmt.Sprintf("%s.classes[%d]", servicePath, i)

		if first, ok := setIfAbsent(names, class.Name, i); !ok {
			report(classPath+".name", quote(class.Name), fmt.Sprintf("a name other than that of classes[%d]", first))
		}

		route := class.Method + " " + class.Path
		if first, ok := setIfAbsent(routes, route, i); !ok {
			report(classPath+".path", quote(route),
				fmt.Sprintf("a method and path other than those of classes[%d]", first))
		}

		// A feed resumes by event ID, which repeats its request.
		if class.Feed && (class.Method != "GET" || !class.Idempotent) {
			report(classPath+".feed", "true", "false, or true with method GET and idempotent true")
		}

		share += min(uint64(class.MinShare), 100)
	}

	if share > 100 {
		report(servicePath+".classes", fmt.Sprintf("a sum of min_share of %d%%", share), "a sum of at most 100%")
	}
}

// setIfAbsent stores the index of a key unless the key already has one. It returns
// the stored index and reports whether it is the new one.
func setIfAbsent(indexes map[string]int, key string, index int) (first int, ok bool) {
	first, taken := indexes[key]
	if taken {
		return first, false
	}

	indexes[key] = index

	return index, true
}
