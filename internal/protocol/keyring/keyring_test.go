package keyring_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/keyring"
	"jayspindle/internal/state/view"
)

func ring(limit int, ids ...uint8) (*keyring.Ring[uint8], error) {
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

// Guards against a ring in which a marker names two keys or none.
func TestNew(t *testing.T) {
	_, err := ring(0)
	assertKind(t, err, keyring.KindEmpty)

	_, err = ring(0, 65, 1)
	assertKind(t, err, keyring.KindAmbiguous)

	made, err := ring(2, 70, 69, 68)
	is.New(t).NoErr(err)
	is.New(t).Equal(*made.Find(keyring.Marker(69)), uint8(69))
	is.New(t).Equal(made.Find(keyring.Marker(68)), nil)
	is.New(t).Equal(made.Find(keyring.Marker(69)^0xc0), nil)
}

// Guards against one use of a fabric key that reveals the key of another.
func TestDerive(t *testing.T) {
	seen := map[string]bool{}
	for _, purpose := range []keyring.Purpose{
		keyring.Datagram, keyring.ConnectionID, keyring.StatelessReset, keyring.RetryToken,
	} {
		seen[string(keyring.Derive(view.Key{ID: 1}, purpose, 32))] = true
	}

	is.New(t).Equal(len(seen), 4)
}
