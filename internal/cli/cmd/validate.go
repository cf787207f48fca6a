package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jayspindle/internal/state/document"
)

type validateCommand struct{ json bool }

func (*validateCommand) Name() string { return "validate" }

func (*validateCommand) Synopsis() string { return "check a document offline" }

func (*validateCommand) Usage() string {
	return `jayspindle validate [-json] FILE...
  Checks documents without the controllers. Prints every fault with file, line,
  key, the value found and what is allowed, and exits with 3 if there is one.
  Example: jayspindle validate document.yaml
`
}

func (c *validateCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

// validation is the result for one file.
type validation struct {
	File     string   `json:"file"`
	Digest   string   `json:"digest,omitempty"`
	Services int      `json:"services"`
	Faults   []string `json:"faults,omitempty"`
}

func (c *validateCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		return failUsage("validate: no file is named")
	}

	status := exitOK
	results := make([]validation, 0, flags.NArg())

	for _, name := range flags.Args() {
		result, err := validate(name)
		if err != nil {
			return fail(err)
		}

		if len(result.Faults) > 0 {
			status = exitCheck
		}

		results = append(results, result)
	}

	if c.json {
		if printed := printJSON(results); printed != exitOK {
			return printed
		}

		return status
	}

	for _, result := range results {
		result.print()
	}

	return status
}

func (v validation) print() {
	for _, fault := range v.Faults {
		fmt.Fprintln(os.Stderr, fault)
	}

	if len(v.Faults) == 0 {
		fmt.Printf("%s: valid, %d services, digest %s\n", v.File, v.Services, v.Digest)
	}
}

func validate(name string) (validation, error) {
	data, err := readDocument(name)
	if err != nil {
		return validation{}, err
	}

	parsed, err := document.Parse(name, data)
	if err == nil {
		return validation{
			File:     name,
			Digest:   fmt.Sprintf("%x", parsed.Digest()),
			Services: len(parsed.Services()),
		}, nil
	}

	result := validation{File: name}

	var faulty *document.Error
	if errors.As(err, &faulty) && len(faulty.Faults()) > 0 {
		for _, fault := range faulty.Faults() {
			result.Faults = append(result.Faults, fault.String())
		}
	} else {
		result.Faults = []string{err.Error()}
	}

	return result, nil
}
