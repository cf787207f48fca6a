// Package settings reads the YAML settings of a process in strict mode: unknown and
// duplicate keys are refused, and every fault names the file, the line, the key, the
// value found and the values allowed.
//
// # Usage
//
//	type Settings struct {
//		Instance settings.Instance `yaml:"instance" validate:"required"`
//		Listen   netip.AddrPort    `yaml:"listen" validate:"required"`
//	}
//
//	loaded, err := settings.Load[Settings](file)
//
// Durations carry a unit ("250ms", "3s"). A field of type netip.AddrPort is
// written "192.0.2.1:4433".
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// maxFileBytes limits the size of a settings file. The largest example is 2 KiB.
const maxFileBytes = 1 << 20

// Instance identifies an instance and its environment and availability zone.
type Instance struct {
	Name        string `yaml:"name" validate:"required,hostname_rfc1123"`
	Environment string `yaml:"environment" validate:"oneof=trial production"`
	Zone        string `yaml:"zone" validate:"required,hostname_rfc1123"`
}

// Identity names the files with the credentials of an instance.
type Identity struct {
	Certificate string   `yaml:"certificate" validate:"required"`
	Key         string   `yaml:"key" validate:"required"`
	Authorities []string `yaml:"authorities" validate:"min=1,max=2"`
}

// Load reads and validates a settings file.
func Load[T any](file string) (*T, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, newError("load", KindFile, err)
	}

	if info.Size() > maxFileBytes {
		return nil, newError("load", KindFile,
			errors.Errorf("%s has %d bytes, at most %d are allowed", file, info.Size(), maxFileBytes))
	}

	data, err := os.ReadFile(file)
	if err != nil {
		return nil, newError("load", KindFile, err)
	}

	return Decode[T](file, data)
}

// Decode decodes and validates the settings in data. The name is used as the file
// name in errors.
func Decode[T any](name string, data []byte) (*T, error) {
	decoded := new(T)

	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.CustomUnmarshaler(unmarshalAddrPort))
	if err := decoder.Decode(decoded); err != nil {
		return nil, newError("decode", KindSyntax, errors.Errorf("%s:%s", name, syntaxFault(err)))
	}

	faults, err := validate(decoded)

	switch {
	case err != nil:
		return nil, newError("validate", KindInvalid, errors.Annotate(err, name))
	case len(faults) > 0:
		return nil, newError("validate", KindInvalid, describeFaults(name, data, faults))
	default:
		return decoded, nil
	}
}

func unmarshalAddrPort(address *netip.AddrPort, text []byte) error {
	parsed, err := netip.ParseAddrPort(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		return errors.Annotatef(err, "%q is not an address with a port", text)
	}

	*address = parsed

	return nil
}

// syntaxFault returns "line:column: message" without the source excerpt.
func syntaxFault(err error) string {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		position := located.GetToken().Position

		return fmt.Sprintf("%d:%d: %s", position.Line, position.Column, located.GetMessage())
	}

	return "1:1: " + err.Error()
}

// validate returns the faults of the values, or an error if the type cannot be
// validated.
func validate(value any) (validator.ValidationErrors, error) {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")

		return name
	})

	var faults validator.ValidationErrors

	err := check.Struct(value)
	if errors.As(err, &faults) {
		return faults, nil
	}

	return nil, errors.Trace(err)
}

// describeFaults lists all faults, each with the line of its key or of the nearest
// parent that the file contains.
func describeFaults(name string, data []byte, faults validator.ValidationErrors) error {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return errors.Trace(err)
	}

	lines := make([]string, 0, len(faults))

	for _, fault := range faults {
		_, key, _ := strings.Cut(fault.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s:%d: %s: found %q, allowed: %s",
			name, lineOfKey(file, key), key, fmt.Sprint(fault.Value()), describeAllowed(fault)))
	}

	return errors.New(strings.Join(lines, "\n"))
}

func describeAllowed(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "any value, but the key must be set"
	case "oneof":
		return "one of " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "min", "gte":
		return "at least " + fault.Param()
	case "max", "lte":
		return "at most " + fault.Param()
	case "hostname_rfc1123":
		return "letters, digits and hyphens"
	default:
		return strings.TrimSpace(fault.Tag() + " " + fault.Param())
	}
}

func lineOfKey(file *ast.File, key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}

		parentEnd := strings.LastIndexAny(key, ".[")
		if parentEnd < 0 {
			break
		}

		key = key[:parentEnd]
	}

	return 1
}
