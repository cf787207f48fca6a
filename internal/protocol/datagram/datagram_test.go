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

	fabricKeys := make([]view.Key, 0, len(ids))
	for _, id := range ids {
		fabricKeys = append(fabricKeys, key(id))
	}

	derived, err := datagram.New(fabricKeys)
	is.New(t).NoErr(err)

	return derived
}

func header(caller string) datagram.Header {
	h := datagram.Header{Kind: datagram.Forward, Service: 513, Agent: 1 << 20, Balancer: 77, Index: 1 << 40}
	if caller != "" {
		h.Caller = netip.MustParseAddrPort(caller)
	}

	return h
}

func seal(t testing.TB, h datagram.Header, ids ...uint8) []byte {
	t.Helper()

	buffer := make([]byte, datagram.HeaderLength+3)
	keys(t, ids...).Seal(buffer, &h)

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

// Guards against fields that change when they are encoded and decoded, such as
// the caller's address in either family or the missing caller of a ping.
func TestRoundTrip(t *testing.T) {
	for _, caller := range []string{"203.0.113.9:443", "[2001:db8::1]:65535", ""} {
		assertOpens(t, keys(t, 1), seal(t, header(caller), 1), header(caller))
	}
}

// Guards against rejecting the datagrams of instances that are one key rotation
// behind or ahead, and against accepting retired or unknown keys.
func TestRotation(t *testing.T) {
	for _, rings := range [][2][]uint8{{{1}, {2, 1}}, {{2, 1}, {3, 2, 1}}, {{3, 2, 1}, {4, 3, 2, 1}}} {
		older, newer := rings[0], rings[1]

		assertOpens(t, keys(t, older...), seal(t, header(""), newer...), header(""))
		assertOpens(t, keys(t, newer...), seal(t, header(""), older...), header(""))
	}

	assertRefused(t, keys(t, 4, 3, 2, 1), seal(t, header(""), 1), datagram.UnknownKey)
	assertRefused(t, keys(t, 1), seal(t, header(""), 2), datagram.UnknownKey)
}

// Guards against accepting forged headers: changing any bit has to be detected.
func TestForged(t *testing.T) {
	opener := keys(t, 1)

	for bit := range datagram.HeaderLength * 8 {
		buffer := seal(t, header("203.0.113.9:443"), 1)
		buffer[bit/8] ^= 1 << (bit % 8)

		var got datagram.Header

		is.New(t).True(opener.Open(buffer, &got) != datagram.OK)
	}

	assertRefused(t, opener, seal(t, header(""), 1)[:datagram.HeaderLength-1], datagram.Short)
	assertRefused(t, opener, seal(t, datagram.Header{Kind: 9}, 1), datagram.BadField)
}

// Guards against a panic or an accepted forgery on arbitrary input.
func FuzzOpen(f *testing.F) {
	opener := keys(f, 1, 2)

	f.Add(seal(f, header("203.0.113.9:443"), 1))
	f.Add([]byte{0x41})
	f.Fuzz(func(t *testing.T, input []byte) {
		var got datagram.Header
		if opener.Open(input, &got) != datagram.OK {
			return
		}

		resealed := make([]byte, datagram.HeaderLength)
		keys(t, input[0]&0x3f).Seal(resealed, &got)
		is.New(t).Equal(resealed, input[:datagram.HeaderLength])
	})
}

func BenchmarkSeal(b *testing.B) {
	sealer, h, buffer := keys(b, 1), header("203.0.113.9:443"), make([]byte, 64)

	b.ReportAllocs()

	for b.Loop() {
		sealer.Seal(buffer, &h)
	}
}

func BenchmarkOpen(b *testing.B) {
	opener, buffer := keys(b, 1), seal(b, header("203.0.113.9:443"), 1)

	var got datagram.Header

	b.ReportAllocs()

	for b.Loop() {
		opener.Open(buffer, &got)
	}
}
