package catalog

import (
	"crypto/sha256"

	"jayspindle/internal/state/document"
)

// maxApprovals limits the approvals that are kept without their documents. One
// deployment has fewer changes in a day.
const maxApprovals = 1024

// Approve puts a document in force that was approved before it reached the
// controller group. Only a catalog with GroupConfig.Preapproved accepts it. The
// document with the highest version is in force; a command with an equal or
// lower version succeeds without effect, so that a resend never fails.
type Approve struct {
	Version  uint64 `cbor:"1,keyasint"`
	Document []byte `cbor:"2,keyasint"` // in the format of its source
}

// Approval describes an approved document that was put in force.
type Approval struct {
	Version uint64   `cbor:"1,keyasint"`
	Digest  [32]byte `cbor:"2,keyasint"` // SHA-256 of the document
	Index   uint64   `cbor:"3,keyasint"` // log entry
	Time    int64    `cbor:"4,keyasint"` // Unix nanoseconds, from the leader
}

// approvals holds the approved document in force and the history of approvals.
type approvals struct {
	Document []byte     `cbor:"1,keyasint"` // of the last approval
	History  []Approval `cbor:"2,keyasint"` // the last one is in force
}

// Approved returns the approved document in force, or version 0 if there is none.
func (c *Catalog) Approved() (version uint64, approved []byte) {
	if c.approvals == nil || len(c.approvals.History) == 0 {
		return 0, nil
	}

	return c.approvals.History[len(c.approvals.History)-1].Version, c.approvals.Document
}

// Approvals returns the approvals of all documents that were put in force, oldest
// first. At most 1,024 are kept.
func (c *Catalog) Approvals() []Approval {
	if c.approvals == nil {
		return nil
	}

	return c.approvals.History
}

// approve applies an Approve. The result carries the version in force.
func (c *Catalog) approve(at entry, command Approve) (Result, bool) {
	if c.approvals == nil {
		return refuse(KindInvalid, "documents of this group need the signatures of its owners"), false
	}

	current, _ := c.Approved()

	result := Result{Index: at.index, Version: max(current, command.Version), Status: Accepted}
	if command.Version <= current {
		return result, false
	}

	c.approvals.Document = command.Document
	c.approvals.History = append(c.approvals.History, Approval{
		Version: command.Version, Digest: sha256.Sum256(command.Document), Index: at.index, Time: at.now,
	})

	if excess := len(c.approvals.History) - maxApprovals; excess > 0 {
		c.approvals.History = c.approvals.History[excess:]
	}

	return result, true
}

// dispatchDocument applies a command about documents or owners. It returns false
// for handled if the command is about something else.
func (c *Catalog) dispatchDocument(at entry, command Command) (result Result, changed, handled bool) {
	if command.Approve != nil {
		result, changed = c.approve(at, *command.Approve)

		return result, changed, true
	}

	needsOwners := command.Submit != nil || command.Promote != nil || command.ReplaceOwner != nil ||
		command.Sign != nil || command.Reject != nil

	switch {
	case !needsOwners:
		return Result{}, false, false
	case c.approvals != nil:
		return refuse(KindOwner, "this group has no owners: its documents are approved before they arrive"), false, true
	case command.Submit != nil:
		result, changed = c.submit(at, *command.Submit)
	case command.Promote != nil:
		result, changed = c.promote(at, *command.Promote)
	case command.ReplaceOwner != nil:
		result, changed = c.replaceOwner(at, *command.ReplaceOwner)
	case command.Sign != nil:
		result, changed = c.decide(at, *command.Sign, document.Accept)
	default:
		result, changed = c.decide(at, Sign(*command.Reject), document.Reject)
	}

	return result, changed, true
}
