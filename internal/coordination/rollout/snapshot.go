package rollout

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/invariant"
	"jayspindle/internal/state/view"
)

// Snapshot is the immutable state of a publisher at a point in time.
type Snapshot struct {
	current     *view.View
	ring        []encodedDelta // consecutive; the last one results in current
	fullUpdates func() [][]byte
	confirmedAt time.Time
}

// encodedDelta is one delta of the ring, encoded once for all subscribers.
type encodedDelta struct {
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

// Confirmed reports whether a leader has confirmed the view within ConfirmationLimit.
func (s *Snapshot) Confirmed(now time.Time) bool {
	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) <= ConfirmationLimit
}

// withView returns the snapshot after the publication of a view.
func (s *Snapshot) withView(published *view.View) *Snapshot {
	next := &Snapshot{
		current:     published,
		fullUpdates: sync.OnceValue(func() [][]byte { return encodeFull(published) }),
		confirmedAt: s.confirmedAt,
	}

	if s.current == nil {
		return next
	}

	// If there is no delta, for example because the view replaces another one at
	// the same position, the ring becomes empty and subscribers get a full view.
	if delta, ok := encodeDelta(s.current, published); ok {
		kept := s.ring[max(0, len(s.ring)+1-maxRingDeltas):]
		next.ring = append(append(make([]encodedDelta, 0, len(kept)+1), kept...), delta)
	}

	return next
}

// deltasSince returns the deltas from a position on, and false if the subscriber
// needs a full view.
func (s *Snapshot) deltasSince(position view.Position, digest uint64) ([]encodedDelta, bool) {
	if position == s.current.Position() {
		return nil, digest == s.current.Digest()
	}

	for i, candidate := range s.ring {
		if candidate.from == position {
			return s.ring[i:], digest == candidate.fromDigest
		}
	}

	return nil, false
}

// encodeDelta returns the delta from old to next. It returns false if next is not
// newer or the delta does not fit into one update.
func encodeDelta(old, next *view.View) (encodedDelta, bool) {
	if !old.Position().Less(next.Position()) {
		return encodedDelta{}, false
	}

	delta := mustMarshal(next.Diff(old))
	if len(delta) > control.MaxChunk {
		return encodedDelta{}, false
	}

	return encodedDelta{
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
func encodeFull(published *view.View) [][]byte {
	encoded, err := published.MarshalBinary()
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
			Position: published.Position(),
			Digest:   published.Digest(),
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
