package agent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

const drainPollInterval = 50 * time.Millisecond

// drain stops the agent without aborting requests: the controllers remove it
// from the tables, its feeds move to other agents, and requests in progress
// finish.
func (a *Agent) drain(ctx context.Context, listener *quic.Listener) {
	a.logger.Info("draining")
	a.telemetry.SetReady(false)
	a.admitter.drain(ctx)
	a.leave(ctx, control.PhaseDraining)
	a.waitDraining(ctx)
	a.feeds.drain()

	var group conc.WaitGroup

	group.Go(func() { a.shutDown(ctx) })
	a.waitIdle(ctx)
	group.Wait()

	// All flows have ended, so refusing new ones cannot affect an existing one.
	if err := listener.Close(); err != nil {
		a.logger.Debug("could not close the listener", "error", err)
	}

	a.claims.handOff(ctx)
	a.leave(ctx, control.PhaseRemoved)
	a.logger.Info("drained")
}

// leave notifies the controllers of the phase. It retries for as long as the
// lease lasts.
func (a *Agent) leave(ctx context.Context, phase control.Phase) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	for {
		err := a.member.Leave(ctx, phase)
		if err == nil {
			return
		}

		if !sleep(ctx, drainPollInterval) {
			a.logger.Warn("could not notify the controllers, the lease will expire", "phase", phase, "error", err)

			return
		}
	}
}

// waitDraining returns once the current view shows the agent as draining and
// balancers have had time to apply that view, or after leaveTimeout.
func (a *Agent) waitDraining(ctx context.Context) {
	limitedCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	for {
		own, ok := a.member.View().Agent(a.member.Incarnation())
		if !ok || own.State == view.Draining {
			break
		}

		if !sleep(limitedCtx, drainPollInterval) {
			return
		}
	}

	sleep(limitedCtx, drainPropagationDelay)
}

// shutDown asks callers to open new flows and waits for their requests. Feeds
// that are still open after the drain timeout are closed between two events.
func (a *Agent) shutDown(ctx context.Context) {
	timer := time.AfterFunc(a.config.DrainTimeout, a.feeds.stop)
	defer timer.Stop()

	limitedCtx, cancel := context.WithTimeout(ctx, 2*a.config.DrainTimeout)
	defer cancel()

	if err := a.server.Shutdown(limitedCtx); err != nil {
		a.logger.Error("drain timed out, closing the remaining flows", "error", err)
	}
}

// waitIdle returns when neither callers nor siblings have a request at the
// backend server, or after twice the drain timeout.
func (a *Agent) waitIdle(ctx context.Context) {
	limitedCtx, cancel := context.WithTimeout(ctx, 2*a.config.DrainTimeout)
	defer cancel()

	for {
		current := a.admitter.occupancy(limitedCtx)
		if current.running == 0 && current.feeds == 0 && current.waiting == 0 {
			return
		}

		if !sleep(limitedCtx, drainPollInterval) {
			return
		}
	}
}
