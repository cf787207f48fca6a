package cmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"jayspindle/internal/transport/identity"
)

// The extensions of the files that keygen writes.
const (
	certificateSuffix = ".pem"
	keySuffix         = ".key"
	publicSuffix      = ".pub"
)

type keygenCommand struct {
	kind        string
	out         string
	name        string
	authority   string
	role        string
	environment string
	service     string
}

func (*keygenCommand) Name() string { return "keygen" }

func (*keygenCommand) Synopsis() string { return "create keys and certificates" }

func (*keygenCommand) Usage() string {
	return `jayspindle keygen -kind KIND -out PREFIX [flags]
  Writes PREFIX.key with mode 0600, and PREFIX.pem or PREFIX.pub. An existing
  file is never overwritten. The kinds:
    authority    signs the certificates of a deployment (-name)
    instance     proves who a process or an operator is
                 (-authority, -role, -name, -environment, and -service for agents)
    certificate  is what callers of a service see (-authority, -service)
    service      proves that an agent may serve a service
    owner        signs changes for a co-owner
  Example: jayspindle keygen -kind authority -name kyushu-north -out keys/authority
  Example: jayspindle keygen -kind instance -authority keys/authority -role balancer \
    -name balancer-1 -environment production -out keys/balancer-1
`
}

func (c *keygenCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.kind, "kind", "", "authority, instance, certificate, service or owner")
	flags.StringVar(&c.out, "out", "", "`prefix` of the files to write")
	flags.StringVar(&c.name, "name", "", "name of the authority or instance")
	flags.StringVar(&c.authority, "authority", "", "`prefix` of the authority's files")
	flags.StringVar(&c.role, "role", "", "controller, balancer, agent or operator")
	flags.StringVar(&c.environment, "environment", identity.AllEnvironments, "trial, production or all")
	flags.StringVar(&c.service, "service", "", "service of an agent or of a certificate")
}

func (c *keygenCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" {
		return failUsage("keygen: -out is missing")
	}

	var err error

	switch c.kind {
	case "authority":
		_, err = identity.CreateAuthority(c.out+certificateSuffix, c.out+keySuffix, c.name, time.Now())
	case "instance", "certificate":
		err = c.issue()
	case "service", "owner":
		err = c.createPair()
	default:
		return failUsage("keygen: -kind %q is not one of authority, instance, certificate, service, owner", c.kind)
	}

	if err != nil {
		return fail(err)
	}

	return exitOK
}

func (c *keygenCommand) issue() error {
	authority, err := identity.LoadAuthority(c.authority+certificateSuffix, c.authority+keySuffix)
	if err != nil {
		return err
	}

	if c.kind == "certificate" {
		return authority.IssueService(c.service, c.out+certificateSuffix, c.out+keySuffix, time.Now())
	}

	holder := identity.Identity{
		Role:        identity.Role(c.role),
		Environment: c.environment,
		Name:        c.name,
		Service:     c.service,
	}

	return authority.Issue(holder, c.out+certificateSuffix, c.out+keySuffix, time.Now())
}

// createPair writes a key pair and prints the public key in the format of
// documents and settings.
func (c *keygenCommand) createPair() error {
	key, err := identity.CreateKey(c.out + keySuffix)
	if err != nil {
		return err
	}

	fmt.Println(identity.FormatPublicKey(key.PublicKey()))

	return identity.WritePublicKey(c.out+publicSuffix, key.PublicKey())
}
