package controller

import (
	"expvar"

	"jayspindle/internal/state/catalog"
)

// commands counts the commands applied from the log: accepted ones under
// "applied", refused ones by the kind of the refusal.
var commands = expvar.NewMap("controller_commands")

func countCommand(result catalog.Result) {
	if result.Kind == "" {
		commands.Add("applied", 1)

		return
	}

	commands.Add("refused: "+string(result.Kind), 1)
}
