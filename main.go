// Command jayspindle runs the programs of a layer-4 load balancer and the
// commands of its operators.
package main

import (
	"os"

	"jayspindle/internal/cli/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args))
}
