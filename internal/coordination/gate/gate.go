// Package gate decides for an agent what to do with each packet of its backend
// server's flows. It does no I/O and takes the current time as an argument.
//
// # Usage
//
//	g := gate.New(gate.Config{Service: service, Boot: now}, observe)
//	g.SetTable(table)
//	outcome, err := g.Report(now, report)     // the backend server's status report
//	decision := g.FromClient(now, forwarder, header, packet)
//	decision = g.FromBackend(now, header)
//	started := g.StartQueued(now)             // after each packet: queued requests that get a slot
//	answer := g.Locate(now, key)
//	orphans, done := g.RecoverFlows(now, restored) // flows from before a restart of the agent
//
// # New flows
//
// The gate makes the final decision whether a new flow may start: the backend
// server must be ready, and the current document must allow its service for the
// address. The view of an entry instance may be older; a decision there based on
// it costs at most one round trip. Once the backend server has reported that it is
// leaving, no new flow starts there. In the API, an entry instance that sends
// packets to this agent is called a forwarder.
//
// # Open flows
//
// The gate sees both directions, so it knows which flows its backend server
// holds. A gate that started after its backend server cannot know about flows
// that it has not seen: it delivers their packets, and the backend server
// returns those of flows that it does not hold. A flow is reset only when the
// backend server that held it has certainly ended.
//
// # Requests
//
// Services use request/response protocols with one request at a time per flow.
// New data from the client is a request, and the next data from the backend
// server is its answer. The gate hands over as many requests as the backend
// server has slots and queues the others. The outcomes of the requests show
// whether the backend server is healthy.
package gate

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/newest"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

const (
	// idleFlowTTL is how long a flow without packets is kept. It exceeds the idle
	// timeouts of the deployments.
	idleFlowTTL = 75 * time.Second

	// closedFlowTTL is how long a flow is kept after both sides have closed it,
	// because their last packets may be retransmitted a few times.
	closedFlowTTL = 10 * time.Second

	// sweepInterval is how often expired flows are removed.
	sweepInterval = 5 * time.Second

	// maxPause is the longest time between two sweeps of a gate that runs. The time beyond
	// it does not count as silence of the backend server: its reports were not read.
	maxPause = time.Second

	// maxMissedReports is the number of reports that a backend server may miss
	// before it gets no new flows.
	maxMissedReports = 3

	// learningWindow is how long after the start of a gate its backend server may
	// hold flows that the gate has not seen: the longest lifetime of a flow in
	// the deployments.
	learningWindow = 60 * time.Second
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
	Decline       // hand the opening packet back to Forwarder; if it was not declinable, the flow is refused
)

// Reason is why a packet was not delivered, as it appears in logs.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonUnknown     Reason = "the backend server has not reported recently"
	ReasonLeaving     Reason = "the backend server is leaving"
	ReasonEnded       Reason = "the backend server has ended"
	ReasonNoRoute     Reason = "the document does not allow the service for the address"
	ReasonFull        Reason = "the backend server cannot accept the flow"
	ReasonOverload    Reason = "clients have given up on requests that waited, and this one would have to wait"
	ReasonNotHeld     Reason = "the backend server does not hold the flow"
	ReasonReplaced    Reason = "the backend server that held the flow has ended"
	ReasonUnknownFlow Reason = "nobody waits for the packet"
	ReasonClosed      Reason = "the client closed the flow while its request waited for a slot"
)

// Decision tells what to do with one packet and what to report to the entry instance.
type Decision struct {
	Kind      Kind
	Forwarder flow.Endpoint // the entry instance that a Return, Accepted or Found is sent to
	Accepted  bool          // tell Forwarder that the flow was accepted
	Found     bool          // tell Forwarder that the backend server holds the flow
	Reason    Reason
	InUse     bool // the flow was in use at the backend server, not only offered to it; set with Reason
}

// Counters count what a Gate has decided.
type Counters struct {
	Accepted, Refused, Resets, Returned, Stray uint64
	Held                                       uint64 // requests that waited for a slot
	Abandoned                                  uint64 // requests whose clients closed the flow while they waited
	Declined                                   uint64 // new flows that another agent with a free slot should get
}

// Config holds the settings of a Gate.
type Config struct {
	Service string // of the backend server beside the agent
	Boot    time.Time
	// ReportInterval is the time between two reports of the backend server.
	ReportInterval time.Duration
}

