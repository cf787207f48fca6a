package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/state/settings"
)

// settingsFlag holds the flag of the subcommands that run a process.
type settingsFlag struct{ settings string }

func (s *settingsFlag) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.settings, "settings", "", "YAML settings `file`")
}

// process describes the process that a subcommand runs with settings S.
type process[S any] struct {
	name string
	// telemetrySettings returns the settings that telemetry needs.
	telemetrySettings func(config *S) (telemetry.Settings, settings.Instance)
	run               func(ctx context.Context, config *S, tel *telemetry.Telemetry) error
}

// execute loads the settings file, starts telemetry and runs the process.
func (p process[S]) execute(ctx context.Context, file string) subcommands.ExitStatus {
	if file == "" {
		return failUsage("%s: -settings is missing", p.name)
	}

	config, err := settings.Load[S](file)
	if err != nil {
		return fail(err)
	}

	telemetrySettings, instance := p.telemetrySettings(config)

	tel, err := telemetry.New(telemetrySettings, p.name, instance)
	if err != nil {
		return fail(err)
	}
	defer tel.Close(context.WithoutCancel(ctx))

	if err := p.run(ctx, config, tel); err != nil {
		return fail(err)
	}

	return exitOK
}
