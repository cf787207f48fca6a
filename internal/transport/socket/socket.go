// Package socket receives and sends single UDP datagrams. Package udp does so in
// batches, which pays off from thousands of datagrams a second; the instances of
// pass-through services have hundreds and little memory.
//
// # Usage
//
//	s, err := socket.Listen(address, logger)
//	go s.Serve(func(from netip.AddrPort, datagram []byte) { ... })
//	err = s.Send(datagram, destination)
//	err = s.Close() // ends Serve
//
// The datagram passed to the handler is valid until the handler returns.
package socket

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"

	"jayspindle/internal/state/failure"
)

const (
	// receiveBuffer holds 80 ms of a link of 100 Mbit/s.
	receiveBuffer = 1 << 20

	// maxDatagram is the largest datagram that IPv4 carries.
	maxDatagram = 64 << 10
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen Kind = "listen" // the address cannot be opened
	KindSend   Kind = "send"   // the system refused a datagram
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("socket", operation, kind, err)
}

// Socket is a UDP socket. Send is safe for concurrent use.
type Socket struct{ conn *net.UDPConn }

// Listen opens an IPv4 address.
func Listen(address netip.AddrPort, logger *slog.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, newError("listen on "+address.String(), KindListen, err)
	}

	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		logger.Warn("the receive buffer keeps its default size", "error", err)
	}

	return &Socket{conn: conn}, nil
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:forcetypeassert // a UDP socket has a UDP address
}

// Serve calls the handler with each datagram until the socket is closed.
func (s *Socket) Serve(handle func(from netip.AddrPort, datagram []byte)) {
	buffer := make([]byte, maxDatagram)

	for {
		count, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		// Other errors belong to datagrams that were sent and not delivered; the
		// protocols above notice that by the missing answer.
		if err == nil {
			handle(from, buffer[:count])
		}
	}
}

// Send sends a datagram. That it left does not mean that it arrives.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return newError("send to "+to.String(), KindSend, err)
	}

	return nil
}

// Close ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }
