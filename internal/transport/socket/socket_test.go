package socket_test

import (
	"bytes"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/transport/socket"
)

// TestServe guards against a socket that stops receiving after it has sent to
// an address where nobody listens, and against one that does not end.
func TestServe(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")

	first, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)

	second, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)

	gone, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.NoErr(gone.Close())

	received, ended := make(chan []byte, 1), make(chan struct{})

	go func() {
		defer close(ended)

		second.Serve(func(_ netip.AddrPort, datagram []byte) { received <- bytes.Clone(datagram) })
	}()

	is.NoErr(second.Send([]byte("nobody"), gone.Address()))
	is.NoErr(first.Send([]byte("hello"), second.Address()))
	is.Equal(string(<-received), "hello")

	is.NoErr(second.Close())
	<-ended

	_, err = socket.Listen(first.Address(), slog.New(slog.DiscardHandler))
	is.True(err != nil) // in use
	is.NoErr(first.Close())
}
