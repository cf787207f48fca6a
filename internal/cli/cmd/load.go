package cmd

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/program/load"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type loadCommand struct {
	settings string
	json     bool
}

func (*loadCommand) Name() string { return "load" }

func (*loadCommand) Synopsis() string {
	return "drive callers through the balancers and report what they saw"
}

func (*loadCommand) Usage() string {
	return `jayspindle load -settings FILE [-json]
  Simulates callers and the fabric for the duration in the settings. Exits with
  3 if a flow broke or a request ran twice, was lost, or ran after a refusal.
  Example: jayspindle load -settings load.yaml -json
`
}

func (c *loadCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "YAML settings `file`")
	flags.BoolVar(&c.json, "json", false, "print JSON instead of tables")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("load: -settings is missing")
	}

	config, err := settings.Load[load.Settings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "load", config.Instance)
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	client, err := load.New(*config, observed.Logger(), observed.Tracer())
	if err != nil {
		return fail(err)
	}

	result, err := c.drive(ctx, client)
	if err != nil {
		return fail(err)
	}

	write := result.WriteTable
	if c.json {
		write = result.WriteJSON
	}

	if err := write(os.Stdout); err != nil {
		return fail(err)
	}

	if !result.Kept() {
		return exitCheck
	}

	return exitOK
}

// drive runs the load and shows its progress on standard error.
func (*loadCommand) drive(ctx context.Context, client *load.Client) (*load.Result, error) {
	showing, stop := context.WithCancel(ctx)

	var group conc.WaitGroup

	group.Go(func() { client.ShowProgress(showing, os.Stderr) })

	result, err := client.Run(ctx)

	stop()
	group.Wait()

	return result, err
}
