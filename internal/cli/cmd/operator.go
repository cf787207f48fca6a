package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"jayspindle/internal/program/controller"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/settings"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	// callTimeout covers an election and a redirect to the new leader.
	callTimeout = 10 * time.Second
	// progressDelay is how long a command waits before it prints that it waits.
	progressDelay = 2 * time.Second
)

// operatorSettings holds the addresses of the controllers and the identity of
// the operator.
type operatorSettings struct {
	Controllers []netip.AddrPort `yaml:"controllers" validate:"min=1,max=10"`
	Identity    identity.Files   `yaml:"identity" validate:"required"`
}

// operatorFlags holds the flags shared by all commands that call the controllers.
type operatorFlags struct {
	settings string
	json     bool
}

func (o *operatorFlags) setFlags(flags *flag.FlagSet) {
	flags.StringVar(&o.settings, "settings", "operator.yaml", "YAML settings `file` of the operator")
	flags.BoolVar(&o.json, "json", false, "print JSON")
}

// run calls the controllers and prints the reply: as JSON, or with the function
// that request returns.
func (o *operatorFlags) run(
	ctx context.Context, request func(ctx context.Context, client *controller.Client) (any, func(), error),
) subcommands.ExitStatus {
	config, err := settings.Load[operatorSettings](o.settings)
	if err != nil {
		return fail(err)
	}

	store, err := identity.OpenStore(config.Identity, slog.New(slog.DiscardHandler))
	if err != nil {
		return fail(err)
	}

	connection := link.Dial(link.ClientOptions{
		Addresses:  config.Controllers,
		Identity:   store,
		PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleController}},
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	defer connection.Close()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	progress := time.AfterFunc(progressDelay, func() {
		fmt.Fprintln(os.Stderr, "jayspindle: waiting for the controllers")
	})
	defer progress.Stop()

	reply, show, err := request(ctx, controller.NewClient(connection))
	if err != nil {
		return failCall(err)
	}

	if o.json {
		return printJSON(reply)
	}

	show()

	return exitStatusOf(reply)
}

// exitStatusOf returns the exit status for a reply: exitRefused if it reports a
// change that was refused.
func exitStatusOf(reply any) subcommands.ExitStatus {
	change, ok := reply.(control.ChangeReply)
	if !ok {
		return exitOK
	}

	switch change.State {
	case control.StateConflict, control.StateInvalid:
		return exitRefused
	default:
		return exitOK
	}
}

// failCall prints an error and returns exitRefused if the controllers
// refused the call, exitFailure if the call failed.
func failCall(err error) subcommands.ExitStatus {
	status := fail(err)

	switch link.KindOf(err) {
	case link.KindInvalid, link.KindDenied, link.KindNotFound, link.KindConflict:
		return exitRefused
	default:
		return status
	}
}

// showChange returns a function that prints the outcome of a change.
func showChange(reply control.ChangeReply) func() {
	return func() {
		if reply.State == control.StateInvalid {
			fmt.Printf("refused (%s): %s\n", reply.Refusal, reply.Message)

			return
		}

		change := reply.Change
		fmt.Printf("%s: version %d, digest %x, signed by %d of 2 %v\n",
			reply.State, change.Version, change.Digest, len(change.Signers), change.Signers)

		if change.ChangeID != "" {
			fmt.Printf("change %s by %s\n", change.ChangeID, change.Author)
		}

		if reply.Message != "" {
			fmt.Println(reply.Message)
		}
	}
}

// pendingChange returns the pending change of an environment and checks that it
// has the given digest, so that co-owners sign only a document that they have.
func pendingChange(
	ctx context.Context, client *controller.Client, environment string, digest [32]byte,
) (control.Change, error) {
	pending, err := newestPending(ctx, client, environment)
	if err != nil {
		return control.Change{}, err
	}

	if pending == nil {
		return control.Change{}, link.Errorf(link.KindNotFound, "no change of %s is pending", environment)
	}

	if [32]byte(pending.Digest) != digest {
		return control.Change{}, link.Errorf(link.KindConflict,
			"the pending change of %s has digest %x, not %x", environment, pending.Digest, digest)
	}

	return *pending, nil
}

// newestPending returns the pending change, nil if there is none. Changes of
// owners have a history but no status, so it is read from the history.
func newestPending(ctx context.Context, client *controller.Client, environment string) (*control.Change, error) {
	if environment != catalog.Owners {
		status, err := client.Status(ctx, environment)

		return status.Pending, err
	}

	history, err := client.History(ctx, environment, 1)
	if err != nil || len(history.Changes) == 0 || history.Changes[0].State != control.StatePending {
		return nil, err
	}

	return &history.Changes[0], nil
}
