package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
)

func printJSON(value any) subcommands.ExitStatus {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(value); err != nil {
		return fail(err)
	}

	return exitStatusOf(value)
}

// printTable prints a header and the rows that write adds. Cells end with tabs.
func printTable(header string, write func(table io.Writer)) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, header)
	write(table)

	_ = table.Flush() // if standard output fails, the error cannot be shown either
}
