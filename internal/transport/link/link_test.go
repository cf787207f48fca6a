package link_test

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

const (
	// testTimeout ends a test that hangs; no assertion depends on its value.
	testTimeout   = 30 * time.Second
	shutdownGrace = 5 * time.Second
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	logger   = slog.New(slog.DiscardHandler)
)

type message struct {
	Text string `cbor:"1,keyasint"`
}

func (m *message) Check() error {
	if m.Text == "out of bounds" {
		return errors.New("text is out of bounds")
	}

	return nil
}

// testNetwork issues certificates and starts servers and clients.
type testNetwork struct {
	t         *testing.T
	ctx       context.Context
	authority *identity.Authority
	directory string
}

func newTestNetwork(t *testing.T) *testNetwork {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)

	directory := t.TempDir()
	authority, err := identity.CreateAuthority(
		filepath.Join(directory, "ca.pem"), filepath.Join(directory, "ca.key"), "ca", time.Now())
	is.New(t).NoErr(err)

	return &testNetwork{t: t, ctx: ctx, authority: authority, directory: directory}
}

func (n *testNetwork) store(role identity.Role, name string) *identity.Store {
	n.t.Helper()

	files := identity.Files{
		Certificate: filepath.Join(n.directory, name+".pem"),
		Key:         filepath.Join(n.directory, name+".key"),
		Authorities: []string{filepath.Join(n.directory, "ca.pem")},
	}
	holder := identity.Identity{Role: role, Environment: identity.AllEnvironments, Name: name}
	is.New(n.t).NoErr(n.authority.Issue(holder, files.Certificate, files.Key, time.Now()))

	store, err := identity.OpenStore(files, logger)
	is.New(n.t).NoErr(err)

	return store
}

// serve starts a server and returns it with a function that stops it and waits
// for Serve to return.
func (n *testNetwork) serve(name string, register func(*link.Server)) (*link.Server, func()) {
	n.t.Helper()

	server, err := link.Listen(loopback, link.ServerOptions{
		Identity:   n.store(identity.RoleController, name),
		PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleOperator}},
		Logger:     logger,
	})
	is.New(n.t).NoErr(err)
	register(server)

	ctx, cancel := context.WithCancel(n.ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)

		server.Serve(ctx, shutdownGrace)
	}()

	stop := func() { cancel(); <-done }
	n.t.Cleanup(stop)

	return server, stop
}

func (n *testNetwork) dial(name string, addresses ...netip.AddrPort) *link.Client {
	n.t.Helper()

	client := link.Dial(link.ClientOptions{
		Addresses:  addresses,
		Identity:   n.store(identity.RoleOperator, name),
		PeerPolicy: identity.Policy{Roles: []identity.Role{identity.RoleController}},
		Random:     rand.New(rand.NewPCG(1, 2)),
	})
	n.t.Cleanup(client.Close)

	return client
}

func echo(_ context.Context, request *link.Request) (any, error) {
	var received message

	return &received, request.Decode(&received)
}

// Guards against handler errors that reach the caller with a different kind, and
// against a handler that does not get the caller's identity.
func TestCall(t *testing.T) {
	n := newTestNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) {
		s.Handle("echo", func(ctx context.Context, request *link.Request) (any, error) {
			reply, err := echo(ctx, request)
			if reply.(*message).Text == "who" {
				return message{Text: link.Peer(ctx).Name}, err
			}

			return reply, err
		})
		s.Handle("conflict", func(context.Context, *link.Request) (any, error) {
			return nil, link.Errorf(link.KindConflict, "version %d won", 7)
		})
		s.Handle("large", func(context.Context, *link.Request) (any, error) {
			return message{Text: string(make([]byte, link.MaxFrameBytes))}, nil
		})
		s.Handle("deadline", func(ctx context.Context, _ *link.Request) (any, error) {
			deadline, ok := ctx.Deadline()
			if !ok || time.Until(deadline) > testTimeout {
				return nil, errors.New("no deadline")
			}

			return nil, nil
		})
	})
	client := n.dial("operator", server.Address())

	cases := map[string]struct {
		method, text string
		want         string
		kind         link.Kind
	}{
		"reply":     {"echo", "hello", "hello", ""},
		"peer":      {"echo", "who", "operator", ""},
		"bounds":    {"echo", "out of bounds", "", link.KindInvalid},
		"conflict":  {"conflict", "", "", link.KindConflict},
		"method":    {"absent", "", "", link.KindUnknownMethod},
		"too large": {"large", "", "", link.KindTooLarge},
		"request":   {"echo", string(make([]byte, link.MaxFrameBytes)), "", link.KindTooLarge},
		"deadline":  {"deadline", "", "", ""},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)

			var reply message

			err := client.Call(n.ctx, c.method, message{Text: c.text}, &reply)
			if c.kind == "" {
				is.NoErr(err)
			} else {
				is.Equal(link.KindOf(err), c.kind)
			}

			is.Equal(reply.Text, c.want)
		})
	}
}

// Guards against a server that accepts a caller whose role its policy excludes.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) { s.Handle("echo", echo) })
	client := link.Dial(link.ClientOptions{
		Addresses: []netip.AddrPort{server.Address()},
		Identity:  n.store(identity.RoleBalancer, "b1"),
		Random:    rand.New(rand.NewPCG(1, 2)),
	})
	defer client.Close()

	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	is.True(client.Call(ctx, "echo", message{}, nil) != nil)
}

