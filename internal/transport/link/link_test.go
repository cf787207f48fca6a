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
	// testLimit ends a test that hangs; no assertion depends on it.
	testLimit = 30 * time.Second
	grace     = 5 * time.Second
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

// network issues identities and starts servers and clients.
type network struct {
	t         *testing.T
	ctx       context.Context
	authority *identity.Authority
	directory string
}

func newNetwork(t *testing.T) *network {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)

	directory := t.TempDir()
	authority, err := identity.CreateAuthority(
		filepath.Join(directory, "ca.pem"), filepath.Join(directory, "ca.key"), "ca", time.Now())
	is.New(t).NoErr(err)

	return &network{t: t, ctx: ctx, authority: authority, directory: directory}
}

func (n *network) store(role identity.Role, name string) *identity.Store {
	n.t.Helper()

	files := identity.Files{
		Certificate: filepath.Join(n.directory, name+".pem"),
		Key:         filepath.Join(n.directory, name+".key"),
		Authorities: []string{filepath.Join(n.directory, "ca.pem")},
	}
	holder := identity.Identity{Role: role, Environment: identity.AllEnvironments, Name: name}
	is.New(n.t).NoErr(n.authority.Issue(holder, files.Certificate, files.Key, time.Now()))

	store, err := identity.Open(files, logger)
	is.New(n.t).NoErr(err)

	return store
}

// serve starts a server and returns a function that stops it and waits.
func (n *network) serve(name string, register func(*link.Server)) (*link.Server, func()) {
	n.t.Helper()

	server, err := link.Listen(loopback, link.ServerOptions{
		Identity: n.store(identity.RoleController, name),
		Accept:   identity.Policy{Roles: []identity.Role{identity.RoleOperator}},
		Logger:   logger,
	})
	is.New(n.t).NoErr(err)
	register(server)

	ctx, cancel := context.WithCancel(n.ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)

		server.Serve(ctx, grace)
	}()

	stop := func() { cancel(); <-done }
	n.t.Cleanup(stop)

	return server, stop
}

func (n *network) dial(name string, addresses ...netip.AddrPort) *link.Client {
	n.t.Helper()

	client := link.Dial(link.ClientOptions{
		Addresses: addresses,
		Identity:  n.store(identity.RoleOperator, name),
		Accept:    identity.Policy{Roles: []identity.Role{identity.RoleController}},
		Random:    rand.New(rand.NewPCG(1, 2)),
	})
	n.t.Cleanup(client.Close)

	return client
}

func echo(_ context.Context, request *link.Request) (any, error) {
	var received message

	return &received, request.Decode(&received)
}

// Guards against errors that lose their kind on the way, and against a peer
// that is not identified.
func TestCall(t *testing.T) {
	n := newNetwork(t)
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
			return message{Text: string(make([]byte, link.MaxFrame))}, nil
		})
		s.Handle("deadline", func(ctx context.Context, _ *link.Request) (any, error) {
			deadline, ok := ctx.Deadline()
			if !ok || time.Until(deadline) > testLimit {
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
		"method":    {"absent", "", "", link.KindMethod},
		"too large": {"large", "", "", link.KindTooLarge},
		"request":   {"echo", string(make([]byte, link.MaxFrame)), "", link.KindTooLarge},
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

// Guards against a caller without the right role.
func TestPolicy(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
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

// Guards against a client that stays at a follower, or at a server that shuts
// down.
func TestRedirect(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
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

	other := n.dial("other", follower.Address(), leader.Address()) // the first address is dead
	is.NoErr(other.Call(n.ctx, "echo", message{}, nil))
}

// Guards against a stream that outlives its caller, and against items after
// the end.
func TestStream(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
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
	is.NoErr(n.ctx.Err()) // the caller ended it, not the end of the test
}

// Guards against a planned stop that breaks a call in progress.
func TestGracefulClose(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
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

	for { // the server refuses new calls once it closes
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

// Guards against a dead first address that uses up the time of every call, so
// that an instance cannot renew its lease although other controllers live.
func TestDeadAddress(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	server, _ := n.serve("c1", func(s *link.Server) { s.Handle("echo", echo) })

	dead, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)

	defer dead.Close()

	client := n.dial("operator", dead.LocalAddr().(*net.UDPAddr).AddrPort(), server.Address())

	reached := false
	for range 20 {
		// Less than the dial of the dead address takes.
		ctx, cancel := context.WithTimeout(n.ctx, dialLimit/2)
		reached = reached || client.Call(ctx, "echo", message{}, nil) == nil

		cancel()
	}

	is.True(reached) // a later call tries the other address first
}

const dialLimit = time.Second
