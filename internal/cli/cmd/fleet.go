package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"jayspindle/internal/program/inspect"
)

type fleetCommand struct{ inspectFlags }

func (*fleetCommand) Name() string { return "fleet" }

func (*fleetCommand) Synopsis() string { return "show controllers and agents of pass-through services" }

func (*fleetCommand) Usage() string {
	return `jayspindle fleet -controllers ADDRESS,...
  Shows for each controller the document in force, and the agents with their
  state and load. Exits with 3 if a controller does not answer, has another
  version than the others, or does not hear its group.
  Example: jayspindle fleet -controllers 10.1.0.17:7720,10.2.0.45:7720
`
}

func (c *fleetCommand) SetFlags(flags *flag.FlagSet) { c.setFlags(flags) }

func (c *fleetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	controllers, err := c.endpoints()
	if err != nil {
		return failUsage("%v", err)
	}

	return c.query(ctx, func(ctx context.Context, inspector *inspect.Inspector) subcommands.ExitStatus {
		return c.show(inspector.Fleet(ctx, controllers))
	})
}

func (c *fleetCommand) show(fleet *inspect.Fleet) subcommands.ExitStatus {
	status := exitOK
	if !controllersAgree(fleet) {
		status = exitCheck
	}

	if c.json {
		if printed := printJSON(fleet); printed != exitOK {
			return printed
		}

		return status
	}

	showFleet(fleet)

	return status
}

// controllersAgree reports whether all controllers answer, are settled (in contact
// with their group) and have the same document in force.
func controllersAgree(fleet *inspect.Fleet) bool {
	for _, controller := range fleet.Controllers {
		if !controller.Answers || !controller.Settled || controller.Version != fleet.Controllers[0].Version {
			return false
		}
	}

	return true
}

func showFleet(fleet *inspect.Fleet) {
	printTable("CONTROLLER\tANSWERS\tSETTLED\tVERSION\tAGENTS\tMEMBERS\t", func(table io.Writer) {
		for _, controller := range fleet.Controllers {
			fmt.Fprintf(table, "%s\t%t\t%t\t%d\t%d\t%d\t\n", controller.Address, controller.Answers, controller.Settled,
				controller.Version, controller.Agents, controller.Members)
		}
	})

	printTable("\nAGENT\tSERVICE\tZONE\tSTATE\tFAILING\tCOLD\tSLOTS\tFLOWS\tWAITING\t", func(table io.Writer) {
		for _, agent := range fleet.Agents {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\t\n", agent.Address, agent.Service, agent.Zone,
				agent.State, agent.Failing, agent.Cold, agent.Slots, agent.Flows, agent.Waiting)
		}
	})
}
