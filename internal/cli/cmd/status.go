package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
)

type statusCommand struct {
	operatorFlags
	environment string
}

func (*statusCommand) Name() string { return "status" }

func (*statusCommand) Synopsis() string { return "show what is in force in an environment" }

func (*statusCommand) Usage() string {
	return `jayspindle status [-environment NAME]
  Shows the leader, the version in force, the pending change, and for each
  instance what is in force there and since when.
  Example: jayspindle status -environment production -json
`
}

func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.setFlags(flags)
	flags.StringVar(&c.environment, "environment", "production", "trial or production")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, client *controller.Client) (any, func(), error) {
		reply, err := client.Status(ctx, c.environment)

		return reply, func() { showStatus(reply) }, err
	})
}

func showStatus(reply control.StatusReply) {
	fmt.Printf("environment  %s\n", reply.Environment)
	fmt.Printf("leader       %s, term %d\n", reply.Leader, reply.Term)
	fmt.Printf("in force     version %d, digest %x, position %s\n", reply.Version, reply.Digest, reply.Position)
	fmt.Printf("instances    %d agents and %d balancers of %d services, %d hold the position\n",
		reply.Agents, reply.Balancers, reply.Services, reply.InForce)

	if reply.Pending == nil {
		fmt.Println("pending      nothing")
	} else {
		fmt.Printf("pending      version %d, digest %x, author %s, signed by %v\n",
			reply.Pending.Version, reply.Pending.Digest, reply.Pending.Author, reply.Pending.Signers)
	}

	showInstances(reply)
}

// showInstances prints for each instance what is in force and since when.
func showInstances(reply control.StatusReply) {
	const header = "\nINCARNATION\tROLE\tSERVICE\tZONE\tADDRESS\tSTATE\tWEIGHT\tPOSITION\tIN FORCE FOR\tRENEWED"

	printTable(header, func(table io.Writer) {
		for _, instance := range reply.Instances {
			inForce, renewed := "not reported", "never"
			if instance.Renewed >= 0 {
				inForce = instance.InForce.Round(time.Second).String()
				renewed = instance.Renewed.Round(100*time.Millisecond).String() + " ago"
			}

			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", instance.Incarnation, instance.Role,
				instance.Service, instance.Zone, instance.Data, instance.State, instance.Weight, instance.Position,
				inForce, renewed)
		}
	})
}
