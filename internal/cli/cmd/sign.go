package cmd

import (
	"context"
	"encoding/hex"
	"flag"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/document"
	"jayspindle/internal/transport/identity"
)

// signFlags holds the flags of commands that sign the pending change.
type signFlags struct {
	operatorFlags
	environment string
	file        string
	digest      string
	owner       string
	key         string
}

func (s *signFlags) setSignFlags(flags *flag.FlagSet) {
	s.setFlags(flags)
	flags.StringVar(&s.environment, "environment", "trial", "trial, production or owners")
	flags.StringVar(&s.file, "file", "", "the document that was read and is decided on")
	flags.StringVar(&s.digest, "digest", "", "instead of -file, the `digest` that replace-owner printed")
	flags.StringVar(&s.owner, "owner", "", "name of the co-owner")
	flags.StringVar(&s.key, "key", "", "private key `file` of the co-owner")
}

// decide signs the decision on the pending change and sends it. The change must
// have the digest of the file or of -digest.
func (s *signFlags) decide(
	ctx context.Context, decision document.Decision,
	send func(ctx context.Context, client *controller.Client, signed control.Sign) (control.ChangeReply, error),
) subcommands.ExitStatus {
	if s.owner == "" || s.key == "" || (s.file == "") == (s.digest == "") {
		return failUsage("-owner, -key and either -file or -digest are needed")
	}

	return s.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		signed, err := s.sign(ctx, client, decision)
		if err != nil {
			return nil, nil, err
		}

		reply, err := send(ctx, client, signed)

		return reply, showChange(reply), err
	})
}

func (s *signFlags) sign(
	ctx context.Context, client *controller.Client, decision document.Decision,
) (control.Sign, error) {
	digest, err := s.decidedDigest()
	if err != nil {
		return control.Sign{}, err
	}

	key, err := identity.LoadKey(s.key)
	if err != nil {
		return control.Sign{}, err
	}

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

// decidedDigest returns the digest of the document file, or the one given for a
// change of owners.
func (s *signFlags) decidedDigest() ([32]byte, error) {
	if s.digest == "" {
		data, err := readDocument(s.file)

		return document.Digest(data), err
	}

	decoded, err := hex.DecodeString(s.digest)
	if err != nil || len(decoded) != len([32]byte{}) {
		return [32]byte{}, errors.Errorf("-digest %q is not 64 hexadecimal digits", s.digest)
	}

	return [32]byte(decoded), nil
}

type signCommand struct{ signFlags }

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
