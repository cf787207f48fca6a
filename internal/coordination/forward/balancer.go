// Package forward decides what balancers and agents do with each datagram. It
// does no input or output, and the caller passes the time.
//
// # Usage
//
// A balancer applies views in one goroutine and decides in many, each of which
// has its own worker:
//
//	balancer := forward.NewBalancer(incarnation, seed)
//	err := balancer.Apply(current)
//	worker := balancer.Worker()
//	decision := worker.FromCaller(now, service, payload, source)
//	if decision.Action == forward.Send {
//		worker.Seal(framed, &decision.Header)
//		outbox.Add(data, framed, decision.To)
//	}
//
// An agent decides with an Agent, which also selects the balancer of each reply:
//
//	decision := agent.Receive(now, received, source)
//	header, to, ok := agent.Reply(now, caller)
//
// Deciding does not allocate. A worker takes short locks only for first packets and
// stale notices, an Agent takes one for each decision.
package forward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jayspindle/internal/coordination/routing"
	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/protocol/datagram"
	"jayspindle/internal/state/view"
)

// snapshot holds the state that workers read. It is immutable.
type snapshot struct {
	view        *view.View
	table       *routing.Table
	connections *connid.Keys
	datagrams   *datagram.Keys
	limiters    []*limiter // by service ID
	addresses   func() map[netip.AddrPort][]view.Incarnation
}

// Balancer is the state of a balancer. It is safe for concurrent use, but for
// Apply, which one goroutine calls.
type Balancer struct {
	self    view.Incarnation
	seed    [2]uint64
	current atomic.Pointer[snapshot]
	skips   *skips

	mutex   sync.Mutex
	workers []*Worker
}

// NewBalancer returns a balancer without a view, which drops everything. The
// seed keys the hashes of sources and must be hard to guess.
func NewBalancer(self view.Incarnation, seed uint64) *Balancer {
	random := rand.New(rand.NewPCG(seed, uint64(self)))

	return &Balancer{self: self, seed: [2]uint64{random.Uint64(), random.Uint64()}, skips: newSkips()}
}

// Apply puts a view in force. Limiters whose limits did not change keep their state.
func (b *Balancer) Apply(next *view.View) error {
	old := b.current.Load()
	updated := &snapshot{view: next}

	if old != nil {
		if err := checkPosition(old.view, next); err != nil {
			return err
		}
	}

	if err := updated.setKeys(old, next); err != nil {
		return newError(KindKeys, err)
	}

	if old == nil {
		updated.table = routing.New(next)
	} else {
		updated.table = old.table.Next(next)
	}

	updated.limiters = b.limitersOf(old, next)
	updated.addresses = sync.OnceValue(func() map[netip.AddrPort][]view.Incarnation { return byAddress(next) })

	b.current.Store(updated)
	b.skips.clear()

	return nil
}

// checkPosition refuses a view with a lower position than the one in force.
func checkPosition(current, next *view.View) error {
	if next.Position().Less(current.Position()) {
		return newError(KindReversal, errors.Errorf(
			"the view is at %s, %s is in force", next.Position(), current.Position()))
	}

	return nil
}

// setKeys derives the keys of the next view from its fabric keys, which all balancers
// and agents of the environment share. It reuses those of the old snapshot if the
// fabric keys are the same.
func (s *snapshot) setKeys(old *snapshot, next *view.View) error {
	if old != nil && slices.Equal(old.view.Keys(), next.Keys()) {
		s.connections, s.datagrams = old.connections, old.datagrams

		return nil
	}

	var err error
	if s.connections, err = connid.New(next.Keys()); err != nil {
		return err
	}

	s.datagrams, err = datagram.New(next.Keys())

	return err
}

// limitersOf returns the limiters of a view by service ID. A service whose
// limits are the same keeps its limiter, so that a new view does not refill it.
func (b *Balancer) limitersOf(old *snapshot, next *view.View) []*limiter {
	services := next.Services()
	if len(services) == 0 {
		return nil
	}

	limiters := make([]*limiter, int(services[len(services)-1].ID)+1)

	for i := range services {
		id, limits := services[i].ID, services[i].Limits
		if old != nil && int(id) < len(old.limiters) {
			limiters[id] = old.limiters[id]
		}

		if limiters[id] == nil || limiters[id].limits != limits {
			limiters[id] = newLimiter(limits, b.seed)
		}
	}

	return limiters
}

func byAddress(current *view.View) map[netip.AddrPort][]view.Incarnation {
	agents := make(map[netip.AddrPort][]view.Incarnation, len(current.Agents()))
	for _, agent := range current.Agents() {
		agents[agent.Data] = append(agents[agent.Data], agent.Incarnation)
	}

	return agents
}

// RecordRefusal records that a destination refused a datagram: first packets skip its
// agents until the view changes, for at most skipDuration (3 s).
func (b *Balancer) RecordRefusal(now time.Time, destination netip.AddrPort) {
	current := b.current.Load()
	if current == nil {
		return
	}

	for _, agent := range current.addresses()[destination] {
		b.skips.add(now, agent)
	}
}

// Counts returns the number of decisions of all workers by reason.
func (b *Balancer) Counts() Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	var total Counts
	for _, worker := range b.workers {
		worker.counters.AddTo(&total)
	}

	return total
}

