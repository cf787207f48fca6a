package agent

import (
	"context"
	"time"

	"jayspindle/internal/coordination/admission"
)

// admitter limits the requests at the backend server to its slots. One goroutine
// owns the scheduler; requests reach it through a channel of events.
type admitter struct {
	events    chan func(now time.Time)
	stopped   chan struct{} // closed when run has ended
	scheduler *admission.Scheduler
	waiting   map[uint64]chan admission.Decision // by request ID
	nextID    uint64
}

// permit allows one request to be sent to the backend server. It must be
// released.
type permit struct {
	admitter *admitter
	id       uint64
}

func newAdmitter(policy admission.Policy) *admitter {
	return &admitter{
		events:    make(chan func(now time.Time)),
		stopped:   make(chan struct{}),
		scheduler: admission.New(policy),
		waiting:   make(map[uint64]chan admission.Decision),
	}
}

// run owns the scheduler until the context ends.
func (a *admitter) run(ctx context.Context) {
	defer close(a.stopped)

	timer := time.NewTimer(time.Hour)
	defer timer.Stop()

	for {
		select {
		case event := <-a.events:
			event(time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return
		}

		now := time.Now()
		a.deliver(a.scheduler.Next(now))

		if wake, ok := a.scheduler.NextWakeup(); ok {
			timer.Reset(max(0, wake.Sub(now)))
		}
	}
}

// do runs an event on the goroutine of run, which owns the scheduler; see runOnOwner.
func (a *admitter) do(ctx context.Context, event func(now time.Time)) bool {
	return runOnOwner(ctx, a.events, a.stopped, event)
}

// deliver sends decisions to the requests that wait for them.
func (a *admitter) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if waiter, ok := a.waiting[decision.ID]; ok {
			delete(a.waiting, decision.ID)
			waiter <- decision
		}
	}
}

// acquire waits for a slot, or for a connection if the class is a feed. Without
// a permit, the reason says why the request was not run.
func (a *admitter) acquire(ctx context.Context, class string, deadline time.Time) (*permit, admission.Reason) {
	var (
		id       uint64
		decision admission.Decision
		waiter   = make(chan admission.Decision, 1)
	)

	offered := a.do(ctx, func(now time.Time) {
		a.nextID++
		id = a.nextID
		decision = a.scheduler.Offer(now, admission.Request{ID: id, Class: class, Deadline: deadline})

		if decision.Action == admission.Wait {
			a.waiting[id] = waiter
		}
	})
	if !offered {
		return nil, admission.ReasonCancelled
	}

	if decision.Action == admission.Wait {
		decision = a.await(ctx, id, waiter)
	}

	if decision.Action != admission.Run {
		return nil, decision.Reason
	}

	return &permit{admitter: a, id: id}, admission.ReasonNone
}

// await returns the decision for a queued request. If the caller
// gives up, its request is removed from the queue.
func (a *admitter) await(ctx context.Context, id uint64, waiter chan admission.Decision) admission.Decision {
	select {
	case decision := <-waiter:
		return decision
	case <-ctx.Done():
	}

	cancelled := admission.Decision{ID: id, Action: admission.Refuse, Reason: admission.ReasonCancelled}

	a.do(context.WithoutCancel(ctx), func(now time.Time) {
		delete(a.waiting, id)

		if a.scheduler.Cancel(now, id).Action == admission.Abort {
			// The slot was granted concurrently and is released unused.
			a.scheduler.Finish(now, id, admission.Abandoned)
		}
	})

	return cancelled
}

// release frees the slot.
func (p *permit) release(outcome admission.Outcome) {
	p.admitter.do(context.Background(), func(now time.Time) { p.admitter.scheduler.Finish(now, p.id, outcome) })
}

// drain refuses new and queued requests.
func (a *admitter) drain(ctx context.Context) {
	a.do(ctx, func(now time.Time) { a.deliver(a.scheduler.Drain(now)) })
}

// reconfigure applies the classes and limits of a changed document.
func (a *admitter) reconfigure(ctx context.Context, policy admission.Policy) {
	a.do(ctx, func(now time.Time) { a.deliver(a.scheduler.Reconfigure(now, policy)) })
}

// occupancy counts the running requests, feeds and waiting requests of the
// backend server.
type occupancy struct{ running, feeds, waiting int }

func (a *admitter) occupancy(ctx context.Context) occupancy {
	var current occupancy

	a.do(ctx, func(time.Time) {
		current = occupancy{running: a.scheduler.Running(), feeds: a.scheduler.Feeds(), waiting: a.scheduler.Waiting()}
	})

	return current
}
