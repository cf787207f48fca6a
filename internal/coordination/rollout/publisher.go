package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// Publisher publishes the views of one environment. It is safe for concurrent
// use.
type Publisher struct {
	environment string

	mutex       sync.Mutex
	snapshot    *Snapshot
	pending     *view.View
	publishedAt time.Time
	changed     chan struct{}
}

// New returns a publisher without a view.
func New(environment string) *Publisher {
	return &Publisher{
		environment: environment,
		snapshot:    &Snapshot{},
		changed:     make(chan struct{}),
	}
}

// Apply publishes a view, or keeps it for a later Tick if the last
// publication is less than CoalesceInterval ago. A view that is not newer is
// ignored, unless it has the same position and another digest.
func (p *Publisher) Apply(now time.Time, next *view.View) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	newest := p.snapshot.current
	if p.pending != nil {
		newest = p.pending
	}

	if newest != nil && !supersedes(next, newest) {
		return
	}

	p.pending = next
	p.publish(now)
}

// Tick publishes the view that Apply has kept, if CoalesceInterval has passed.
func (p *Publisher) Tick(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.publish(now)
}

func (p *Publisher) publish(now time.Time) {
	if p.pending == nil || now.Sub(p.publishedAt) < CoalesceInterval {
		return
	}

	if old := p.snapshot.current; old != nil {
		invariant.Assert(!p.pending.Position().Less(old.Position()), "rollout: the published position never falls")
	}

	p.snapshot = p.snapshot.withView(p.pending)
	p.pending, p.publishedAt = nil, now

	close(p.changed)
	p.changed = make(chan struct{})
}

// Confirm records that a leader with a quorum held the newest view at the
// given time. It does not wake subscribers: the next heartbeat carries the
// confirmation.
func (p *Publisher) Confirm(at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	if !at.After(p.snapshot.confirmedAt) {
		return
	}

	confirmed := *p.snapshot
	confirmed.confirmedAt = at
	p.snapshot = &confirmed
}

// Snapshot returns the published state and a channel that is closed when the
// next view is published.
func (p *Publisher) Snapshot() (*Snapshot, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.snapshot, p.changed
}

// Serve sends updates to one subscriber until ctx ends or send fails. The
// items are encoded control.Update messages.
func (p *Publisher) Serve(ctx context.Context, watch control.Watch, send func(cbor.RawMessage) error) error {
	cursor := NewCursor(watch)

	for ctx.Err() == nil {
		snapshot, changed := p.Snapshot()
		updates := cursor.Next(time.Now(), snapshot)

		for _, update := range updates {
			if err := send(update); err != nil {
				return newError("serve", KindUpstream, err)
			}
		}

		if len(updates) == 0 {
			waitForUpdate(ctx, changed, cursor.HeartbeatDueAt())
		}
	}

	return nil
}

// waitForUpdate waits until a view is published or a heartbeat is due.
func waitForUpdate(ctx context.Context, changed <-chan struct{}, due time.Time) {
	wait := HeartbeatInterval
	if !due.IsZero() {
		wait = max(0, time.Until(due))
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Handler returns the handler of control.MethodWatch for the environments of
// the given publishers.
func Handler(publishers ...*Publisher) link.StreamHandler {
	byEnvironment := make(map[string]*Publisher, len(publishers))
	for _, publisher := range publishers {
		byEnvironment[publisher.environment] = publisher
	}

	return func(ctx context.Context, request *link.Request, send func(any) error) error {
		var watch control.Watch
		if err := request.Decode(&watch); err != nil {
			return err
		}

		publisher, ok := byEnvironment[watch.Environment]
		if !ok {
			return link.Errorf(link.KindNotFound, "environment %q does not exist", watch.Environment)
		}

		// A view contains keys, which an instance of another environment must not see.
		if err := (identity.Policy{Environment: watch.Environment}).Check(link.Peer(ctx)); err != nil {
			return link.NewError(link.KindDenied, errors.Trace(err))
		}

		return publisher.Serve(ctx, watch, func(update cbor.RawMessage) error { return send(update) })
	}
}

// supersedes reports whether next replaces current: it is newer, or it has the
// same position and another digest.
func supersedes(next, current *view.View) bool {
	if next.Position() == current.Position() {
		return next.Digest() != current.Digest()
	}

	return current.Position().Less(next.Position())
}