// Gate tracks the flows of one backend server. It is not safe for concurrent use.
type Gate struct {
	config          Config
	table           *route.Table
	backend         backend
	predecessors    predecessors
	outdated        newest.Series[int64] // of reports, by their start
	flows           map[flow.Key]*trackedFlow
	checkpointDue   bool // the checkpoint of a flow is outdated
	orphansDue      bool // a start of the backend server has ended since the last call of Orphans
	openFlows       int  // flows that are not closed
	waitingFlows    int  // flows whose client waits for an answer
	runningRequests int  // requests handed over and not answered yet
	reservations    reservations
	pointers        pointers
	overload        overload
	queue           queue
	health          health
	lastSweep       time.Time
	lastRun         time.Time     // last call of Sweep
	paused          time.Duration // time in which the gate did not run
	lastExpiry      time.Time     // last check for overdue answers
	counters        Counters
	observeWait     func(wait time.Duration)
}

// New returns a gate that has no report of its backend server yet. It calls
// observe with the time to the first byte of each answer.
func New(config Config, observe func(wait time.Duration)) *Gate {
	outdated := newest.NewSeries[int64](newest.Policy{
		Messages: maxMissedReports, MinSpan: config.ReportInterval, MaxGap: maxMissedReports * config.ReportInterval,
	})

	return &Gate{
		config: config, flows: make(map[flow.Key]*trackedFlow), lastSweep: config.Boot, lastRun: config.Boot,
		outdated: outdated, observeWait: observe,
		queue: newQueue(), pointers: pointers{byKey: make(map[flow.Key]pointer)},
	}
}

// SetTable makes a document the current one. Older versions are ignored.
func (g *Gate) SetTable(table *route.Table) {
	if table.Version() > g.table.Version() {
		g.table = table
	}
}

// Version returns the version of the current document.
func (g *Gate) Version() uint64 { return g.table.Version() }

// Counters returns the counts of decisions so far.
func (g *Gate) Counters() Counters { return g.counters }

// Load returns the load of the backend server.
func (g *Gate) Load(now time.Time) roster.Load {
	return roster.Load{
		Flows: uint16(min(g.openFlows, 1<<16-1)), Waiting: uint16(min(g.waitingFlows, 1<<16-1)),
		Failing: g.health.failing(now),
	}
}

// FromClient decides about a packet that an entry instance forwarded. The gate
// keeps no reference to the packet; it copies a packet that it holds.
func (g *Gate) FromClient(now time.Time, forwarder flow.Endpoint, header flow.Header, packet []byte) Decision {
	key := header.Key()
	h := g.flows[key]

	if h != nil {
		h.confirmByClient(header)
	}

	// Packets of a flow whose backend server has ended must not reach its
	// successor at the same address.
	if h != nil && g.isLost(h) {
		g.removeFlow(key, h)

		if !header.Opens() {
			return g.giveUp(h, forwarder, ReasonReplaced)
		}

		h = nil
	}

	if header.Opens() {
		return g.handleOpen(now, key, h, forwarder, header.Declinable)
	}

	if h == nil {
		if !g.mayHoldUnseenFlows(now) {
			g.counters.Returned++

			return Decision{Kind: Return, Forwarder: forwarder, Reason: ReasonNotHeld}
		}

		h = g.addFlow(now, key, unverified)
	}

	h.forwarder, h.lastPacket, h.acked = forwarder, now, header.Acknowledged
	g.checkpointDue = g.checkpointDue || h.stored.isOutdated(h.acked)

	decision := Decision{Kind: g.handleClientPacket(now, key, h, header, packet)}
	if decision.Kind == Drop {
		decision.Reason = ReasonClosed
	}

	return decision
}

// handleOpen decides about the first packet of a flow.
func (g *Gate) handleOpen(
	now time.Time, key flow.Key, h *trackedFlow, forwarder flow.Endpoint, declinable bool,
) Decision {
	// A client that opens a flow again after closing it reuses the same address and port.
	if h != nil && (h.abandoned || h.closedBy[0]) {
		g.removeFlow(key, h)

		h = nil
	}

	if h != nil {
		h.forwarder, h.lastPacket = forwarder, now

		return Decision{Kind: Deliver, Forwarder: forwarder, Accepted: h.state == open}
	}

	if reason := g.refusalReason(key); reason != ReasonNone {
		g.counters.Refused++

		return Decision{Kind: Return, Forwarder: forwarder, Reason: reason}
	}

	if !g.hasUnreservedSlot(now) {
		if declinable {
			g.counters.Declined++

			return Decision{Kind: Decline, Forwarder: forwarder}
		}

		target, _ := g.table.Find(key.Service) // refusalReason has found it
		if g.overload.refuses(now, target, g.expectedLatency(now, target)) {
			g.counters.Refused++

			return Decision{Kind: Decline, Forwarder: forwarder, Reason: ReasonOverload}
		}
	}

	h = g.addFlow(now, key, opening)
	h.forwarder = forwarder
	g.reservations.add(h)

	return Decision{Kind: Deliver}
}

