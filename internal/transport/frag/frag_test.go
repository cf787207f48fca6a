package frag_test

import (
	"bytes"
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/transport/frag"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T) *frag.Conn {
	t.Helper()

	conn, err := frag.Listen(loopback, slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })

	return conn
}

// serve returns a channel of the messages that conn receives.
func serve(conn *frag.Conn) <-chan []byte {
	messages := make(chan []byte, 16)

	go conn.Serve(func(_ netip.AddrPort, message []byte) { messages <- bytes.Clone(message) })

	return messages
}

// TestSend guards against messages that are corrupted by fragmentation, and
// against sending one that is too large.
func TestSend(t *testing.T) {
	is := is.New(t)
	sender, receiver := listen(t), listen(t)
	messages := serve(receiver)

	for _, size := range []int{1, 1200, 1201, 50_000} {
		message := bytes.Repeat([]byte{1, 2, 3, 5, 7}, size)[:size]
		is.NoErr(sender.Send(receiver.Address(), message))
		is.True(bytes.Equal(<-messages, message))
	}

	is.True(sender.Send(receiver.Address(), make([]byte, frag.MaxMessageBytes+1)) != nil)
}

// TestSenderRestarts guards against a message that is put together from fragments of two
// messages: one of them was sent before its sender restarted at the same address, and
// its last fragment was lost.
func TestSenderRestarts(t *testing.T) {
	is := is.New(t)
	receiver := listen(t)
	messages := serve(receiver)

	first, second := bytes.Repeat([]byte{1}, 2000), bytes.Repeat([]byte{2}, 2000)
	relay, err := net.ListenUDP("udp4", nil)
	is.NoErr(err)

	defer relay.Close()

	relayAddress := netip.AddrPortFrom(loopback.Addr(), relay.LocalAddr().(*net.UDPAddr).AddrPort().Port())
	datagram := make([]byte, 2000)

	// The relay stands for the address of the sender, which stays the same.
	send := func(message []byte, fragments int) {
		sender, err := frag.Listen(loopback, slog.New(slog.DiscardHandler))
		is.NoErr(err)

		defer sender.Close()

		is.NoErr(sender.Send(relayAddress, message))

		for number := range 2 {
			count, err := relay.Read(datagram)
			is.NoErr(err)

			if number < fragments {
				_, err = relay.WriteToUDPAddrPort(datagram[:count], receiver.Address())
				is.NoErr(err)
			}
		}
	}

	send(first, 1)
	send(second, 2)
	is.True(bytes.Equal(<-messages, second))
}

// TestGarbage guards against malformed datagrams that stop the receiver or are
// delivered as messages.
func TestGarbage(t *testing.T) {
	is := is.New(t)
	sender, receiver := listen(t), listen(t)
	messages := serve(receiver)

	rawConn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(receiver.Address()))
	is.NoErr(err)

	defer rawConn.Close()

	for _, datagram := range [][]byte{
		{}, {0}, {9, 9, 9}, {1, 0, 0}, {1, 0, 0, 0, 0, 9, 0, 2, 0, 1}, {1, 0, 0, 0, 0, 0, 0, 255, 255, 1},
	} {
		_, err := rawConn.Write(datagram)
		is.NoErr(err)
	}

	is.NoErr(sender.Send(receiver.Address(), []byte("whole")))
	is.Equal(string(<-messages), "whole")
	is.Equal(receiver.Dropped(), uint64(6))
}
