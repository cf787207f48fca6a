// Command standin plays one case of the review: it starts the programs of the project on
// loopback, and plays clients, backends, routers and the operator itself.
//
// Usage: standin CASE RECORD, in the root of the repository, after the build of the
// deploy file. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2

	longest = 110 * time.Second
)

var cases = map[string]func(w *world){}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")

		return failed
	}

	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)

		return failed
	}

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)

	done := make(chan error, 1)

	go func() {
		defer func() {
			switch cause := recover().(type) {
			case nil:
				done <- nil
			case error:
				if !errors.Is(cause, errSetup) {
					panic(cause)
				}

				done <- cause
			default:
				panic(cause)
			}
		}()

		cases[os.Args[1]](w)
	}()

	select {
	case err = <-done:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(longest):
		err = errors.New("the case took too long")
	}

	w.close()

	return w.verdict(err)
}

func (w *world) verdict(err error) int {
	w.record("requests sent %d, run %d, answered %d", w.counts["sent"], w.counts["ran"], w.counts["answered"])

	for id, runs := range w.runs {
		if runs > 1 {
			w.record("request %s ran %d times", id, runs)
		}
	}

	switch {
	case err != nil:
		w.record("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)

		return failed
	case len(w.violations) > 0:
		w.record("the rule was broken %d times", len(w.violations))
		fmt.Printf("broken %d times, first: %s\n", len(w.violations), w.violations[0])

		return broken
	case w.counts["answered"] == 0 && w.counts["sent"] > 0:
		w.record("the case couldn't run: no request was served")
		fmt.Println("couldn't run: no request was served")

		return failed
	default:
		w.record("the rule held")
		fmt.Println("held")

		return held
	}
}
