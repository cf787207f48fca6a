package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The packet head of the platform's page.
const (
	headBytes = 36

	flagSYN     = 32
	flagACK     = 4
	flagFIN     = 16
	flagRST     = 8
	flagBounced = 128
)

// packetSecret keys the sum of packets. The system does not know it.
const packetSecret = 0x5bd1e995

// flowKey names a flow by its two ends.
type flowKey struct{ client, route netip.AddrPort }

func (k flowKey) String() string { return k.client.String() + ">" + k.route.String() }

type head struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	length   int
	sum      uint32
	clean    bool // echo, pad and BOUNCED are 0
}

func putEnd(packet []byte, end netip.AddrPort) {
	ip := end.Addr().As4()
	packet[0], packet[1], packet[2], packet[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(packet[4:], end.Port())
}

func getEnd(packet []byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{packet[3], packet[2], packet[1], packet[0]})

	return netip.AddrPortFrom(ip, binary.LittleEndian.Uint16(packet[4:]))
}

// sumOf covers all fields except echo, pad, BOUNCED and the sum itself.
func sumOf(packet []byte) uint32 {
	sum := crc32.Update(packetSecret, crc32.IEEETable, packet[4:12])
	sum = crc32.Update(sum, crc32.IEEETable, []byte{packet[16] &^ flagBounced})

	return crc32.Update(sum, crc32.IEEETable, packet[22:])
}

func newPacket(src, dst netip.AddrPort, flags byte, seq, ack uint32, data []byte) []byte {
	packet := make([]byte, headBytes, headBytes+len(data))
	binary.LittleEndian.PutUint32(packet[4:], seq)
	binary.LittleEndian.PutUint32(packet[8:], ack)
	packet[16] = flags
	binary.LittleEndian.PutUint16(packet[22:], uint16(len(data)))
	putEnd(packet[24:], src)
	putEnd(packet[30:], dst)

	packet = append(packet, data...)
	binary.LittleEndian.PutUint32(packet[12:], sumOf(packet))

	return packet
}

// parse reads a packet. It returns false for bytes that are none.
func parse(packet []byte) (head, bool) {
	if len(packet) < headBytes || int(binary.LittleEndian.Uint16(packet[22:])) != len(packet)-headBytes {
		return head{}, false
	}

	pad := packet[17] | packet[18] | packet[19] | packet[20] | packet[21]

	return head{
		src: getEnd(packet[24:]), dst: getEnd(packet[30:]), flags: packet[16],
		seq: binary.LittleEndian.Uint32(packet[4:]), ack: binary.LittleEndian.Uint32(packet[8:]),
		length: len(packet) - headBytes, sum: binary.LittleEndian.Uint32(packet[12:]),
		clean: binary.LittleEndian.Uint32(packet) == 0 && pad == 0 && packet[16]&flagBounced == 0,
	}, true
}

// genuine reports whether an end wrote the packet like this.
func genuine(packet []byte, h head) bool { return h.clean && h.sum == sumOf(packet) }
