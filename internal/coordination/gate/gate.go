// Package gate decides, at an agent, what happens to the packets of the flows
// of its backend server. It holds no socket and no clock.
//
// # Usage
//
//	g := gate.New(gate.Config{Service: service, Boot: now})
//	g.Follow(table)
//	outcome, err := g.Report(now, report)     // what the backend server says of itself
//	decision := g.FromClient(now, forwarder, header, packet)
//	decision = g.FromBackend(now, header)
//	started := g.Start(now)                   // requests that get a slot, after each packet
//	answer := g.Locate(key)
//	orphans, done := g.Recover(now, memory)   // flows of an earlier start of the agent
//
// # New flows
//
// The gate is the last to decide whether a new flow may start: the backend
// server must be ready, and the document in force must allow its service for
// the address. What entry instances believe may be older; it costs a round trip
// at most. Once the backend server has said that it is leaving, no flow starts
// there any more.
//
// # Open flows
//
// The gate sees both directions, so it knows which flows its backend server
// holds. A gate that has started after its backend server is unsure of flows
// that it has not seen: it delivers their packets, and the backend server
// returns those of flows that it does not hold. A flow is reset only when the
// backend server that held it has certainly ended.
//
// # Requests
//
// Services carry protocols of requests and answers, one at a time on a flow. New
// data of the client is a request, and the next data of the backend server its
// answer. As many requests as the backend server has slots are handed over; the
// queue orders the others. How they end tells whether the backend server is well.
package gate

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

const (
	// retention is how long a flow without packets is kept, above the idle
	// timeouts of the deployments.
	retention = 75 * time.Second

	// closedRetention is how long a flow that both ends have closed is kept:
	// their last packets may be repeated a few times.
	closedRetention = 10 * time.Second

	// sweepInterval is how often flows that are no longer used are forgotten.
	sweepInterval = 5 * time.Second

	// missedReports is the number of reports that a backend server may miss
	// before no new flow starts there.
	missedReports = 3

	// startSlack is how much earlier than the gate a backend server may have
	// started without having had an earlier gate: the restart of a process
	// takes longer.
	startSlack = 300 * time.Millisecond

	// learned is how long after its start a gate stays unsure of flows that it
	// has not seen: the longest life of a flow in the deployments.
	learned = 60 * time.Second
)

// Kind tells what to do with a packet.
type Kind uint8

// The kinds of decisions.
const (
	Drop     Kind = iota + 1
	Deliver       // hand the packet to the backend server
	Return        // return the packet to the entry instance at Forwarder
	ToClient      // send the packet to the client
	Reset         // reset the flow at its client
	Hold          // the gate keeps the packet until Start returns it
)

// Reason is why a packet was not delivered, as it appears in logs.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonUnknown  Reason = "the backend server has not reported recently"
	ReasonLeaving  Reason = "the backend server is leaving"
	ReasonEnded    Reason = "the backend server has ended"
	ReasonNoRoute  Reason = "the document does not allow the service for the address"
	ReasonFull     Reason = "the backend server cannot accept the flow"
	ReasonNotHeld  Reason = "the backend server does not hold the flow"
	ReasonReplaced Reason = "the backend server that held the flow has ended"
	ReasonStray    Reason = "nobody waits for the packet"
	ReasonClosed   Reason = "the client closed the flow while its request waited for a slot"
)

// Decision is the outcome for one packet.
type Decision struct {
	Kind      Kind
	Forwarder flow.Endpoint // of a Return, and of Accepted
	Accepted  bool          // tell Forwarder that the flow was accepted
	Found     bool          // tell Forwarder that the flow is held here
	Reason    Reason
}

// Counters count what a Gate has decided.
type Counters struct {
	Accepted, Refused, Resets, Returned, Stray uint64
	Held                                       uint64 // requests that waited for a slot
	Abandoned                                  uint64 // requests whose clients closed the flow meanwhile
}

// Config holds what is fixed for a Gate.
type Config struct {
	Service string // of the backend server beside the agent
	Boot    time.Time
	// ReportInterval is the time between two reports of the backend server.
	ReportInterval time.Duration
}

// Gate holds the flows of one backend server. One goroutine at a time uses it.
type Gate struct {
	config   Config
	table    *route.Table
	backend  backend
	flows    map[flow.Key]*held
	open     int // flows that are not closed
	waiting  int // flows whose client waits
	running  int // requests that the backend server has
	queue    queue
	health   health
	swept    time.Time
	checked  time.Time // last time that overdue answers were looked for
	counters Counters
	observe  func(wait time.Duration)
}

// New returns a gate that has not heard its backend server. Observe is called
// with the time to the first byte of each answer.
func New(config Config, observe func(wait time.Duration)) *Gate {
	return &Gate{
		config: config, flows: make(map[flow.Key]*held), swept: config.Boot, observe: observe, queue: newQueue(),
	}
}

// Follow puts a document in force. Older versions are ignored.
func (g *Gate) Follow(table *route.Table) {
	if table.Version() > g.table.Version() {
		g.table = table
	}
}

// Version returns the version of the document in force.
func (g *Gate) Version() uint64 { return g.table.Version() }

// Counters returns the counts of decisions so far.
func (g *Gate) Counters() Counters { return g.counters }

// Load returns the load of the backend server.
func (g *Gate) Load(now time.Time) roster.Load {
	return roster.Load{
		Flows: uint16(min(g.open, 1<<16-1)), Waiting: uint16(min(g.waiting, 1<<16-1)), Failing: g.health.failing(now),
	}
}

