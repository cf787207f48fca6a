package wire_test

import (
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/wire"
	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

var key = flow.Key{
	Client:  flow.Endpoint{IP: [4]byte{192, 0, 2, 1}, Port: 40_000},
	Service: flow.Endpoint{IP: [4]byte{198, 51, 100, 1}, Port: 443},
}

// splitBody checks the kind of a message and returns its body.
func splitBody(t *testing.T, message []byte, want wire.Kind) []byte {
	t.Helper()

	kind, body, ok := wire.Split(message)
	is.New(t).True(ok)
	is.New(t).Equal(kind, want)

	return body
}

// TestFlowMessages guards against fields that are encoded and decoded at different
// offsets, and against a panic on truncated messages.
func TestFlowMessages(t *testing.T) {
	load := roster.Load{Flows: 300, Waiting: 7, Failing: true}

	t.Run("accepted", func(t *testing.T) {
		is := is.New(t)
		want := wire.Accepted{Key: key, Load: load}
		encoded := splitBody(t, want.Append(nil), wire.KindAccepted)

		got, err := wire.ParseAccepted(encoded)
		is.NoErr(err)
		is.Equal(got, want)

		_, err = wire.ParseAccepted(encoded[:len(encoded)-1])
		is.True(err != nil)
	})

	t.Run("returned", func(t *testing.T) {
		is := is.New(t)
		want := wire.Returned{Load: load, Packet: []byte("packet")}

		got, err := wire.ParseReturned(splitBody(t, want.Append(nil), wire.KindReturned))
		is.NoErr(err)
		is.Equal(got, want)

		declined, err := wire.ParseReturned(splitBody(t, wire.Declined{Returned: want}.Append(nil), wire.KindDeclined))
		is.NoErr(err)
		is.Equal(declined, want)

		_, err = wire.ParseReturned([]byte{1, 2, 3, 4})
		is.True(err != nil)
	})

	t.Run("locate", func(t *testing.T) {
		is := is.New(t)
		want := wire.Locate{ID: 9, Keys: []flow.Key{key, key}}

		got, err := wire.ParseLocate(splitBody(t, want.Append(nil), wire.KindLocate))
		is.NoErr(err)
		is.Equal(got, want)
	})

	t.Run("pointer", func(t *testing.T) {
		is := is.New(t)
		want := wire.Pointer{Key: key, Holder: key.Client}
		encoded := splitBody(t, want.Append(nil), wire.KindPointer)

		got, err := wire.ParsePointer(encoded)
		is.NoErr(err)
		is.Equal(got, want)

		_, err = wire.ParsePointer(encoded[:len(encoded)-1])
		is.True(err != nil)
	})

	t.Run("located", func(t *testing.T) {
		is := is.New(t)
		want := wire.Located{ID: 9, Answers: []flow.Answer{flow.Held, flow.Absent}}

		got, err := wire.ParseLocated(splitBody(t, want.Append(nil), wire.KindLocated))
		is.NoErr(err)
		is.Equal(got, want)
	})
}
