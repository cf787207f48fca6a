package catalog

import (
	"errors"
	"fmt"

	"jayspindle/internal/state/view"
)

// Status is the state of a change.
type Status string

// The states of a change.
const (
	Pending  Status = "pending"
	Accepted Status = "accepted"
	Rejected Status = "rejected"
)

// ConflictingChange describes the change that a submission conflicts with, because it was
// first.
type ConflictingChange struct {
	ChangeID string   `cbor:"1,keyasint" json:"change_id"`
	Author   string   `cbor:"2,keyasint" json:"author"`
	Version  uint64   `cbor:"3,keyasint" json:"version"`
	Digest   [32]byte `cbor:"4,keyasint" json:"digest"`
	Status   Status   `cbor:"5,keyasint" json:"status"`
}

// Result is the answer to one command. Which fields are set depends on the
// command; Kind is empty if the command is applied, now or by an earlier copy.
type Result struct {
	Index             uint64             `cbor:"1,keyasint,omitempty"` // log entry of the first command with this answer
	Kind              Kind               `cbor:"2,keyasint,omitempty"`
	Detail            string             `cbor:"3,keyasint,omitempty"` // reason of a refusal
	Environment       string             `cbor:"4,keyasint,omitempty"`
	Version           uint64             `cbor:"5,keyasint,omitempty"`
	Digest            [32]byte           `cbor:"6,keyasint"`
	Status            Status             `cbor:"7,keyasint,omitempty"` // of the change
	Signers           []string           `cbor:"8,keyasint,omitempty"` // owners whose signatures the change has
	ConflictingChange *ConflictingChange `cbor:"9,keyasint,omitempty"` // with KindConflict, if there is such a change
	Incarnation       view.Incarnation   `cbor:"10,keyasint,omitempty"`
	Weight            uint8              `cbor:"11,keyasint,omitempty"`
	Flapping          bool               `cbor:"12,keyasint,omitempty"` // the announced address restarts too often
	Removed           []view.Incarnation `cbor:"13,keyasint,omitempty"` // members replaced, left or suspended by Expire
	Rotation          uint64             `cbor:"14,keyasint,omitempty"` // fabric keys rotated so far
	KeyID             uint8              `cbor:"15,keyasint,omitempty"` // of the newest fabric key
}

// Err returns nil if the command was applied, and a *Error otherwise.
func (r Result) Err() error {
	if r.Kind == "" {
		return nil
	}

	failure := newError("apply", r.Kind, errors.New(r.Detail))
	failure.conflicting = r.ConflictingChange

	return failure
}

// maxDetailBytes limits the reason of a refusal, which for a document lists every
// error.
const maxDetailBytes = 64 << 10

func refuse(kind Kind, format string, arguments ...any) Result {
	detail := fmt.Sprintf(format, arguments...)
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes] + "..."
	}

	return Result{Kind: kind, Detail: detail}
}
