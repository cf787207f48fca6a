// Package cmd holds the subcommands of jayspindle, one file each.
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args))
package cmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Main runs the subcommand that the arguments name and returns the exit status.
func Main(arguments []string) int {
	flags := flag.NewFlagSet(arguments[0], flag.ExitOnError)
	commander := subcommands.NewCommander(flags, "jayspindle")

	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.CommandsCommand(), "help")

	if err := flags.Parse(arguments[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}

	return int(commander.Execute(context.Background()))
}
