package cmd

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"jayspindle/internal/testing/capacity"
)

type capacityCommand struct {
	json  bool
	quick bool
}

func (*capacityCommand) Name() string { return "capacity" }

func (*capacityCommand) Synopsis() string {
	return "measure what each role costs and work out its cost at the target size"
}

func (*capacityCommand) Usage() string {
	return `jayspindle capacity [-quick] [-json]
  Repeats the measurements behind docs/CAPACITY.md and prints its tables. Takes
  under 3 minutes and 4 GB of memory; opens sockets on loopback and files in the
  directory for temporary files.
  Example: jayspindle capacity -json > capacity.json
`
}

func (c *capacityCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&c.json, "json", false, "print JSON instead of tables")
	flags.BoolVar(&c.quick, "quick", false, "measure small sizes only, to try the measurements out")
}

func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := capacity.Run(ctx, capacity.Options{Quick: c.quick, Progress: os.Stderr})
	if err != nil {
		return fail(err)
	}

	write := report.WriteTables
	if c.json {
		write = report.WriteJSON
	}

	if err := write(os.Stdout); err != nil {
		return fail(err)
	}

	return exitOK
}
