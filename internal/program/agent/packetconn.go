package agent

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/forward"
	"jayspindle/internal/program/telemetry"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

const (
	maxDatagramBytes  = 2048
	socketBufferBytes = 4 << 20
	// maxCachedCallers bounds the cached addresses, at about 150 bytes each.
	maxCachedCallers = 8192
)

// packetConn is the packet connection of quic-go's transport. Datagrams arrive
// from balancers with the caller's address in the header, and replies go back
// through balancers.
type packetConn struct {
	*net.UDPConn
	dataPath    *forward.Agent
	logger      *slog.Logger
	framePool   sync.Pool // *[maxDatagramBytes]byte
	readMutex   sync.Mutex
	readBuffer  [maxDatagramBytes]byte          // guarded by readMutex
	callerAddrs map[netip.AddrPort]*net.UDPAddr // guarded by readMutex, avoids an allocation for most datagrams
}

func newPacketConn(address netip.AddrPort, dataPath *forward.Agent, logger *slog.Logger) (*packetConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, newError("listen for balancers", KindSetup, err)
	}

	// The kernel may grant less, which costs datagrams only under bursts.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)

	return &packetConn{
		UDPConn: socket, dataPath: dataPath, logger: logger,
		framePool:   sync.Pool{New: func() any { return new([maxDatagramBytes]byte) }},
		callerAddrs: make(map[netip.AddrPort]*net.UDPAddr),
	}, nil
}

// update applies keys and balancers of a view.
func (c *packetConn) update(current *view.View) error { return errors.Trace(c.dataPath.Apply(current)) }

// ReadFrom returns the payload of the next datagram for this incarnation and
// the address of its caller.
func (c *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()

	received := c.readBuffer[:]

	for {
		n, from, err := c.ReadFromUDPAddrPort(received)
		if err != nil {
			return 0, nil, err // unwrapped, since quic-go checks whether it is temporary
		}

		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())

		switch decision := c.dataPath.Receive(time.Now(), received[:n], source); decision.Action {
		case forward.Deliver:
			payload := received[datagram.HeaderLength:n]

			return copy(buffer, payload), c.callerAddr(decision.Header.Caller), nil
		case forward.Answer:
			c.sendNotice(&decision.Header, decision.To)
		default:
		}
	}
}

// callerAddr returns the address in the form that quic-go takes.
func (c *packetConn) callerAddr(address netip.AddrPort) *net.UDPAddr {
	cached, ok := c.callerAddrs[address]
	if !ok {
		if len(c.callerAddrs) >= maxCachedCallers {
			clear(c.callerAddrs)
		}

		cached = net.UDPAddrFromAddrPort(address)
		c.callerAddrs[address] = cached
	}

	return cached
}

// sendNotice sends a header without payload, for example a stale notice.
func (c *packetConn) sendNotice(header *datagram.Header, to netip.AddrPort) {
	var notice [datagram.HeaderLength]byte

	c.dataPath.Seal(notice[:], header)

	if _, err := c.WriteToUDPAddrPort(notice[:], to); err != nil {
		c.logger.Debug("could not send the notice", "to", to.String(), "error", err)
	}
}

// WriteTo sends a payload to a caller through a balancer. A datagram that
// cannot be sent is treated like one lost on the network: QUIC retransmits its
// content, and the engine then selects another balancer.
func (c *packetConn) WriteTo(payload []byte, caller net.Addr) (int, error) {
	address, ok := caller.(*net.UDPAddr)
	if !ok {
		return 0, newError("reply", KindSetup, errors.Errorf("%v is not a UDP address", caller))
	}

	to := netip.AddrPortFrom(address.AddrPort().Addr().Unmap(), address.AddrPort().Port())

	header, balancer, ok := c.dataPath.Reply(time.Now(), to)
	if !ok {
		return len(payload), nil
	}

	framed := c.framePool.Get().(*[maxDatagramBytes]byte)
	defer c.framePool.Put(framed)

	c.dataPath.Seal(framed[:], &header)
	n := copy(framed[datagram.HeaderLength:], payload)

	if _, err := c.WriteToUDPAddrPort(framed[:datagram.HeaderLength+n], balancer); err != nil {
		c.logger.Debug("could not send the reply", "balancer", balancer.String(), "error", err)
	}

	return len(payload), nil
}

// publishCounters shows the decisions by reason under /debug/vars.
func publishCounters(dataPath *forward.Agent) {
	telemetry.Publish("agent_datagrams", func() any {
		counts := dataPath.Counts()
		byReason := make(map[string]uint64, len(counts))

		for reason, count := range counts {
			byReason[forward.Reason(reason).String()] = count
		}

		return byReason
	})
}

// quicConn narrows a packetConn to what quic-go may use: its buffer sizes, but
// not the other methods of the embedded net.UDPConn, which bypass the header.
type quicConn struct {
	net.PacketConn
	buffers
}

// buffers sets the sizes of socket buffers in bytes.
type buffers interface {
	SetReadBuffer(size int) error
	SetWriteBuffer(size int) error
}
