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

// freePort returns a loopback address with an unused port.
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

// Guards against a packet that reaches the previous service of its address, and
// against a service that has no socket after two services exchanged addresses.
func TestListeners(t *testing.T) {
	is := is.New(t)
	b := &Balancer{
		config: Settings{Workers: 1}, logger: slog.New(slog.DiscardHandler),
		pool: udp.NewPool(4, udp.BatchConfig{Size: 4, Length: maxDatagramBytes, Headroom: datagram.HeaderLength}),
	}
	b.listeners = newListeners(b)
	b.forwarder.Store(forward.NewBalancer(1, 1))

	var err error
	b.dataSockets, err = udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"), udp.Options{})
	is.NoErr(err)

	defer b.dataSockets[0].Close()
	defer b.listeners.close()

	first, second := freePort(t), freePort(t)
	service := func(id view.ServiceID, address netip.AddrPort) view.Service {
		return view.Service{ID: id, Name: string(rune('a' + id)), Address: address, Slots: 1, Buckets: 64}
	}
	assertSocket := func(id view.ServiceID, address netip.AddrPort) {
		t.Helper()
		socket := b.listeners.socket(id)
		is.True(socket != nil)
		is.Equal(socket.Address(), address)
	}

	b.apply(viewOf(1, service(1, first), service(2, second)))
	assertSocket(1, first)
	assertSocket(2, second)

	b.apply(viewOf(2, service(1, second), service(2, first)))
	assertSocket(1, second)
	assertSocket(2, first)

	b.apply(viewOf(3, service(3, first)))
	assertSocket(3, first)
	is.True(b.listeners.socket(1) == nil)
}
