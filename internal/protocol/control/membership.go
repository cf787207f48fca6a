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

// Phase is the step of a Leave.
type Phase uint8

// The phases of a Leave, in order.
const (
	PhaseDraining Phase = iota + 1 // weight 0, receives no new requests
	PhaseRemoved                   // removed from the view
)

// Announce registers an agent or a balancer. A resend with the same boot ID gets
// the same incarnation.
type Announce struct {
	Environment string         `cbor:"1,keyasint"`
	Role        string         `cbor:"2,keyasint"`
	Service     string         `cbor:"3,keyasint,omitempty"` // agents only
	Zone        string         `cbor:"4,keyasint"`
	Data        netip.AddrPort `cbor:"5,keyasint"` // UDP, for datagrams between balancers and agents
	Peer        netip.AddrPort `cbor:"6,keyasint"` // UDP, the peer address of an agent or the relay address of a balancer
	BootID      []byte         `cbor:"7,keyasint"` // 16 random bytes, new at each start
	// Signature is an agent's Ed25519 signature with the service key over SignedText.
	Signature []byte `cbor:"8,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (a *Announce) Check() error {
	isAgent := a.Role == RoleAgent

	return newValidator("announce").
		requiredName("environment", a.Environment).
		require(isAgent || a.Role == RoleBalancer, "role is %q", a.Role).
		require(isAgent == (a.Service != ""), "role %q with service %q", a.Role, a.Service).
		maxBytes("service", a.Service, MaxName).
		requiredName("zone", a.Zone).
		require(a.Data.IsValid() && a.Data.Port() > 0, "data address is %s", a.Data).
		require(a.Peer.IsValid() && a.Peer.Port() > 0, "peer address is %s", a.Peer).
		exactBytes("boot ID", a.BootID, bootIDBytes).
		require(!isAgent || len(a.Signature) == signatureBytes, "signature has %d bytes", len(a.Signature)).
		err
}

// SignedText returns the text that an agent signs. It has every field except the
// signature, one per line, so no field can be replayed with different others.
func (a *Announce) SignedText() []byte {
	return fmt.Appendf(nil, "jayspindle announce\n%s\n%s\n%s\n%s\n%s\n%s\n%x\n",
		a.Environment, a.Role, a.Service, a.Zone, a.Data, a.Peer, a.BootID)
}

// AnnounceReply returns the incarnation assigned through the replicated log.
type AnnounceReply struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Weight      uint8            `cbor:"2,keyasint"` // 1 to 100; a flapping agent starts with a low weight
	Position    view.Position    `cbor:"3,keyasint"` // of the first view that contains the incarnation
	TTL         time.Duration    `cbor:"4,keyasint"` // of the lease
}

// Check reports the first field out of bounds.
func (a *AnnounceReply) Check() error {
	return newValidator("announce reply").
		require(a.Weight <= view.MaxWeight, "weight is %d", a.Weight).
		require(a.TTL >= 0, "TTL is %s", a.TTL).
		err
}

// Renewal extends one lease.
type Renewal struct {
	Incarnation view.Incarnation `cbor:"1,keyasint"`
	Position    view.Position    `cbor:"2,keyasint"` // of the view that the instance has applied
	InForceFor  time.Duration    `cbor:"3,keyasint"` // time since the instance applied it
	Load        uint8            `cbor:"4,keyasint"` // percent of the slots in use, approximate
}

// Renew carries the renewals of one instance or, through a relay, of many.
type Renew struct {
	Environment string    `cbor:"1,keyasint"`
	Renewals    []Renewal `cbor:"2,keyasint"`
}

// Check reports the first field out of bounds.
func (r *Renew) Check() error {
	return newValidator("renew").
		requiredName("environment", r.Environment).
		maxItems("renewals", len(r.Renewals), MaxRenewals).
		err
}

// RenewReply lists the incarnations that the leader does not know. These
// instances have to announce themselves again.
type RenewReply struct {
	Unknown []view.Incarnation `cbor:"1,keyasint,omitempty"`
}

// Check reports the first field out of bounds.
func (r *RenewReply) Check() error {
	return newValidator("renew reply").maxItems("unknown", len(r.Unknown), MaxRenewals).err
}

// Leave ends the membership of an instance in one of two phases.
type Leave struct {
	Environment string           `cbor:"1,keyasint"`
	Incarnation view.Incarnation `cbor:"2,keyasint"`
	Phase       Phase            `cbor:"3,keyasint"`
}

// Check reports the first field out of bounds.
func (l *Leave) Check() error {
	return newValidator("leave").
		requiredName("environment", l.Environment).
		require(l.Phase == PhaseDraining || l.Phase == PhaseRemoved, "phase is %d", l.Phase).
		err
}

// LeaveReply returns the position from which the leave is in force.
type LeaveReply struct {
	Position view.Position `cbor:"1,keyasint"`
}

// Check accepts every reply.
func (l *LeaveReply) Check() error { return nil }
