package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// agentRestartDelay is how long the planned restart of an agent takes.
	agentRestartDelay = 2500 * time.Millisecond

	// agentStop is when an agent gets SIGTERM after a balancer has. The routers take the
	// balancer out of rotation 0.5 to 1 s after its SIGTERM.
	agentStop = 700 * time.Millisecond

	silentRounds    = 8
	silentRoundTime = 6 * time.Second

	// Clients pause between the few requests of a flow.
	pausingClients  = 200
	pausingRequests = 5
	pausingPause    = 800 * time.Millisecond // 0.4 to 1.2 s
)

// silentAgent rolls the agents in turn while the balancers are rolled in turn as well. The
// backend servers run on, so no open flow may be reset.
func silentAgent(ctx context.Context, w *world, trouble bool) error {
	d, err := deploy(ctx, w)
	if err != nil {
		return err
	}

	d.forbidResets()

	for range pausingClients {
		go d.clients.run(ctx, d.route, pausingRequests, pausingPause)
	}

	time.Sleep(settleTime)

	balancers, agents := w.of(roleBalancer), w.of(roleAgent)

	for round := range silentRounds {
		started := time.Now()
		balancer, agent := balancers[round%len(balancers)], agents[round%len(agents)]

		w.signal(balancer, syscall.SIGTERM)
		time.Sleep(agentStop)

		if trouble {
			w.signal(agent, syscall.SIGTERM)
		}

		time.Sleep(agentRestartDelay)

		if trouble {
			if err := w.start(agent); err != nil {
				return err
			}
		}

		w.stop(balancer)

		if err := w.start(balancer); err != nil {
			return err
		}

		served, failed := d.clients.counts()
		w.record.add("round %d: %d requests served, %d failed", round, served, failed)
		time.Sleep(silentRoundTime - time.Since(started))
	}

	return nil
}
