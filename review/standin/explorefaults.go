package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-faults"] = exploreFaults }

// exploreFaults plays faults at random, drawn from SEED, for a while, then leaves the deployment alone, and
// judges only what happens later than the stable window after the last fault.
func exploreFaults(w *world) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 9))

	if os.Getenv("HASH") != "" {
		w.hash = os.Getenv("HASH")
	}

	w.padding, _ = strconv.Atoi(os.Getenv("PADDING"))
	w.loss, _ = strconv.ParseFloat(os.Getenv("LOSS"), 64)

	if work, err := time.ParseDuration(os.Getenv("WORK")); err == nil {
		w.work = work
	}

	w.jitter, _ = time.ParseDuration(os.Getenv("JITTER"))
	w.deploy(3, 4)

	ending := time.Now().Add(88 * time.Second)
	w.calm(time.Now().Add(-time.Hour))

	var clients sync.WaitGroup

	for i := range 48 {
		c := w.newClient(i)
		pause := []time.Duration{50 * time.Millisecond, 2 * time.Second, 6 * time.Second, 11 * time.Second}[i%4]

		clients.Go(func() {
			for time.Now().Before(ending) {
				f := c.open(w.route(i % 2))
				if f == nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for n := 3 + rand.IntN(30); n >= 0 && time.Now().Before(ending) && f.finished == ""; n-- {
					if !f.request([]int{500, 2000, 20000}[rand.IntN(3)], 8*time.Second) && f.finished == "" {
						if h := w.holderOf(f.end, f.route); h != nil && w.inTouch() {
							w.violate("HANG: flow %s request not answered though %s holds it", f.end, h.id)
						}
					}

					f.idle(time.Duration(float64(pause) * (0.5 + rand.Float64())))

					if time.Since(f.opened) > 50*time.Second {
						break
					}
				}

				f.close()
			}
		})
	}

	version := 1

	for time.Now().Before(ending.Add(-20 * time.Second)) {
		w.calm(time.Now().Add(time.Hour))

		var faults sync.WaitGroup

		down := 0

		for range 2 + r.IntN(4) {
			time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)

			roles := []string{"agent", "agent", "balancer", "controller"}
			list := w.of(roles[r.IntN(4)])
			m := list[r.IntN(len(list))]

			if m.busy.Swap(true) {
				continue
			}

			if m.role == "controller" {
				if down++; down > 2 {
					m.busy.Store(false)

					continue
				}
			}

			kind := r.IntN(5)
			length := time.Duration(200+r.IntN(5500)) * time.Millisecond
			delay := time.Duration(50+r.IntN(600)) * time.Millisecond

			faults.Go(func() {
				defer m.busy.Store(false)

				switch {
				case kind == 0 || kind == 1:
					m.kill()
					time.Sleep(delay)
					w.start(m)
				case kind == 2:
					m.stop()
					time.Sleep(delay)
					w.start(m)
				case kind == 3 && m.role == "agent":
					m.backend.crash()
					time.Sleep(delay)
					w.startBackend(m, 1, 10*time.Millisecond)
				case kind == 3 && m.role == "controller":
					m.kill()
					_ = os.RemoveAll(w.dataDir(m))
					w.writeSettings(m, false)
					time.Sleep(delay)
					w.start(m)
				default:
					m.signal(syscall.SIGSTOP)
					time.Sleep(length)
					m.signal(syscall.SIGCONT)
				}
			})

			if r.IntN(3) == 0 {
				version++
				body := w.manifest(version, 2+version%5)

				faults.Go(func() { w.tryPut(body, 3*time.Second) })
			}
		}

		faults.Wait()
		w.calm(time.Now())
		w.record("calm")
		time.Sleep(4500 * time.Millisecond)

		version++
		v := version
		started := time.Now()

		w.tryPut(w.manifest(v, 2+v%5), 8*time.Second)

		if time.Since(started) > 5*time.Second {
			w.violate("ACKS: version %d had no ack within %v", v, time.Since(started))
		}

		time.Sleep(3100 * time.Millisecond)

		for i := range 7 {
			f := w.newClient(49).open(w.route(i))
			if (f != nil) != (i < 2+v%5) {
				w.violate("CONFIG: version %d has %d routes, a flow to route %d opened: %t", v, 2+v%5, i, f != nil)
			}

			if f != nil {
				f.close()
			}

			f = nil
		}

		time.Sleep(4 * time.Second)
	}

	clients.Wait()
}
