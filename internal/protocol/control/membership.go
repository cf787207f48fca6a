package control

import (
	"fmt"
	"net/netip"
	"time"

	"jayspindle/internal/state/view"
)

// The roles of an Announce.
const (
	RoleAgent    = "agent"
	RoleBalancer = "balancer"
)

// Phase is the phase of a Leave.
type Phase uint8

// The phases of leaving.
const (
	PhaseDraining Phase = iota + 1 // weight 0, no new work
	PhaseGone                      // removed
)

// Announce makes an agent or a balancer known. A resend with the same boot ID
// gets the same incarnation.
type Announce struct {
	Environment string         `cbor:"1,keyasint"`
	Role        string         `cbor:"2,keyasint"`
	Service     string         `cbor:"3,keyasint,omitempty"` // agents only
	Zone        string         `cbor:"4,keyasint"`
	Data        netip.AddrPort `cbor:"5,keyasint"` // UDP, datagrams between balancer and agent
	Peer        netip.AddrPort `cbor:"6,keyasint"` // UDP, an agent's peer or a balancer's relay address
	BootID      []byte         `cbor:"7,keyasint"` // 16 random bytes, new at each start
	// Signature is an agent's Ed25519 signature with the service key over SignedText.
	Signature []byte `cbor:"8,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (a *Announce) Check() error {
	agent := a.Role == RoleAgent

	return check("announce").
		name("environment", a.Environment).
		that(agent || a.Role == RoleBalancer, "role is %q", a.Role).
		that(agent == (a.Service != ""), "role %q with service %q", a.Role, a.Service).
		optional("service", a.Service, MaxName).
		name("zone", a.Zone).
		that(a.Data.IsValid() && a.Data.Port() > 0, "data address is %s", a.Data).
		that(a.Peer.IsValid() && a.Peer.Port() > 0, "peer address is %s", a.Peer).
		exactly("boot ID", a.BootID, bootIDBytes).
		that(!agent || len(a.Signature) == signatureBytes, "signature has %d bytes", len(a.Signature)).
		err
}

// SignedText returns the text that an agent signs: every field but the
// signature, one per line, so that no part can be replayed with another.
func (a *Announce) SignedText() []byte {
	return fmt.Appendf(nil, "jayspindle announce\n%s\n%s\n%s\n%s\n%s\n%s\n%x\n",
		a.Environment, a.Role, a.Service, a.Zone, a.Data, a.Peer, a.BootID)
}

// AnnounceReply states the incarnation that the log assigned.
type AnnounceReply struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Weight      uint8            `cbor:"2,keyasint"` // 1 to 100; an agent that flaps starts low
	Position    view.Position    `cbor:"3,keyasint"` // of the first view that holds the incarnation
	TTL         time.Duration    `cbor:"4,keyasint"` // of the lease
}

// Check reports the first field out of bounds.
func (a *AnnounceReply) Check() error {
	return check("announce reply").
		that(a.Weight <= view.MaxWeight, "weight is %d", a.Weight).
		that(a.TTL >= 0, "TTL is %s", a.TTL).
		err
}

// Renewal extends one lease.
type Renewal struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Position    view.Position    `cbor:"2,keyasint"` // in force at the instance
	Since       time.Duration    `cbor:"3,keyasint"` // time for which it has been in force
	Load        uint8            `cbor:"4,keyasint"` // percent of the slots in use, a hint
}

// Renew carries the renewals of one or, through a relay, many instances.
type Renew struct {
	Environment string    `cbor:"1,keyasint"`
	Renewals    []Renewal `cbor:"2,keyasint"`
}

// Check reports the first field out of bounds.
func (r *Renew) Check() error {
	return check("renew").
		name("environment", r.Environment).
		atMost("renewals", len(r.Renewals), MaxRenewals).
		err
}

// RenewReply lists the incarnations that are not known. They announce again.
type RenewReply struct {
	Unknown []view.Incarnation `cbor:"1,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (r *RenewReply) Check() error {
	return check("renew reply").atMost("unknown", len(r.Unknown), MaxRenewals).err
}

// Leave ends the membership of an instance in one of two phases.
type Leave struct {
	Environment string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Phase       Phase            `cbor:"3,keyasint"`
}

// Check reports the first field out of bounds.
func (l *Leave) Check() error {
	return check("leave").
		name("environment", l.Environment).
		that(l.Phase == PhaseDraining || l.Phase == PhaseGone, "phase is %d", l.Phase).
		err
}

// LeaveReply states from which position on the leave is in force.
type LeaveReply struct {
	Position view.Position `cbor:"1,keyasint"`
}

// Check accepts every reply.
func (l *LeaveReply) Check() error { return nil }
