package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/agent"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

type agentCommand struct{ settings string }

func (*agentCommand) Name() string { return "agent" }

func (*agentCommand) Synopsis() string { return "run the agent beside a backend server" }

func (*agentCommand) Usage() string {
	return `jayspindle agent -settings FILE
  Announces its backend server and serves callers. On SIGTERM it drains: no new
  work, feeds move to other agents, requests in progress finish.
  Example: jayspindle agent -settings agent.yaml
`
}

func (c *agentCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "YAML settings `file`")
}

func (c *agentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		return usage("agent: -settings is missing")
	}

	config, err := settings.Load[agent.Settings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "agent", config.Instance)
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	program, err := agent.New(*config, observed)
	if err != nil {
		return fail(err)
	}

	if err := program.Run(ctx); err != nil {
		return fail(err)
	}

	return exitOK
}
