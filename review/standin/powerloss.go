package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["power-loss"] = powerLoss }

// powerLoss lets a side machine lose power, with agent and backend, and come back, while
// clients use long flows.
func powerLoss(w *world) {
	const (
		flows  = 9
		length = 14 * time.Second
		dark   = 1 * time.Second
	)

	bytesWanted := 40000
	if w.control { // small responses keep the checkpoint near enough
		bytesWanted = 2000
	}

	w.judgeDistance = true
	w.calm(time.Now().Add(time.Hour)) // only the resets' sequence numbers are judged
	w.deploy(2, 3)

	var clients sync.WaitGroup

	ending := time.Now().Add(length)

	for i := range flows {
		c := w.newClient(i)

		clients.Go(func() {
			for time.Now().Before(ending) {
				f := c.open(w.route(0))
				if f == nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for time.Now().Before(ending) && f.finished == "" {
					f.request(bytesWanted, 8*time.Second)
					f.idle(60 * time.Millisecond)
				}

				f.close()
			}
		})
	}

	time.Sleep(6 * time.Second)

	if w.trouble {
		side := w.of("agent")[0]
		w.record("%s loses power", side.name)
		side.signal(syscall.SIGKILL)
		side.backend.crash()
		<-side.exited
		time.Sleep(dark)
		w.start(side)
		time.Sleep(50 * time.Millisecond)
		w.startBackend(side, 1, 100*time.Millisecond)
	}

	clients.Wait()
}
