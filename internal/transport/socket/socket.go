// Package socket receives and sends UDP datagrams one at a time. Package udp does
// so in batches, which pays off at thousands of datagrams a second; the instances
// of pass-through services handle hundreds and have little memory.
//
// # Usage
//
//	s, err := socket.Listen(address, logger)
//	go s.Serve(func(from netip.AddrPort, datagram []byte) { ... })
//	err = s.Send(datagram, destination)
//	err = s.Close() // ends Serve
//
// The datagram passed to the handler is valid until the handler returns. A handler that
// panics on a datagram does not end the process: the datagram is logged, and the next
// one is handled. Violated invariants do end it. Handlers release their locks by defer.
package socket

import (
	"encoding/hex"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"

	"jayspindle/internal/state/failure"
	"jayspindle/internal/state/invariant"
)

const (
	// receiveBufferBytes holds 80 ms of traffic at 100 Mbit/s.
	receiveBufferBytes = 1 << 20

	// loggedBytes limits the part of a datagram that is logged after a panic. It shows
	// the type of a message and the addresses of a packet.
	loggedBytes = 64

	// maxDatagramBytes is the maximum size of an IPv4 datagram.
	maxDatagramBytes = 64 << 10
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen Kind = "listen" // the socket cannot be opened
	KindSend   Kind = "send"   // the system call for a datagram failed
)

// Error is the error type of this package.
type Error = failure.Error[Kind]

func newError(operation string, kind Kind, err error) *Error {
	return failure.New("socket", operation, kind, err)
}

// Socket is a UDP socket. Send is safe for concurrent use.
type Socket struct {
	conn   *net.UDPConn
	logger *slog.Logger
}

// Listen opens a socket on an IPv4 address.
func Listen(address netip.AddrPort, logger *slog.Logger) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, newError("listen on "+address.String(), KindListen, err)
	}

	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		logger.Warn("cannot set the size of the receive buffer, keeping the default", "error", err)
	}

	return &Socket{conn: conn, logger: logger}, nil
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:forcetypeassert // a UDP socket has a UDP address
}

// Serve calls the handler with each datagram until the socket is closed.
func (s *Socket) Serve(handle func(from netip.AddrPort, datagram []byte)) {
	buffer := make([]byte, maxDatagramBytes)

	for {
		count, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}

		// Other errors report that a datagram sent earlier was not delivered. The
		// protocols above detect that by the missing reply.
		if err == nil {
			s.handle(from, buffer[:count], handle)
		}
	}
}

// handle calls the handler. Without recover, one malformed message would end every
// process that gets it.
func (s *Socket) handle(
	from netip.AddrPort, datagram []byte, handler func(from netip.AddrPort, datagram []byte),
) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}

		invariant.Repanic(cause)

		start := hex.EncodeToString(datagram[:min(len(datagram), loggedBytes)])
		s.logger.Error("a handler panicked, dropped the datagram", "from", from, "bytes", len(datagram),
			"start", start, "cause", cause, "stack", string(debug.Stack()))
	}()

	handler(from, datagram)
}

// Send sends a datagram. It may be lost although Send returns no error.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return newError("send to "+to.String(), KindSend, err)
	}

	return nil
}

// Close ends Serve.
func (s *Socket) Close() error { return s.conn.Close() }