// FromClient decides about a packet that an entry instance forwarded. The gate
// copies what it keeps of the packet.
func (g *Gate) FromClient(now time.Time, forwarder flow.Endpoint, header flow.Header, packet []byte) Decision {
	key := header.Key()
	h := g.flows[key]

	// Packets of a flow whose backend server has ended must not reach the next
	// one at the address.
	if h != nil && (h.born != g.backend.born || g.backend.state == ended) && h.state != unsure {
		g.forget(key, h)

		if !header.Opens() {
			g.counters.Resets++

			return Decision{Kind: Reset, Forwarder: forwarder, Reason: ReasonReplaced}
		}

		h = nil
	}

	if header.Opens() {
		return g.opens(now, key, h, forwarder)
	}

	if h == nil {
		if !g.unsure(now) {
			g.counters.Returned++

			return Decision{Kind: Return, Forwarder: forwarder, Reason: ReasonNotHeld}
		}

		h = g.add(now, key, unsure)
	}

	h.forwarder, h.last, h.acked = forwarder, now, header.Acknowledged

	decision := Decision{Kind: g.clientSent(now, key, h, header, packet)}
	if decision.Kind == Drop {
		decision.Reason = ReasonClosed
	}

	return decision
}

// opens decides about the first packet of a flow.
func (g *Gate) opens(now time.Time, key flow.Key, h *held, forwarder flow.Endpoint) Decision {
	// A client that opens again after it has closed uses the same ends for a new flow.
	if h != nil && h.abandoned {
		g.forget(key, h)

		h = nil
	}

	if h != nil {
		h.forwarder, h.last = forwarder, now

		return Decision{Kind: Deliver, Forwarder: forwarder, Accepted: h.state == open}
	}

	if reason := g.refusal(key); reason != ReasonNone {
		g.counters.Refused++

		return Decision{Kind: Return, Forwarder: forwarder, Reason: reason}
	}

	g.add(now, key, opening).forwarder = forwarder

	return Decision{Kind: Deliver}
}

// refusal returns why a new flow must not start, or ReasonNone.
func (g *Gate) refusal(key flow.Key) Reason {
	switch g.backend.state {
	case unheard, quiet:
		return ReasonUnknown
	case leaving:
		return ReasonLeaving
	case ended:
		return ReasonEnded
	case serving:
	}

	if found, ok := g.table.Find(key.Service); !ok || !found.Allows(g.config.Service) {
		return ReasonNoRoute
	}

	return ReasonNone
}

func (g *Gate) add(now time.Time, key flow.Key, state heldState) *held {
	h := &held{state: state, born: g.backend.born, since: now, last: now}
	g.flows[key] = h
	g.open++

	return h
}

func (g *Gate) forget(key flow.Key, h *held) {
	delete(g.flows, key)

	if !h.closed() {
		g.open--
	}

	g.done(h)
	g.dropRequest(h)

	if !h.waiting.IsZero() {
		g.waiting--
	}
}

func (g *Gate) closes(h *held, end int) {
	before := h.closed()
	h.closing[end] = true

	if !before && h.closed() {
		g.open--
	}
}

// FromBackend decides about a packet that the backend server sent.
func (g *Gate) FromBackend(now time.Time, header flow.Header) Decision {
	if header.Returned {
		return g.returned(header)
	}

	key := header.ReplyKey()

	h := g.flows[key]
	if h == nil {
		// The gate has restarted since the flow was opened.
		h = g.add(now, key, open)
		h.confirmed = !header.Accepts()
	}

	decision := Decision{Kind: ToClient, Forwarder: h.forwarder}

	switch h.state {
	case opening:
		g.counters.Accepted++
		decision.Accepted = true
	case unsure:
		decision.Found = true
	case open:
	}

	h.state, h.last, h.born = open, now, g.backend.born
	if !header.Accepts() {
		h.confirmed = true
	}

	if header.Length > 0 && !h.waiting.IsZero() && h.request == nil {
		g.answered(now, key, h)
	}

	switch {
	case header.Reset:
		if !h.handed.IsZero() {
			g.health.observe(now, true)
		}

		g.forget(key, h)
	case header.Close:
		g.closes(h, 1)
	}

	return decision
}

// returned decides about a packet that the backend server does not want.
func (g *Gate) returned(header flow.Header) Decision {
	key := header.Key()

	h := g.flows[key]
	if h == nil {
		g.counters.Stray++

		return Decision{Kind: Drop, Reason: ReasonStray}
	}

	forwarder := h.forwarder
	g.forget(key, h)

	switch {
	case header.Opens():
		g.counters.Refused++

		return Decision{Kind: Return, Forwarder: forwarder, Reason: ReasonFull}
	case h.confirmed:
		// The backend server has used the flow, so no other one holds it.
		g.counters.Resets++

		return Decision{Kind: Reset, Forwarder: forwarder, Reason: ReasonNotHeld}
	default:
		g.counters.Returned++

		return Decision{Kind: Return, Forwarder: forwarder, Reason: ReasonNotHeld}
	}
}

// Sweep forgets flows that are no longer used and notices that the backend
// server has ended without a word. It reports whether the state changed.
func (g *Gate) Sweep(now time.Time) bool {
	changed := g.backend.expire(now, missedReports*g.config.ReportInterval)

	if now.Sub(g.swept) < sweepInterval {
		return changed
	}

	g.swept = now

	for key, h := range g.flows {
		idle := now.Sub(h.last)
		if idle > retention || (h.closed() && idle > closedRetention) {
			g.forget(key, h)
		}
	}

	return changed
}
