package keyring_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/keyring"
	"jayspindle/internal/state/view"
)

func newRing(limit int, ids ...uint8) (*keyring.Ring[uint8], error) {
	keys := make([]view.Key, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, view.Key{ID: id})
	}

	return keyring.New(keys, limit, func(key view.Key) (uint8, error) { return key.ID, nil })
}

func assertKind(t *testing.T, err error, want keyring.Kind) {
	t.Helper()

	var typed *keyring.Error

	is.New(t).True(errors.As(err, &typed))
	is.New(t).Equal(typed.Kind(), want)
}

// Guards against a ring that is empty or has two keys with the same marker, and
// against keys that are found although they exceed the limit or have another
// format.
func TestNew(t *testing.T) {
	_, err := newRing(0)
	assertKind(t, err, keyring.KindEmpty)

	_, err = newRing(0, 65, 1)
	assertKind(t, err, keyring.KindAmbiguous)

	ring, err := newRing(2, 70, 69, 68)
	is.New(t).NoErr(err)
	is.New(t).Equal(*ring.Find(keyring.Marker(69)), uint8(69))
	is.New(t).Equal(ring.Find(keyring.Marker(68)), nil)
	is.New(t).Equal(ring.Find(keyring.Marker(69)^0xc0), nil)
}

// Guards against deriving the same key for two purposes.
func TestDerive(t *testing.T) {
	seen := map[string]bool{}
	for _, purpose := range []keyring.Purpose{
		keyring.Datagram, keyring.ConnectionID, keyring.StatelessReset, keyring.RetryToken,
	} {
		seen[string(keyring.Derive(view.Key{ID: 1}, purpose, 32))] = true
	}

	is.New(t).Equal(len(seen), 4)
}
