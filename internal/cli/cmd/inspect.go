package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"github.com/google/subcommands"

	"jayspindle/internal/program/inspect"
	"jayspindle/internal/state/flow"
)

// inspectTimeout is longer than two leader elections of the controllers.
const inspectTimeout = 2 * time.Second

// inspectFlags are the flags of the commands for pass-through services.
type inspectFlags struct {
	controllers string
	from        string
	timeout     time.Duration
	json        bool
}

func (f *inspectFlags) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.controllers, "controllers", "", "addresses for messages of the controllers, separated by commas")
	flags.StringVar(&f.from, "from", "0.0.0.0:0", "address to ask from; agents answer to it")
	flags.DurationVar(&f.timeout, "timeout", inspectTimeout, "how long to wait for answers")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// endpoints parses the addresses of the controllers, at least one.
func (f *inspectFlags) endpoints() ([]flow.Endpoint, error) {
	var found []flow.Endpoint

	for text := range strings.SplitSeq(f.controllers, ",") {
		endpoint, err := parseEndpoint("controllers", strings.TrimSpace(text))
		if err != nil {
			return nil, err
		}

		found = append(found, endpoint)
	}

	return found, nil
}

// query runs a query within the timeout.
func (f *inspectFlags) query(
	ctx context.Context, run func(ctx context.Context, inspector *inspect.Inspector) subcommands.ExitStatus,
) subcommands.ExitStatus {
	from, err := netip.ParseAddrPort(f.from)
	if err != nil {
		return failUsage("-from: found %q, allowed: an IPv4 address with a port", f.from)
	}

	inspector, err := inspect.New(from, slog.New(slog.DiscardHandler))
	if err != nil {
		return fail(err)
	}

	limited, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()

	status := run(limited, inspector)

	if err := inspector.Close(); err != nil {
		return fail(err)
	}

	return status
}

func parseEndpoint(name, text string) (flow.Endpoint, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return flow.Endpoint{}, fmt.Errorf("%s: found %q, allowed: an IPv4 address with a port", name, text)
	}

	endpoint, ok := flow.NewEndpoint(address)
	if !ok {
		return flow.Endpoint{}, fmt.Errorf("%s: found %q, allowed: an IPv4 address with a port", name, text)
	}

	return endpoint, nil
}
