package agent

import (
	"context"
	"time"

	"jayspindle/internal/coordination/admission"
)

// gate limits the requests at the backend server to its slots. One goroutine
// owns the scheduler; requests reach it through a channel of events.
type gate struct {
	events    chan func(now time.Time)
	stopped   chan struct{} // closed when run has ended
	scheduler *admission.Scheduler
	waiting   map[uint64]chan admission.Decision // by request ID
	nextID    uint64
}

// permit allows one request to be sent to the backend server. It must be
// released.
type permit struct {
	gate *gate
	id   uint64
}

func newGate(policy admission.Policy) *gate {
	return &gate{
		events:    make(chan func(now time.Time)),
		stopped:   make(chan struct{}),
		scheduler: admission.New(policy),
		waiting:   make(map[uint64]chan admission.Decision),
	}
}

// run owns the scheduler until the context ends.
func (g *gate) run(ctx context.Context) {
	defer close(g.stopped)

	timer := time.NewTimer(time.Hour)
	defer timer.Stop()

	for {
		select {
		case event := <-g.events:
			event(time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()
		g.deliver(g.scheduler.Next(now))

		if wake, ok := g.scheduler.Wake(); ok {
			timer.Reset(max(0, wake.Sub(now)))
		}
	}
}

// do runs an event on the goroutine that owns the state; see runOnOwner.
func (g *gate) do(ctx context.Context, event func(now time.Time)) bool {
	return runOnOwner(ctx, g.events, g.stopped, event)
}

// deliver sends decisions to the requests that wait for them.
func (g *gate) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if waiter, ok := g.waiting[decision.ID]; ok {
			delete(g.waiting, decision.ID)
			waiter <- decision
		}
	}
}

// acquire waits for a slot, or for a connection if the class is a feed. Without
// a permit, the reason says why the request was not run.
func (g *gate) acquire(ctx context.Context, class string, deadline time.Time) (*permit, admission.Reason) {
	var (
		id       uint64
		decision admission.Decision
		waiter   = make(chan admission.Decision, 1)
	)

	offered := g.do(ctx, func(now time.Time) {
		g.nextID++
		id = g.nextID
		decision = g.scheduler.Offer(now, admission.Request{ID: id, Class: class, Deadline: deadline})

		if decision.Action == admission.Wait {
			g.waiting[id] = waiter
		}
	})
	if !offered {
		return nil, admission.ReasonCancelled
	}

	if decision.Action == admission.Wait {
		decision = g.await(ctx, id, waiter)
	}

	if decision.Action != admission.Run {
		return nil, decision.Reason
	}

	return &permit{gate: g, id: id}, admission.ReasonNone
}

// await returns the decision for a queued request. If the caller
// gives up, its request is removed from the queue.
func (g *gate) await(ctx context.Context, id uint64, waiter chan admission.Decision) admission.Decision {
	select {
	case decision := <-waiter:
		return decision
	case <-ctx.Done():
	}

	cancelled := admission.Decision{ID: id, Action: admission.Refuse, Reason: admission.ReasonCancelled}

	g.do(context.WithoutCancel(ctx), func(now time.Time) {
		delete(g.waiting, id)

		if g.scheduler.Cancel(now, id).Action == admission.Abort {
			// The slot was granted concurrently and is released unused.
			g.scheduler.Finish(now, id, admission.Abandoned)
		}
	})

	return cancelled
}

// release frees the slot.
func (p *permit) release(outcome admission.Outcome) {
	p.gate.do(context.Background(), func(now time.Time) { p.gate.scheduler.Finish(now, p.id, outcome) })
}

// drain refuses new and queued requests.
func (g *gate) drain(ctx context.Context) {
	g.do(ctx, func(now time.Time) { g.deliver(g.scheduler.Drain(now)) })
}

// reconfigure applies the classes and limits of a changed document.
func (g *gate) reconfigure(ctx context.Context, policy admission.Policy) {
	g.do(ctx, func(now time.Time) { g.deliver(g.scheduler.Reconfigure(now, policy)) })
}

// occupancy counts the running requests, feeds and waiting requests of the
// backend server.
type occupancy struct{ running, feeds, waiting int }

func (g *gate) occupancy(ctx context.Context) occupancy {
	var current occupancy

	g.do(ctx, func(time.Time) {
		current = occupancy{running: g.scheduler.Running(), feeds: g.scheduler.Feeds(), waiting: g.scheduler.Waiting()}
	})

	return current
}
