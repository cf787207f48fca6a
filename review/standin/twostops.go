package main

import (
	"sync"
	"time"
)

func init() { cases["two-stops"] = twoStops }

// twoStops restarts the agent beside a backend twice, as planned work, while clients use
// long flows. The second SIGTERM comes before the backend's next ping.
func twoStops(w *world) {
	const (
		flows       = 12
		length      = 20 * time.Second
		startDelay  = 300 * time.Millisecond // until the platform starts a process again
		secondAfter = 300 * time.Millisecond // from the start to the second SIGTERM
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

		// The restart begins right after a ping, so that the next one is a whole
		// interval away.
		before := side.backend.lastPing()
		w.waitFor("a ping", 2*time.Second, func() bool { return side.backend.lastPing() != before })
		w.record("%d flows are open at the backend of %s", side.backend.openFlows(), side.name)

		side.stop()
		time.Sleep(startDelay)
		w.start(side)

		if !w.control { // one stop is borne
			time.Sleep(secondAfter)
			side.stop()
			time.Sleep(startDelay)
			w.start(side)
		}
	}

	clients.Wait()
}

// useFlows keeps a flow open and sends requests with pauses. It opens another flow after
// a failure, up to the end.
func (c *client) useFlows(ending time.Time, pause time.Duration) {
	for time.Now().Before(ending) {
		f := c.open(c.world.route(0))
		if f == nil {
			time.Sleep(100 * time.Millisecond)

			continue
		}

		for time.Now().Before(ending) && f.finished == "" {
			f.request(2000, 2*time.Second)
			f.idle(pause)
		}

		f.close()
	}
}
