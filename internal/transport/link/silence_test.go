package link_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/transport/link"
)

// device forwards datagrams between clients and one server, as a stateful
// device on the path does. It can lose the state of all present flows.
type device struct {
	socket *net.UDPConn
	server netip.AddrPort

	mutex  sync.Mutex
	flows  map[netip.AddrPort]*net.UDPConn
	silent map[netip.AddrPort]bool
	dead   bool
}

func newDevice(t *testing.T, server netip.AddrPort) *device {
	t.Helper()

	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	is.New(t).NoErr(err)

	d := &device{
		socket: socket, server: server,
		flows: make(map[netip.AddrPort]*net.UDPConn), silent: make(map[netip.AddrPort]bool),
	}
	t.Cleanup(func() {
		socket.Close()
		d.mutex.Lock()
		defer d.mutex.Unlock()

		for _, flow := range d.flows {
			flow.Close()
		}
	})

	go d.forward()

	return d
}

// lose drops all later datagrams of the present flows, or of all flows.
func (d *device) lose(all bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.dead = all
	for client := range d.flows {
		d.silent[client] = true
	}
}

func (d *device) passes(client netip.AddrPort) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return !d.dead && !d.silent[client]
}

func (d *device) forward() {
	buffer := make([]byte, 2048)

	for {
		size, client, err := d.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		if flow := d.flow(client); flow != nil && d.passes(client) {
			flow.Write(buffer[:size])
		}
	}
}

func (d *device) flow(client netip.AddrPort) *net.UDPConn {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if flow, ok := d.flows[client]; ok {
		return flow
	}

	flow, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.server))
	if err != nil {
		return nil
	}

	d.flows[client] = flow

	go func() {
		buffer := make([]byte, 2048)

		for {
			size, err := flow.Read(buffer)
			if err != nil {
				return
			}

			if d.passes(client) {
				d.socket.WriteToUDPAddrPort(buffer[:size], client)
			}
		}
	}()

	return flow
}

// Guards against a connection that stays silent for good, and against a live
// peer that counts as gone because one path to it is silent.
func TestSilence(t *testing.T) {
	for name, c := range map[string]struct {
		all  bool
		kind link.Kind
	}{
		"path": {false, link.KindSilent},
		"peer": {true, link.KindGone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			is := is.New(t)
			n := newNetwork(t)
			started := make(chan struct{}, 1)
			server, _ := n.serve("c1", func(s *link.Server) {
				s.Handle("echo", echo)
				s.Handle("hang", func(ctx context.Context, _ *link.Request) (any, error) {
					started <- struct{}{}
					<-ctx.Done()

					return nil, ctx.Err()
				})
			})
			path := newDevice(t, server.Address())
			client := n.dial("operator", path.socket.LocalAddr().(*net.UDPAddr).AddrPort())

			is.NoErr(client.Call(n.ctx, "echo", message{}, nil))

			result := make(chan error)

			go func() { result <- client.Call(n.ctx, "hang", message{}, nil) }()

			<-started
			path.lose(c.all)
			is.Equal(link.KindOf(<-result), c.kind)

			if !c.all {
				is.NoErr(client.Call(n.ctx, "echo", message{}, nil))
			}
		})
	}
}
