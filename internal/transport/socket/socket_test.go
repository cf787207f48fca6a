package socket_test

import (
	"bytes"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/transport/socket"
)

// TestServe guards against a socket that stops receiving after it has sent to an
// address without a listener, and against a Serve that does not return after
// Close.
func TestServe(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")

	sender, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)

	receiver, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)

	closed, err := socket.Listen(loopback, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.NoErr(closed.Close())

	received, served := make(chan []byte, 1), make(chan struct{})

	go func() {
		defer close(served)

		receiver.Serve(func(_ netip.AddrPort, datagram []byte) { received <- bytes.Clone(datagram) })
	}()

	is.NoErr(receiver.Send([]byte("nobody"), closed.Address()))
	is.NoErr(sender.Send([]byte("hello"), receiver.Address()))
	is.Equal(string(<-received), "hello")

	is.NoErr(receiver.Close())
	<-served

	_, err = socket.Listen(sender.Address(), slog.New(slog.DiscardHandler))
	is.True(err != nil) // in use
	is.NoErr(sender.Close())
}
