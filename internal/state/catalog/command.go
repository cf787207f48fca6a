package catalog

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jayspindle/internal/state/view"
)

// CommandFormat is the version byte of the command envelope.
const CommandFormat = 1

// Command is the envelope of one log entry: the leader's time and exactly one
// of the typed commands.
type Command struct {
	Format       uint8         `cbor:"1,keyasint"`
	Time         int64         `cbor:"2,keyasint"` // Unix nanoseconds, stamped by the leader
	Submit       *Submit       `cbor:"3,keyasint,omitempty"`
	Sign         *Sign         `cbor:"4,keyasint,omitempty"`
	Reject       *Reject       `cbor:"5,keyasint,omitempty"`
	Promote      *Promote      `cbor:"6,keyasint,omitempty"`
	ReplaceOwner *ReplaceOwner `cbor:"7,keyasint,omitempty"`
	Announce     *Announce     `cbor:"8,keyasint,omitempty"`
	Leave        *Leave        `cbor:"9,keyasint,omitempty"`
	Expire       *Expire       `cbor:"10,keyasint,omitempty"`
	SetWeight    *SetWeight    `cbor:"11,keyasint,omitempty"`
	RotateKey    *RotateKey    `cbor:"12,keyasint,omitempty"`
	Approve      *Approve      `cbor:"13,keyasint,omitempty"`
}

// Submit makes a document pending as version Base+1. A resend with the same
// change ID returns the result of the first submission.
type Submit struct {
	Environment string `cbor:"1,keyasint"`
	Base        uint64 `cbor:"2,keyasint"` // version in force that the author saw
	ChangeID    string `cbor:"3,keyasint"` // 1 to 64 printable ASCII characters, chosen by the author
	Author      string `cbor:"4,keyasint"` // name of an owner
	Reason      string `cbor:"5,keyasint"`
	Document    []byte `cbor:"6,keyasint"`
}

// Sign is an owner's acceptance of the pending change.
type Sign struct {
	Environment string   `cbor:"1,keyasint"` // or Owners
	Version     uint64   `cbor:"2,keyasint"`
	Digest      [32]byte `cbor:"3,keyasint"`
	Owner       string   `cbor:"4,keyasint"`
	Signature   []byte   `cbor:"5,keyasint"` // Ed25519 over document.SignedText
}

// Reject is an owner's rejection of the pending change. One suffices.
type Reject struct {
	Environment string   `cbor:"1,keyasint"` // or Owners
	Version     uint64   `cbor:"2,keyasint"`
	Digest      [32]byte `cbor:"3,keyasint"`
	Owner       string   `cbor:"4,keyasint"`
	Signature   []byte   `cbor:"5,keyasint"` // Ed25519 over document.SignedText
}

// Promote submits the bytes that were accepted in trial to production.
type Promote struct {
	Base     uint64   `cbor:"1,keyasint"` // version in force in production
	ChangeID string   `cbor:"2,keyasint"`
	Author   string   `cbor:"3,keyasint"`
	Reason   string   `cbor:"4,keyasint"`
	Digest   [32]byte `cbor:"5,keyasint"` // of the document accepted in trial
}

// ReplaceOwner proposes to replace the name and key of an owner. Both owners
// accept it with a Sign for the environment Owners; the owner to be replaced
// signs with the old key.
type ReplaceOwner struct {
	Base     uint64            `cbor:"1,keyasint"` // version of the owners in force
	ChangeID string            `cbor:"2,keyasint"`
	Author   string            `cbor:"3,keyasint"`
	Reason   string            `cbor:"4,keyasint"`
	Owner    string            `cbor:"5,keyasint"` // to be replaced
	NewName  string            `cbor:"6,keyasint"` // may be the old name
	NewKey   ed25519.PublicKey `cbor:"7,keyasint"`
}

// Role is the function of a member.
type Role string

// The roles of members.
const (
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
)

// BootID identifies one run of a process. It is chosen at random at each start.
type BootID [16]byte

