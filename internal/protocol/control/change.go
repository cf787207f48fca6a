package control

import "time"

// Submit proposes a document as version Base+1.
type Submit struct {
	Environment string `cbor:"1,keyasint"`
	Base        uint64 `cbor:"2,keyasint"`
	ChangeID    string `cbor:"3,keyasint"` // chosen by the author; a resend gets the first reply
	Author      string `cbor:"4,keyasint"`
	Reason      string `cbor:"5,keyasint,omitempty"`
	Document    []byte `cbor:"6,keyasint"`
}

// Check reports the first field out of bounds.
func (s *Submit) Check() error {
	return check("submit").
		name("environment", s.Environment).
		changeID(s.ChangeID).
		name("author", s.Author).
		optional("reason", s.Reason, MaxReason).
		that(len(s.Document) > 0 && len(s.Document) <= MaxDocument,
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

// Reject ends the pending change without effect.
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

// checkDecision reports the first field of a Sign or Reject out of bounds.
func checkDecision(message, environment string, digest []byte, owner string, signature []byte) error {
	return check(message).
		name("environment", environment).
		exactly("digest", digest, digestBytes).
		name("owner", owner).
		exactly("signature", signature, signatureBytes).
		err
}

// Promote submits the bytes accepted in trial to production.
type Promote struct {
	Base     uint64 `cbor:"1,keyasint"` // version in force in production
	Digest   []byte `cbor:"2,keyasint"` // accepted in trial
	ChangeID string `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint"`
	Reason   string `cbor:"5,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (p *Promote) Check() error {
	return check("promote").
		exactly("digest", p.Digest, digestBytes).
		changeID(p.ChangeID).
		name("author", p.Author).
		optional("reason", p.Reason, MaxReason).
		err
}

// ChangeState is the state of a change.
type ChangeState string

// The states of a change. A conflict leaves the state of the winner in force.
const (
	StatePending  ChangeState = "pending"
	StateAccepted ChangeState = "accepted"
	StateRejected ChangeState = "rejected"
	StateConflict ChangeState = "conflict"
	StateInvalid  ChangeState = "invalid"
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

func (c *Change) limits(l *limits) *limits {
	return l.
		optional("change ID", c.ChangeID, MaxChangeID).
		optional("author", c.Author, MaxName).
		optionalDigest(c.Digest).
		optional("state", string(c.State), MaxName).
		atMost("signers", len(c.Signers), MaxSigners).
		optional("reason", c.Reason, MaxReason)
}

// ChangeReply is the reply to Submit, Sign, Reject, Promote and ReplaceOwner.
type ChangeReply struct {
	State   ChangeState `cbor:"1,keyasint"`
	Change  Change      `cbor:"2,keyasint"`           // the caller's change; of a conflict, the one that won
	Refusal string      `cbor:"3,keyasint,omitempty"` // kind of a refusal
	Message string      `cbor:"4,keyasint,omitempty"` // why a change is refused
	Leader  string      `cbor:"5,keyasint,omitempty"` // name of the controller that answered
}

// Check reports the first field out of bounds.
func (c *ChangeReply) Check() error {
	return c.Change.limits(check("change reply")).
		optional("state", string(c.State), MaxName).
		optional("refusal", c.Refusal, MaxName).
		optional("message", c.Message, MaxDocument).
		optional("leader", c.Leader, MaxName).
		err
}

// ReplaceOwner makes the replacement of an owner's name and key pending. Both
// owners sign it, the one to be replaced with the old key.
type ReplaceOwner struct {
	Base      uint64 `cbor:"1,keyasint"` // version of the owners in force
	ChangeID  string `cbor:"2,keyasint"`
	Author    string `cbor:"3,keyasint"`
	Reason    string `cbor:"4,keyasint,omitempty"`
	Owner     string `cbor:"5,keyasint"` // to be replaced
	NewName   string `cbor:"6,keyasint"` // may be the old name
	PublicKey []byte `cbor:"7,keyasint"`
}

// Check reports the first field out of bounds.
func (r *ReplaceOwner) Check() error {
	return check("replace owner").
		name("owner", r.Owner).
		name("new name", r.NewName).
		exactly("public key", r.PublicKey, publicKeyBytes).
		changeID(r.ChangeID).
		name("author", r.Author).
		optional("reason", r.Reason, MaxReason).
		err
}
