package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/balancer"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type balancerCommand struct{ settingsFlag }

func (*balancerCommand) Name() string { return "balancer" }

func (*balancerCommand) Synopsis() string { return "run a balancer on an entry instance" }

func (*balancerCommand) Usage() string {
	return `jayspindle balancer -settings FILE
  Forwards datagrams between callers and agents. On SIGTERM it reports that it
  is not ready and forwards on for the linger time in the settings.
  Example: jayspindle balancer -settings balancer.yaml
`
}

func (c *balancerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return process[balancer.Settings]{
		name: "balancer",
		telemetrySettings: func(config *balancer.Settings) (telemetry.Settings, settings.Instance) {
			return config.Telemetry, config.Instance
		},
		run: func(ctx context.Context, config *balancer.Settings, observed *telemetry.Telemetry) error {
			program, err := balancer.New(*config, observed)
			if err != nil {
				return err
			}

			return program.Run(ctx)
		},
	}.execute(ctx, c.settings)
}
