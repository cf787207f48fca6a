package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
)

type rejectCommand struct{ signature }

func (*rejectCommand) Name() string { return "reject" }

func (*rejectCommand) Synopsis() string {
	return "end the pending change without effect, as a co-owner"
}

func (*rejectCommand) Usage() string {
	return `jayspindle reject -file FILE -owner NAME -key FILE [flags]
  One co-owner suffices. The version is free for another change afterwards.
  Example: jayspindle reject -environment trial -file document.yaml -owner port -key keys/port.key
`
}

func (c *rejectCommand) SetFlags(flags *flag.FlagSet) { c.setSignFlags(flags) }

func (c *rejectCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		change, signed, err := c.sign(ctx, client, document.Reject)
		if err != nil {
			return nil, nil, err
		}

		reply, err := client.Reject(ctx, control.Reject{
			Environment: c.environment,
			Version:     change.Version,
			Digest:      change.Digest,
			Owner:       c.owner,
			Signature:   signed,
		})

		return reply, showChange(reply), err
	})
}
