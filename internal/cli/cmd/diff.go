package cmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"jayspindle/internal/state/document"
)

type diffCommand struct{ json bool }

func (*diffCommand) Name() string { return "diff" }

func (*diffCommand) Synopsis() string { return "show what changes between two documents, offline" }

func (*diffCommand) Usage() string {
	return `jayspindle diff [-json] OLD NEW
  Lists services, classes and fields that differ. Formatting does not count.
  Example: jayspindle diff in-force.yaml document.yaml
`
}

func (c *diffCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print JSON")
}

func (c *diffCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 2 {
		return failUsage("diff: two files are needed")
	}

	old, err := parseDocument(flags.Arg(0))
	if err != nil {
		return fail(err)
	}

	next, err := parseDocument(flags.Arg(1))
	if err != nil {
		return fail(err)
	}

	changes := document.Diff(old, next)

	if c.json {
		return printJSON(changes)
	}

	for _, change := range changes {
		fmt.Println(change)
	}

	if len(changes) == 0 {
		fmt.Println("no difference")
	}

	return exitOK
}
