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

// middlebox forwards datagrams between clients and one server, as a NAT or a
// stateful firewall does. It can lose the state of its current flows.
type middlebox struct {
	socket *net.UDPConn
	server netip.AddrPort

	mutex   sync.Mutex
	flows   map[netip.AddrPort]*net.UDPConn
	dropped map[netip.AddrPort]bool
	dropAll bool
}

func newMiddlebox(t *testing.T, server netip.AddrPort) *middlebox {
	t.Helper()

	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	is.New(t).NoErr(err)

	m := &middlebox{
		socket: socket, server: server,
		flows: make(map[netip.AddrPort]*net.UDPConn), dropped: make(map[netip.AddrPort]bool),
	}
	t.Cleanup(func() {
		socket.Close()
		m.mutex.Lock()
		defer m.mutex.Unlock()

		for _, flow := range m.flows {
			flow.Close()
		}
	})

	go m.forwardToServer()

	return m
}

// dropFlows drops all later datagrams of the current flows and, if all is set, of
// all future flows.
func (m *middlebox) dropFlows(all bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	m.dropAll = all
	for client := range m.flows {
		m.dropped[client] = true
	}
}

func (m *middlebox) forwards(client netip.AddrPort) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	return !m.dropAll && !m.dropped[client]
}

func (m *middlebox) forwardToServer() {
	buffer := make([]byte, 2048)

	for {
		size, client, err := m.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		if flow := m.flow(client); flow != nil && m.forwards(client) {
			flow.Write(buffer[:size])
		}
	}
}

func (m *middlebox) flow(client netip.AddrPort) *net.UDPConn {
	m.mutex.Lock()
	defer m.mutex.Unlock()

	if flow, ok := m.flows[client]; ok {
		return flow
	}

	flow, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(m.server))
	if err != nil {
		return nil
	}

	m.flows[client] = flow

	go func() {
		buffer := make([]byte, 2048)

		for {
			size, err := flow.Read(buffer)
			if err != nil {
				return
			}

			if m.forwards(client) {
				m.socket.WriteToUDPAddrPort(buffer[:size], client)
			}
		}
	}()

	return flow
}

// Guards against a call that hangs forever on a path that drops all packets, and
// against reporting a reachable peer as gone because one path to it failed.
func TestSilence(t *testing.T) {
	for name, c := range map[string]struct {
		all  bool
		kind link.Kind
	}{
		"path": {false, link.KindPathTimeout},
		"peer": {true, link.KindConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			is := is.New(t)
			n := newTestNetwork(t)
			started := make(chan struct{}, 1)
			server, _ := n.serve("c1", func(s *link.Server) {
				s.Handle("echo", echo)
				s.Handle("hang", func(ctx context.Context, _ *link.Request) (any, error) {
					started <- struct{}{}
					<-ctx.Done()

					return nil, ctx.Err()
				})
			})
			path := newMiddlebox(t, server.Address())
			client := n.dial("operator", path.socket.LocalAddr().(*net.UDPAddr).AddrPort())

			is.NoErr(client.Call(n.ctx, "echo", message{}, nil))

			result := make(chan error)

			go func() { result <- client.Call(n.ctx, "hang", message{}, nil) }()

			<-started
			path.dropFlows(c.all)
			is.Equal(link.KindOf(<-result), c.kind)

			if !c.all {
				is.NoErr(client.Call(n.ctx, "echo", message{}, nil))
			}
		})
	}
}
