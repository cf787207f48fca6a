package main

import (
	"fmt"
	"time"
)

func init() { cases["8"] = caseAllKilled }

// caseAllKilled kills all processes of the system at the same moment, as in the final
// fault. The backend servers live on. Flows that were opened in the second before are idle
// until all machines are in touch again.
func caseAllKilled(l *lab) []string {
	services := make([]string, 0, 20)
	for range 10 {
		services = append(services, "desk", "link")
	}

	s := newStage(l, 3, services...)

	time.Sleep(2 * time.Second)

	flows := s.openFlows(l, "desk", 200, 700*time.Millisecond)
	if len(flows) < 150 {
		panic(unplayable{fmt.Sprintf("only %d flows are open", len(flows))})
	}

	if l.trouble {
		all := append(append(append([]*machine(nil), s.core...), s.front...), s.side...)

		together(all, (*machine).kill)
		l.note("all processes were killed")
		time.Sleep(restartDelay)
		together(all, (*machine).start)
	}

	// Twice stableWindowMs after the last start, as a final fault took the whole core.
	time.Sleep(2*stableWindow + 500*time.Millisecond)

	if s.router.inRotation() < len(s.front) {
		panic(unplayable{"a front is not ready"})
	}

	s.useAgain(l, flows, time.Second)

	return s.strayPackets(l, flows)
}

// strayPackets returns the flows of which three or more packets reached other servers for
// flowMs, and none their own.
func (s *stage) strayPackets(l *lab, flows []*played) []string {
	var violations []string

	for _, p := range flows {
		var stray []arrival

		for _, server := range s.servers {
			if server != p.holder {
				stray = append(stray, server.received(p.flow.key, p.sentAt)...)
			}
		}

		if len(stray) < 3 || !p.holder.holds(p.flow.key) {
			continue
		}

		first := stray[0].at
		for _, a := range stray {
			first = earlier(first, a.at)
		}

		count := 0

		for _, a := range stray {
			if a.at.Sub(first) <= flowWindow {
				count++
			}
		}

		own := p.holder.received(p.flow.key, p.sentAt)
		if count < 3 || (len(own) > 0 && own[0].at.Sub(first) <= flowWindow) {
			continue
		}

		waited := "never"
		if len(own) > 0 {
			waited = "after " + own[0].at.Sub(first).Round(time.Millisecond).String()
		}

		violations = append(violations, fmt.Sprintf(
			"FLOW (b): %d packets of %s reached other servers within %v; the server that holds it got one %s",
			count, p.flow.key, flowWindow, waited))
	}

	l.note("%d of %d flows went astray", len(violations), len(flows))

	return violations
}
