package connid_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/state/view"
)

func keys(t testing.TB, ids ...uint8) *connid.Keys {
	t.Helper()

	fabricKeys := make([]view.Key, 0, len(ids))
	for _, id := range ids {
		fabricKeys = append(fabricKeys, view.Key{ID: id, Secret: [32]byte{id, 7}})
	}

	derived, err := connid.New(fabricKeys)
	is.New(t).NoErr(err)

	return derived
}

func generate(t testing.TB, generator quic.ConnectionIDGenerator) []byte {
	t.Helper()

	id, err := generator.GenerateConnectionID()
	is.New(t).NoErr(err)
	is.New(t).Equal(id.Len(), generator.ConnectionIDLen())

	return id.Bytes()
}

func assertOpen(t *testing.T, opener *connid.Keys, id []byte, service view.ServiceID, want view.Incarnation, ok bool) {
	t.Helper()

	var scratch connid.Scratch

	got, valid := opener.Open(&scratch, id, service)
	is.New(t).Equal(valid, ok)
	is.New(t).Equal(got, want)
}

// Guards against accepting a connection ID that belongs to another service, is
// forged, or is sealed with a key that is no longer in the view.
func TestOpen(t *testing.T) {
	id := generate(t, connid.NewGenerator(keys(t, 1), 40, 9000))

	assertOpen(t, keys(t, 1), id, 40, 9000, true)
	assertOpen(t, keys(t, 4, 3, 2, 1), id, 40, 9000, true)
	assertOpen(t, keys(t, 1), id, 41, 0, false)
	assertOpen(t, keys(t, 2), id, 40, 0, false)
	assertOpen(t, keys(t, 1), id[:16], 40, 0, false)

	for bit := range len(id) * 8 {
		forged := append([]byte(nil), id...)
		forged[bit/8] ^= 1 << (bit % 8)
		assertOpen(t, keys(t, 1), forged, 40, 0, false)
	}
}

// Guards against an integrity check that is too weak: without the zero bytes,
// one random block in 65,536 would match a given service.
func TestRandomBlocks(t *testing.T) {
	var (
		opener  = keys(t, 1)
		random  = rand.NewChaCha8([32]byte{1})
		id      = make([]byte, connid.Length)
		scratch connid.Scratch
	)

	for range 1 << 20 {
		random.Read(id)
		id[0] = 0x41

		if _, ok := opener.Open(&scratch, id, 40); ok {
			t.Fatalf("forged connection ID %x was accepted", id)
		}
	}
}

// Guards against two flows of an agent that share a connection ID.
func TestUnique(t *testing.T) {
	generator, seen := connid.NewGenerator(keys(t, 1), 40, 9000), map[string]bool{}

	for range 1000 {
		seen[string(generate(t, generator))] = true
	}

	is.New(t).Equal(len(seen), 1000)
}

// longHeaderPacket returns a packet with a long header and a connection ID of n
// bytes.
func longHeaderPacket(first byte, version uint32, n int) []byte {
	packet := append([]byte{first, byte(version >> 24), byte(version >> 16), byte(version >> 8), byte(version)}, byte(n))

	return append(packet, make([]byte, 1200)...)
}

// Guards against packets that are misclassified, and against opening a flow for
// a packet that may not open one.
func TestParse(t *testing.T) {
	cases := []struct {
		name   string
		packet []byte
		kind   connid.PacketKind
		length int
		first  bool
	}{
		{"initial", longHeaderPacket(0xc0, 1, 8), connid.Initial, 8, true},
		{"initial of version 2", longHeaderPacket(0xd0, 0x6b3343cf, 20), connid.Initial, 20, true},
		{"short connection ID", longHeaderPacket(0xc0, 1, 7), connid.Initial, 7, false},
		{"small initial", longHeaderPacket(0xc0, 1, 8)[:1199], connid.Initial, 8, false},
		{"0-RTT", longHeaderPacket(0xd0, 1, 8), connid.ZeroRTT, 8, false},
		{"handshake", longHeaderPacket(0xe0, 1, 17), connid.Handshake, 17, false},
		{"retry", longHeaderPacket(0xf0, 1, 17), connid.Retry, 17, false},
		{"version negotiation", longHeaderPacket(0x80, 0, 17), connid.VersionNegotiation, 17, false},
		{"unknown version", longHeaderPacket(0x80, 0x0a0a0a0a, 100), connid.UnknownVersion, 100, true},
		{"long connection ID", longHeaderPacket(0xc0, 1, 21), connid.Invalid, 0, false},
		{"truncated", longHeaderPacket(0xc0, 1, 20)[:26], connid.Invalid, 0, false},
		{"short header", append([]byte{0x40}, make([]byte, 17)...), connid.ShortHeader, 17, false},
		{"truncated short header", append([]byte{0x40}, make([]byte, 16)...), connid.Invalid, 0, false},
		{"no fixed bit", make([]byte, 100), connid.Invalid, 0, false},
		{"empty", nil, connid.Invalid, 0, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := connid.Parse(c.packet)
			is.New(t).Equal(got.Kind, c.kind)
			is.New(t).Equal(len(got.DCID), c.length)
			is.New(t).Equal(got.MayOpenFlow(len(c.packet)), c.first)
		})
	}
}

// Guards against a panic or an out-of-bounds read on arbitrary input.
func FuzzParse(f *testing.F) {
	opener := keys(f, 1)

	f.Add(longHeaderPacket(0xc0, 1, 20))
	f.Add([]byte{0x40})
	f.Fuzz(func(t *testing.T, input []byte) {
		var scratch connid.Scratch

		packet := connid.Parse(input)
		is.New(t).True(len(packet.DCID) < max(len(input), 1))
		opener.Open(&scratch, packet.DCID, 40)
	})
}

func BenchmarkParseAndOpen(b *testing.B) {
	opener := keys(b, 1)
	packet := append([]byte{0x40}, generate(b, connid.NewGenerator(opener, 40, 9000))...)

	var scratch connid.Scratch

	b.ReportAllocs()

	for b.Loop() {
		opener.Open(&scratch, connid.Parse(packet).DCID, 40)
	}
}
