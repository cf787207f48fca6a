package control

import "time"

// Submit proposes a document as version Base+1.
type Submit struct {
	Environment string `cbor:"1,keyasint"`
	Base        uint64 `cbor:"2,keyasint"`
	ChangeID    string `cbor:"3,keyasint"` // chosen by the author; a resend with the same ID gets the original reply
	Author      string `cbor:"4,keyasint"`
	Reason      string `cbor:"5,keyasint,omitempty"`
	Document    []byte `cbor:"6,keyasint"`
}

// Check reports the first field out of bounds.
func (s *Submit) Check() error {
	return newValidator("submit").
		requiredName("environment", s.Environment).
		requiredChangeID(s.ChangeID).
		requiredName("author", s.Author).
		maxBytes("reason", s.Reason, MaxReason).
		require(len(s.Document) > 0 && len(s.Document) <= MaxDocument,
			"document has %d bytes, 1 to %d are allowed", len(s.Document), MaxDocument).
		err
}

// Sign accepts the pending change with an owner's signature over
// document.SignedText.
type Sign struct {
	Environment string `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
	Digest      []byte `cbor:"3,keyasint"`
	Owner       string `cbor:"4,keyasint"`
	Signature   []byte `cbor:"5,keyasint"`
}

// Check reports the first field out of bounds.
func (s *Sign) Check() error {
	return checkDecision("sign", s.Environment, s.Digest, s.Owner, s.Signature)
}

// Reject discards the pending change.
type Reject struct {
	Environment string `cbor:"1,keyasint"`
	Version     uint64 `cbor:"2,keyasint"`
	Digest      []byte `cbor:"3,keyasint"`
	Owner       string `cbor:"4,keyasint"`
	Signature   []byte `cbor:"5,keyasint"` // over document.SignedText
}

// Check reports the first field out of bounds.
func (r *Reject) Check() error {
	return checkDecision("reject", r.Environment, r.Digest, r.Owner, r.Signature)
}

// checkDecision reports the first field of a Sign or Reject that is out of
// bounds.
func checkDecision(message, environment string, digest []byte, owner string, signature []byte) error {
	return newValidator(message).
		requiredName("environment", environment).
		exactBytes("digest", digest, digestBytes).
		requiredName("owner", owner).
		exactBytes("signature", signature, signatureBytes).
		err
}

// Promote submits the document that was accepted in trial to production.
type Promote struct {
	Base     uint64 `cbor:"1,keyasint"` // version in force in production
	Digest   []byte `cbor:"2,keyasint"` // of the document accepted in trial
	ChangeID string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
	Reason   string `cbor:"5,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (p *Promote) Check() error {
	return newValidator("promote").
		exactBytes("digest", p.Digest, digestBytes).
		requiredChangeID(p.ChangeID).
		requiredName("author", p.Author).
		maxBytes("reason", p.Reason, MaxReason).
		err
}

// ChangeState is the state of a change.
type ChangeState string

// The states of a change.
const (
	StatePending  ChangeState = "pending"
	StateAccepted ChangeState = "accepted"
	StateRejected ChangeState = "rejected"
	// StateConflict: another change is pending or was accepted after the base
	// version, so the submitted change was not recorded.
	StateConflict ChangeState = "conflict"
	StateInvalid  ChangeState = "invalid" // refused, see ChangeReply.Refusal and Message
)

// Change describes one version of an environment's document.
type Change struct {
	Version  uint64      `cbor:"1,keyasint"`
	ChangeID string      `cbor:"2,keyasint"`
	Author   string      `cbor:"3,keyasint"`
	Digest   []byte      `cbor:"4,keyasint"`
	State    ChangeState `cbor:"5,keyasint"`
	Signers  []string    `cbor:"6,keyasint,omitempty"`
	Reason   string      `cbor:"7,keyasint,omitempty"`
	Time     time.Time   `cbor:"8,keyasint"` // stamped by the leader
}

func (c *Change) validate(v *validator) *validator {
	return v.
		maxBytes("change ID", c.ChangeID, MaxChangeID).
		maxBytes("author", c.Author, MaxName).
		optionalDigest(c.Digest).
		maxBytes("state", string(c.State), MaxName).
		maxItems("signers", len(c.Signers), MaxSigners).
		maxBytes("reason", c.Reason, MaxReason)
}

// ChangeReply is the reply to Submit, Sign, Reject, Promote and ReplaceOwner.
type ChangeReply struct {
	State   ChangeState `cbor:"1,keyasint"`
	Change  Change      `cbor:"2,keyasint"`           // the caller's change; after a conflict, the one that was first
	Refusal string      `cbor:"3,keyasint,omitempty"` // kind of the refusal
	Message string      `cbor:"4,keyasint,omitempty"` // why the change was refused
	Leader  string      `cbor:"5,keyasint,omitempty"` // name of the controller that answered
}

// Check reports the first field out of bounds.
func (c *ChangeReply) Check() error {
	return c.Change.validate(newValidator("change reply")).
		maxBytes("state", string(c.State), MaxName).
		maxBytes("refusal", c.Refusal, MaxName).
		maxBytes("message", c.Message, MaxDocument).
		maxBytes("leader", c.Leader, MaxName).
		err
}

// ReplaceOwner submits a pending change of an owner's name and key. Both owners
// have to sign it, the replaced owner with the old key.
type ReplaceOwner struct {
	Base      uint64 `cbor:"1,keyasint"` // version of the owners in force
	ChangeID  string `cbor:"2,keyasint"`
	Author    string `cbor:"3,keyasint"`
	Reason    string `cbor:"4,keyasint,omitempty"`
	Owner     string `cbor:"5,keyasint"` // to be replaced
	NewName   string `cbor:"6,keyasint"` // may equal Owner
	PublicKey []byte `cbor:"7,keyasint"`
}

// Check reports the first field out of bounds.
func (r *ReplaceOwner) Check() error {
	return newValidator("replace owner").
		requiredName("owner", r.Owner).
		requiredName("new name", r.NewName).
		exactBytes("public key", r.PublicKey, publicKeyBytes).
		requiredChangeID(r.ChangeID).
		requiredName("author", r.Author).
		maxBytes("reason", r.Reason, MaxReason).
		err
}
