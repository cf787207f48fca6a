package cmd

import (
	"context"
	"flag"
	"math/rand/v2"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type controllerCommand struct{ settings string }

func (*controllerCommand) Name() string { return "controller" }

func (*controllerCommand) Synopsis() string { return "run a controller on an instance with a disk" }

func (*controllerCommand) Usage() string {
	return `jayspindle controller -settings FILE
  Runs a replica of the control plane until SIGTERM, then hands leadership over.
  Example: jayspindle controller -settings controller.yaml
`
}

func (c *controllerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "YAML settings `file`")
}

func (c *controllerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("controller: -settings is missing")
	}

	config, err := settings.Load[controller.Settings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "controller", config.Instance())
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	process, err := controller.New(*config, observed.Logger(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return fail(err)
	}

	observed.SetReady(true)

	if err := process.Run(ctx); err != nil {
		return fail(err)
	}

	return exitOK
}
