package catalog

import (
	"slices"

	"jayspindle/internal/state/view"
)

const (
	// keyIDCount is the number of distinct key IDs. The marker byte of a datagram
	// has 6 bits for the ID (see package keyring), so IDs are modulo 64.
	keyIDCount = 64
	// maxKeys limits the fabric keys in a view. Senders seal with the second newest
	// key, and receivers accept the newest three, because instances apply a rotation
	// at different times. Connection IDs of long-lived feeds need the key that was in
	// use when their flow was opened.
	maxKeys = 8
)

// rotateKey adds a fabric key as the newest one. A command names the number of
// rotations before it, so that a resend does not rotate twice.
func (e *environment) rotateKey(command RotateKey) (Result, bool) {
	isResend := len(e.keys) > 0 && e.keys[0].Secret == command.Secret && command.Rotation+1 == e.rotations

	switch {
	case isResend:
		return e.keyResult(), false
	case command.Secret == [32]byte{}:
		return refuse(KindInvalid, "found an empty secret, allowed: 32 random bytes"), false
	case command.Rotation != e.rotations:
		return refuse(KindConflict, "found rotation %d, allowed: %d", command.Rotation, e.rotations), false
	case slices.ContainsFunc(e.keys, func(key view.Key) bool { return key.Secret == command.Secret }):
		return refuse(KindReused, "the secret is already in use"), false
	}

	newest := view.Key{ID: uint8(e.rotations % keyIDCount), Secret: command.Secret}
	e.keys = append([]view.Key{newest}, e.keys[:min(len(e.keys), maxKeys-1)]...)
	e.rotations++
	e.pendingChanges.keys = true

	return e.keyResult(), true
}

func (e *environment) keyResult() Result {
	return Result{Rotation: e.rotations, KeyID: e.keys[0].ID}
}

// Rotations returns how often the fabric key of an environment was rotated, for
// RotateKey.Rotation.
func (c *Catalog) Rotations(environment string) uint64 {
	if env, ok := c.environments[environment]; ok {
		return env.rotations
	}

	return 0
}
