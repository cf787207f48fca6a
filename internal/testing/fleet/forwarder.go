package fleet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Forwarder is a device between two UDP endpoints that keeps state for each
// flow, as a firewall does, and can lose it.
type Forwarder struct {
	fleet   *Fleet
	front   *net.UDPConn
	target  netip.AddrPort
	mutex   sync.Mutex // guards flows
	flows   map[netip.AddrPort]*flow
	stopped atomic.Bool
}

type flow struct {
	back        *net.UDPConn
	silentThere atomic.Bool // drops what the target should get
	silentBack  atomic.Bool // drops what the source should get
}

// NewForwarder starts a forwarder to a target address. It ends with the test.
func (f *Fleet) NewForwarder(target string) *Forwarder {
	f.t.Helper()

	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(f.host("forwarder"))})
	f.check(err)

	w := &Forwarder{
		fleet: f, front: front, target: netip.MustParseAddrPort(target), flows: make(map[netip.AddrPort]*flow),
	}
	f.t.Cleanup(w.close)

	go w.serve()

	return w
}

// Address returns where the forwarder listens.
func (w *Forwarder) Address() string { return w.front.LocalAddr().String() }

// Silence drops, without an error, all later datagrams of the present flows in
// one direction, and returns how many flows that are. New flows work.
func (w *Forwarder) Silence(there bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	for _, current := range w.flows {
		if there {
			current.silentThere.Store(true)
		} else {
			current.silentBack.Store(true)
		}
	}

	return len(w.flows)
}

func (w *Forwarder) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	w.stopped.Store(true)
	_ = w.front.Close() // nothing is left to send

	for _, current := range w.flows {
		_ = current.back.Close()
	}
}

func (w *Forwarder) serve() {
	buffer := make([]byte, 1<<16)

	for {
		n, source, err := w.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if w.stopped.Load() {
				return
			}

			continue
		}

		if current := w.flow(source); current != nil && !current.silentThere.Load() {
			_, _ = current.back.Write(buffer[:n]) // a datagram may be lost
		}
	}
}

// flow returns the flow of a source. It is nil if no socket is free.
func (w *Forwarder) flow(source netip.AddrPort) *flow {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	if current, ok := w.flows[source]; ok || w.stopped.Load() {
		return current
	}

	back, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(w.target))
	if err != nil {
		return nil
	}

	current := &flow{back: back}
	w.flows[source] = current

	go w.answer(source, current)

	return current
}

func (w *Forwarder) answer(source netip.AddrPort, current *flow) {
	buffer := make([]byte, 1<<16)

	for !w.stopped.Load() {
		n, err := current.back.Read(buffer)
		if err == nil && !current.silentBack.Load() {
			_, _ = w.front.WriteToUDPAddrPort(buffer[:n], source) // a datagram may be lost
		}
	}
}
