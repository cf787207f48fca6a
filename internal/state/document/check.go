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
	limit    int // longest list
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
			rule.limit = MaxServices
		case "classes":
			rule.limit = MaxClasses
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

// violation is a broken rule that is found after binding, when only the path
// is known.
type violation struct {
	path           string
	found, allowed string // empty: as recorded for the path
}

// validate applies the rules in the tags of the raw types.
func (b *binder) validate(raw *rawDocument) {
	var failed validator.ValidationErrors
	if !errors.As(rules().Struct(raw), &failed) {
		return
	}

	violations := make([]violation, 0, len(failed))

	for _, failure := range failed {
		_, at, _ := strings.Cut(failure.Namespace(), ".")
		violations = append(violations, violation{path: at})
	}

	b.locate(violations)
}

// locate adds the violations as faults. It binds the tree a second time to
// learn the places: recording them always would double the cost of documents
// without faults. A path that has a fault already, or lies inside a value that
// could not be read, is left out, because its value is unknown.
func (b *binder) locate(violations []violation) {
	if len(violations) == 0 {
		return
	}

	recorder := newBinder(b.name)
	recorder.places = map[string]place{}
	recorder.bindRoot(b.root, &rawDocument{})

	for _, found := range violations {
		where, ok := recorder.places[found.path]
		if !ok || recorder.faulted[found.path] {
			continue
		}

		if found.allowed != "" {
			where.found, where.allowed = found.found, found.allowed
		}

		b.addAt(found.path, where)
	}
}

// checkUnique applies the rules that compare several values.
func (b *binder) checkUnique(raw *rawDocument) {
	var violations []violation

	names, addresses := map[string]int{}, map[string]int{}
	report := func(at, found, allowed string) {
		violations = append(violations, violation{path: at, found: found, allowed: allowed})
	}

	for i := range raw.Services {
		service := &raw.Services[i]
		at := fmt.Sprintf("services[%d]", i)
		address := service.Address.parsed.String()

		if first, ok := claim(names, service.Name, i); !ok {
			report(at+".name", quote(service.Name), fmt.Sprintf("a name other than that of services[%d]", first))
		}

		if first, ok := claim(addresses, address, i); !ok && service.Address.parsed.IsValid() {
			report(at+".address", quote(address), fmt.Sprintf("an address other than that of services[%d]", first))
		}

		checkClasses(service.Classes, at, report)
	}

	b.locate(violations)
}

func checkClasses(classes []rawClass, at string, report func(at, found, allowed string)) {
	names, routes := map[string]int{}, map[string]int{}
	share := uint64(0)

	for i := range classes {
		class := &classes[i]
		here := fmt.Sprintf("%s.classes[%d]", at, i)

		if first, ok := claim(names, class.Name, i); !ok {
			report(here+".name", quote(class.Name), fmt.Sprintf("a name other than that of classes[%d]", first))
		}

		route := class.Method + " " + class.Path
		if first, ok := claim(routes, route, i); !ok {
			report(here+".path", quote(route),
				fmt.Sprintf("a method and path other than those of classes[%d]", first))
		}

		// A feed resumes by event ID, which repeats its request.
		if class.Feed && (class.Method != "GET" || !class.Idempotent) {
			report(here+".feed", "true", "false, or true with method GET and idempotent true")
		}

		share += min(uint64(class.MinShare), 100)
	}

	if share > 100 {
		report(at+".classes", fmt.Sprintf("a sum of min_share of %d%%", share), "a sum of at most 100%")
	}
}

// claim records the first user of a key and reports whether it is this one.
func claim(users map[string]int, key string, user int) (first int, ok bool) {
	first, taken := users[key]
	if taken {
		return first, false
	}

	users[key] = user

	return user, true
}
