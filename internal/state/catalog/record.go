package catalog

import (
	"bytes"
	"crypto/ed25519"
	"slices"

	"jayspindle/internal/state/document"
)

// Limits of the history of one environment.
const (
	maxKeptDocuments = 256    // accepted versions whose documents are kept
	maxKeptChanges   = 16_384 // accepted and rejected changes that are kept, with or without documents

	// maxRejections limits the rejected digests of one version. When it is
	// reached, the pending change can only be accepted.
	maxRejections = 4096
)

// Signature is an owner's decision with the key it was made with.
type Signature struct {
	Owner     string            `cbor:"1,keyasint" json:"owner"`
	Key       ed25519.PublicKey `cbor:"2,keyasint" json:"key"`
	Decision  document.Decision `cbor:"3,keyasint" json:"decision"`
	Signature []byte            `cbor:"4,keyasint" json:"signature"`
	Time      int64             `cbor:"5,keyasint" json:"time"` // Unix nanoseconds
}

// Record describes one change of an environment.
type Record struct {
	Environment string      `json:"environment"`
	ChangeID    string      `json:"change_id"`
	Author      string      `json:"author"`
	Reason      string      `json:"reason"`
	Version     uint64      `json:"version"`
	Digest      [32]byte    `json:"digest"`
	Status      Status      `json:"status"`
	Submitted   int64       `json:"submitted"`         // Unix nanoseconds
	Decided     int64       `json:"decided,omitempty"` // Unix nanoseconds, 0 while pending
	Signatures  []Signature `json:"signatures"`
	Document    []byte      `json:"-"` // nil if it is no longer kept
}

// change is the stored form of a record.
type change struct {
	ID         string      `cbor:"1,keyasint"`
	Author     string      `cbor:"2,keyasint"`
	Reason     string      `cbor:"3,keyasint"`
	Version    uint64      `cbor:"4,keyasint"`
	Digest     [32]byte    `cbor:"5,keyasint"`
	Status     Status      `cbor:"6,keyasint"`
	Submitted  int64       `cbor:"7,keyasint"`
	Decided    int64       `cbor:"8,keyasint"`
	Signatures []Signature `cbor:"9,keyasint"`
	Chunks     []uint32    `cbor:"10,keyasint,omitempty"` // indexes into snapshot.Chunks, in snapshots only
	text       chunkedText
}

func (c *change) record(environment string) Record {
	record := Record{
		Environment: environment, ChangeID: c.ID, Author: c.Author, Reason: c.Reason, Version: c.Version,
		Digest: c.Digest, Status: c.Status, Submitted: c.Submitted, Decided: c.Decided,
		Signatures: slices.Clone(c.Signatures),
	}

	if c.text != nil {
		record.Document = c.text.bytes()
	}

	return record
}

func (c *change) toConflictingChange() *ConflictingChange {
	return &ConflictingChange{ChangeID: c.ID, Author: c.Author, Version: c.Version, Digest: c.Digest, Status: c.Status}
}

func (c *change) signers() []string {
	var names []string
	for _, signature := range c.Signatures {
		names = append(names, signature.Owner)
	}

	return names
}

func (c *change) signedBy(owner string) bool {
	return slices.ContainsFunc(c.Signatures, func(s Signature) bool { return s.Owner == owner })
}

// hasSignature reports whether an owner made the decision with the signature.
func (c *change) hasSignature(owner string, decision document.Decision, signature []byte) bool {
	return slices.ContainsFunc(c.Signatures, func(s Signature) bool {
		return s.Owner == owner && s.Decision == decision && bytes.Equal(s.Signature, signature)
	})
}

// ledger holds the changes of one environment or of the owners.
type ledger struct {
	name       string
	version    uint64     // last accepted version
	pending    *change    // nil if none
	rejections [][32]byte // digests rejected as version+1
	changes    []*change  // accepted and rejected, oldest first
}

// recordDecision records the decision on the pending change and moves it into the history.
func (l *ledger) recordDecision(status Status, now int64) *change {
	decided := l.pending
	decided.Status, decided.Decided = status, now
	l.pending = nil
	l.changes = append(l.changes, decided)

	if status == Rejected {
		decided.text = nil
		l.rejections = append(l.rejections, decided.Digest)
	} else {
		l.version = decided.Version
		l.rejections = nil
		l.dropOldDocument()
	}

	if len(l.changes) > maxKeptChanges {
		l.changes = l.changes[1:]
	}

	return decided
}

// dropOldDocument drops the document that is no longer among the newest
// maxKeptDocuments.
func (l *ledger) dropOldDocument() {
	if l.version <= maxKeptDocuments {
		return
	}

	if old := l.acceptedByVersion(l.version - maxKeptDocuments); old != nil {
		old.text = nil
	}
}

// acceptedByVersion returns the change that was accepted as the version, or nil if
// it is unknown.
func (l *ledger) acceptedByVersion(version uint64) *change {
	return l.findLast(func(c *change) bool { return c.Status == Accepted && c.Version == version })
}

// acceptedByDigest returns the last accepted change with the digest, or nil.
func (l *ledger) acceptedByDigest(digest [32]byte) *change {
	return l.findLast(func(c *change) bool { return c.Status == Accepted && c.Digest == digest })
}

func (l *ledger) byID(id string) *change {
	if l.pending != nil && l.pending.ID == id {
		return l.pending
	}

	return l.findLast(func(c *change) bool { return c.ID == id })
}

func (l *ledger) findLast(match func(*change) bool) *change {
	for i := len(l.changes) - 1; i >= 0; i-- {
		if match(l.changes[i]) {
			return l.changes[i]
		}
	}

	return nil
}

// latestText returns the document in force, which usually shares most chunks with
// the next version.
func (l *ledger) latestText() chunkedText {
	if latest := l.acceptedByVersion(l.version); latest != nil {
		return latest.text
	}

	return nil
}
