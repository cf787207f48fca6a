package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/balancer"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type balancerCommand struct{ settings string }

func (*balancerCommand) Name() string { return "balancer" }

func (*balancerCommand) Synopsis() string { return "run a balancer on an entry instance" }

func (*balancerCommand) Usage() string {
	return `jayspindle balancer -settings FILE
  Forwards datagrams between callers and agents. On SIGTERM it reports that it
  is not ready and forwards on for the linger time in the settings.
  Example: jayspindle balancer -settings balancer.yaml
`
}

func (c *balancerCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "YAML settings `file`")
}

func (c *balancerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("balancer: -settings is missing")
	}

	config, err := settings.Load[balancer.Settings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "balancer", config.Instance)
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	program, err := balancer.New(*config, observed)
	if err != nil {
		return fail(err)
	}

	if err := program.Run(ctx); err != nil {
		return fail(err)
	}

	return exitOK
}
