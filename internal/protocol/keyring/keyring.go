// Package keyring derives a key for each purpose from the fabric keys of a view,
// and looks keys up by the marker byte that is sent with a datagram.
//
// # Usage
//
//	ring, err := keyring.New(current.Keys(), 3, func(key view.Key) (siphashKey, error) {
//		return expand(keyring.Derive(key, keyring.Datagram, 16))
//	})
//	marker, sealing := ring.Sealing() // key for sealing
//	opening := ring.Find(firstByte)   // key for opening; nil if it is unknown
//
// Instances apply a key rotation at different times. Senders therefore seal with
// the predecessor of the newest key, which a receiver that is one rotation behind
// has too. Receivers also accept the key before that, for senders that are behind.
//
// The marker byte holds the format in its two high bits and the key ID modulo
// 64 in the others. A Ring is immutable, so goroutines share it without locks.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/juju/errors"

	"jayspindle/internal/state/view"
)

// Purpose is the label that separates the keys derived for different uses.
type Purpose string

// The purposes of a fabric key. A change of the format of one needs a new label.
const (
	Datagram       Purpose = "jayspindle datagram 1"
	ConnectionID   Purpose = "jayspindle connection id 1"
	StatelessReset Purpose = "jayspindle stateless reset 1"
	RetryToken     Purpose = "jayspindle retry token 1"
)

const (
	format     = 0x40 // format version of this release
	formatMask = 0xc0
	idMask     = 0x3f
	slotCount  = idMask + 1
)

// Derive returns length bytes derived from a fabric key with HKDF-SHA-256
// (RFC 5869).
func Derive(key view.Key, purpose Purpose, length int) []byte {
	derived, err := hkdf.Key(sha256.New, key.Secret[:], nil, string(purpose), length)
	if err != nil {
		// HKDF fails only for lengths over 8160 bytes, which no caller asks for.
		panic(err)
	}

	return derived
}

// Marker returns the marker byte of a key.
func Marker(id uint8) byte { return format | id&idMask }

// Ring holds an item derived from each accepted key, such as a cipher.
type Ring[T any] struct {
	marker byte
	slots  [slotCount]*T
}

// New builds a ring from the first limit keys, which are sorted from newest to
// oldest. A limit of 0 means all keys.
func New[T any](keys []view.Key, limit int, build func(view.Key) (T, error)) (*Ring[T], error) {
	if len(keys) == 0 {
		return nil, newError("new", KindEmpty, errors.New("the view has no fabric key"))
	}

	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}

	sealing := keys[min(1, len(keys)-1)]
	ring := &Ring[T]{marker: Marker(sealing.ID)}

	for _, key := range keys {
		slot := key.ID & idMask
		if ring.slots[slot] != nil {
			return nil, newError("new", KindAmbiguous,
				errors.Errorf("%s has the same ID as another key modulo %d", key, slotCount))
		}

		item, err := build(key)
		if err != nil {
			return nil, newError("new", KindCipher, err)
		}

		ring.slots[slot] = &item
	}

	return ring, nil
}

// Sealing returns the marker and the item of the key for sealing.
func (r *Ring[T]) Sealing() (byte, *T) { return r.marker, r.slots[r.marker&idMask] }

// Find returns the item of the key with the given marker, or nil if the format
// or the key is unknown.
func (r *Ring[T]) Find(marker byte) *T {
	if marker&formatMask != format {
		return nil
	}

	return r.slots[marker&idMask]
}
