package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The layout of a packet, as PROTOCOL.md gives it.
const (
	headBytes = 36
	maxData   = 1200

	flagACK     = 4
	flagRST     = 8
	flagFIN     = 16
	flagSYN     = 32
	flagBounced = 128
)

// sumKey is the key of the sum, which the system does not know.
const sumKey = 0x5bd1e995

// flowKey identifies a flow by the client's end and the route's end.
type flowKey struct{ client, route netip.AddrPort }

type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	echo     uint32
	pad      [5]byte
	data     []byte
	raw      []byte
}

func putEnd(b []byte, end netip.AddrPort) {
	ip := end.Addr().As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(b[4:], end.Port())
}

func getEnd(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), binary.LittleEndian.Uint16(b[4:]))
}

// computeSum covers all fields but echo, pad, the sum itself and BOUNCED.
func computeSum(raw []byte) uint32 {
	sum := crc32.Update(sumKey, crc32.IEEETable, raw[4:12])
	sum = crc32.Update(sum, crc32.IEEETable, []byte{raw[16] &^ flagBounced})
	sum = crc32.Update(sum, crc32.IEEETable, raw[22:])

	return sum | 1 // 0 marks a reset of the system's own
}

func build(src, dst netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	raw := make([]byte, headBytes, headBytes+len(data))
	binary.LittleEndian.PutUint32(raw[4:], seq)
	binary.LittleEndian.PutUint32(raw[8:], ack)
	raw[16] = flags
	binary.LittleEndian.PutUint16(raw[22:], uint16(len(data)))
	putEnd(raw[24:], src)
	putEnd(raw[30:], dst)
	raw = append(raw, data...)
	binary.LittleEndian.PutUint32(raw[12:], computeSum(raw))

	return raw
}

func parse(raw []byte) (packet, bool) {
	if len(raw) < headBytes || int(binary.LittleEndian.Uint16(raw[22:])) != len(raw)-headBytes {
		return packet{}, false
	}

	p := packet{
		echo: binary.LittleEndian.Uint32(raw), seq: binary.LittleEndian.Uint32(raw[4:]),
		ack: binary.LittleEndian.Uint32(raw[8:]), sum: binary.LittleEndian.Uint32(raw[12:]), flags: raw[16],
		src: getEnd(raw[24:]), dst: getEnd(raw[30:]), data: raw[headBytes:], raw: raw,
	}
	copy(p.pad[:], raw[17:22])

	return p, true
}

// genuine reports whether the packet is as its sender wrote it.
func (p packet) genuine() bool {
	return p.flags&flagBounced == 0 && p.echo == 0 && p.pad == [5]byte{} && p.sum == computeSum(p.raw)
}

// systemReset reports whether the packet is a reset that the system made itself.
func (p packet) systemReset() bool { return p.flags == flagRST && p.sum == 0 && len(p.data) == 0 }
