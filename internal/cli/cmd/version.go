package cmd

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// version is the release, set by the linker for release builds.
var version = "development"

type versionCommand struct{}

func (*versionCommand) Name() string { return "version" }

func (*versionCommand) Synopsis() string { return "print the version" }

func (*versionCommand) Usage() string {
	return `jayspindle version
  Prints the release of the program and of Go.
`
}

func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("jayspindle %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)

	return exitOK
}
