package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/agent"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type agentCommand struct{ settingsFlag }

func (*agentCommand) Name() string { return "agent" }

func (*agentCommand) Synopsis() string { return "run the agent beside a backend server" }

func (*agentCommand) Usage() string {
	return `jayspindle agent -settings FILE
  Announces its backend server and serves callers. On SIGTERM it drains: no new
  work, feeds move to other agents, requests in progress finish.
  Example: jayspindle agent -settings agent.yaml
`
}

func (c *agentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return process[agent.Settings]{
		name: "agent",
		telemetrySettings: func(config *agent.Settings) (telemetry.Settings, settings.Instance) {
			return config.Telemetry, config.Instance
		},
		run: func(ctx context.Context, config *agent.Settings, observed *telemetry.Telemetry) error {
			program, err := agent.New(*config, observed)
			if err != nil {
				return err
			}

			return program.Run(ctx)
		},
	}.execute(ctx, c.settings)
}
