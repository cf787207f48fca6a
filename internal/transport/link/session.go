package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"jayspindle/internal/transport/identity"
)

// session is one connection of a client on its own UDP socket.
type session struct {
	address    netip.AddrPort
	peer       identity.Identity
	socket     *net.UDPConn
	transport  *quic.Transport
	connection *quic.Conn

	mutex     sync.Mutex
	openCalls int
	retired   bool
}

func dialSession(ctx context.Context, address netip.AddrPort, config *tls.Config) (*session, error) {
	socket, err := net.ListenUDP("udp", wildcardAddress(address))
	if err != nil {
		return nil, &Error{operation: operationDial, kind: KindUnreachable, err: err}
	}

	dialed := &session{address: address, socket: socket, transport: &quic.Transport{Conn: socket}}

	dialed.connection, err = dialed.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), config, quicConfig())
	if err != nil {
		dialed.close()

		return nil, &Error{operation: operationDial, kind: KindUnreachable, err: err}
	}

	dialed.peer, err = identity.Peer(dialed.connection.ConnectionState().TLS)
	if err != nil {
		dialed.close()

		return nil, &Error{operation: operationDial, kind: KindDenied, err: err}
	}

	return dialed, nil
}

// wildcardAddress returns the unspecified address of the remote address's family,
// with port 0.
func wildcardAddress(remote netip.AddrPort) *net.UDPAddr {
	if remote.Addr().Unmap().Is4() {
		return net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.IPv4Unspecified(), 0))
	}

	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.IPv6Unspecified(), 0))
}

func (s *session) alive() bool { return s.connection.Context().Err() == nil }

// retire closes the session as soon as it has no open calls.
func (s *session) retire() {
	s.mutex.Lock()
	s.retired = true
	unused := s.openCalls == 0
	s.mutex.Unlock()

	if unused {
		s.close()
	}
}

func (s *session) acquire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.openCalls++
}

func (s *session) release() {
	s.mutex.Lock()
	s.openCalls--
	unused := s.retired && s.openCalls == 0
	s.mutex.Unlock()

	if unused {
		s.close()
	}
}

// close closes the connection and its socket. It may be called more than once.
func (s *session) close() {
	if s.connection != nil {
		s.connection.CloseWithError(codeClosed, "") //nolint:errcheck // the connection is given up
	}

	s.transport.Close() //nolint:errcheck // the transport is given up
	s.socket.Close()    //nolint:errcheck // the socket is given up
}

// callStream is a call in progress on its own QUIC stream.
type callStream struct {
	method     string
	stream     *quic.Stream
	stopCancel func() bool
	closeOnce  sync.Once
	session    *session
}

// open starts a call by sending its request. When ctx ends, the QUIC stream is
// cancelled in both directions.
func (s *session) open(ctx context.Context, method string, request any) (*callStream, error) {
	s.acquire()

	stream, err := s.connection.OpenStreamSync(ctx)
	if err != nil {
		s.release()

		return nil, classify(method, err)
	}

	opened := &callStream{method: method, stream: stream, session: s}
	opened.stopCancel = context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})

	call := header{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = max(time.Until(deadline), time.Nanosecond)
	}

	if err := opened.send(call, request); err != nil {
		opened.close()

		return nil, opened.wrapError(ctx, err)
	}

	return opened, nil
}

func (e *callStream) send(values ...any) error {
	for _, value := range values {
		written, err := writeFrame(e.stream, value)
		countFrame(e.method, 0, written)

		if err != nil {
			return err
		}
	}

	return nil
}

// next reads one envelope and returns the error that it carries.
func (e *callStream) next(ctx context.Context) (envelope, error) {
	var result envelope

	encoded, err := readFrame(e.stream)
	if err != nil {
		return result, e.wrapError(ctx, err)
	}

	countFrame(e.method, len(encoded), 0)

	if err := decode(encoded, &result); err != nil {
		return result, err
	}

	return result, result.toError(e.method)
}

// wrapError returns the reason why the context or the connection ended, if one of
// them has ended, instead of the stream error that results from it.
func (e *callStream) wrapError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Error{operation: e.method, kind: KindDeadline, err: context.Cause(ctx)}
	}

	//nolint:contextcheck // the connection has a context of its own
	if cause := context.Cause(e.session.connection.Context()); cause != nil {
		err = cause
	}

	return classify(e.method, err)
}

// close closes the caller's side of the stream, which tells the server that the
// reply has been read, and discards data that has not been read.
func (e *callStream) close() {
	e.closeOnce.Do(func() {
		e.stopCancel()
		e.stream.Close() //nolint:errcheck // a cancelled stream is closed already
		e.stream.CancelRead(codeCanceled)
		e.session.release()
	})
}

// call runs a unary call.
func (s *session) call(ctx context.Context, method string, request, reply any) error {
	opened, err := s.open(ctx, method, request)
	if err != nil {
		return err
	}
	defer opened.close()

	result, err := opened.next(ctx)
	if err != nil {
		return err
	}

	if reply == nil {
		return nil
	}

	return decode(result.Body, reply)
}

// Stream is the client's side of a server stream. Close may be called while Next
// waits, which then returns; Next itself has one caller at a time.
type Stream struct {
	client     *Client
	session    *session
	callStream *callStream
	ctx        context.Context //nolint:containedctx // the context bounds the whole stream
	ended      atomic.Bool
}

// Next waits for the next item and decodes it into item. It returns false after
// the last one.
func (s *Stream) Next(item any) (bool, error) {
	if s.ended.Load() {
		return false, nil
	}

	result, err := s.callStream.next(s.ctx)
	if err != nil {
		if s.ended.Load() {
			return false, err // Close interrupted the read, the server has not failed
		}

		s.Close()

		return false, s.client.handleFailure(s.ctx, s.session, err)
	}

	if result.End {
		s.Close()

		return false, nil
	}

	return true, decode(result.Body, item)
}

// Peer returns the identity of the server.
func (s *Stream) Peer() identity.Identity { return s.session.peer }

// Close cancels the stream at both ends.
func (s *Stream) Close() {
	s.ended.Store(true)
	s.callStream.close()
}
