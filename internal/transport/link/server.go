package link

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"jayspindle/internal/transport/identity"
)

// Handler returns the reply of a unary call.
type Handler func(ctx context.Context, request *Request) (any, error)

// StreamHandler sends the items of a server stream until it returns.
type StreamHandler func(ctx context.Context, request *Request, send func(item any) error) error

// Request is the request of a call.
type Request struct {
	method  string
	encoded []byte
}

// Method returns the name of the method.
func (r *Request) Method() string { return r.method }

// Decode decodes the request into message and, if message has a method
// Check() error, calls it. Errors have KindInvalid.
func (r *Request) Decode(message any) error { return decode(r.encoded, message) }

// Size returns the encoded size in bytes.
func (r *Request) Size() int { return len(r.encoded) }

type peerKey struct{}

// Peer returns the identity of the authenticated caller within a handler.
func Peer(ctx context.Context) identity.Identity {
	peer, _ := ctx.Value(peerKey{}).(identity.Identity)

	return peer
}

// WithPeer returns a context with a caller's identity, for tests of handlers.
func WithPeer(ctx context.Context, peer identity.Identity) context.Context {
	return context.WithValue(ctx, peerKey{}, peer)
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Identity   *identity.Store
	PeerPolicy identity.Policy
	Logger     *slog.Logger
}

// Server accepts connections and answers their calls. Methods must be registered
// before Serve is called.
type Server struct {
	logger    *slog.Logger
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[string]Handler
	streams   map[string]StreamHandler

	connections conc.WaitGroup
	calls       callTracker
}

// Listen binds an address. Port 0 picks a free port, see Address.
func Listen(address netip.AddrPort, options ServerOptions) (*Server, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{operation: "listen", kind: KindUnreachable, err: err}
	}

	transport := &quic.Transport{Conn: socket}

	listener, err := transport.Listen(options.Identity.ServerTLS(options.PeerPolicy), quicConfig())
	if err != nil {
		socket.Close() //nolint:errcheck // nothing was sent

		return nil, &Error{operation: "listen", kind: KindUnreachable, err: err}
	}

	return &Server{
		logger:    options.Logger,
		socket:    socket,
		transport: transport,
		listener:  listener,
		handlers:  make(map[string]Handler),
		streams:   make(map[string]StreamHandler),
	}, nil
}

// Address returns the bound address.
func (s *Server) Address() netip.AddrPort { return s.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Handle registers a unary method.
func (s *Server) Handle(method string, handler Handler) { s.handlers[method] = handler }

// HandleStream registers a server stream.
func (s *Server) HandleStream(method string, handler StreamHandler) { s.streams[method] = handler }

// Serve answers calls until ctx ends. It then rejects new calls with
// KindClosing, ends server streams with KindClosing, waits up to grace for
// running unary calls, and closes all connections. A panic in a handler also
// stops the server, and Serve panics with it again.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	// callsCtx outlives ctx, so that running calls can finish while the server
	// closes.
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()

	acceptCtx, stopAccepting := context.WithCancel(ctx)
	defer stopAccepting()

	for {
		connection, err := s.listener.Accept(acceptCtx)
		if err != nil {
			break
		}

		s.connections.Go(func() {
			defer stopOnPanic(stopAccepting)

			s.serveConnection(callsCtx, acceptCtx, stopAccepting, connection)
		})
	}

	s.calls.drain(grace)
	cancelCalls()
	// Each connection sends a close frame to its peer. If only the transport were
	// closed, the peers would have to wait for their idle timeouts.
	s.connections.Wait()

	err := s.transport.Close()
	if closeErr := s.socket.Close(); err == nil {
		err = closeErr
	}

	if err != nil {
		return &Error{operation: "close", kind: KindInternal, err: err}
	}

	return nil
}

// stopOnPanic shuts the server down when a handler panics. The wait group
// panics again with the same cause when Serve waits for it.
func stopOnPanic(stop context.CancelFunc) {
	if cause := recover(); cause != nil {
		stop()
		panic(cause)
	}
}

// serveConnection accepts the calls of one connection until the connection ends.
func (s *Server) serveConnection(
	callsCtx, acceptCtx context.Context, stopAccepting context.CancelFunc, connection *quic.Conn,
) {
	peer, err := identity.Peer(connection.ConnectionState().TLS)
	if err != nil {
		s.logger.Warn("connection refused: peer certificate has no valid identity",
			"peer", connection.RemoteAddr().String(), "error", err)
		connection.CloseWithError(codeClosed, string(KindDenied)) //nolint:errcheck // the connection is given up

		return
	}

	var calls conc.WaitGroup
	defer calls.Wait()

	for {
		stream, err := connection.AcceptStream(callsCtx)
		if err != nil {
			connection.CloseWithError(codeClosed, string(KindClosing)) //nolint:errcheck // the connection has ended

			return
		}

		calls.Go(func() {
			defer stopOnPanic(stopAccepting)

			s.handleCall(context.WithValue(callsCtx, peerKey{}, peer), acceptCtx, stream)
		})
	}
}

// callTracker counts the unary calls in progress, so that a closing server can
// wait for them.
type callTracker struct {
	mutex  sync.Mutex
	count  int
	closed bool
	idle   chan struct{}
}

// begin counts a new call. It returns false if the server is closing.
func (t *callTracker) begin() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	if t.closed {
		return false
	}

	t.count++

	return true
}

func (t *callTracker) end() {
	t.mutex.Lock()
	defer t.mutex.Unlock()

	t.count--
	if t.closed && t.count == 0 {
		close(t.idle)
	}
}

// drain rejects new calls and returns when no call is in progress or the grace
// period is over.
func (t *callTracker) drain(grace time.Duration) {
	t.mutex.Lock()
	t.closed = true
	t.idle = make(chan struct{})

	if t.count == 0 {
		close(t.idle)
	}
	t.mutex.Unlock()

	timer := time.NewTimer(grace)
	defer timer.Stop()

	select {
	case <-t.idle:
	case <-timer.C:
	}
}