// Guards against a client that keeps calling a follower or a server that has
// shut down instead of the leader.
func TestRedirect(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	leader, _ := n.serve("leader", func(s *link.Server) { s.Handle("echo", echo) })
	follower, stop := n.serve("follower", func(s *link.Server) {
		s.Handle("echo", func(context.Context, *link.Request) (any, error) { return nil, link.Redirect(leader.Address()) })
	})
	client := n.dial("operator", follower.Address())

	is.NoErr(client.Call(n.ctx, "echo", message{}, nil))
	peer, address, ok := client.Connected()
	is.True(ok)
	is.Equal(peer.Name, "leader")
	is.Equal(address, leader.Address())
	stop()

	other := n.dial("other", follower.Address(), leader.Address()) // the server at the first address has stopped
	is.NoErr(other.Call(n.ctx, "echo", message{}, nil))
}

// Guards against a stream handler that keeps running after the caller has closed
// the stream, and against items after the end of a stream.
func TestStream(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	ended := make(chan struct{})
	server, _ := n.serve("c1", func(s *link.Server) {
		s.HandleStream("three", func(_ context.Context, _ *link.Request, send func(any) error) error {
			for range 3 {
				if err := send(message{Text: "item"}); err != nil {
					return err
				}
			}

			return nil
		})
		s.HandleStream("endless", func(ctx context.Context, _ *link.Request, send func(any) error) error {
			defer close(ended)

			err := send(message{Text: "item"})
			<-ctx.Done()

			return err
		})
	})
	client := n.dial("operator", server.Address())

	stream, err := client.Stream(n.ctx, "three", message{})
	is.NoErr(err)

	var item message

	for range 3 {
		more, err := stream.Next(&item)
		is.NoErr(err)
		is.True(more)
	}

	more, err := stream.Next(&item)
	is.NoErr(err)
	is.True(!more)

	stream, err = client.Stream(n.ctx, "endless", message{})
	is.NoErr(err)
	_, err = stream.Next(&item)
	is.NoErr(err)
	stream.Close()
	<-ended
	is.NoErr(n.ctx.Err()) // the caller ended the stream, not the timeout of the test
}

// Guards against a data race, and against an abandoned connection, when a stream
// is closed while another goroutine waits for its next item.
func TestCloseDuringNext(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) {
		s.HandleStream("endless", func(ctx context.Context, _ *link.Request, send func(any) error) error {
			err := send(message{Text: "item"})
			<-ctx.Done()

			return err
		})
	})
	client := n.dial("operator", server.Address())

	for range 20 {
		stream, err := client.Stream(n.ctx, "endless", message{})
		is.NoErr(err)

		var item message

		_, err = stream.Next(&item)
		is.NoErr(err)

		waiting, done := make(chan struct{}), make(chan bool)

		go func() {
			close(waiting)

			more, _ := stream.Next(&item)
			done <- more
		}()

		<-waiting
		stream.Close()
		is.True(!<-done)
	}

	_, _, connected := client.Connected()
	is.True(connected)
}

// Guards against a process that ends because one of its handlers panics on a request,
// and against a caller that is not told that its call has failed.
func TestPanic(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) {
		s.Handle("echo", echo)
		s.Handle("crash", func(context.Context, *link.Request) (any, error) { panic("unexpected") })
		s.HandleStream("crash-stream", func(context.Context, *link.Request, func(any) error) error { panic("unexpected") })
	})
	client := n.dial("operator", server.Address())

	is.Equal(link.KindOf(client.Call(n.ctx, "crash", message{}, nil)), link.KindInternal)

	stream, err := client.Stream(n.ctx, "crash-stream", message{})
	is.NoErr(err)

	_, err = stream.Next(&message{})
	is.Equal(link.KindOf(err), link.KindInternal)
	is.NoErr(client.Call(n.ctx, "echo", message{}, nil))
}

// Guards against a graceful shutdown that aborts a call in progress.
func TestGracefulClose(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	started, release := make(chan struct{}), make(chan struct{})
	server, stop := n.serve("c1", func(s *link.Server) {
		s.Handle("echo", echo)
		s.Handle("slow", func(context.Context, *link.Request) (any, error) {
			close(started)
			<-release

			return message{Text: "finished"}, nil
		})
	})
	client := n.dial("operator", server.Address())

	var reply message

	result := make(chan error)

	go func() { result <- client.Call(n.ctx, "slow", message{}, &reply) }()

	<-started

	stopped := make(chan struct{})

	go func() { stop(); close(stopped) }()

	for { // until the closing server rejects new calls
		ctx, cancel := context.WithTimeout(n.ctx, 100*time.Millisecond)
		err := client.Call(ctx, "echo", message{}, nil)

		cancel()

		if err != nil {
			break
		}
	}

	close(release)
	is.NoErr(<-result)
	is.Equal(reply.Text, "finished")
	<-stopped
}

// Guards against an unresponsive first address on which every call spends its
// whole timeout, so that an instance cannot renew its lease although other
// controllers are available.
func TestDeadAddress(t *testing.T) {
	is := is.New(t)
	n := newTestNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) { s.Handle("echo", echo) })

	unresponsive, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)

	defer unresponsive.Close()

	client := n.dial("operator", unresponsive.LocalAddr().(*net.UDPAddr).AddrPort(), server.Address())

	reached := false
	for range 20 {
		// Shorter than the dial of the unresponsive address takes.
		ctx, cancel := context.WithTimeout(n.ctx, dialTimeout/2)
		reached = reached || client.Call(ctx, "echo", message{}, nil) == nil

		cancel()
	}

	is.True(reached) // a later call tries the other address first
}

const dialTimeout = time.Second
