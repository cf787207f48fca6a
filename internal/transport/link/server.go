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

// Handler answers a unary call.
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

// Decode decodes the request and, if the message has a method Check() error,
// checks it. Errors have KindInvalid.
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
	Identity *identity.Store
	Accept   identity.Policy
	Logger   *slog.Logger
}

// Server accepts links. Methods are registered before Serve.
type Server struct {
	logger    *slog.Logger
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[string]Handler
	streams   map[string]StreamHandler

	connections conc.WaitGroup
	calls       running
}

// Listen binds an address. Port 0 picks a free port, see Address.
func Listen(address netip.AddrPort, options ServerOptions) (*Server, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &Error{operation: "listen", kind: KindUnreachable, err: err}
	}

	transport := &quic.Transport{Conn: socket}

	listener, err := transport.Listen(options.Identity.ServerTLS(options.Accept), quicConfig())
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

// Serve answers calls until ctx ends. It then refuses new calls with
// KindClosing, ends server streams with KindClosing, waits up to grace for
// running unary calls, and closes all links. A panic of a handler ends the
// server too and is raised again by Serve.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	// work lives as long as the calls that are finished after ctx has ended.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()

	accepting, stop := context.WithCancel(ctx)
	defer stop()

	for {
		connection, err := s.listener.Accept(accepting)
		if err != nil {
			break
		}

		s.connections.Go(func() {
			defer stopOnPanic(stop)

			s.serve(work, accepting, stop, connection)
		})
	}

	s.calls.wait(grace)
	stopWork()
	// Each connection tells its peer that it closes. The transport alone would
	// leave the peers to notice the silence.
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

// stopOnPanic ends the server at once when a handler panics; the wait group
// raises the panic again when Serve waits for it.
func stopOnPanic(stop context.CancelFunc) {
	if cause := recover(); cause != nil {
		stop()
		panic(cause)
	}
}

// serve accepts the calls of one connection until the connection ends.
func (s *Server) serve(work, accepting context.Context, stop context.CancelFunc, connection *quic.Conn) {
	peer, err := identity.Peer(connection.ConnectionState().TLS)
	if err != nil {
		s.logger.Warn("a link is refused", "peer", connection.RemoteAddr().String(), "error", err)
		connection.CloseWithError(codeClosed, string(KindDenied)) //nolint:errcheck // the connection is given up

		return
	}

	var calls conc.WaitGroup
	defer calls.Wait()

	for {
		stream, err := connection.AcceptStream(work)
		if err != nil {
			connection.CloseWithError(codeClosed, string(KindClosing)) //nolint:errcheck // the connection has ended

			return
		}

		calls.Go(func() {
			defer stopOnPanic(stop)

			s.answer(context.WithValue(work, peerKey{}, peer), accepting, stream)
		})
	}
}

// running counts unary calls in progress and lets a closing server wait.
type running struct {
	mutex  sync.Mutex
	count  int
	closed bool
	idle   chan struct{}
}

// begin reports false once the server is closing.
func (r *running) begin() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	if r.closed {
		return false
	}

	r.count++

	return true
}

func (r *running) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.count--
	if r.closed && r.count == 0 {
		close(r.idle)
	}
}

// wait refuses new calls and returns when none is running or grace is over.
func (r *running) wait(grace time.Duration) {
	r.mutex.Lock()
	r.closed = true
	r.idle = make(chan struct{})

	if r.count == 0 {
		close(r.idle)
	}
	r.mutex.Unlock()

	timer := time.NewTimer(grace)
	defer timer.Stop()

	select {
	case <-r.idle:
	case <-timer.C:
	}
}
