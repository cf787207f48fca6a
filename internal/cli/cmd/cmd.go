// Package cmd holds the subcommands of jayspindle, one file each.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args))
//
// A subcommand exits with 0 if it succeeded, 1 if it failed, 2 if its arguments
// are wrong, 3 if a check failed (an invalid document, a run that violated a
// guarantee), and 4 if its request was refused or another change came first.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// The exit statuses, which scripts can rely on.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailure = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	exitCheck   = subcommands.ExitStatus(3)
	exitRefused = subcommands.ExitStatus(4)
)

// The groups of subcommands in the help text.
const (
	groupPrograms  = "programs"
	groupOperators = "operators"
	groupTests     = "tests and measurements"
	groupHelp      = "help"
)

// Main runs the subcommand that the arguments name and returns the exit status.
func Main(arguments []string) int {
	flags := flag.NewFlagSet("jayspindle", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "jayspindle")

	commander.Register(commander.HelpCommand(), groupHelp)
	commander.Register(commander.FlagsCommand(), groupHelp)
	commander.Register(&versionCommand{}, groupHelp)
	commander.Register(&agentCommand{}, groupPrograms)
	commander.Register(&balancerCommand{}, groupPrograms)
	commander.Register(&controllerCommand{}, groupPrograms)
	commander.Register(&keygenCommand{}, groupOperators)
	commander.Register(&validateCommand{}, groupOperators)
	commander.Register(&diffCommand{}, groupOperators)
	commander.Register(&submitCommand{}, groupOperators)
	commander.Register(&signCommand{}, groupOperators)
	commander.Register(&rejectCommand{}, groupOperators)
	commander.Register(&promoteCommand{}, groupOperators)
	commander.Register(&replaceOwnerCommand{}, groupOperators)
	commander.Register(&statusCommand{}, groupOperators)
	commander.Register(&historyCommand{}, groupOperators)
	commander.Register(&explainCommand{}, groupOperators)
	commander.Register(&membersCommand{}, groupOperators)
	commander.Register(&fleetCommand{}, groupOperators)
	commander.Register(&flowCommand{}, groupOperators)
	commander.Register(&rotateKeyCommand{}, groupOperators)
	commander.Register(&traceCommand{}, groupOperators)
	commander.Register(&backendCommand{}, groupTests)
	commander.Register(&capacityCommand{}, groupTests)
	commander.Register(&loadCommand{}, groupTests)
	commander.Register(&benchCommand{}, groupTests)

	if err := flags.Parse(arguments[1:]); err != nil {
		return int(exitUsage)
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	return int(commander.Execute(ctx))
}

// fail prints an error and returns the exit status for failures.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "jayspindle: %v\n", err)

	return exitFailure
}

// failUsage prints what is wrong with the arguments and returns the exit
// status for usage errors.
func failUsage(format string, arguments ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "jayspindle: "+format+"\n", arguments...)

	return exitUsage
}
