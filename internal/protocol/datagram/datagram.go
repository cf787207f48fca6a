// Package datagram encodes and authenticates the fixed-length header of the
// datagrams between balancers and agents. The QUIC payload that follows is not
// covered, because QUIC protects it.
//
// # Usage
//
//	keys, err := datagram.New(current.Keys())
//	keys.Seal(buffer[:datagram.HeaderLength], &header) // in front of the payload
//
//	reason := keys.Open(received, &header)
//	if reason != datagram.OK {
//		drops[reason].Add(1)
//	}
//	payload := received[datagram.HeaderLength:]
//
// Sealing and opening work in place and do not allocate. Each header ends with
// an authentication tag: SipHash-2-4 (Aumasson and Bernstein, "SipHash: a fast
// short-input PRF", 2012) over the header without the tag.
package datagram

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"jayspindle/internal/protocol/keyring"
	"jayspindle/internal/state/view"
)

// Kind is the purpose of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	Forward Kind = iota + 1 // balancer to agent: from a caller
	Reply                   // agent to balancer: to a caller
	Stale                   // agent to balancer: a datagram reached an agent of another incarnation or service
	Ping                    // either direction: the receiver replies with a pong
	Pong
	kindLimit // first value that is not a kind
)

// The offsets of the fields, in bytes. All integers are big-endian.
const (
	offsetMarker   = 0  // format and key ID
	offsetKind     = 1  // Kind
	offsetService  = 2  // uint16
	offsetAgent    = 4  // uint32
	offsetBalancer = 8  // uint32
	offsetIndex    = 12 // uint64
	offsetAddress  = 20 // 16 bytes; IPv4 as ::ffff:a.b.c.d
	offsetPort     = 36 // uint16
	offsetFlags    = 38 // uint16, zero
	offsetTag      = 40 // uint64
	addressLength  = 16

	// HeaderLength is the length of a header in bytes.
	HeaderLength = 48
)

// acceptedKeys is the number of fabric keys that a receiver accepts. With one
// less, a receiver that applied a rotation early would drop the datagrams of a
// sender that is one view behind.
const acceptedKeys = 3

// Header is a decoded datagram header.
type Header struct {
	Kind     Kind
	Service  view.ServiceID
	Agent    view.Incarnation // receiver or sender, by Kind
	Balancer view.Incarnation // sender or receiver, by Kind
	Index    uint64           // index of the position of the sender's view
	Caller   netip.AddrPort   // IPv4 unmapped, without zone; zero for pings and pongs
}

// Reason is why a datagram was rejected. It indexes arrays of counters.
type Reason uint8

// The reasons. OK means that the header is authentic.
const (
	OK         Reason = iota
	Short             // shorter than a header
	UnknownKey        // another format or a key that is not in the ring
	BadTag            // the tag does not match the header
	BadField          // authentic, but with a kind or flag that this release does not support
	Reasons           // the number of reasons
)

var reasonNames = [Reasons]string{"ok", "short", "unknown-key", "bad-tag", "bad-field"}

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	if r >= Reasons {
		return "unknown"
	}

	return reasonNames[r]
}

// siphashKey holds the two halves of a 128-bit SipHash key.
type siphashKey struct{ k0, k1 uint64 }

// Keys seals with the predecessor of the newest fabric key and opens with the
// newest three. It is immutable and safe for concurrent use.
type Keys struct {
	ring *keyring.Ring[siphashKey]
}

// New returns the keys derived from the fabric keys, which are newest first.
// It fails with a *keyring.Error.
func New(keys []view.Key) (*Keys, error) {
	ring, err := keyring.New(keys, acceptedKeys, func(key view.Key) (siphashKey, error) {
		derived := keyring.Derive(key, keyring.Datagram, 16)

		return siphashKey{binary.LittleEndian.Uint64(derived), binary.LittleEndian.Uint64(derived[8:])}, nil
	})
	if err != nil {
		return nil, err
	}

	return &Keys{ring: ring}, nil
}

// Seal writes the header to the first HeaderLength bytes of buffer.
func (k *Keys) Seal(buffer []byte, header *Header) {
	marker, key := k.ring.Sealing()
	buffer = buffer[:HeaderLength]

	buffer[offsetMarker] = marker
	buffer[offsetKind] = byte(header.Kind)
	binary.BigEndian.PutUint16(buffer[offsetService:], uint16(header.Service))
	binary.BigEndian.PutUint32(buffer[offsetAgent:], uint32(header.Agent))
	binary.BigEndian.PutUint32(buffer[offsetBalancer:], uint32(header.Balancer))
	binary.BigEndian.PutUint64(buffer[offsetIndex:], header.Index)

	address := [addressLength]byte{}
	if header.Caller.IsValid() {
		address = header.Caller.Addr().As16()
	}

	copy(buffer[offsetAddress:], address[:])
	binary.BigEndian.PutUint16(buffer[offsetPort:], header.Caller.Port())
	binary.BigEndian.PutUint16(buffer[offsetFlags:], 0)
	binary.BigEndian.PutUint64(buffer[offsetTag:], siphash.Hash(key.k0, key.k1, buffer[:offsetTag]))
}

// Open verifies the header in front of received and decodes it into header,
// which it leaves unchanged unless it returns OK.
func (k *Keys) Open(received []byte, header *Header) Reason {
	if len(received) < HeaderLength {
		return Short
	}

	received = received[:HeaderLength]

	key := k.ring.Find(received[offsetMarker])
	if key == nil {
		return UnknownKey
	}

	// The 64-bit tags are compared in one operation, so the time does not
	// depend on how many bytes of a forged tag are correct.
	if siphash.Hash(key.k0, key.k1, received[:offsetTag]) != binary.BigEndian.Uint64(received[offsetTag:]) {
		return BadTag
	}

	kind := Kind(received[offsetKind])
	if kind == 0 || kind >= kindLimit || binary.BigEndian.Uint16(received[offsetFlags:]) != 0 {
		return BadField
	}

	address := netip.AddrFrom16([addressLength]byte(received[offsetAddress:offsetPort]))
	port := binary.BigEndian.Uint16(received[offsetPort:])

	*header = Header{
		Kind:     kind,
		Service:  view.ServiceID(binary.BigEndian.Uint16(received[offsetService:])),
		Agent:    view.Incarnation(binary.BigEndian.Uint32(received[offsetAgent:])),
		Balancer: view.Incarnation(binary.BigEndian.Uint32(received[offsetBalancer:])),
		Index:    binary.BigEndian.Uint64(received[offsetIndex:]),
		Caller:   callerOf(address, port),
	}

	return OK
}

// callerOf returns the caller's address, or the zero value for the unspecified
// address that Seal writes if there is no caller.
func callerOf(address netip.Addr, port uint16) netip.AddrPort {
	if address.IsUnspecified() && port == 0 {
		return netip.AddrPort{}
	}

	return netip.AddrPortFrom(address.Unmap(), port)
}
