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
	settingsFlag
	json bool
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
	c.settingsFlag.SetFlags(flags)
	flags.BoolVar(&c.json, "json", false, "print JSON instead of tables")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var result *load.Result

	status := process[load.Settings]{
		name: "load",
		telemetrySettings: func(config *load.Settings) (telemetry.Settings, settings.Instance) {
			return config.Telemetry, config.Instance
		},
		run: func(ctx context.Context, config *load.Settings, observed *telemetry.Telemetry) error {
			client, err := load.New(*config, observed.Logger(), observed.Tracer())
			if err != nil {
				return err
			}

			if result, err = c.drive(ctx, client); err != nil {
				return err
			}

			return c.write(result)
		},
	}.execute(ctx, c.settings)

	if status == exitOK && !result.Passed() {
		return exitCheck
	}

	return status
}

func (c *loadCommand) write(result *load.Result) error {
	if c.json {
		return result.WriteJSON(os.Stdout)
	}

	return result.WriteTable(os.Stdout)
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
