package socket_test

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/invariant"
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

// TestPanic guards against a process that ends because a handler panics on a datagram,
// and against one that goes on after a violated invariant.
func TestPanic(t *testing.T) {
	is := is.New(t)

	var log bytes.Buffer

	receiver, err := socket.Listen(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.NewTextHandler(&log, nil)))
	is.NoErr(err)

	sender, err := socket.Listen(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler))
	is.NoErr(err)

	for _, message := range []string{"crash", "hello", "invariant"} {
		is.NoErr(sender.Send([]byte(message), receiver.Address()))
	}

	var (
		handled  string
		violated any
	)

	func() {
		defer func() { violated = recover() }()

		receiver.Serve(func(_ netip.AddrPort, datagram []byte) {
			switch string(datagram) {
			case "crash":
				panic("unexpected")
			case "invariant":
				invariant.Assert(false, "test")
			default:
				handled = string(datagram)
			}
		})
	}()

	is.Equal(handled, "hello")

	_, ok := violated.(*invariant.ViolationError)
	is.True(ok)
	is.True(strings.Contains(log.String(), "6372617368")) // the datagram
	is.NoErr(receiver.Close())
	is.NoErr(sender.Close())
}
