package main

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router is the stand-in of the platform's routers, with the hash "steady".
type router struct {
	world *world

	mutex  sync.Mutex // guards everything below
	misses map[string]int
	in     map[string]bool // in rotation
}

func newRouter(w *world) *router {
	return &router{world: w, misses: make(map[string]int), in: make(map[string]bool)}
}

// run asks each front for its readiness twice a second. After two misses it is out of
// rotation until it answers with 200 again.
func (r *router) run() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

	for !r.world.closing.Load() {
		for _, m := range r.world.of("balancer") {
			response, err := client.Get("http://" + m.at(portReady).String() + "/v1/ready")
			good := err == nil && response.StatusCode == http.StatusOK

			if err == nil {
				response.Body.Close()
			}

			r.mutex.Lock()

			switch {
			case good:
				r.misses[m.name], r.in[m.name] = 0, true
			default:
				if r.misses[m.name]++; r.misses[m.name] >= 2 {
					r.in[m.name] = false
				}
			}
			r.mutex.Unlock()
		}

		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) ready() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	count := 0

	for _, in := range r.in {
		if in {
			count++
		}
	}

	return count
}

// send forwards a packet to the node that the hash selects. Only the flows of a node
// that joins or leaves move.
func (r *router) send(conn *net.UDPConn, client, route netip.AddrPort, raw []byte) {
	r.mutex.Lock()

	var best *machine

	var bestScore uint64

	if r.world.hash == "mod" {
		best = r.pickMod(client, route)
	}

	for _, m := range r.world.of("balancer") {
		if !r.in[m.name] || r.world.hash == "mod" {
			continue
		}

		sum := fnv.New64a()
		sum.Write([]byte(m.name + client.String() + route.String()))

		if score := sum.Sum64() * 0x9e3779b97f4a7c15; best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	r.mutex.Unlock()

	if best == nil || rand.Float64() < r.world.loss {
		return
	}

	deliver := func() { _, _ = conn.WriteToUDPAddrPort(raw, best.at(portData)) }

	if r.world.jitter > 0 {
		time.AfterFunc(rand.N(r.world.jitter), deliver)

		return
	}

	deliver()
}

// pickMod selects a node with the hash "mod": nearly all flows move when a node joins or
// leaves. The caller holds the mutex.
func (r *router) pickMod(client, route netip.AddrPort) *machine {
	var in []*machine

	for _, m := range r.world.of("balancer") {
		if r.in[m.name] {
			in = append(in, m)
		}
	}

	if len(in) == 0 {
		return nil
	}

	sum := fnv.New64a()
	sum.Write([]byte(client.String() + route.String()))

	return in[sum.Sum64()%uint64(len(in))]
}
