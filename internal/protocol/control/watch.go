package control

import (
	"time"

	"jayspindle/internal/state/view"
)

// Watch asks for the views of an environment from a position on.
type Watch struct {
	Environment string        `cbor:"1,keyasint"`
	Position    view.Position `cbor:"2,keyasint"` // held by the subscriber, zero if it holds none
	Digest      uint64        `cbor:"3,keyasint"` // of the view held
}

// Check reports the first field out of bounds.
func (w *Watch) Check() error { return check("watch").name("environment", w.Environment).err }

// UpdateKind tells the uses of an Update apart.
type UpdateKind uint8

// The kinds of an Update.
const (
	UpdateFull      UpdateKind = iota + 1 // a chunk of a whole view
	UpdateDelta                           // a view.Delta
	UpdateHeartbeat                       // position and digest only
)

// Update is one item of a watch.
type Update struct {
	Kind     UpdateKind    `cbor:"1,keyasint"`
	Position view.Position `cbor:"2,keyasint"` // after the update
	Digest   uint64        `cbor:"3,keyasint"` // of the view at Position
	// Confirmed states that a leader confirmed the position Age ago. Each relay
	// adds the time that it held the confirmation to Age, so that confirmations
	// grow old over any number of relays without synchronised clocks.
	Confirmed bool          `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint,omitempty"`
	Chunk     uint16        `cbor:"6,keyasint,omitempty"` // full: number of this chunk, from 0
	Chunks    uint16        `cbor:"7,keyasint,omitempty"` // full: how many there are
	Bytes     []byte        `cbor:"8,keyasint,omitempty"` // full: chunk of the encoded view; delta: CBOR
}

// Check reports the first field out of bounds.
func (u *Update) Check() error {
	full := u.Kind == UpdateFull

	return check("update").
		that(u.Kind >= UpdateFull && u.Kind <= UpdateHeartbeat, "kind is %d", u.Kind).
		that(u.Age >= 0, "age is %s", u.Age).
		that(full == (u.Chunks > 0), "kind %d with %d chunks", u.Kind, u.Chunks).
		that(!full || u.Chunk < u.Chunks, "chunk is %d of %d", u.Chunk, u.Chunks).
		that(u.Chunks <= MaxChunks, "%d chunks, at most %d are allowed", u.Chunks, MaxChunks).
		that(len(u.Bytes) <= MaxChunk, "%d bytes, at most %d are allowed", len(u.Bytes), MaxChunk).
		err
}
