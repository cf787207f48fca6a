package cmd

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
)

type submitCommand struct {
	operatorFlags
	environment string
	file        string
	change      string
	author      string
	reason      string
	base        string
}

func (*submitCommand) Name() string { return "submit" }

func (*submitCommand) Synopsis() string { return "propose a document for an environment" }

func (*submitCommand) Usage() string {
	return `jayspindle submit -file FILE -author OWNER [flags]
  Makes the document the pending change of the environment. Without -base it
  builds on the version in force. A resend with the same -change gets the first
  answer. Exits with 4 if another change was first.
  Example: jayspindle submit -environment trial -file document.yaml -author city -reason "more slots"
`
}

func (c *submitCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.environment, "environment", "trial", "trial or production")
	flags.StringVar(&c.file, "file", "", "document `file`, - for standard input")
	flags.StringVar(&c.change, "change", "", "change `ID`, random if empty")
	flags.StringVar(&c.author, "author", "", "co-owner in whose name the change is made")
	flags.StringVar(&c.reason, "reason", "", "why, for the history")
	flags.StringVar(&c.base, "base", "", "`version` that the change builds on")
}

func (c *submitCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.author == "" || c.file == "" {
		return failUsage("submit: -author and -file are needed")
	}

	data, err := readDocument(c.file)
	if err != nil {
		return fail(err)
	}

	if _, err := document.Parse(c.file, data); err != nil {
		_ = fail(err)

		return exitCheck
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		base, err := baseVersion(ctx, client, c.environment, c.base)
		if err != nil {
			return nil, nil, err
		}

		reply, err := client.Submit(ctx, control.Submit{
			Environment: c.environment,
			Base:        base,
			ChangeID:    changeID(c.change),
			Author:      c.author,
			Reason:      c.reason,
			Document:    data,
		})

		return reply, showChange(reply), err
	})
}

// baseVersion returns the version that -base names, or the one in force if it is
// empty.
func baseVersion(ctx context.Context, client *controller.Client, environment, text string) (uint64, error) {
	if text != "" {
		base, err := strconv.ParseUint(text, 10, 64)

		return base, errors.Annotate(err, "-base")
	}

	status, err := client.Status(ctx, environment)

	return status.Version, err
}

func changeID(text string) string {
	if text != "" {
		return text
	}

	return uuid.NewString()
}
