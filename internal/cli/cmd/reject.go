package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
)

type rejectCommand struct{ signFlags }

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
	return c.decide(ctx, document.Reject, func(
		ctx context.Context, client *controller.Client, signed control.Sign,
	) (control.ChangeReply, error) {
		return client.Reject(ctx, control.Reject(signed))
	})
}
