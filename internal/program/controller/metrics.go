package controller

import (
	"expvar"

	"jayspindle/internal/state/catalog"
)

// commands counts the applied log entries by the kind of their refusal.
var commands = expvar.NewMap("controller_commands")

func countCommand(result catalog.Result) {
	if result.Kind == "" {
		commands.Add("applied", 1)

		return
	}

	commands.Add("refused: "+string(result.Kind), 1)
}
