package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = caseFrozenFront }

// caseFrozenFront freezes one front for 2 s while clients open flows. Once it is in touch
// again, one backend server drains and leaves as planned, and the clients use their flows.
func caseFrozenFront(l *lab) []string {
	s := newStage(l, 3, "desk", "desk", "desk", "desk", "link")
	frozen := s.front[0]

	time.Sleep(2 * time.Second)

	if l.trouble {
		frozen.signal(syscall.SIGSTOP)
		l.note("%s freezes", frozen.name)
	}

	// The routers notice the freeze after two misses, so the last copy of a SYN that is
	// sent now goes through another front.
	time.Sleep(750 * time.Millisecond)

	opened := make(chan []*played)

	go func() { opened <- s.openFlows(l, "desk", 300, 350*time.Millisecond) }()

	time.Sleep(1250 * time.Millisecond)

	if l.trouble {
		frozen.signal(syscall.SIGCONT)
		l.note("%s wakes", frozen.name)
	}

	flows := <-opened
	leaving := s.servers[1]

	// The freeze is over for stableWindowMs when the server has left.
	time.Sleep(stableWindow - drain)
	leaving.leave()
	time.Sleep(100 * time.Millisecond)

	var (
		tasks sync.WaitGroup
		kept  []*played
	)

	for number, p := range flows {
		if p.holder == leaving {
			continue
		}

		kept = append(kept, p)

		tasks.Go(func() {
			var through *machine

			p.end, through = p.flow.request(fmt.Sprintf("second-%d", number), 2*time.Second)
			l.note("client: the second request on %s, sent through %s: %s", p.flow.key, through.name, p.end)
		})
	}

	tasks.Wait()

	var violations []string

	for _, p := range kept {
		if p.end == "reset by the system" && p.holder.holds(p.flow.key) {
			violations = append(violations, fmt.Sprintf("FLOW (a): %s was reset by the system while it is open at %s (%s)",
				p.flow.key, p.holder.id, p.holder.machine.name))
		}
	}

	l.note("%d of %d flows of other servers were reset", len(violations), len(kept))

	return violations
}
