package cmd

import (
	"context"
	"flag"
	"math/rand/v2"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
	"jayspindle/internal/transport/identity"
)

type controllerCommand struct{ settings string }

// controllerSettings adds to the settings of the controller what all programs have.
type controllerSettings struct {
	Zone                string             `yaml:"zone" validate:"required,hostname_rfc1123"`
	Telemetry           telemetry.Settings `yaml:"telemetry"`
	controller.Settings `yaml:",inline"`
}

// instance names the controller in logs and traces.
func (s *controllerSettings) instance() settings.Instance {
	return settings.Instance{Name: s.Name, Environment: identity.AllEnvironments, Zone: s.Zone}
}

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

	config, err := settings.Load[controllerSettings](c.settings)
	if err != nil {
		return fail(err)
	}

	observed, err := telemetry.New(config.Telemetry, "controller", config.instance())
	if err != nil {
		return fail(err)
	}
	defer observed.Close(context.WithoutCancel(ctx))

	process, err := controller.New(config.Settings, observed.Logger(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return fail(err)
	}

	observed.SetReady(true)

	if err := process.Run(ctx); err != nil {
		return fail(err)
	}

	return exitOK
}
