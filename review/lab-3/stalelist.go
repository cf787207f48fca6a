package main

import (
	"context"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const desk = "sheet-desk"

// fleetSize is the size of a small deployment.
const (
	controllerCount = 5
	balancerCount   = 7
	agentCount      = 4
)

// deployment is a world with its stand-ins.
type deployment struct {
	*world

	router   *router
	operator *operator
	clients  *clients
	route    netip.AddrPort

	mutex   sync.Mutex // guards servers
	servers []*server
}

// deploy starts a small deployment and waits until it serves.
func deploy(ctx context.Context, w *world) (*deployment, error) {
	for range controllerCount {
		w.add(roleController, "")
	}

	for range balancerCount {
		w.add(roleBalancer, "")
	}

	agents := make([]*machine, 0, agentCount)
	for range agentCount {
		agents = append(agents, w.add(roleAgent, desk))
	}

	d := &deployment{
		world: w, router: newRouter(w), operator: newOperator(w), route: netip.AddrPortFrom(w.address(250), 443),
	}

	if err := w.begin(); err != nil {
		return nil, err
	}

	for _, m := range agents {
		if err := d.startServer(m); err != nil {
			return nil, err
		}
	}

	if err := d.operator.put(ctx, 1, manifest(1, map[string]netip.AddrPort{desk: d.route}, 8)); err != nil {
		return nil, err
	}

	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}

	go d.router.run(ctx)

	var err error

	d.clients, err = newClients(w.record, d.router, w.address(200))

	return d, err
}

func (d *deployment) startServer(m *machine) error {
	s, err := newServer(d.record, m)
	if err != nil {
		return err
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.servers = append(d.servers, s)

	return nil
}

// holder returns the server that holds an open flow, or nil.
func (d *deployment) holder(client netip.AddrPort) *server {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for _, s := range d.servers {
		if s.holds(client) {
			return s
		}
	}

	return nil
}

// forbidResets records each reset that the system sends on a flow that a server holds.
func (d *deployment) forbidResets() {
	d.clients.onReset = func(f *clientFlow) {
		if s := d.holder(f.source); s != nil {
			d.record.violate("FLOW: the system reset flow %v, open for %v at %s, which holds it; opened through %s, reset by %s",
				f.source, time.Since(f.openedAt), s.id, f.openedThrough, f.lastSentThrough)
		}
	}
}

// scaleOut adds a machine with an agent and a backend server.
func (d *deployment) scaleOut() error {
	m := d.add(roleAgent, desk)
	if err := d.start(m); err != nil {
		return err
	}

	return d.startServer(m)
}

const (
	rounds       = 28
	roundTime    = 3500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	clientCount  = 60

	// settleTime is the time from the start of traffic to the first disruption: stableWindowMs.
	settleTime = 4 * time.Second
)

// staleList rolls the controllers and the balancers in turn while backend servers are
// added. No open flow may be reset.
func staleList(ctx context.Context, w *world, trouble bool) error {
	d, err := deploy(ctx, w)
	if err != nil {
		return err
	}

	d.forbidResets()

	for range clientCount {
		go d.clients.run(ctx, d.route, 10, 100*time.Millisecond)
	}

	time.Sleep(settleTime)

	balancers, controllers := w.of(roleBalancer), w.of(roleController)

	for round := range rounds {
		started := time.Now()

		// Rolling restart of the balancers: the router takes this one out of rotation within a second.
		balancer := balancers[round%len(balancers)]
		w.signal(balancer, syscall.SIGTERM)
		time.Sleep(350 * time.Millisecond)

		controller := controllers[round%len(controllers)]
		if trouble {
			w.signal(controller, syscall.SIGTERM)
		}

		if err := d.scaleOut(); err != nil {
			return err
		}

		time.Sleep(restartDelay)

		if trouble {
			w.stop(controller)

			if err := w.start(controller); err != nil {
				return err
			}
		}

		w.stop(balancer)

		if err := w.start(balancer); err != nil {
			return err
		}

		served, failed := d.clients.counts()
		w.record.add("round %d: %d requests served, %d failed", round, served, failed)
		time.Sleep(roundTime - time.Since(started))
	}

	return nil
}
