package cmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
)

type explainCommand struct {
	operatorFlags
	environment string
}

func (*explainCommand) Name() string { return "explain" }

func (*explainCommand) Synopsis() string { return "tell what was decided about a change, when and why" }

func (*explainCommand) Usage() string {
	return `jayspindle explain [-environment NAME] CHANGE
  Shows who submitted and signed the change with this ID or version, when it was
  accepted or why it was refused, and where it is in force.
  Example: jayspindle explain -environment production 7
`
}

func (c *explainCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.environment, "environment", "production", "trial, production or owners")
}

func (c *explainCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return failUsage("explain: name one change by its ID or version")
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		reply, err := client.Explain(ctx, c.environment, flags.Arg(0))

		return reply, func() {
			for _, line := range reply.Lines {
				fmt.Println(line)
			}
		}, err
	})
}
