package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/backend"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type backendCommand struct{ settings string }

func (*backendCommand) Name() string { return "backend" }

func (*backendCommand) Synopsis() string { return "run a stand-in backend server" }

func (*backendCommand) Usage() string {
	return `jayspindle backend -settings FILE
  Runs a stand-in backend server until SIGTERM, then finishes its requests.
  Example: jayspindle backend -settings backend.yaml
`
}

func (c *backendCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "YAML settings `file`")
}

func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("backend: -settings is missing")
	}

	config, err := settings.Load[backend.Settings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "backend", config.Instance)
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	ledger, err := backend.NewLedger(config.Ledger)
	if err != nil {
		return fail(err)
	}

	if err := backend.New(*config, ledger, observed.Logger(), observed.Tracer()).Run(ctx); err != nil {
		return fail(err)
	}

	if err := ledger.Close(); err != nil {
		return fail(err)
	}

	return exitOK
}
