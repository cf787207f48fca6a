package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/backend"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type backendCommand struct{ settingsFlag }

func (*backendCommand) Name() string { return "backend" }

func (*backendCommand) Synopsis() string { return "run a stand-in backend server" }

func (*backendCommand) Usage() string {
	return `jayspindle backend -settings FILE
  Runs a stand-in backend server until SIGTERM, then finishes its requests.
  Example: jayspindle backend -settings backend.yaml
`
}

func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return process[backend.Settings]{
		name: "backend",
		telemetrySettings: func(config *backend.Settings) (telemetry.Settings, settings.Instance) {
			return config.Telemetry, config.Instance
		},
		run: func(ctx context.Context, config *backend.Settings, observed *telemetry.Telemetry) error {
			ledger, err := backend.NewLedger(config.Ledger)
			if err != nil {
				return err
			}

			if err := backend.New(*config, ledger, observed.Logger(), observed.Tracer()).Run(ctx); err != nil {
				return err
			}

			return ledger.Close()
		},
	}.execute(ctx, c.settings)
}
