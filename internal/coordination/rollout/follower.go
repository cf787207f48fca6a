package rollout

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// Follower applies updates to the view that a subscriber holds. It is not safe
// for concurrent use.
type Follower struct {
	environment string
	current     *view.View
	confirmedAt time.Time
	// needsFull makes the next subscription ask for a full view, because the view
	// held differs from the publisher's or a delta could not be decoded.
	needsFull bool
	assembly  assembly
}

// assembly collects the chunks of one full view.
type assembly struct {
	position   view.Position
	digest     uint64
	chunkCount uint16
	nextChunk  uint16
	buffer     []byte
}

// NewFollower returns a follower that starts with the view current, which may be nil.
func NewFollower(environment string, current *view.View) *Follower {
	return &Follower{environment: environment, current: current}
}

// View returns the view held, nil before the first.
func (f *Follower) View() *view.View { return f.current }

// ConfirmedAt returns when a leader last confirmed the view held.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// Confirmed reports whether a leader has confirmed the view within ConfirmationLimit.
func (f *Follower) Confirmed(now time.Time) bool {
	return !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) <= ConfirmationLimit
}

// Watch returns the request for a new subscription and drops the chunks of the
// previous one.
func (f *Follower) Watch() control.Watch {
	f.assembly = assembly{}

	watch := control.Watch{Environment: f.environment}
	if f.current != nil && !f.needsFull {
		watch.Position, watch.Digest = f.current.Position(), f.current.Digest()
	}

	return watch
}

// Handle applies an update and reports whether View has changed. After an
// error the caller must subscribe again.
func (f *Follower) Handle(now time.Time, update control.Update) (bool, error) {
	switch update.Kind {
	case control.UpdateHeartbeat:
		return false, f.handleHeartbeat(now, update)
	case control.UpdateDelta:
		return f.handleDelta(update)
	case control.UpdateFull:
		return f.handleFullView(update)
	default:
		return false, newError("handle", KindEncoding, errors.Errorf("update has kind %d", update.Kind))
	}
}

func (f *Follower) handleHeartbeat(now time.Time, update control.Update) error {
	if f.current == nil || f.current.Position().Less(update.Position) {
		return newError("check heartbeat", KindGap,
			errors.Errorf("the publisher is at %s, the subscriber at %s", update.Position, f.position()))
	}

	// The upstream is behind, so its heartbeat does not confirm the view held.
	if update.Position.Less(f.current.Position()) {
		return nil
	}

	if update.Digest != f.current.Digest() {
		f.needsFull = true

		return newError("check heartbeat", KindDigest,
			errors.Errorf("digest at %s is %016x, the publisher's is %016x",
				update.Position, f.current.Digest(), update.Digest))
	}

	if at := now.Add(-update.Age); update.Confirmed && at.After(f.confirmedAt) {
		f.confirmedAt = at
	}

	return nil
}

func (f *Follower) handleDelta(update control.Update) (bool, error) {
	if f.current != nil && !f.current.Position().Less(update.Position) {
		return false, nil
	}

	if f.current == nil {
		return false, newError("apply delta", KindGap, errors.New("the subscriber holds no view"))
	}

	var delta view.Delta
	if err := cbor.Unmarshal(update.Bytes, &delta); err != nil {
		f.needsFull = true

		return false, newError("apply delta", KindEncoding, err)
	}

	next, err := f.current.Apply(delta)
	if err != nil {
		return false, newError("apply delta", KindGap, err)
	}

	return f.replace(next, update)
}

func (f *Follower) handleFullView(update control.Update) (bool, error) {
	if f.current != nil && !f.needsView(update) {
		return false, nil
	}

	if update.Chunk == 0 {
		f.assembly = assembly{position: update.Position, digest: update.Digest, chunkCount: update.Chunks}
	}

	partial := &f.assembly
	if partial.position != update.Position || partial.digest != update.Digest ||
		partial.chunkCount != update.Chunks || partial.nextChunk != update.Chunk {
		return false, newError("assemble view", KindGap,
			errors.Errorf("got chunk %d at %s, expected chunk %d at %s",
				update.Chunk, update.Position, partial.nextChunk, partial.position))
	}

	partial.nextChunk++
	partial.buffer = append(partial.buffer, update.Bytes...)

	if partial.nextChunk < partial.chunkCount {
		return false, nil
	}

	next, err := view.Decode(partial.buffer)
	f.assembly = assembly{}

	if err != nil {
		return false, newError("assemble view", KindEncoding, err)
	}

	return f.replace(next, update)
}

// needsView reports whether a full view is newer than the one held or repairs it.
func (f *Follower) needsView(update control.Update) bool {
	if update.Position == f.current.Position() {
		return update.Digest != f.current.Digest()
	}

	return f.current.Position().Less(update.Position)
}

// replace puts a view into force if its environment, position and digest are
// those that the follower and the update state.
func (f *Follower) replace(next *view.View, update control.Update) (bool, error) {
	if next.Environment() != f.environment {
		return false, newError("replace view", KindEnvironment,
			errors.Errorf("the view belongs to environment %q, expected %q", next.Environment(), f.environment))
	}

	if next.Position() != update.Position || next.Digest() != update.Digest {
		f.needsFull = true

		return false, newError("replace view", KindDigest,
			errors.Errorf("the view has digest %016x at %s, the publisher's has %016x at %s",
				next.Digest(), next.Position(), update.Digest, update.Position))
	}

	if f.current != nil {
		invariant.Assert(!next.Position().Less(f.current.Position()), "rollout: the applied position never falls")
	}

	f.current, f.needsFull = next, false

	return true, nil
}

func (f *Follower) position() view.Position {
	if f.current == nil {
		return view.Position{}
	}

	return f.current.Position()
}
