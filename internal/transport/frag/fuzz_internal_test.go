package frag

import (
	"net/netip"
	"testing"
)

// FuzzReceive guards against datagrams that crash a receiver, or that make it deliver or
// keep more than it may.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{typeWhole, 1, 2}, []byte{typeFragment, 1, 0, 0, 0, 0, 0, 2, 0, 9})
	f.Add([]byte{typeFragment, 1, 0, 0, 0, 1, 0, 2, 0, 9}, []byte{typeFragment, 1, 0, 0, 0, 0, 0, 2, 0, 9})
	f.Add([]byte{typeFragment, 1, 0, 0, 0, 0, 0, 0, 0, 9}, []byte{})

	from := netip.MustParseAddrPort("192.0.2.1:7000")

	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := &Conn{partials: make(map[partialKey]*partialMessage)}

		for range 3 {
			for _, datagram := range [][]byte{first, second} {
				if len(c.receive(from, datagram)) > len(first)+len(second) {
					t.Errorf("%x and %x: the message is longer than its datagrams", first, second)
				}
			}
		}

		if len(c.partials) > maxPartialMessages {
			t.Errorf("%d partial messages", len(c.partials))
		}
	})
}