// Announce adds an agent or a balancer. A resend with the same boot ID returns
// the same incarnation.
type Announce struct {
	Environment string         `cbor:"1,keyasint"`
	Role        Role           `cbor:"2,keyasint"`
	Service     string         `cbor:"3,keyasint"` // name; empty for balancers
	Zone        string         `cbor:"4,keyasint"`
	DataAddress netip.AddrPort `cbor:"5,keyasint"` // UDP, datagrams
	PeerAddress netip.AddrPort `cbor:"6,keyasint"` // UDP, links: peer address of an agent, relay of a balancer
	Boot        BootID         `cbor:"7,keyasint"`
	Signature   []byte         `cbor:"8,keyasint"` // with the service key over SignedText; empty for balancers
}

// SignedText returns the text that an agent signs with its service key.
func (a Announce) SignedText() []byte {
	return fmt.Appendf(nil, "jayspindle announce\n%s\n%s\n%s\n%s\n%s\n%s\n%x\n",
		a.Environment, a.Role, a.Service, a.Zone, a.DataAddress, a.PeerAddress, a.Boot)
}

// Phase is a step of a planned leave.
type Phase string

// The phases of a leave.
const (
	PhaseDraining Phase = "draining" // weight 0, no new work
	PhaseRemoved  Phase = "gone"     // removed from the view
)

// Leave drains a member that is about to stop, or removes it.
type Leave struct {
	Environment string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Phase       Phase            `cbor:"3,keyasint"`
}

// Expire suspends the listed members, whose leases have expired, and removes all
// members that have been suspended for suspensionTTL. A suspended member keeps its
// incarnation if it announces again with the same boot ID.
type Expire struct {
	Environment  string             `cbor:"1,keyasint"`
	Incarnations []view.Incarnation `cbor:"2,keyasint"`
}

// SetWeight changes the weight of an active agent.
type SetWeight struct {
	Environment string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Weight      uint8            `cbor:"3,keyasint"` // 0 to view.MaxWeight
}

// RotateKey adds a fabric key as the newest one. A view holds the newest maxKeys
// keys.
type RotateKey struct {
	Environment string   `cbor:"1,keyasint"`
	Rotation    uint64   `cbor:"2,keyasint"` // rotations so far, so that a resend does not rotate twice
	Secret      [32]byte `cbor:"3,keyasint"`
}

// Encode returns the command as a log entry, stamped with the leader's time. It
// sets Format.
func (c Command) Encode(now time.Time) ([]byte, error) {
	c.Format = CommandFormat
	c.Time = now.UnixNano()

	if count := c.count(); count != 1 {
		return nil, newError("encode command", KindEncoding, fmt.Errorf("found %d commands, allowed: 1", count))
	}

	encoded, err := canonical.Marshal(c)
	if err != nil {
		return nil, newError("encode command", KindEncoding, err)
	}

	return encoded, nil
}

// decodeCommand reads a log entry. It refuses unknown formats and envelopes
// that do not hold exactly one command.
func decodeCommand(encoded []byte) (Command, error) {
	var command Command
	if err := strict.Unmarshal(encoded, &command); err != nil {
		return Command{}, err
	}

	if command.Format != CommandFormat {
		return Command{}, fmt.Errorf("found format %d, allowed: %d", command.Format, CommandFormat)
	}

	if command.count() != 1 {
		return Command{}, errors.New("the envelope does not hold exactly one command")
	}

	return command, nil
}

func (c Command) count() int {
	count := 0

	for _, present := range []bool{
		c.Submit != nil, c.Sign != nil, c.Reject != nil, c.Promote != nil, c.ReplaceOwner != nil,
		c.Announce != nil, c.Leave != nil, c.Expire != nil, c.SetWeight != nil, c.RotateKey != nil,
		c.Approve != nil,
	} {
		if present {
			count++
		}
	}

	return count
}

// canonical encodes equal values to equal bytes. It encodes nil and empty lists
// alike, because a list that became empty is nil after a restore.
var canonical = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.NilContainers = cbor.NilContainerAsEmpty

	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}

	return mode
}()

// strict refuses duplicate keys and unknown fields, so that replicas of different
// releases cannot decode an entry differently.
var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   16,
		MaxArrayElements:  1 << 22,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}

	return mode
}()
