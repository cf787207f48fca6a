package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jayspindle/internal/testing/report"
)

const (
	defaultSeeds = 5
	defaultOut   = "var/bench"
	benchWorkers = 2 // scenarios run in parallel; the machine may be shared
	benchJSON    = "measures.json"
	benchPlot    = "measures.svg"
)

type benchCommand struct {
	seeds int
	out   string
	json  bool
}

func (*benchCommand) Name() string { return "bench" }

func (*benchCommand) Synopsis() string {
	return "run the measures beside their baselines and compare them with the targets"
}

func (*benchCommand) Usage() string {
	return `jayspindle bench [-seeds N] [-out DIRECTORY] [-json]
  Runs every measure in simulated time, and the cost of forwarding over
  loopback. Prints a table for each measure and writes measures.json and
  measures.svg. Exits with 3 if a target is missed.
  Example: jayspindle bench -seeds 5 -out var/bench
`
}

func (c *benchCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&c.seeds, "seeds", defaultSeeds, "`number` of seeds, at least 1")
	flags.StringVar(&c.out, "out", defaultOut, "`directory` for measures.json and measures.svg")
	flags.BoolVar(&c.json, "json", false, "print JSON instead of tables")
}

func (c *benchCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.seeds < 1 {
		return failUsage("bench: -seeds is %d, must be at least 1", c.seeds)
	}

	if flags.NArg() > 0 {
		return failUsage("bench: unexpected argument %q", flags.Arg(0))
	}

	// Create the directory first, so that the run does not fail at its end.
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return fail(errors.Annotate(err, "bench"))
	}

	result, err := report.Run(ctx, report.Options{Seeds: c.seeds, Workers: benchWorkers, Progress: os.Stderr})
	if err != nil {
		return fail(err)
	}

	if err := c.write(result); err != nil {
		return fail(err)
	}

	missed := result.Missed()
	for _, measure := range missed {
		fmt.Fprintf(os.Stderr, "target missed: %s\n", measure.Title)
	}

	if len(missed) > 0 {
		return exitCheck
	}

	return exitOK
}

// write writes the report to the directory and to the standard output.
func (c *benchCommand) write(result *report.Report) error {
	if err := writeFile(filepath.Join(c.out, benchJSON), result.WriteJSON); err != nil {
		return err
	}

	if err := writeFile(filepath.Join(c.out, benchPlot), result.WriteSVG); err != nil {
		return err
	}

	if c.json {
		return result.WriteJSON(os.Stdout)
	}

	return result.WriteTables(os.Stdout)
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Annotate(err, "bench")
	}

	if err := write(file); err != nil {
		_ = file.Close()

		return err
	}

	return errors.Annotate(file.Close(), "bench")
}
