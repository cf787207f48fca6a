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

	w.deploy(3, 4)

	ending := time.Now().Add(length)

	var clients sync.WaitGroup

	for i := range 40 {
		c := w.newClient(i)
		pause := []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 6 * time.Second}[i%4]

		clients.Go(func() {
			for time.Now().Before(ending) {
				f := c.open(w.route(i % 2))
				if f == nil {
					time.Sleep(100 * time.Millisecond)

					continue
				}

				for n := rand.IntN(30); n >= 0 && time.Now().Before(ending) && f.finished == ""; n-- {
					if !f.request([]int{500, 2000, 40000}[rand.IntN(3)], 8*time.Second) && f.finished == "" {
						if h := w.holderOf(f.end, f.route); h != nil {
							w.violate("HANG: flow %s request not answered though %s holds it", f.end, h.id)
						}
					}

					f.idle(pause)
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

	busy := make(map[string]time.Time)
	free := func(role string) *machine {
		var found []*machine

		for _, m := range w.of(role) {
			if time.Since(busy[m.name]) > 1500*time.Millisecond {
				found = append(found, m)
			}
		}

		if len(found) == 0 {
			return nil
		}

		return found[r.IntN(len(found))]
	}

	roll := func(role string) {
		m := free(role)
		if m == nil {
			return
		}

		busy[m.name] = time.Now().Add(10 * time.Second)
		delay := time.Duration(50+r.IntN(500)) * time.Millisecond

		m.stop()
		time.Sleep(delay)
		w.start(m)
		busy[m.name] = time.Now()
	}

	number := 10

	for time.Now().Before(ending.Add(-10 * time.Second)) {
		time.Sleep(time.Duration(r.IntN(600)) * time.Millisecond)

		switch r.IntN(8) {
		case 0, 1:
			roll("balancer")
		case 2, 3:
			roll("agent")
		case 4, 5:
			roll("controller")
		case 6:
			m := free("agent")
			if m == nil || m.backend == nil || m.backend.leaving {
				continue
			}

			busy[m.name] = time.Now().Add(time.Hour)
			number++
			old := m.backend

			go func() {
				old.drain(time.Duration(rand.IntN(2000)) * time.Millisecond)
				time.Sleep(100 * time.Millisecond)
				m.backend = w.startBackend(m, 1, 15*time.Millisecond)
				busy[m.name] = time.Now()
			}()
		case 7:
			roll("agent")
			roll("balancer")
		}
	}

	clients.Wait()
}
