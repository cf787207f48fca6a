package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"jayspindle/internal/program/inspect"
	"jayspindle/internal/state/flow"
)

type flowCommand struct{ inspectFlags }

func (*flowCommand) Name() string { return "flow" }

func (*flowCommand) Synopsis() string {
	return "show which agent holds a flow of a pass-through service"
}

func (*flowCommand) Usage() string {
	return `jayspindle flow -controllers ADDRESS,... CLIENT ROUTE
  Shows where the document in force sends new flows to the address ROUTE, and
  what each agent says of the flow from CLIENT. Exits with 3 if no agent holds it.
  Example: jayspindle flow -controllers 10.1.0.17:7720 100.64.0.7:40001 198.18.0.1:443
`
}

func (c *flowCommand) SetFlags(flags *flag.FlagSet) { c.setFlags(flags) }

func (c *flowCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	const addressCount = 2

	if flags.NArg() != addressCount {
		return failUsage("flow takes two addresses, found %d arguments", flags.NArg())
	}

	controllers, err := c.endpoints()
	if err != nil {
		return failUsage("%v", err)
	}

	client, err := parseEndpoint("client", flags.Arg(0))
	if err != nil {
		return failUsage("%v", err)
	}

	service, err := parseEndpoint("route", flags.Arg(1))
	if err != nil {
		return failUsage("%v", err)
	}

	return c.query(ctx, func(ctx context.Context, inspector *inspect.Inspector) subcommands.ExitStatus {
		found, err := inspector.Flow(ctx, controllers, flow.Key{Client: client, Service: service})
		if err != nil {
			return fail(err)
		}

		return c.show(found)
	})
}

func (c *flowCommand) show(found *inspect.Flow) subcommands.ExitStatus {
	status := exitOK
	if !found.Held() {
		status = exitCheck
	}

	if c.json {
		if printed := printJSON(found); printed != exitOK {
			return printed
		}

		return status
	}

	fmt.Printf("flow      %s\n", found.Flow)
	fmt.Printf("document  version %d\n", found.Version)

	if found.Route == "" {
		fmt.Println("route     none for this address")
	} else {
		fmt.Printf("route     %s to %v\n", found.Route, found.Targets)
	}

	printTable("\nAGENT\tSERVICE\tZONE\tSTATE\tANSWER\t", func(table io.Writer) {
		for _, holding := range found.Agents {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n", holding.Address, holding.Service, holding.Zone, holding.State,
				holding.Answer)
		}
	})

	return status
}
