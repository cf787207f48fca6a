package fleet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Forwarder is a UDP proxy with a socket for each flow. It simulates a stateful
// firewall that loses the state of its flows.
type Forwarder struct {
	fleet    *Fleet
	listener *net.UDPConn
	target   netip.AddrPort
	mutex    sync.Mutex // guards flows
	flows    map[netip.AddrPort]*flow
	stopped  atomic.Bool
}

type flow struct {
	upstream     *net.UDPConn
	dropToTarget atomic.Bool // drops datagrams to the target
	dropToSource atomic.Bool // drops datagrams to the source
}

// NewForwarder starts a forwarder to a target address. It is closed at the end
// of the test.
func (f *Fleet) NewForwarder(target string) *Forwarder {
	f.t.Helper()

	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(f.host("forwarder"))})
	f.check(err)

	w := &Forwarder{
		fleet: f, listener: listener, target: netip.MustParseAddrPort(target), flows: make(map[netip.AddrPort]*flow),
	}
	f.t.Cleanup(w.close)

	go w.serve()

	return w
}

// Address returns the listen address of the forwarder.
func (w *Forwarder) Address() string { return w.listener.LocalAddr().String() }

// Silence makes the forwarder silently drop all further datagrams of the
// existing flows in one direction: towards the target if toTarget is true, else
// towards the source. It returns the number of these flows. New flows are
// forwarded.
func (w *Forwarder) Silence(toTarget bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for _, current := range w.flows {
		if toTarget {
			current.dropToTarget.Store(true)
		} else {
			current.dropToSource.Store(true)
		}
	}

	return len(w.flows)
}

func (w *Forwarder) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.stopped.Store(true)
	_ = w.listener.Close() // a close error of a UDP socket loses no data

	for _, current := range w.flows {
		_ = current.upstream.Close()
	}
}

func (w *Forwarder) serve() {
	buffer := make([]byte, 1<<16)

	for {
		n, source, err := w.listener.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if w.stopped.Load() {
				return
			}

			continue
		}

		if current := w.flow(source); current != nil && !current.dropToTarget.Load() {
			_, _ = current.upstream.Write(buffer[:n]) // a datagram may be lost
		}
	}
}

// flow returns the flow of a source and creates it if needed. It returns nil if
// no socket can be opened.
func (w *Forwarder) flow(source netip.AddrPort) *flow {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if current, ok := w.flows[source]; ok || w.stopped.Load() {
		return current
	}

	upstream, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(w.target))
	if err != nil {
		return nil
	}

	current := &flow{upstream: upstream}
	w.flows[source] = current

	go w.forwardReplies(source, current)

	return current
}

func (w *Forwarder) forwardReplies(source netip.AddrPort, current *flow) {
	buffer := make([]byte, 1<<16)

	for !w.stopped.Load() {
		n, err := current.upstream.Read(buffer)
		if err == nil && !current.dropToSource.Load() {
			_, _ = w.listener.WriteToUDPAddrPort(buffer[:n], source) // a datagram may be lost
		}
	}
}
