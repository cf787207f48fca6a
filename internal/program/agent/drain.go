package agent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

const drainPoll = 50 * time.Millisecond

// drain stops the agent without cutting a request: the controllers take it out
// of the tables, its feeds move, requests in progress finish.
func (a *Agent) drain(ctx context.Context, listener *quic.Listener) {
	a.logger.Info("draining")
	a.observed.SetReady(false)
	a.gate.drain(ctx)
	a.leave(ctx, control.PhaseDraining)
	a.waitDraining(ctx)
	a.feeds.drain()

	var group conc.WaitGroup

	group.Go(func() { a.shutDown(ctx) })
	a.waitIdle(ctx)
	group.Wait()

	// No flow is left that a new one could be mistaken for.
	if err := listener.Close(); err != nil {
		a.logger.Debug("listener not closed", "error", err)
	}

	a.claims.handOff(ctx)
	a.leave(ctx, control.PhaseGone)
	a.logger.Info("drained")
}

// leave tells the controllers, with attempts for as long as the lease lasts.
func (a *Agent) leave(ctx context.Context, phase control.Phase) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	for {
		err := a.member.Leave(ctx, phase)
		if err == nil {
			return
		}

		if !pause(ctx, drainPoll) {
			a.logger.Warn("controllers not told, the lease will expire", "phase", phase, "error", err)

			return
		}
	}
}

// waitDraining returns once the view in force shows the agent as draining and
// balancers had time to apply it, or after leaveTimeout.
func (a *Agent) waitDraining(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	for {
		own, ok := a.member.View().Agent(a.member.Incarnation())
		if !ok || own.State == view.Draining {
			break
		}

		if !pause(limit, drainPoll) {
			return
		}
	}

	pause(limit, drainSettle)
}

// shutDown asks callers to open new flows and waits for their requests. Feeds
// whose callers stay are ended between two events after the drain timeout.
func (a *Agent) shutDown(ctx context.Context) {
	timer := time.AfterFunc(a.config.DrainTimeout, a.feeds.end)
	defer timer.Stop()

	limit, cancel := context.WithTimeout(ctx, 2*a.config.DrainTimeout)
	defer cancel()

	if err := a.server.Shutdown(limit); err != nil {
		a.logger.Error("flows cut at the end of the drain", "error", err)
	}
}

// waitIdle returns when neither callers nor siblings have a request at the
// backend server, or after the drain timeout.
func (a *Agent) waitIdle(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, 2*a.config.DrainTimeout)
	defer cancel()

	for {
		now := a.gate.occupancy(limit)
		if now.running == 0 && now.feeds == 0 && now.waiting == 0 {
			return
		}

		if !pause(limit, drainPoll) {
			return
		}
	}
}
