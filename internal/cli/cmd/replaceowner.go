package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/transport/identity"
)

type replaceOwnerCommand struct {
	operatorFlags
	owner  string
	name   string
	key    string
	author string
	change string
	reason string
	base   uint64
}

func (*replaceOwnerCommand) Name() string { return "replace-owner" }

func (*replaceOwnerCommand) Synopsis() string { return "propose another name or key for a co-owner" }

func (*replaceOwnerCommand) Usage() string {
	return `jayspindle replace-owner -owner NAME -new-key TEXT -author OWNER [flags]
  Both co-owners then sign the digest that it prints, the one to be replaced
  with the old key: jayspindle sign -environment owners -digest DIGEST ...
  Example: jayspindle replace-owner -owner city -new-key ed25519:... -author works
`
}

func (c *replaceOwnerCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.owner, "owner", "", "co-owner to be replaced")
	flags.StringVar(&c.name, "new-name", "", "new name, the old one if empty")
	flags.StringVar(&c.key, "new-key", "", "new public key as keygen prints it")
	flags.StringVar(&c.author, "author", "", "co-owner in whose name the change is made")
	flags.StringVar(&c.change, "change", "", "change `ID`, random if empty")
	flags.StringVar(&c.reason, "reason", "", "why, for the history")
	flags.Uint64Var(&c.base, "base", 0, "number of replacements accepted so far, from history -environment owners")
}

func (c *replaceOwnerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.owner == "" || c.author == "" {
		return failUsage("replace-owner: -owner and -author are needed")
	}

	key, err := identity.ParsePublicKey(c.key)
	if err != nil {
		return fail(err)
	}

	name := c.name
	if name == "" {
		name = c.owner
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		reply, err := client.ReplaceOwner(ctx, control.ReplaceOwner{
			Base:      c.base,
			ChangeID:  changeID(c.change),
			Author:    c.author,
			Reason:    c.reason,
			Owner:     c.owner,
			NewName:   name,
			PublicKey: key,
		})

		return reply, showChange(reply), err
	})
}