// refusalReason returns why a new flow must not start, or ReasonNone.
func (g *Gate) refusalReason(key flow.Key) Reason {
	switch g.backend.state {
	case unreported, silent:
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

func (g *Gate) addFlow(now time.Time, key flow.Key, state flowState) *trackedFlow {
	h := &trackedFlow{state: state, backendStart: g.backend.startMillis, addedAt: now, lastPacket: now}
	g.flows[key] = h
	g.openFlows++

	return h
}

func (g *Gate) removeFlow(key flow.Key, h *trackedFlow) {
	delete(g.flows, key)

	if !h.closed() {
		g.openFlows--
	}

	g.reservations.release(h)
	g.finishRequest(h)
	g.dropRequest(h)

	if !h.waitingSince.IsZero() {
		g.waitingFlows--
	}
}

func (g *Gate) markClosed(h *trackedFlow, side int) {
	wasClosed := h.closed()
	h.closedBy[side] = true

	if !wasClosed && h.closed() {
		g.openFlows--
	}
}

// FromBackend decides about a packet that the backend server sent.
func (g *Gate) FromBackend(now time.Time, header flow.Header) Decision {
	if header.Returned {
		return g.handleReturned(header)
	}

	key := header.ReplyKey()

	h := g.flows[key]
	if h == nil {
		// The gate has restarted since the flow was opened.
		h = g.addFlow(now, key, open)
	}

	decision := Decision{Kind: ToClient, Forwarder: h.forwarder}

	switch h.state {
	case opening:
		g.counters.Accepted++
		decision.Accepted = true
	case unverified:
		decision.Found = true
	case open:
	}

	h.state, h.lastPacket, h.backendStart = open, now, g.backend.startMillis
	if header.Accepts() {
		h.accepted, h.acceptSequence = true, header.Sequence
	} else {
		h.confirmed = true
	}

	if header.Length > 0 && !h.waitingSince.IsZero() && h.request == nil {
		g.recordAnswer(now, key, h)
	}

	switch {
	case header.Reset:
		if !h.handedOverAt.IsZero() {
			g.health.observe(now, true)
		}

		g.removeFlow(key, h)
	case header.Close:
		g.markClosed(h, 1)
	}

	return decision
}

// handleReturned decides about a packet that the backend server returned unused.
func (g *Gate) handleReturned(header flow.Header) Decision {
	key := header.Key()

	h := g.flows[key]
	if h == nil {
		g.counters.Stray++

		return Decision{Kind: Drop, Reason: ReasonUnknownFlow}
	}

	forwarder := h.forwarder
	g.removeFlow(key, h)

	if header.Opens() {
		g.counters.Refused++

		return Decision{Kind: Return, Forwarder: forwarder, Reason: ReasonFull}
	}

	return g.giveUp(h, forwarder, ReasonNotHeld)
}

// uptime returns for how long the gate has run.
func (g *Gate) uptime(now time.Time) time.Duration {
	uptime := now.Sub(g.config.Boot) - g.paused
	if pause := now.Sub(g.lastRun); pause > maxPause {
		uptime -= pause
	}

	return uptime
}

// Sweep removes expired flows, gives up those of a replaced start, and marks the backend
// server as silent if it has stopped reporting. It reports whether that state changed.
func (g *Gate) Sweep(now time.Time) bool {
	if pause := now.Sub(g.lastRun); pause > maxPause {
		g.paused += pause
		g.backend.postpone(now, pause)
	}

	g.lastRun = now

	changed := g.backend.expire(now, maxMissedReports*g.config.ReportInterval)
	g.expireReplaced(now)

	if now.Sub(g.lastSweep) < sweepInterval {
		return changed
	}

	g.lastSweep = now
	g.pointers.expire(now)

	for key, h := range g.flows {
		idle := now.Sub(h.lastPacket)
		if idle > idleFlowTTL || (h.closed() && idle > closedFlowTTL) {
			g.removeFlow(key, h)
		}
	}

	return changed
}
