package main

import (
	"sync"
	"time"
)

func init() { cases["first-ping"] = firstPing }

// firstPing adds a side machine with its backend, as planned work, and restarts the agent
// there, as planned work too, before the backend's second ping. The backend counts its
// pings from 0.
func firstPing(w *world) {
	const (
		flows      = 40
		length     = 12 * time.Second
		startDelay = 250 * time.Millisecond
	)

	w.deploy(2, 2)

	side := w.addMachine("side-3", "agent", "desk")
	w.writeSettings(side, false)
	w.start(side)
	time.Sleep(stableWindow)

	firstSeq := uint64(0)
	if w.control { // pings that count from 1 are understood
		firstSeq = 1
	}

	w.startBackend(side, firstSeq, 50*time.Millisecond)
	w.waitFor("the first ping", 2*time.Second, func() bool { return !side.backend.lastPing().IsZero() })

	var clients sync.WaitGroup

	ending := time.Now().Add(length)

	for i := range flows {
		c := w.newClient(i)

		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			c.useFlows(ending, 2*time.Second)
		})
	}

	time.Sleep(350 * time.Millisecond)
	w.record("%d flows are open at the backend of %s", side.backend.openFlows(), side.name)

	if w.trouble {
		side.stop()
		time.Sleep(startDelay)
		w.start(side)
	}

	clients.Wait()
}
