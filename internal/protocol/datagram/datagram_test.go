package datagram_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

func key(id uint8) view.Key { return view.Key{ID: id, Secret: [32]byte{id, 7}} }

func keys(t testing.TB, ids ...uint8) *datagram.Keys {
	t.Helper()

	ring := make([]view.Key, 0, len(ids))
	for _, id := range ids {
		ring = append(ring, key(id))
	}

	made, err := datagram.New(ring)
	is.New(t).NoErr(err)

	return made
}

func header(caller string) datagram.Header {
	made := datagram.Header{Kind: datagram.Forward, Service: 513, Agent: 1 << 20, Balancer: 77, Index: 1 << 40}
	if caller != "" {
		made.Caller = netip.MustParseAddrPort(caller)
	}

	return made
}

func sealed(t testing.TB, made datagram.Header, ids ...uint8) []byte {
	t.Helper()

	buffer := make([]byte, datagram.HeaderLength+3)
	keys(t, ids...).Seal(buffer, &made)

	return buffer
}

func assertOpens(t *testing.T, opener *datagram.Keys, buffer []byte, want datagram.Header) {
	t.Helper()

	var got datagram.Header

	is.New(t).Equal(opener.Open(buffer, &got), datagram.OK)
	is.New(t).Equal(got, want)
}

func assertRefused(t *testing.T, opener *datagram.Keys, buffer []byte, want datagram.Reason) {
	t.Helper()

	var got datagram.Header

	is.New(t).Equal(opener.Open(buffer, &got), want)
	is.New(t).Equal(got, datagram.Header{}) // unchanged
}

// Guards against fields that do not survive the encoding, above all the two
// address families and the absent caller of a ping.
func TestRoundTrip(t *testing.T) {
	for _, caller := range []string{"203.0.113.9:443", "[2001:db8::1]:65535", ""} {
		assertOpens(t, keys(t, 1), sealed(t, header(caller), 1), header(caller))
	}
}

// Guards against refusing the datagrams of instances that are one key rotation
// behind or ahead, and against accepting retired keys.
func TestRotation(t *testing.T) {
	for _, rings := range [][2][]uint8{{{1}, {2, 1}}, {{2, 1}, {3, 2, 1}}, {{3, 2, 1}, {4, 3, 2, 1}}} {
		behind, ahead := rings[0], rings[1]

		assertOpens(t, keys(t, behind...), sealed(t, header(""), ahead...), header(""))
		assertOpens(t, keys(t, ahead...), sealed(t, header(""), behind...), header(""))
	}

	assertRefused(t, keys(t, 4, 3, 2, 1), sealed(t, header(""), 1), datagram.UnknownKey)
	assertRefused(t, keys(t, 1), sealed(t, header(""), 2), datagram.UnknownKey)
}

// Guards against forged headers: every bit of the header is protected.
func TestForged(t *testing.T) {
	opener := keys(t, 1)

	for bit := range datagram.HeaderLength * 8 {
		buffer := sealed(t, header("203.0.113.9:443"), 1)
		buffer[bit/8] ^= 1 << (bit % 8)

		var got datagram.Header

		is.New(t).True(opener.Open(buffer, &got) != datagram.OK)
	}

	assertRefused(t, opener, sealed(t, header(""), 1)[:datagram.HeaderLength-1], datagram.Short)
	assertRefused(t, opener, sealed(t, datagram.Header{Kind: 9}, 1), datagram.BadField)
}

// Guards against a panic or an accepted forgery on any input.
func FuzzOpen(f *testing.F) {
	opener := keys(f, 1, 2)

	f.Add(sealed(f, header("203.0.113.9:443"), 1))
	f.Add([]byte{0x41})
	f.Fuzz(func(t *testing.T, input []byte) {
		var got datagram.Header
		if opener.Open(input, &got) != datagram.OK {
			return
		}

		again := make([]byte, datagram.HeaderLength)
		keys(t, input[0]&0x3f).Seal(again, &got)
		is.New(t).Equal(again, input[:datagram.HeaderLength])
	})
}

func BenchmarkSeal(b *testing.B) {
	sealer, made, buffer := keys(b, 1), header("203.0.113.9:443"), make([]byte, 64)

	b.ReportAllocs()

	for b.Loop() {
		sealer.Seal(buffer, &made)
	}
}

func BenchmarkOpen(b *testing.B) {
	opener, buffer := keys(b, 1), sealed(b, header("203.0.113.9:443"), 1)

	var got datagram.Header

	b.ReportAllocs()

	for b.Loop() {
		opener.Open(buffer, &got)
	}
}
