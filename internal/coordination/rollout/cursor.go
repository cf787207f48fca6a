package rollout

import (
	"time"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

// Cursor decides what one subscriber gets next. It is not safe for concurrent
// use.
type Cursor struct {
	position    view.Position
	digest      uint64
	heartbeatAt time.Time
	deltas      uint64 // sent so far
	fullViews   uint64 // sent so far
}

// NewCursor returns the cursor of a new subscription.
func NewCursor(watch control.Watch) *Cursor {
	return &Cursor{position: watch.Position, digest: watch.Digest}
}

// Next returns the encoded updates to send now, which may be none. Before the
// first view is published there is nothing to send.
func (c *Cursor) Next(now time.Time, snapshot *Snapshot) [][]byte {
	if snapshot.current == nil {
		return nil
	}

	updates := c.changes(snapshot)

	if len(updates) == 0 && !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(HeartbeatInterval)
		updates = [][]byte{heartbeat(now, snapshot)}
	}

	return updates
}

// changes returns the deltas or the full view that the subscriber lacks.
func (c *Cursor) changes(snapshot *Snapshot) [][]byte {
	current := snapshot.current

	// A stale relay has nothing for a subscriber that is ahead of it.
	if current.Position().Less(c.position) {
		return nil
	}

	steps, ok := snapshot.since(c.position, c.digest)
	if ok {
		return c.take(steps[:min(len(steps), maxDeltas)])
	}

	c.position, c.digest = current.Position(), current.Digest()
	c.fullViews++

	return snapshot.full()
}

func (c *Cursor) take(steps []step) [][]byte {
	var updates [][]byte

	for _, step := range steps {
		updates = append(updates, step.encoded)
		c.position, c.digest = step.to, step.toDigest
	}

	c.deltas += uint64(len(steps))

	return updates
}

// Due returns when the next heartbeat is due.
func (c *Cursor) Due() time.Time { return c.heartbeatAt }

// Deltas returns the number of deltas so far.
func (c *Cursor) Deltas() uint64 { return c.deltas }

// FullViews returns the number of full views so far.
func (c *Cursor) FullViews() uint64 { return c.fullViews }

func heartbeat(now time.Time, snapshot *Snapshot) []byte {
	update := control.Update{
		Kind:     control.UpdateHeartbeat,
		Position: snapshot.current.Position(),
		Digest:   snapshot.current.Digest(),
	}

	if snapshot.Confirmed(now) {
		update.Confirmed = true
		update.Age = max(0, now.Sub(snapshot.confirmedAt))
	}

	return mustMarshal(update)
}
