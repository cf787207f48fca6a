package forward

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// Agent is the state of an agent's data path. It is safe for concurrent use.
type Agent struct {
	self     view.Incarnation
	service  view.ServiceID
	counters Counters

	mutex     sync.Mutex
	view      *view.View
	datagrams *datagram.Keys
	paths     *paths
	header    datagram.Header
}

// NewAgent returns an agent without a view, which drops everything.
func NewAgent(self view.Incarnation, service view.ServiceID) *Agent {
	return &Agent{self: self, service: service, paths: newPaths()}
}

// Apply puts a view in force.
func (a *Agent) Apply(next *view.View) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.view != nil {
		if err := checkPosition(a.view, next); err != nil {
			return err
		}
	}

	if a.view == nil || !slices.Equal(a.view.Keys(), next.Keys()) {
		keys, err := datagram.New(next.Keys())
		if err != nil {
			return newError(KindKeys, err)
		}

		a.datagrams = keys
	}

	a.view = next
	a.paths.apply(next)

	return nil
}

// Counts returns the number of decisions by reason.
func (a *Agent) Counts() Counts {
	var total Counts

	a.counters.AddTo(&total)

	return total
}

// Receive decides on a datagram that arrived at the data socket from source.
func (a *Agent) Receive(now time.Time, received []byte, source netip.AddrPort) Decision {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	return a.counters.count(a.receive(now, received, source))
}

func (a *Agent) receive(now time.Time, received []byte, source netip.AddrPort) Decision {
	if a.view == nil {
		return drop(NoView)
	}

	if reason := a.datagrams.Open(received, &a.header); reason != datagram.OK {
		return drop(headerReasons[reason])
	}

	a.paths.recordReceived(now, a.header.Balancer)

	switch a.header.Kind {
	case datagram.Forward:
		return a.accept(received, source)
	case datagram.Ping:
		return pong(&a.header, a.view.Position().Index, source)
	case datagram.Pong:
		return drop(Consumed)
	default:
		return drop(WrongKind)
	}
}

// accept delivers a datagram only if it is addressed to this service and
// incarnation: the address may have belonged to an agent of any service before.
func (a *Agent) accept(received []byte, source netip.AddrPort) Decision {
	if a.header.Agent != a.self {
		header := a.header
		header.Kind = datagram.Stale
		header.Index = a.view.Position().Index

		return Decision{Action: Answer, Reason: WrongAgent, Header: header, To: source}
	}

	if a.header.Service != a.service {
		// A stale notice would make the balancer skip this agent for its own service.
		return drop(WrongService)
	}

	if len(received) == datagram.HeaderLength || !a.header.Caller.IsValid() {
		return drop(NoPayload)
	}

	return a.deliver()
}

func (a *Agent) deliver() Decision {
	assertService(a.header.Service == a.service && a.header.Agent == a.self, a.header.Service, a.header.Agent)

	return Decision{Action: Deliver, Reason: Delivered, Header: a.header}
}

// Reply returns the header of a reply and the balancer to send it to. It
// reports false if there is no balancer. Successive replies to one caller take
// different balancers, so a retransmission takes another path than the original
// packet.
func (a *Agent) Reply(now time.Time, caller netip.AddrPort) (datagram.Header, netip.AddrPort, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()

	if a.view == nil {
		return datagram.Header{}, netip.AddrPort{}, false
	}

	chosen, ok := a.paths.next(now, callerHash(caller))
	if !ok {
		return datagram.Header{}, netip.AddrPort{}, false
	}

	return datagram.Header{
		Kind: datagram.Reply, Service: a.service, Agent: a.self, Balancer: chosen.incarnation,
		Index: a.view.Position().Index, Caller: caller,
	}, chosen.address, true
}

// Seal writes a header with the key of the view in force. A view must
// have been applied.
func (a *Agent) Seal(buffer []byte, header *datagram.Header) {
	a.mutex.Lock()
	keys := a.datagrams
	a.mutex.Unlock()

	keys.Seal(buffer, header)
}

func callerHash(caller netip.AddrPort) uint64 {
	address := caller.Addr().As16()

	return xxhash.Sum64(address[:]) + uint64(caller.Port())
}
