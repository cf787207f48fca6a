package rollout

import (
	"time"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/view"
)

// Cursor tracks what one subscriber has been sent and selects the next updates.
// It is not safe for concurrent use.
type Cursor struct {
	position      view.Position
	digest        uint64
	heartbeatAt   time.Time
	deltasSent    uint64
	fullViewsSent uint64
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

	updates := c.pendingUpdates(snapshot)

	if len(updates) == 0 && !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(HeartbeatInterval)
		updates = [][]byte{encodeHeartbeat(now, snapshot)}
	}

	return updates
}

// pendingUpdates returns the deltas or the full view that the subscriber lacks.
func (c *Cursor) pendingUpdates(snapshot *Snapshot) [][]byte {
	current := snapshot.current

	// A relay that is behind its subscriber has nothing to send.
	if current.Position().Less(c.position) {
		return nil
	}

	deltas, ok := snapshot.deltasSince(c.position, c.digest)
	if ok {
		return c.advance(deltas[:min(len(deltas), maxDeltasPerBatch)])
	}

	c.position, c.digest = current.Position(), current.Digest()
	c.fullViewsSent++

	return snapshot.fullUpdates()
}

// advance moves the cursor past the deltas and returns their encoded updates.
func (c *Cursor) advance(deltas []encodedDelta) [][]byte {
	var updates [][]byte

	for _, delta := range deltas {
		updates = append(updates, delta.encoded)
		c.position, c.digest = delta.to, delta.toDigest
	}

	c.deltasSent += uint64(len(deltas))

	return updates
}

// HeartbeatDueAt returns the time of the next heartbeat.
func (c *Cursor) HeartbeatDueAt() time.Time { return c.heartbeatAt }

// Deltas returns the number of deltas sent so far.
func (c *Cursor) Deltas() uint64 { return c.deltasSent }

// FullViews returns the number of full views sent so far.
func (c *Cursor) FullViews() uint64 { return c.fullViewsSent }

func encodeHeartbeat(now time.Time, snapshot *Snapshot) []byte {
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
