package main

import (
	"sync"
	"time"
)

func init() { cases["flap"] = flap }

// flap lets the backend of one side machine crash and start again at once, with a new
// id, as a backend that goes down and up does. It serves from its start on, and sends
// its first ping one heartbeat interval later.
func flap(w *world) {
	const (
		flows  = 12
		length = 16 * time.Second
		down   = 200 * time.Millisecond
		late   = 16 // clients that open their first flow after the crash
	)

	w.deploy(2, 3)

	var clients sync.WaitGroup

	ending := time.Now().Add(length)

	for i := range flows {
		c := w.newClient(i)

		clients.Go(func() { c.useFlows(ending, 120*time.Millisecond) })
	}

	time.Sleep(6 * time.Second)

	if w.trouble {
		side := w.of("agent")[0]
		side.backend.crash()
		time.Sleep(down)

		firstPing := heartbeat
		if w.control { // a ping before the first flow is understood
			firstPing = 0
		}

		w.startBackend(side, 1, firstPing)
	}

	for i := range late {
		c := w.newClient(flows + i)

		clients.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			c.useFlows(ending, 120*time.Millisecond)
		})
	}

	clients.Wait()
}
