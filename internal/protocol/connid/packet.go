package connid

import "encoding/binary"

// PacketKind classifies the first QUIC packet of a datagram.
type PacketKind uint8

// The kinds of packets.
const (
	Invalid            PacketKind = iota // not QUIC, or truncated
	ShortHeader                          // 1-RTT
	Initial                              // sent by clients, QUIC version 1 or 2
	ZeroRTT                              // early data, sent by clients
	Handshake                            // sent by either endpoint
	Retry                                // sent by servers only
	VersionNegotiation                   // sent by servers only
	UnknownVersion                       // long header of another version, which only an agent can negotiate
)

const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
	typeMask      = 0x30
	typeShift     = 4

	version1 = 0x00000001 // RFC 9000
	version2 = 0x6b3343cf // RFC 9369

	offsetVersion    = 1
	offsetDCIDLength = 5
	offsetDCID       = 6
	maxDCIDLength    = 20 // RFC 9000; longer ones exist only in unknown versions (RFC 8999)

	// MinInitialDCID is the minimum length of the destination connection ID
	// that a client may choose (RFC 9000, section 7.2), in bytes.
	MinInitialDCID = 8

	// MinInitialDatagram is the minimum payload of a datagram with a client's
	// Initial packet (RFC 9000, section 14.1), in bytes.
	MinInitialDatagram = 1200
)

// The packet types, indexed by the two type bits. Version 2 rotates the values.
var (
	typesOfVersion1 = [4]PacketKind{Initial, ZeroRTT, Handshake, Retry}
	typesOfVersion2 = [4]PacketKind{Retry, Initial, ZeroRTT, Handshake}
)

// Packet holds the header fields of a datagram's first QUIC packet that are
// readable without its keys.
type Packet struct {
	Kind PacketKind
	DCID []byte // destination connection ID, a subslice of the datagram
}

// Parse reads the invariant part of the header (RFC 8999) and the packet type
// of QUIC versions 1 and 2 (RFC 9000, RFC 9369). It does not allocate.
func Parse(datagram []byte) Packet {
	if len(datagram) == 0 {
		return Packet{}
	}

	if datagram[0]&longHeaderBit != 0 {
		return parseLong(datagram)
	}

	if datagram[0]&fixedBit == 0 || len(datagram) < 1+Length {
		return Packet{}
	}

	return Packet{Kind: ShortHeader, DCID: datagram[1 : 1+Length]}
}

func parseLong(datagram []byte) Packet {
	if len(datagram) < offsetDCID {
		return Packet{}
	}

	dcidEnd := offsetDCID + int(datagram[offsetDCIDLength])
	if len(datagram) <= dcidEnd {
		// Too short for the source connection ID length, which has to follow.
		return Packet{}
	}

	packet := Packet{DCID: datagram[offsetDCID:dcidEnd]}
	valid := datagram[0]&fixedBit != 0 && len(packet.DCID) <= maxDCIDLength
	typeBits := datagram[0] & typeMask >> typeShift

	switch version := binary.BigEndian.Uint32(datagram[offsetVersion:]); {
	case version == 0:
		packet.Kind = VersionNegotiation
	case version == version1 && valid:
		packet.Kind = typesOfVersion1[typeBits]
	case version == version2 && valid:
		packet.Kind = typesOfVersion2[typeBits]
	case version == version1 || version == version2:
		return Packet{}
	default:
		packet.Kind = UnknownVersion
	}

	return packet
}

// MayOpenFlow reports whether a datagram of the given length may open a flow: it
// starts with a client's Initial packet, or with a packet of a version that an
// agent has to negotiate, and has the minimum size that QUIC requires for both.
func (p Packet) MayOpenFlow(length int) bool {
	if length < MinInitialDatagram {
		return false
	}

	return p.Kind == UnknownVersion || p.Kind == Initial && len(p.DCID) >= MinInitialDCID
}
