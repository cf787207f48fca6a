package balancer

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/udp"
)

// freePort returns an address on loopback that nothing uses at the moment.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()

	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(t).NoErr(err)

	defer socket.Close()

	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func viewOf(index uint64, services ...view.Service) *view.View {
	return view.New(view.Contents{
		Environment: "trial", Position: view.Position{Generation: 1, Index: index}, Services: services,
		Keys: []view.Key{{ID: 1, Secret: [32]byte{1}}},
	})
}

// Guards against a packet that reaches the service that had the address before
// (P2), and against a service without a socket after addresses were exchanged.
func TestListeners(t *testing.T) {
	is := is.New(t)
	b := &Balancer{
		config: Settings{Workers: 1}, logger: slog.New(slog.DiscardHandler),
		pool: udp.NewPool(4, udp.BatchConfig{Size: 4, Length: maxDatagram, Headroom: datagram.HeaderLength}),
	}
	b.services = newListeners(b)
	b.engine.Store(forward.NewBalancer(1, 1))

	var err error
	b.data, err = udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), udp.Options{})
	is.NoErr(err)

	defer b.data[0].Close()
	defer b.services.close()

	first, second := freePort(t), freePort(t)
	service := func(id view.ServiceID, address netip.AddrPort) view.Service {
		return view.Service{ID: id, Name: string(rune('a' + id)), Address: address, Slots: 1, Buckets: 64}
	}
	assert := func(id view.ServiceID, address netip.AddrPort) {
		t.Helper()
		socket := b.services.socket(id)
		is.True(socket != nil)
		is.Equal(socket.Address(), address)
	}

	b.apply(viewOf(1, service(1, first), service(2, second)))
	assert(1, first)
	assert(2, second)

	b.apply(viewOf(2, service(1, second), service(2, first)))
	assert(1, second)
	assert(2, first)

	b.apply(viewOf(3, service(3, first)))
	assert(3, first)
	is.True(b.services.socket(1) == nil)
}
