package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
	"jayspindle/internal/transport/identity"
)

// signature holds the flags of commands that sign the pending change.
type signature struct {
	operator
	environment string
	file        string
	owner       string
	key         string
}

func (s *signature) setSignFlags(flags *flag.FlagSet) {
	s.setFlags(flags)
	flags.StringVar(&s.environment, "environment", "trial", "trial or production")
	flags.StringVar(&s.file, "file", "", "the document that was read and is decided on")
	flags.StringVar(&s.owner, "owner", "", "name of the co-owner")
	flags.StringVar(&s.key, "key", "", "private key `file` of the co-owner")
}

// decide signs the decision on the pending change, which must be the document
// in the file, and sends it.
func (s *signature) decide(
	ctx context.Context, decision document.Decision,
	send func(ctx context.Context, client *controller.Client, signed control.Sign) (control.ChangeReply, error),
) subcommands.ExitStatus {
	return s.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		signed, err := s.sign(ctx, client, decision)
		if err != nil {
			return nil, nil, err
		}

		reply, err := send(ctx, client, signed)

		return reply, showChange(reply), err
	})
}

func (s *signature) sign(
	ctx context.Context, client *controller.Client, decision document.Decision,
) (control.Sign, error) {
	data, err := readDocument(s.file)
	if err != nil {
		return control.Sign{}, err
	}

	key, err := identity.LoadKey(s.key)
	if err != nil {
		return control.Sign{}, err
	}

	digest := document.Digest(data)

	change, err := pendingChange(ctx, client, s.environment, digest)
	if err != nil {
		return control.Sign{}, err
	}

	return control.Sign{
		Environment: s.environment,
		Version:     change.Version,
		Digest:      change.Digest,
		Owner:       s.owner,
		Signature:   key.SignMessage(document.SignedText(s.environment, change.Version, digest, decision)),
	}, nil
}

type signCommand struct{ signature }

func (*signCommand) Name() string { return "sign" }

func (*signCommand) Synopsis() string { return "accept the pending change as a co-owner" }

func (*signCommand) Usage() string {
	return `jayspindle sign -file FILE -owner NAME -key FILE [flags]
  Signs environment, version and digest of the pending change, which must be
  the document in the file. The change is accepted with both signatures.
  Example: jayspindle sign -environment trial -file document.yaml -owner city -key keys/city.key
`
}

func (c *signCommand) SetFlags(flags *flag.FlagSet) { c.setSignFlags(flags) }

func (c *signCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.decide(ctx, document.Accept, func(
		ctx context.Context, client *controller.Client, signed control.Sign,
	) (control.ChangeReply, error) {
		return client.Sign(ctx, signed)
	})
}
