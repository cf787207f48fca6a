package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
)

type promoteCommand struct {
	operatorFlags
	change string
	author string
	base   string
	reason string
}

func (*promoteCommand) Name() string { return "promote" }

func (*promoteCommand) Synopsis() string {
	return "propose the document in force in trial for production"
}

func (*promoteCommand) Usage() string {
	return `jayspindle promote -author OWNER [flags]
  Submits the same bytes to production. Both co-owners sign them again there.
  Example: jayspindle promote -author city
`
}

func (c *promoteCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.change, "change", "", "change `ID`, random if empty")
	flags.StringVar(&c.author, "author", "", "co-owner in whose name the change is made")
	flags.StringVar(&c.reason, "reason", "", "why, for the history")
	flags.StringVar(&c.base, "base", "", "`version` of production that the change builds on")
}

func (c *promoteCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.author == "" {
		return failUsage("promote: -author is missing")
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		trial, err := client.Status(ctx, "trial")
		if err != nil {
			return nil, nil, err
		}

		base, err := baseVersion(ctx, client, "production", c.base)
		if err != nil {
			return nil, nil, err
		}

		reply, err := client.Promote(ctx, control.Promote{
			Base:     base,
			Digest:   trial.Digest,
			ChangeID: changeID(c.change),
			Author:   c.author,
			Reason:   c.reason,
		})

		return reply, showChange(reply), err
	})
}
