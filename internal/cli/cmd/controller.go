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

type controllerCommand struct{ settingsFlag }

// controllerSettings adds the settings that all programs share to those of the
// controller.
type controllerSettings struct {
	Zone                string             `yaml:"zone" validate:"required,hostname_rfc1123"`
	Telemetry           telemetry.Settings `yaml:"telemetry"`
	controller.Settings `yaml:",inline"`
}

// instance identifies the controller in logs and traces.
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

func (c *controllerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return process[controllerSettings]{
		name: "controller",
		telemetrySettings: func(config *controllerSettings) (telemetry.Settings, settings.Instance) {
			return config.Telemetry, config.instance()
		},
		run: func(ctx context.Context, config *controllerSettings, observed *telemetry.Telemetry) error {
			random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))

			program, err := controller.New(config.Settings, observed.Logger(), random)
			if err != nil {
				return err
			}

			observed.SetReady(true)

			return program.Run(ctx)
		},
	}.execute(ctx, c.settings)
}
