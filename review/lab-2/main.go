// Package main plays the scripted cases of the second review. It starts the
// project's programs as separate processes on loopback addresses, and plays the
// platform around them: routers, backend servers, clients and the operator.
//
// # Usage
//
//	lab CASE RECORD
//
// CASE is the number of the case, RECORD the file that the events are written to.
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// maxRunTime is below the 120 s that a script may take.
const maxRunTime = 110 * time.Second

const (
	statusHeld     = 0
	statusBroken   = 1
	statusUnplayed = 2
)

// unplayable is the panic value of a case that cannot run.
type unplayable struct{ reason string }

// cases are the scripted cases by number. Each returns the violations of its rule.
var cases = map[string]func(l *lab) []string{}

func main() {
	os.Exit(run())
}

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")

		return statusUnplayed
	}

	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return statusUnplayed
	}

	defer l.close()

	defer func() {
		switch cause := recover().(type) {
		case nil:
		case unplayable:
			l.note("the case could not run: %s", cause.reason)

			status = statusUnplayed
		default:
			l.note("the case failed: %v\n%s", cause, debug.Stack())

			status = statusUnplayed
		}
	}()

	l.endAfter(maxRunTime)

	violations := cases[os.Args[1]](l)
	for _, violation := range violations {
		l.note("BROKEN: %s", violation)
	}

	if len(violations) > 0 {
		return statusBroken
	}

	l.note("the rule held")

	return statusHeld
}

// endAfter ends the case, and all processes that it started, after a time or a signal.
func (l *lab) endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)

	go func() {
		select {
		case <-signals:
			l.note("stopped by a signal")
		case <-time.After(limit):
			l.note("the case could not run: it takes longer than %v", limit)
		}

		l.close()
		os.Exit(statusUnplayed)
	}()
}
