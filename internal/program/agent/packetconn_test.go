package agent

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// Guards against allocations for each datagram, which cost more than the
// forwarding itself, and against a payload that is delivered without its caller's address.
func TestPacketConn(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	balancer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)

	defer balancer.Close()

	balancerAddress := balancer.LocalAddr().(*net.UDPAddr).AddrPort()
	keys := []view.Key{{ID: 1, Secret: [32]byte{1}}}
	current := view.New(view.Contents{
		Position: view.Position{Generation: 1, Index: 1}, Services: []view.Service{{ID: 1, Name: "s", Buckets: 64}},
		Agents: agentsOf(1), Keys: keys,
		Balancers: []view.Balancer{{Incarnation: 9, Data: balancerAddress, State: view.Active}},
	})
	conn, err := newPacketConn(loopback, forward.NewAgent(1, 1), slog.New(slog.DiscardHandler))
	is.NoErr(err)

	defer conn.Close()

	is.NoErr(conn.update(current))

	sealer, err := datagram.New(keys)
	is.NoErr(err)

	caller := netip.MustParseAddrPort("192.0.2.1:4433")
	framed := make([]byte, datagram.HeaderLength+5)
	copy(framed[datagram.HeaderLength:], "hello")
	sealer.Seal(framed, &datagram.Header{
		Kind: datagram.Forward, Service: 1, Agent: 1, Balancer: 9, Index: 1, Caller: caller,
	})

	buffer := make([]byte, 100)
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	echo := func() (int, net.Addr) {
		balancer.WriteToUDPAddrPort(framed, address)

		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			t.Fatal(err)
		}

		if _, err := conn.WriteTo(buffer[:n], from); err != nil {
			t.Fatal(err)
		}

		return n, from
	}

	n, from := echo()
	is.Equal(string(buffer[:n]), "hello")
	is.Equal(from.String(), caller.String())
	is.Equal(testing.AllocsPerRun(200, func() { echo() }), 0.0)
}
