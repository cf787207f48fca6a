package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The header of a packet as the page on the protocol lays it out.
const (
	headerBytes = 36

	flagSYN     = 32
	flagACK     = 4
	flagRST     = 8
	flagBounced = 128
)

// packet is a decoded packet.
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	sequence, ack       uint32
	sum                 uint32
	data                []byte
	intact              bool // the keyed sum matches
}

// encode returns the bytes of a packet with its sum.
func (p packet) encode() []byte {
	raw := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(raw[4:], p.sequence)
	binary.LittleEndian.PutUint32(raw[8:], p.ack)
	raw[16] = p.flags
	binary.LittleEndian.PutUint16(raw[22:], uint16(len(p.data)))
	putEndpoint(raw[24:], p.source)
	putEndpoint(raw[30:], p.destination)

	raw = append(raw, p.data...)
	binary.LittleEndian.PutUint32(raw[12:], checksum(raw))

	return raw
}

// decode returns the packet in the bytes, and false if there is none.
func decode(raw []byte) (packet, bool) {
	if len(raw) < headerBytes || int(binary.LittleEndian.Uint16(raw[22:])) != len(raw)-headerBytes {
		return packet{}, false
	}

	p := packet{
		source: endpoint(raw[24:]), destination: endpoint(raw[30:]), flags: raw[16],
		sequence: binary.LittleEndian.Uint32(raw[4:]), ack: binary.LittleEndian.Uint32(raw[8:]),
		sum: binary.LittleEndian.Uint32(raw[12:]), data: append([]byte(nil), raw[headerBytes:]...),
	}
	p.intact = p.sum == checksum(raw)

	return p, true
}

func putEndpoint(raw []byte, address netip.AddrPort) {
	ip := address.Addr().As4()
	raw[0], raw[1], raw[2], raw[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(raw[4:], address.Port())
}

func endpoint(raw []byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{raw[3], raw[2], raw[1], raw[0]})

	return netip.AddrPortFrom(ip, binary.LittleEndian.Uint16(raw[4:]))
}

// checksum covers everything but echo, pad, the sum itself and the returned flag.
func checksum(raw []byte) uint32 {
	sum := crc32.ChecksumIEEE(raw[4:12])
	sum = crc32.Update(sum, crc32.IEEETable, []byte{raw[16] &^ flagBounced})

	return crc32.Update(sum, crc32.IEEETable, raw[22:]) | 1 // never 0, which marks a reset of the system
}
