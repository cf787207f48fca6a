package rollout

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// Snapshot is the immutable state of a publisher at one time.
type Snapshot struct {
	current     *view.View
	ring        []step // consecutive, the last one leads to current
	full        func() [][]byte
	confirmedAt time.Time
}

// step is one delta of the ring, encoded once for all subscribers.
type step struct {
	from       view.Position
	fromDigest uint64
	to         view.Position
	toDigest   uint64
	encoded    []byte // a control.Update
}

// View returns the published view, nil before the first.
func (s *Snapshot) View() *view.View { return s.current }

// ConfirmedAt returns the time of the last confirmation by a leader.
func (s *Snapshot) ConfirmedAt() time.Time { return s.confirmedAt }

// Confirmed reports whether a leader has confirmed the view recently enough.
func (s *Snapshot) Confirmed(now time.Time) bool {
	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) <= ConfirmationLimit
}

// next returns the snapshot that follows when a view is published.
func (s *Snapshot) next(published *view.View) *Snapshot {
	following := &Snapshot{
		current:     published,
		full:        sync.OnceValue(func() [][]byte { return encodeFull(published) }),
		confirmedAt: s.confirmedAt,
	}

	if s.current == nil {
		return following
	}

	// Without a delta, for example after a repair at the same position, the
	// ring starts anew and subscribers get a full view.
	if delta, ok := encodeDelta(s.current, published); ok {
		kept := s.ring[max(0, len(s.ring)+1-ringSize):]
		following.ring = append(append(make([]step, 0, len(kept)+1), kept...), delta)
	}

	return following
}

// since returns the steps from a position on, and false if the subscriber
// needs a full view.
func (s *Snapshot) since(position view.Position, digest uint64) ([]step, bool) {
	if position == s.current.Position() {
		return nil, digest == s.current.Digest()
	}

	for i, step := range s.ring {
		if step.from == position {
			return s.ring[i:], digest == step.fromDigest
		}
	}

	return nil, false
}

// encodeDelta returns false if the delta does not fit into one update.
func encodeDelta(old, next *view.View) (step, bool) {
	if !old.Position().Less(next.Position()) {
		return step{}, false
	}

	delta := mustMarshal(next.Diff(old))
	if len(delta) > control.MaxChunk {
		return step{}, false
	}

	return step{
		from:       old.Position(),
		fromDigest: old.Digest(),
		to:         next.Position(),
		toDigest:   next.Digest(),
		encoded: mustMarshal(control.Update{
			Kind:     control.UpdateDelta,
			Position: next.Position(),
			Digest:   next.Digest(),
			Bytes:    delta,
		}),
	}, true
}

// encodeFull returns the updates that carry the whole view.
func encodeFull(whole *view.View) [][]byte {
	encoded, err := whole.MarshalBinary()
	if err != nil {
		// A view consists of plain values only, so encoding cannot fail.
		panic(err)
	}

	count := (len(encoded) + control.MaxChunk - 1) / control.MaxChunk
	invariant.Assert(count <= control.MaxChunks, "rollout: a view fits into the chunks of a full update")

	updates := make([][]byte, 0, count)

	for i := range count {
		updates = append(updates, mustMarshal(control.Update{
			Kind:     control.UpdateFull,
			Position: whole.Position(),
			Digest:   whole.Digest(),
			Chunk:    uint16(i),
			Chunks:   uint16(count),
			Bytes:    encoded[i*control.MaxChunk : min((i+1)*control.MaxChunk, len(encoded))],
		}))
	}

	return updates
}

// mustMarshal encodes plain values, which cannot fail.
func mustMarshal(value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err)
	}

	return encoded
}
