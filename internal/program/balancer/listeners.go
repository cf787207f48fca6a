package balancer

import (
	"maps"
	"net/netip"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/udp"
)

// listeners holds the sockets of all services. Only the goroutine that applies
// views updates them; the goroutines that serve sockets read the published map.
type listeners struct {
	balancer  *Balancer
	published atomic.Pointer[map[view.ServiceID]listener]
}

// listener holds the sockets of one service.
type listener struct {
	address netip.AddrPort
	sockets []*udp.Socket
	group   *conc.WaitGroup // of the goroutines that serve the sockets
}

func newListeners(balancer *Balancer) *listeners {
	l := &listeners{balancer: balancer}
	l.published.Store(&map[view.ServiceID]listener{})

	return l
}

// socket returns the socket that sends the replies of a service, or nil if the
// balancer does not listen for the service.
func (l *listeners) socket(service view.ServiceID) *udp.Socket {
	found, ok := (*l.published.Load())[service]
	if !ok {
		return nil
	}

	return found.sockets[0]
}

// update closes the sockets of removed services, then opens those of new ones.
// The order matters because sockets share addresses (SO_REUSEPORT): if an address
// moves from one service to another while the old sockets are still open, they
// receive packets of the new service. An address that cannot be bound is logged
// and tried again with the next view.
func (l *listeners) update(current *view.View) {
	old := *l.published.Load()
	next := make(map[view.ServiceID]listener, len(current.Services()))

	for _, service := range current.Services() {
		if existing, ok := old[service.ID]; ok && existing.address == l.address(service) {
			next[service.ID] = existing
		}
	}

	kept := maps.Clone(next)
	l.published.Store(&kept)

	for id, existing := range old {
		if _, ok := next[id]; !ok {
			l.stop(existing)
		}
	}

	for _, service := range current.Services() {
		if _, ok := next[service.ID]; ok {
			continue
		}

		if opened, ok := l.open(service, l.address(service)); ok {
			next[service.ID] = opened
		}
	}

	l.published.Store(&next)
}

func (l *listeners) address(service view.Service) netip.AddrPort {
	if host := l.balancer.config.ListenHost; host.IsValid() {
		return netip.AddrPortFrom(host, service.Address.Port())
	}

	return service.Address
}

func (l *listeners) open(service view.Service, address netip.AddrPort) (listener, bool) {
	sockets, err := udp.Listen(address, l.balancer.socketOptions())
	if err != nil {
		l.balancer.logger.Error("service address not bound", "service", service.Name, "address", address.String(),
			"error", err)

		return listener{}, false
	}

	group := conc.NewWaitGroup()

	for _, socket := range sockets {
		group.Go(func() { l.balancer.serve(socket, l.balancer.callerHandler(service.ID)) })
	}

	l.balancer.logger.Info("service address bound", "service", service.Name, "address", address.String())

	return listener{address: address, sockets: sockets, group: group}, true
}

// stop closes the sockets of a service and waits for their goroutines.
func (l *listeners) stop(removed listener) {
	for _, socket := range removed.sockets {
		if err := socket.Stop(); err != nil {
			l.balancer.logger.Warn("socket not stopped", "address", removed.address.String(), "error", err)
		}
	}

	removed.group.Wait()
}

// close closes the sockets of all services and waits for their goroutines.
func (l *listeners) close() {
	for _, existing := range *l.published.Load() {
		l.stop(existing)
	}
}
