package connid

import "encoding/binary"

// PacketKind classifies the first QUIC packet of a datagram.
type PacketKind uint8

// The kinds of packets.
const (
	Invalid            PacketKind = iota // not QUIC, or cut short
	ShortHeader                          // 1-RTT
	Initial                              // of a client, QUIC version 1 or 2
	ZeroRTT                              // early data of a client
	Handshake                            // of either end
	Retry                                // sent by servers only
	VersionNegotiation                   // sent by servers only
	UnknownVersion                       // long header of a version that only an agent can negotiate
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

	// MinInitialDCID is the least length of the destination connection ID
	// that a client may choose (RFC 9000, section 7.2), in bytes.
	MinInitialDCID = 8

	// MinInitialDatagram is the least payload of a datagram with a client's
	// Initial packet (RFC 9000, section 14.1), in bytes.
	MinInitialDatagram = 1200
)

// The packet types by the two type bits. Version 2 rotates them.
var (
	typesOfVersion1 = [4]PacketKind{Initial, ZeroRTT, Handshake, Retry}
	typesOfVersion2 = [4]PacketKind{Retry, Initial, ZeroRTT, Handshake}
)

// Packet is what a balancer can read of the first packet of a datagram.
type Packet struct {
	Kind PacketKind
	DCID []byte // a part of the datagram
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

	end := offsetDCID + int(datagram[offsetDCIDLength])
	if len(datagram) <= end {
		// The length of the source connection ID has to follow.
		return Packet{}
	}

	packet := Packet{DCID: datagram[offsetDCID:end]}
	known := datagram[0]&fixedBit != 0 && len(packet.DCID) <= maxDCIDLength
	bits := datagram[0] & typeMask >> typeShift

	switch version := binary.BigEndian.Uint32(datagram[offsetVersion:]); {
	case version == 0:
		packet.Kind = VersionNegotiation
	case version == version1 && known:
		packet.Kind = typesOfVersion1[bits]
	case version == version2 && known:
		packet.Kind = typesOfVersion2[bits]
	case version == version1 || version == version2:
		return Packet{}
	default:
		packet.Kind = UnknownVersion
	}

	return packet
}

// First reports whether the datagram of the given length may open a flow: it
// has a client's Initial packet, or a packet of a version that an agent has to
// negotiate, and the size that QUIC demands of both.
func (p Packet) First(length int) bool {
	if length < MinInitialDatagram {
		return false
	}

	return p.Kind == UnknownVersion || p.Kind == Initial && len(p.DCID) >= MinInitialDCID
}
