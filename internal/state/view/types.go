package view

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// ServiceID identifies a service within an environment. The catalog assigns
// it and never reuses it, so a late datagram cannot reach a newer service.
type ServiceID uint16

// Incarnation identifies one announcement of an agent or a balancer. The
// replicated log assigns it and never reuses it, which distinguishes a restarted
// process from its predecessor at the same address.
type Incarnation uint32

// Position orders views. Generation is incremented only when the controller group
// is re-formed; Index is the log index of the last entry that changed the view.
type Position struct {
	Generation uint64 `cbor:"1,keyasint" json:"generation"`
	Index      uint64 `cbor:"2,keyasint" json:"index"`
}

// Less reports whether p precedes other.
func (p Position) Less(other Position) bool {
	if p.Generation != other.Generation {
		return p.Generation < other.Generation
	}

	return p.Index < other.Index
}

// String returns the position as "generation/index".
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Generation, p.Index)
}

// State is the membership state of an agent or a balancer.
type State uint8

// The membership states. An instance that left is removed from the view.
const (
	Active State = iota + 1
	// Draining instances take no new work and complete their current work.
	Draining
	// Suspended instances did not renew their lease. They take no new work, but
	// packets of established flows are still sent to them: an agent that has lost
	// only its connection to the controllers can still serve its callers.
	Suspended
)

// String returns the state as it appears in logs and tables.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Suspended:
		return "suspended"
	default:
		return fmt.Sprintf("state(%d)", uint8(s))
	}
}

// MaxWeight is the weight of an agent that receives its full share of new flows.
const MaxWeight = 100

// Class describes one class of requests of a service.
type Class struct {
	Name            string        `cbor:"1,keyasint" json:"name"`
	Method          string        `cbor:"2,keyasint" json:"method"`
	PathPrefix      string        `cbor:"3,keyasint" json:"path_prefix"`
	Urgency         uint8         `cbor:"4,keyasint" json:"urgency"` // 0 is the most urgent
	Idempotent      bool          `cbor:"5,keyasint" json:"idempotent"`
	Deadline        time.Duration `cbor:"6,keyasint" json:"deadline"`
	MinSharePercent uint8         `cbor:"7,keyasint" json:"min_share_percent"`
	Feed            bool          `cbor:"8,keyasint" json:"feed"`
}

// Limits holds the maximum rates of first packets that a balancer forwards for a
// service, in packets per second. Zero means unlimited.
type Limits struct {
	FirstPackets          uint32 `cbor:"1,keyasint" json:"first_packets"`
	FirstPacketsPerSource uint32 `cbor:"2,keyasint" json:"first_packets_per_source"`
}

// Service is a service of the accepted document.
type Service struct {
	ID          ServiceID      `cbor:"1,keyasint" json:"id"`
	Name        string         `cbor:"2,keyasint" json:"name"`
	Address     netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Slots       uint16         `cbor:"4,keyasint" json:"slots"`
	Connections uint32         `cbor:"5,keyasint" json:"connections"`
	Buckets     uint16         `cbor:"6,keyasint" json:"buckets"`
	Classes     []Class        `cbor:"7,keyasint" json:"classes"`
	Limits      Limits         `cbor:"8,keyasint" json:"limits"`
	PublicKey   []byte         `cbor:"9,keyasint" json:"public_key"` // Ed25519
}

// Equal reports whether two services are the same in every field.
func (s Service) Equal(other Service) bool {
	return s.ID == other.ID && s.Name == other.Name && s.Address == other.Address && s.Slots == other.Slots &&
		s.Connections == other.Connections && s.Buckets == other.Buckets && s.Limits == other.Limits &&
		slices.Equal(s.Classes, other.Classes) && bytes.Equal(s.PublicKey, other.PublicKey)
}

// Agent is an announced agent, which represents one backend server.
type Agent struct {
	Incarnation Incarnation    `cbor:"1,keyasint" json:"incarnation"`
	Service     ServiceID      `cbor:"2,keyasint" json:"service"`
	Zone        string         `cbor:"3,keyasint" json:"zone"`
	Data        netip.AddrPort `cbor:"4,keyasint" json:"data"` // UDP, datagrams from balancers
	Peer        netip.AddrPort `cbor:"5,keyasint" json:"peer"` // UDP, links from other agents
	Weight      uint8          `cbor:"6,keyasint" json:"weight"`
	State       State          `cbor:"7,keyasint" json:"state"`
}

// Balancer is an announced balancer.
type Balancer struct {
	Incarnation Incarnation    `cbor:"1,keyasint" json:"incarnation"`
	Zone        string         `cbor:"2,keyasint" json:"zone"`
	Data        netip.AddrPort `cbor:"3,keyasint" json:"data"`  // UDP, datagrams from agents
	Relay       netip.AddrPort `cbor:"4,keyasint" json:"relay"` // UDP, links from subscribers
	State       State          `cbor:"5,keyasint" json:"state"`
}

// Key is a fabric key, from which the keys of datagram headers, connection
// IDs and stateless resets are derived. Secret never appears in a log line.
type Key struct {
	ID     uint8    `cbor:"1,keyasint" json:"id"`
	Secret [32]byte `cbor:"2,keyasint" json:"-"`
}

// String returns the ID of the key without the secret, so that no log line can
// contain it.
func (k Key) String() string {
	return fmt.Sprintf("key(%d)", k.ID)
}

// GoString omits the secret for the %#v verb too.
func (k Key) GoString() string { return k.String() }
