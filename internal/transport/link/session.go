package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"jayspindle/internal/transport/identity"
)

// session is one connection of a client, with a socket of its own.
type session struct {
	address    netip.AddrPort
	peer       identity.Identity
	socket     *net.UDPConn
	transport  *quic.Transport
	connection *quic.Conn

	mutex   sync.Mutex
	users   int
	retired bool
}

func dialSession(ctx context.Context, address netip.AddrPort, config *tls.Config) (*session, error) {
	socket, err := net.ListenUDP("udp", unspecified(address))
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

// unspecified returns a local address with a free port, of the same family.
func unspecified(remote netip.AddrPort) *net.UDPAddr {
	if remote.Addr().Unmap().Is4() {
		return net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.IPv4Unspecified(), 0))
	}

	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.IPv6Unspecified(), 0))
}

func (s *session) alive() bool { return s.connection.Context().Err() == nil }

// retire closes the session once no call uses it any more.
func (s *session) retire() {
	s.mutex.Lock()
	s.retired = true
	last := s.users == 0
	s.mutex.Unlock()

	if last {
		s.close()
	}
}

func (s *session) acquire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.users++
}

func (s *session) release() {
	s.mutex.Lock()
	s.users--
	last := s.retired && s.users == 0
	s.mutex.Unlock()

	if last {
		s.close()
	}
}

// close may be called more than once.
func (s *session) close() {
	if s.connection != nil {
		s.connection.CloseWithError(codeClosed, "") //nolint:errcheck // the connection is given up
	}

	s.transport.Close() //nolint:errcheck // the transport is given up
	s.socket.Close()    //nolint:errcheck // the socket is given up
}

// exchange is one call in progress: one QUIC stream.
type exchange struct {
	method string
	stream *quic.Stream
	stop   func() bool
	once   sync.Once
	owner  *session
}

// open sends a request. If ctx ends, the exchange is cancelled at both ends.
func (s *session) open(ctx context.Context, method string, request any) (*exchange, error) {
	s.acquire()

	stream, err := s.connection.OpenStreamSync(ctx)
	if err != nil {
		s.release()

		return nil, classify(method, err)
	}

	opened := &exchange{method: method, stream: stream, owner: s}
	opened.stop = context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})

	call := header{Method: method}
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = max(time.Until(deadline), time.Nanosecond)
	}

	if err := opened.send(call, request); err != nil {
		opened.end()

		return nil, opened.failure(ctx, err)
	}

	return opened, nil
}

func (e *exchange) send(values ...any) error {
	for _, value := range values {
		written, err := writeFrame(e.stream, value)
		count(e.method, 0, written)

		if err != nil {
			return err
		}
	}

	return nil
}

// next reads one envelope and returns the error that it carries.
func (e *exchange) next(ctx context.Context) (envelope, error) {
	var result envelope

	encoded, err := readFrame(e.stream)
	if err != nil {
		return result, e.failure(ctx, err)
	}

	count(e.method, len(encoded), 0)

	if err := decode(encoded, &result); err != nil {
		return result, err
	}

	return result, result.failed(e.method)
}

// failure prefers the reason why the connection or the context ended to the
// error of the stream that follows from it.
func (e *exchange) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Error{operation: e.method, kind: KindDeadline, err: context.Cause(ctx)}
	}

	//nolint:contextcheck // the connection has a context of its own
	if cause := context.Cause(e.owner.connection.Context()); cause != nil {
		err = cause
	}

	return classify(e.method, err)
}

// end closes the caller's side, which tells the server that the reply has
// been read. What has not been read yet is cancelled.
func (e *exchange) end() {
	e.once.Do(func() {
		e.stop()
		e.stream.Close() //nolint:errcheck // a cancelled stream is closed already
		e.stream.CancelRead(codeCanceled)
		e.owner.release()
	})
}

// call runs a unary call.
func (s *session) call(ctx context.Context, method string, request, reply any) error {
	running, err := s.open(ctx, method, request)
	if err != nil {
		return err
	}
	defer running.end()

	result, err := running.next(ctx)
	if err != nil {
		return err
	}

	if reply == nil {
		return nil
	}

	return decode(result.Body, reply)
}

// Stream is a server stream at its client. Next and Close must not be called
// concurrently.
type Stream struct {
	client   *Client
	session  *session
	exchange *exchange
	ctx      context.Context //nolint:containedctx // the context bounds the whole stream
	ended    bool
}

// Next decodes the next item. It returns false after the last one.
func (s *Stream) Next(item any) (bool, error) {
	if s.ended {
		return false, nil
	}

	result, err := s.exchange.next(s.ctx)
	if err != nil {
		s.Close()

		return false, s.client.afterFailure(s.ctx, s.session, err)
	}

	if result.End {
		s.Close()

		return false, nil
	}

	return true, decode(result.Body, item)
}

// Peer returns the identity of the server.
func (s *Stream) Peer() identity.Identity { return s.session.peer }

// Close ends the stream at both ends.
func (s *Stream) Close() {
	s.ended = true
	s.exchange.end()
}
