// Command jayspindle is a layer-4 load balancer that answers for outcomes.
package main

import (
	"os"

	"jayspindle/internal/cli/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
