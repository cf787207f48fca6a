package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { cases["9"] = caseClockBack }

// clockStep is how far the time of day of the side machine jumps back; the site's
// clock_step is up to 2190 ms.
const clockStep = 1500 * time.Millisecond

// caseClockBack starts a backend server, steps the time of day of its machine back, and
// kills the agent's process while the server is cold. The clock of the host is left alone:
// it stands for the machine's time of day after the step, and the server's start time for
// the one before.
func caseClockBack(l *lab) []string {
	s := newStage(l, 2, "desk", "desk", "link")

	time.Sleep(2 * time.Second)

	m := l.add("agent", "desk")
	m.seeds = s.core[:3]
	m.start()
	time.Sleep(time.Second)

	ahead, kill := time.Duration(0), l.trouble
	if l.trouble && os.Getenv("CLOCK") != "0" {
		ahead = clockStep
	}

	started := time.Now()
	server := newServer(m, ahead)
	s.servers = append(s.servers, server)

	time.Sleep(150 * time.Millisecond)

	flows := s.openFlows(l, "desk", 60, 500*time.Millisecond)

	// The time of day jumps back about now; the agent does not read it before it starts.
	time.Sleep(time.Until(started.Add(1050 * time.Millisecond)))

	if kill {
		m.signal(syscall.SIGKILL)
		m.awaitEnd(time.Second)
		time.Sleep(300 * time.Millisecond)
		m.start()
	}

	// All machines are in touch again stableWindowMs after the clock has jumped forward.
	time.Sleep(2*time.Second + stableWindow)
	s.useAgain(l, flows, time.Second)

	var violations []string

	for _, p := range flows {
		if p.end == "reset by the system" && p.holder.holds(p.flow.key) {
			violations = append(violations, fmt.Sprintf("FLOW (a): %s was reset by the system while it is open at %s (%s)",
				p.flow.key, p.holder.id, p.holder.machine.name))
		}
	}

	return violations
}