// Worker returns a new worker for one goroutine.
func (b *Balancer) Worker() *Worker {
	worker := &Worker{balancer: b}

	b.mutex.Lock()
	defer b.mutex.Unlock()

	b.workers = append(b.workers, worker)

	return worker
}

// Worker makes the decisions of one goroutine.
type Worker struct {
	balancer *Balancer
	scratch  connid.Scratch
	header   datagram.Header
	counters Counters
}

// Seal writes a header with the key of the view in force.
func (w *Worker) Seal(buffer []byte, header *datagram.Header) {
	w.balancer.current.Load().datagrams.Seal(buffer, header)
}

// FromCaller decides on a datagram that arrived at the socket of a service.
func (w *Worker) FromCaller(
	now time.Time, service view.ServiceID, payload []byte, source netip.AddrPort,
) Decision {
	return w.counters.count(w.fromCaller(now, service, payload, source))
}

func (w *Worker) fromCaller(now time.Time, service view.ServiceID, payload []byte, source netip.AddrPort) Decision {
	current := w.balancer.current.Load()
	if current == nil {
		return drop(NoView)
	}

	packet := connid.Parse(payload)

	switch {
	case packet.Kind == connid.Invalid:
		return drop(NotQUIC)
	case packet.Kind == connid.Retry || packet.Kind == connid.VersionNegotiation:
		return drop(NotCaller)
	case source.Port() == 0 || source.Addr().IsUnspecified():
		return drop(NotCaller)
	}

	if agent, ok := current.connections.Open(&w.scratch, packet.DCID, service); ok {
		return w.forwardTo(current, Direct, service, agent, source)
	}

	if !packet.MayOpenFlow(len(payload)) {
		return drop(NotFirst)
	}

	return w.forwardFirst(now, current, service, packet.DCID, source)
}

// forwardFirst decides on a packet that may open a flow.
func (w *Worker) forwardFirst(
	now time.Time, current *snapshot, service view.ServiceID, dcid []byte, source netip.AddrPort,
) Decision {
	if int(service) >= len(current.limiters) || current.limiters[service] == nil {
		return drop(NoService)
	}

	if reason := current.limiters[service].admit(now, source.Addr()); reason != First {
		return drop(reason)
	}

	hash := routing.Hash(dcid)

	owner, ok := current.table.Owner(service, hash)
	if !ok {
		return drop(NoAgent)
	}

	if !w.balancer.skips.contains(now, owner) {
		return w.forwardTo(current, First, service, owner, source)
	}

	for rank := 1; rank < min(maxRanks, current.table.EligibleCount(service)); rank++ {
		agent, _ := current.table.AgentAtRank(service, hash, rank)
		if !w.balancer.skips.contains(now, agent) {
			return w.forwardTo(current, FirstFallback, service, agent, source)
		}
	}

	// All are skipped: the owner is as likely to have recovered as any other.
	return w.forwardTo(current, First, service, owner, source)
}

func (w *Worker) forwardTo(
	current *snapshot, reason Reason, service view.ServiceID, incarnation view.Incarnation, caller netip.AddrPort,
) Decision {
	served, address, ok := current.table.Agent(incarnation)
	if !ok {
		return drop(AgentGone)
	}

	assertService(served == service, service, incarnation)

	return Decision{
		Action: Send, Reason: reason, To: address,
		Header: datagram.Header{
			Kind: datagram.Forward, Service: service, Agent: incarnation, Balancer: w.balancer.self,
			Index: current.view.Position().Index, Caller: caller,
		},
	}
}

// FromAgent decides on a datagram that arrived at the data socket.
func (w *Worker) FromAgent(now time.Time, received []byte, source netip.AddrPort) Decision {
	return w.counters.count(w.fromAgent(now, received, source))
}

func (w *Worker) fromAgent(now time.Time, received []byte, source netip.AddrPort) Decision {
	current := w.balancer.current.Load()
	if current == nil {
		return drop(NoView)
	}

	if reason := current.datagrams.Open(received, &w.header); reason != datagram.OK {
		return drop(headerReasons[reason])
	}

	switch w.header.Kind {
	case datagram.Reply:
		return w.reply(current, received)
	case datagram.Stale:
		w.balancer.skips.add(now, w.header.Agent)

		return drop(Consumed)
	case datagram.Ping:
		return pong(&w.header, current.view.Position().Index, source)
	case datagram.Pong:
		return drop(Consumed)
	default:
		return drop(WrongKind)
	}
}

// reply delivers the payload of a reply to its caller. It also accepts replies to
// an earlier balancer at this address and from agents that are not in the view
// yet: the tag proves that the sender has the fabric keys, and any balancer can
// deliver for any agent.
func (w *Worker) reply(current *snapshot, received []byte) Decision {
	header := &w.header

	if _, ok := current.view.Service(header.Service); !ok {
		return drop(NoService)
	}

	if served, _, ok := current.table.Agent(header.Agent); ok && served != header.Service {
		return drop(WrongService)
	}

	if len(received) == datagram.HeaderLength || !header.Caller.IsValid() {
		return drop(NoPayload)
	}

	return Decision{Action: Deliver, Reason: Delivered, Header: *header}
}

// pong answers a ping with the same fields.
func pong(ping *datagram.Header, index uint64, source netip.AddrPort) Decision {
	header := *ping
	header.Kind = datagram.Pong
	header.Index = index

	return Decision{Action: Answer, Reason: Answered, Header: header, To: source}
}
