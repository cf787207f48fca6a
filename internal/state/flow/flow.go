// Package flow describes the packets of pass-through services, whose payload only
// the two endpoints of a flow read. A decoded header has the addresses of both
// endpoints, the effect of the packet on the flow, and the length of its data.
//
// # Usage
//
//	header, err := codec.Decode(packet)
//	key := header.Key()        // of a packet from a client
//	key := header.ReplyKey()   // of a packet from a backend server
//	reset := codec.AppendReset(nil, key, header.Acknowledged)
//
// The packet format is specific to the deployment, which provides a Codec. IPv6 is
// not supported: no deployment of pass-through services uses it.
package flow

import (
	"encoding/binary"
	"net/netip"
)

// Endpoint is an IPv4 address and a port. Messages hold many of them, so they
// are encoded without the names of the fields.
type Endpoint struct {
	_    struct{} `cbor:",toarray"`
	IP   [4]byte
	Port uint16
}

// NewEndpoint returns the endpoint of an IPv4 address and port, and false for
// any other address.
func NewEndpoint(address netip.AddrPort) (Endpoint, bool) {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}

	return Endpoint{IP: ip.As4(), Port: address.Port()}, true
}

// Addr returns the IP address.
func (e Endpoint) Addr() netip.Addr { return netip.AddrFrom4(e.IP) }

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort { return netip.AddrPortFrom(e.Addr(), e.Port) }

// String returns "address:port".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Key identifies a flow by its two endpoints.
type Key struct {
	Client  Endpoint
	Service Endpoint // the address and port that the client connects to
}

// String returns "client>service".
func (k Key) String() string { return k.Client.String() + ">" + k.Service.String() }

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	client := uint64(binary.BigEndian.Uint32(k.Client.IP[:]))<<16 | uint64(k.Client.Port)
	service := uint64(binary.BigEndian.Uint32(k.Service.IP[:]))<<16 | uint64(k.Service.Port)

	return Mix(Mix(client) ^ service)
}

// Mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// Header holds the decoded fields of a packet.
type Header struct {
	Source      Endpoint
	Destination Endpoint

	Open     bool // requests a new flow, or accepts it if Acks is set too
	Acks     bool // acknowledges data of the other endpoint
	Close    bool // the sender has no more data
	Reset    bool // resets the flow
	Returned bool // a backend server returned the packet: it does not hold the flow, or cannot accept it

	// Declinable marks an opening packet that an agent without a free slot hands
	// back, because the entry instance knows further agents.
	Declinable bool

	Sequence     uint32 // of the first byte of data
	Acknowledged uint32 // next sequence number expected from the other endpoint
	Length       int    // bytes of data
}

// Key returns the key of the flow of a packet that a client sent.
func (h Header) Key() Key { return Key{Client: h.Source, Service: h.Destination} }

// ReplyKey returns the key of the flow of a packet that a backend server sent.
func (h Header) ReplyKey() Key { return Key{Client: h.Destination, Service: h.Source} }

// End returns the sequence number after the last byte of data.
func (h Header) End() uint32 { return h.Sequence + uint32(h.Length) }

// Opens reports whether the packet is a client's request to open a flow.
func (h Header) Opens() bool { return h.Open && !h.Acks }

// Accepts reports whether the packet is a backend server's acceptance of a flow.
func (h Header) Accepts() bool { return h.Open && h.Acks }

// Answer is the reply of an agent to a query for a flow.
type Answer uint8

// The answers.
const (
	Held   Answer = iota + 1 // its backend server holds the flow
	Absent                   // its backend server does not hold the flow
	Unsure                   // the agent has restarted and does not know
)

// Codec reads and writes the packets of a deployment. It is safe for
// concurrent use.
type Codec interface {
	// Decode reads the header of a packet. It returns an error for bytes that
	// are not a complete packet.
	Decode(packet []byte) (Header, error)
	// Restore converts a returned packet back to its original form.
	Restore(packet []byte)
	// SetDeclinable marks an opening packet on its way from an entry instance to an
	// agent, or removes the mark.
	SetDeclinable(packet []byte, declinable bool)
	// AppendReset appends a packet that resets a flow at its client. The sequence
	// number is the last one that the client acknowledged.
	AppendReset(buffer []byte, key Key, sequence uint32) []byte
}
