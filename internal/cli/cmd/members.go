package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
)

type membersCommand struct {
	operatorFlags
	action  string
	replica string
	address string
}

func (*membersCommand) Name() string { return "members" }

func (*membersCommand) Synopsis() string { return "list or change the controller group" }

func (*membersCommand) Usage() string {
	return `jayspindle members [-action list|add|promote|remove] [flags]
  A controller with a new data directory joins by itself. The actions are for
  operators who replace a lost controller by hand.
  Example: jayspindle members
  Example: jayspindle members -action remove -replica 4f2a91c07d3be865
`
}

func (c *membersCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.action, "action", "list", "list, add, promote or remove")
	flags.StringVar(&c.replica, "replica", "", "replica `identity` in hexadecimal")
	flags.StringVar(&c.address, "address", "", "`address` of the controller to add")
}

func (c *membersCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !slices.Contains([]string{"list", "add", "promote", "remove"}, c.action) {
		return failUsage("members: -action %q is not one of list, add, promote, remove", c.action)
	}

	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		reply, err := c.perform(ctx, client)

		return reply, func() { showMembers(reply) }, err
	})
}

func (c *membersCommand) perform(ctx context.Context, client *controller.Client) (control.MembersReply, error) {
	if c.action == "list" {
		return client.Members(ctx)
	}

	replica, err := strconv.ParseUint(c.replica, 16, 64)
	if err != nil {
		return control.MembersReply{}, errors.Annotatef(err, "-replica %q", c.replica)
	}

	switch c.action {
	case "promote":
		return client.PromoteMember(ctx, replica)
	case "remove":
		return client.RemoveMember(ctx, replica)
	case "add":
		address, err := netip.ParseAddrPort(c.address)
		if err != nil {
			return control.MembersReply{}, errors.Annotatef(err, "-address %q", c.address)
		}

		return client.AddMember(ctx, control.Member{Replica: replica, Address: address})
	default:
		return control.MembersReply{}, errors.Errorf("-action %q is not one of list, add, promote, remove", c.action)
	}
}

func showMembers(reply control.MembersReply) {
	printTable("REPLICA\tADDRESS\tVOTER\tSTORED INDEX", func(table io.Writer) {
		for _, member := range reply.Members {
			fmt.Fprintf(table, "%016x\t%s\t%t\t%d\n", member.Replica, member.Address, member.Voter, member.Match)
		}
	})
	fmt.Printf("leader: %s\n", reply.Leader)
}
