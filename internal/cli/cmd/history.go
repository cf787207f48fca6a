package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
)

type historyCommand struct {
	operatorFlags
	environment string
	limit       uint
}

func (*historyCommand) Name() string { return "history" }

func (*historyCommand) Synopsis() string { return "list the changes of an environment, newest first" }

func (*historyCommand) Usage() string {
	return `jayspindle history [-environment NAME] [-limit N]
  Shows who changed what and when, who signed, and why a change was refused.
  Example: jayspindle history -environment production -limit 10
`
}

func (c *historyCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.environment, "environment", "production", "trial, production or owners")
	flags.UintVar(&c.limit, "limit", 20, "number of changes, at most 256")
}

func (c *historyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.limit == 0 || c.limit > control.MaxHistory {
		return failUsage("history: -limit %d is not between 1 and %d", c.limit, control.MaxHistory)
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		reply, err := client.History(ctx, c.environment, uint16(c.limit))

		return reply, func() { showHistory(reply) }, err
	})
}

func showHistory(reply control.HistoryReply) {
	printTable("TIME\tVERSION\tSTATE\tCHANGE\tAUTHOR\tSIGNED BY\tDIGEST\tREASON", func(table io.Writer) {
		for _, change := range reply.Changes {
			fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%.12x\t%s\n", change.Time.UTC().Format(time.RFC3339), change.Version,
				change.State, change.ChangeID, change.Author, strings.Join(change.Signers, ", "), change.Digest, change.Reason)
		}
	})
}
