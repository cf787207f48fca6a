package main

import (
	"context"
	"hash/fnv"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// router is the stand-in of the platform's routers, with the hash "mod" of the settings.
type router struct {
	world *world

	mutex    sync.Mutex // guards everything below
	misses   map[string]int
	rotation []*machine
}

func newRouter(w *world) *router { return &router{world: w, misses: make(map[string]int)} }

// run probes the balancers until ctx ends.
func (r *router) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		r.probe(ctx)

		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (r *router) probe(ctx context.Context) {
	balancers := r.world.of(roleBalancer)
	ready := make([]bool, len(balancers))

	var probes sync.WaitGroup

	for i, m := range balancers {
		probes.Go(func() { ready[i] = isReady(ctx, m) })
	}

	probes.Wait()

	r.mutex.Lock()
	defer r.mutex.Unlock()

	var rotation []*machine

	for i, m := range balancers {
		if ready[i] {
			r.misses[m.name] = 0
		} else {
			r.misses[m.name]++
		}

		wasIn := slices.Contains(r.rotation, m)
		if ready[i] || (wasIn && r.misses[m.name] < maxMisses) {
			rotation = append(rotation, m)
		}
	}

	if 2*len(rotation) < len(balancers) {
		rotation = balancers
	}

	if !slices.Equal(rotation, r.rotation) {
		names := make([]string, 0, len(rotation))
		for _, m := range rotation {
			names = append(names, m.name)
		}

		r.world.record.add("rotation: %v", names)
	}

	r.rotation = rotation
}

// send sends a packet of a client to the balancer that the hash selects.
func (r *router) send(conn *net.UDPConn, p packet) string {
	r.mutex.Lock()
	rotation := r.rotation
	r.mutex.Unlock()

	if len(rotation) == 0 {
		return "none"
	}

	m := rotation[flowHash(p.source, p.destination)%uint64(len(rotation))]

	// Packets to a balancer that restarts are lost.
	_, _ = conn.WriteToUDPAddrPort(p.encode(), m.at(dataPort))

	return m.name
}

func flowHash(source, destination netip.AddrPort) uint64 {
	sum := fnv.New64a()
	for _, address := range []netip.AddrPort{source, destination} {
		raw, err := address.MarshalBinary()
		if err != nil {
			panic(err) // addresses are valid
		}

		// A hash never returns an error.
		_, _ = sum.Write(raw)
	}

	hash := sum.Sum64()

	return hash ^ hash>>29 ^ hash>>47
}
