package control

import (
	"time"

	"jayspindle/internal/state/view"
)

// Watch subscribes to the views of an environment after a position.
type Watch struct {
	Environment string        `cbor:"1,keyasint"`
	Position    view.Position `cbor:"2,keyasint"` // of the subscriber's view, zero if it has none
	Digest      uint64        `cbor:"3,keyasint"` // of the subscriber's view
}

// Check reports the first field out of bounds.
func (w *Watch) Check() error {
	return newValidator("watch").requiredName("environment", w.Environment).err
}

// UpdateKind is the kind of an Update.
type UpdateKind uint8

// The kinds of an Update.
const (
	UpdateFull      UpdateKind = iota + 1 // a chunk of a complete view
	UpdateDelta                           // a view.Delta
	UpdateHeartbeat                       // position and digest only
)

// Update is one message of a watch stream.
type Update struct {
	Kind     UpdateKind    `cbor:"1,keyasint"`
	Position view.Position `cbor:"2,keyasint"` // after the update
	Digest   uint64        `cbor:"3,keyasint"` // of the view at Position
	// Confirmed reports whether a leader confirmed the position Age ago. Each
	// relay adds the time that it held the confirmation to Age, so the age
	// stays correct across any number of relays without synchronised clocks.
	Confirmed bool          `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint,omitempty"`
	Chunk     uint16        `cbor:"6,keyasint,omitempty"` // full: index of this chunk, from 0
	Chunks    uint16        `cbor:"7,keyasint,omitempty"` // full: number of chunks
	Bytes     []byte        `cbor:"8,keyasint,omitempty"` // full: chunk of the encoded view; delta: view.Delta as CBOR
}

// Check reports the first field out of bounds.
func (u *Update) Check() error {
	isFull := u.Kind == UpdateFull

	return newValidator("update").
		require(u.Kind >= UpdateFull && u.Kind <= UpdateHeartbeat, "kind is %d", u.Kind).
		require(u.Age >= 0, "age is %s", u.Age).
		require(isFull == (u.Chunks > 0), "kind %d with %d chunks", u.Kind, u.Chunks).
		require(!isFull || u.Chunk < u.Chunks, "chunk is %d of %d", u.Chunk, u.Chunks).
		require(u.Chunks <= MaxChunks, "%d chunks, at most %d are allowed", u.Chunks, MaxChunks).
		require(len(u.Bytes) <= MaxChunk, "%d bytes, at most %d are allowed", len(u.Bytes), MaxChunk).
		err
}
