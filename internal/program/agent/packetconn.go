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
	maxDatagram  = 2048
	socketBuffer = 4 << 20 // bytes
	// maxCallers bounds the addresses that are kept, at about 150 bytes each.
	maxCallers = 8192
)

// packetConn is the packet connection of quic-go's transport. Datagrams come
// from balancers with the caller's address in the header, and replies go back
// through balancers.
type packetConn struct {
	*net.UDPConn
	engine  *forward.Agent
	logger  *slog.Logger
	frames  sync.Pool // *[maxDatagram]byte
	reading sync.Mutex
	buffer  [maxDatagram]byte               // under reading
	callers map[netip.AddrPort]*net.UDPAddr // under reading, so that most datagrams need no new address
}

func newPacketConn(address netip.AddrPort, engine *forward.Agent, logger *slog.Logger) (*packetConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, newError("listen for balancers", KindSetup, err)
	}

	// The kernel may grant less, which costs datagrams only under bursts.
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)

	return &packetConn{
		UDPConn: socket, engine: engine, logger: logger,
		frames:  sync.Pool{New: func() any { return new([maxDatagram]byte) }},
		callers: make(map[netip.AddrPort]*net.UDPAddr),
	}, nil
}

// update applies keys and balancers of a view.
func (c *packetConn) update(current *view.View) error { return errors.Trace(c.engine.Apply(current)) }

// ReadFrom returns the payload of the next datagram for this incarnation and
// the address of its caller.
func (c *packetConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	c.reading.Lock()
	defer c.reading.Unlock()

	received := c.buffer[:]

	for {
		n, from, err := c.ReadFromUDPAddrPort(received)
		if err != nil {
			return 0, nil, err // quic-go asks the error itself whether it is temporary
		}

		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())

		switch decision := c.engine.Receive(time.Now(), received[:n], source); decision.Action {
		case forward.Deliver:
			payload := received[datagram.HeaderLength:n]

			return copy(buffer, payload), c.caller(decision.Header.Caller), nil
		case forward.Answer:
			c.answer(&decision.Header, decision.To)
		default:
		}
	}
}

// caller returns the address in the form that quic-go takes.
func (c *packetConn) caller(address netip.AddrPort) *net.UDPAddr {
	known, ok := c.callers[address]
	if !ok {
		if len(c.callers) >= maxCallers {
			clear(c.callers)
		}

		known = net.UDPAddrFromAddrPort(address)
		c.callers[address] = known
	}

	return known
}

// answer sends a header without payload, for example a stale notice.
func (c *packetConn) answer(header *datagram.Header, to netip.AddrPort) {
	var notice [datagram.HeaderLength]byte

	c.engine.Seal(notice[:], header)

	if _, err := c.WriteToUDPAddrPort(notice[:], to); err != nil {
		c.logger.Debug("notice not sent", "to", to.String(), "error", err)
	}
}

// WriteTo sends a payload to a caller through a balancer. A datagram that
// cannot be sent is lost like one on the network: QUIC sends its content again,
// and the engine then selects another balancer.
func (c *packetConn) WriteTo(payload []byte, caller net.Addr) (int, error) {
	address, ok := caller.(*net.UDPAddr)
	if !ok {
		return 0, newError("reply", KindSetup, errors.Errorf("%v is not a UDP address", caller))
	}

	to := netip.AddrPortFrom(address.AddrPort().Addr().Unmap(), address.AddrPort().Port())

	header, balancer, ok := c.engine.Reply(time.Now(), to)
	if !ok {
		return len(payload), nil
	}

	framed := c.frames.Get().(*[maxDatagram]byte)
	defer c.frames.Put(framed)

	c.engine.Seal(framed[:], &header)
	n := copy(framed[datagram.HeaderLength:], payload)

	if _, err := c.WriteToUDPAddrPort(framed[:datagram.HeaderLength+n], balancer); err != nil {
		c.logger.Debug("reply not sent", "balancer", balancer.String(), "error", err)
	}

	return len(payload), nil
}

// publishCounters shows the decisions by reason under /debug/vars.
func publishCounters(engine *forward.Agent) {
	telemetry.Publish("agent_datagrams", func() any {
		counts := engine.Counts()
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
