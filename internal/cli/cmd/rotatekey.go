package cmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
)

type rotateKeyCommand struct {
	operatorFlags
	environment string
}

func (*rotateKeyCommand) Name() string { return "rotate-key" }

func (*rotateKeyCommand) Synopsis() string { return "make a new fabric key the newest" }

func (*rotateKeyCommand) Usage() string {
	return `jayspindle rotate-key [-environment NAME]
  The leader creates the secret. The previous key stays valid until the next
  rotation, so wait until flows that began before have ended.
  Example: jayspindle rotate-key -environment production
`
}

func (c *rotateKeyCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.environment, "environment", "production", "trial or production")
}

func (c *rotateKeyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		status, err := client.Status(ctx, c.environment)
		if err != nil {
			return nil, nil, err
		}

		reply, err := client.RotateKey(ctx, c.environment, status.Rotation)

		return reply, func() { fmt.Printf("key %d is the newest\n", reply.KeyID) }, err
	})
}
