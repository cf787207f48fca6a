// Command lab-3 runs the cases of the third review: it starts the project's own
// programs as separate processes on loopback, with stand-ins of clients, backend
// servers, routers and the operator.
//
// # Usage
//
//	target/lab-3 CASE FOLDER
//
// It writes record.txt to the folder. The exit status is 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// runTimeout ends a case that hangs.
const runTimeout = 112 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// scenario is one case. It returns an error if it cannot run.
type scenario func(ctx context.Context, w *world, trouble bool) error

var scenarios = map[string]scenario{
	"stale-list":     staleList,
	"silent-agent":   silentAgent,
	"slow-upload":    slowUpload,
	"lost-seeds":     lostSeeds,
	"leaving-leader": leavingLeader,
	"version-zero":   versionZero,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE FOLDER")

		return exitCannotRun
	}

	r, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannotRun
	}

	status := runScenario(r, scenarios[arguments[0]])
	if err := r.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannotRun
	}

	return status
}

func runScenario(r *record, run scenario) int {
	w, err := newWorld(r)
	if err != nil {
		r.add("cannot run: %v", err)

		return exitCannotRun
	}

	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()

	trouble := os.Getenv("TROUBLE") != "0"
	r.add("trouble: %v", trouble)

	err = run(ctx, w, trouble)
	if endErr := w.end(); err == nil {
		err = endErr
	}

	switch {
	case r.violations() > 0:
		r.add("result: the rule was broken %d times", r.violations())

		return exitBroken
	case err != nil:
		r.add("result: cannot run: %v", err)

		return exitCannotRun
	default:
		r.add("result: the rule held")

		return exitHeld
	}
}
