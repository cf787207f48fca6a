package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["explore-planned"] = explorePlanned }

// explorePlanned plays planned work at random, drawn from SEED.
func explorePlanned(w *world) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 7))
	length := 80 * time.Second

	if os.Getenv("HASH") != "" {
		w.hash = os.Getenv("HASH")
	}

	longFlows := 1
	if os.Getenv("FRESH") != "" {
		longFlows = 0
	}

	w.padding, _ = strconv.Atoi(os.Getenv("PADDING"))
	w.loss, _ = strconv.ParseFloat(os.Getenv("LOSS"), 64)

	if work, err := time.ParseDuration(os.Getenv("WORK")); err == nil {
		w.work = work
	}

	w.jitter, _ = time.ParseDuration(os.Getenv("JITTER"))
	w.deploy(3, 4)

	ending := time.Now().Add(length)

	var clients sync.WaitGroup

	for i := range 40 {
		c := w.newClient(i)
		pause := []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 9 * time.Second}[i%4]

		clients.Go(func() {
			for time.Now().Before(ending) {
				f := c.open(w.route(i % 2))
				if f == nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for n := rand.IntN(1 + 29*longFlows); n >= 0 && time.Now().Before(ending) && f.finished == ""; n-- {
					if !f.request([]int{500, 2000, 40000}[rand.IntN(3)], 8*time.Second) && f.finished == "" {
						if h := w.holderOf(f.end, f.route); h != nil {
							w.violate("HANG: flow %s request not answered though %s holds it", f.end, h.id)
						}
					}

					f.idle(pause * time.Duration(longFlows))
				}

				f.close()
			}
		})
	}

	version := 1

	var acked struct {
		sync.Mutex
		version int
		at      time.Time
	}

	go func() {
		for time.Now().Before(ending) {
			time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
			version++
			v := version
			w.put(w.manifest(v, 2+v%5), 8*time.Second)
			acked.Lock()
			acked.version, acked.at = v, time.Now()
			acked.Unlock()
		}
	}()

	go func() {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

		for time.Now().Before(ending) {
			time.Sleep(150 * time.Millisecond)
			acked.Lock()
			v, at := acked.version, acked.at
			acked.Unlock()

			cores := w.of("controller")

			response, err := client.Get("http://" + cores[rand.IntN(len(cores))].at(portControl).String() + "/v1/Config.Get")
			if err != nil {
				continue
			}

			data, err := io.ReadAll(response.Body)
			response.Body.Close()

			var found struct {
				Version int `json:"version"`
			}

			if err != nil || response.StatusCode != 200 || json.Unmarshal(data, &found) != nil {
				continue
			}

			if found.Version < v && time.Since(at) > 3*time.Second {
				w.violate("CONFIG: read %d, %d was acknowledged", found.Version, v)
			}
		}
	}()

	var rollers sync.WaitGroup

	until := ending.Add(-10 * time.Second)

	for _, role := range []string{"balancer", "agent", "agent", "controller"} {
		own := rand.New(rand.NewPCG(r.Uint64(), 1))

		rollers.Go(func() {
			for time.Now().Before(until) {
				time.Sleep(time.Duration(own.IntN(1200)) * time.Millisecond)

				list := w.of(role)
				m := list[own.IntN(len(list))]

				if m.busy.Swap(true) {
					continue
				}

				m.stop()
				time.Sleep(time.Duration(30+own.IntN(1100)) * time.Millisecond)
				w.start(m)

				// The next stop does not meet the state before the first ping, which the case
				// two-stops shows.
				time.AfterFunc(1200*time.Millisecond, func() { m.busy.Store(false) })
			}
		})
	}

	rollers.Go(func() {
		for time.Now().Before(until) {
			time.Sleep(3 * time.Second)

			list := w.of("agent")
			m := list[r.IntN(len(list))]

			// The agent may be restarted meanwhile.
			m.backend.drain(time.Duration(r.IntN(5000)) * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			w.startBackend(m, 1, 15*time.Millisecond)
		}
	})

	rollers.Wait()
	clients.Wait()
}
