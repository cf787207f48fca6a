package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["6"] = caseReplacedThenLost }

// readBackTime is how long the operator asks for the manifest after the machines are
// back: four times the bound for the recovery.
const readBackTime = 4 * recovery

// caseReplacedThenLost replaces a core machine as planned: the new one first, then SIGTERM
// for the old one. Then two machines, as many as faultTolerance names, lose their disks at
// the same moment, right after a manifest was acknowledged, and are back a second later.
func caseReplacedThenLost(l *lab) []string {
	core, _, _ := l.foundation(5, 0)

	operators := newOperator(l, core)
	if !operators.put(10, 20*time.Second) {
		panic(unplayable{"the first manifest was not accepted"})
	}

	time.Sleep(5 * time.Second)

	// The successor is up for longer than catchUpS before its predecessor leaves, so the
	// predecessor does not count as lost.
	successor := l.add("controller", "")
	successor.seeds = core[:3]
	successor.start()
	l.note("%s is the successor of %s", successor.name, core[4].name)
	time.Sleep(catchUp + 3*time.Second)

	if !operators.put(20, 5*time.Second) {
		panic(unplayable{"no manifest was accepted beside the successor"})
	}

	core[4].signal(syscall.SIGTERM)

	if !core[4].awaitEnd(6 * time.Second) {
		panic(unplayable{"the replaced machine did not stop"})
	}

	l.note("%s is gone for good", core[4].name)

	remaining := []*machine{core[0], core[1], core[2], core[3], successor}
	operators.list = remaining

	// PAUSE tells how long after the replacement the disks are lost.
	pause := time.Second
	if given, err := time.ParseDuration(os.Getenv("PAUSE")); err == nil {
		pause = given
	}

	time.Sleep(pause)

	if !operators.put(30, 5*time.Second) {
		panic(unplayable{"no manifest was accepted after the replacement"})
	}

	if l.trouble {
		lost := []*machine{core[1], core[3]}

		together(lost, (*machine).kill)
		together(lost, (*machine).loseDisk)
		time.Sleep(time.Second)
		together(lost, (*machine).start)
	}

	return readBack(l, operators, 30)
}

// readBack asks all machines for the manifest until one returns it.
func readBack(l *lab, operators *operator, acknowledged uint64) []string {
	back := time.Now()

	for time.Since(back) < readBackTime {
		for _, m := range operators.list {
			version, answer := operators.read(m)
			l.note("operator: reads from %s: %s", m.name, answer)

			switch {
			case version >= acknowledged:
				l.note("version %d was read back %v after the machines were back", version, time.Since(back))

				return nil
			case version > 0:
				return []string{fmt.Sprintf("CONFIG: version %d was read back, %d was acknowledged", version, acknowledged)}
			}
		}

		time.Sleep(time.Second)
	}

	operators.put(acknowledged+10, 5*time.Second)

	return []string{fmt.Sprintf("CONFIG: the acknowledged version %d did not come back within %v, from no machine",
		acknowledged, readBackTime)}
}
