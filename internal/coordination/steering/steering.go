// Package steering decides for an entry instance which agent gets a packet of a
// pass-through flow. It does no I/O and takes the current time as an argument.
//
// # Usage
//
//	router := steering.New(steering.Config{Zone: zone, Boot: now})
//	router.SetTable(table)                   // the current document
//	router.Apply(now, records, complete)     // the agents
//	for _, action := range router.Packet(now, header, packet) { ... }
//	for _, action := range router.Tick(now) { ... }
//
// The answers of agents are passed to Accepted, Declined, Returned, Located, Pointed
// and Found.
//
// # New flows
//
// The hash of the flow selects a service by the weights of the route, and a few
// candidates among the agents of that service. The least loaded candidate gets
// the packet. If it refuses, or does not answer within OpenTimeout, the next
// candidate gets the packet at once: the client's own retransmission would come
// hundreds of milliseconds later. When no candidate is left the flow is reset,
// which tells the client that it was not opened.
//
// # Open flows
//
// The flow table is only a cache, because a flow may move to another entry
// instance at any time. A packet of an unknown flow is kept while the agents
// that may hold the flow are asked, by rendezvous rank: the first one, with which entry
// instances leave pointers to lasting flows, then those that would get it as a new
// flow, then those that would get it if a part of the agents were replaced. The
// number of these questions does not depend on the number of agents. All other
// agents are asked only to prove that a flow is lost: it is reset only if every agent
// has denied holding it.
//
// Agents know the flows of their backend servers; an agent that has restarted may be
// unsure. Its backend server gets the packet if none of the near agents holds the
// flow, and further unsure ones only if no other agent at all does.
//
// Searches have bandwidth budgets, because after the loss of all instances every
// client sends packets of a flow that no agent holds. The proof that a flow is lost
// has a budget of its own, so that lost flows do not delay the others.
package steering

import (
	"time"

	"golang.org/x/time/rate"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
	"jayspindle/internal/state/route"
)

const (
	// OpenTimeout is how long an agent may take to accept a flow: a round trip
	// between regions, the handshake of the backend server, and most of a
	// period of 100 ms in which an instance may be out of processor time.
	OpenTimeout = 90 * time.Millisecond

	// openLifetime is how long a client waits for its flow to open. Later
	// answers are useless to it.
	openLifetime = 1400 * time.Millisecond

	// maxDeclines limits the agents without a free slot that a flow is offered. With
	// nine of ten slots of all backend servers taken, one of five agents with two or
	// more slots each has a free one in most cases.
	maxDeclines = 5

	// maxOffers limits the agents that are offered a flow and may still answer.
	// Without it, agents that were slow under load also got the flows of all other
	// agents, and the entry instances of a deployment with links of 4.4 Mbit/s sent
	// nothing but first packets.
	maxOffers = 3

	// likelyTimeout is how long the likely agents may take to answer whether they
	// hold a flow. They answer without asking their backend servers.
	likelyTimeout = 60 * time.Millisecond

	// nextTimeout is the corresponding timeout for the agents of the next ranks.
	nextTimeout = 100 * time.Millisecond

	// otherTimeout is the corresponding timeout for all other agents. It exceeds the queueing delay
	// of a full link, so that no agent is asked twice.
	otherTimeout = 400 * time.Millisecond

	// probeTimeout is how long an unsure agent may take to return a packet
	// that its backend server does not hold.
	probeTimeout = 60 * time.Millisecond

	// suspectDuration is how long an agent that did not answer gets new flows
	// only if no other agent can take them.
	suspectDuration = time.Second

	// freshnessWindow is how long after a confirmation the document and the list of
	// agents count as current, so that what is not in them does not exist: three polls
	// of a controller.
	freshnessWindow = 1500 * time.Millisecond

	// idleFlowTTL is how long an idle flow is kept. It exceeds the idle timeouts and
	// flow lifetimes of the deployments; a flow that is removed too early is
	// searched for again.
	idleFlowTTL = 75 * time.Second

	// maxKeptPackets limits the packets kept for a pending flow. A sender has at most
	// 16 packets in flight.
	maxKeptPackets = 16

	// maxPendingFlows limits the flows that wait for a decision. Together with
	// maxKeptPackets it limits the memory that a flood of packets of unknown flows
	// can take.
	maxPendingFlows = 512

	// lostTTL is how long packets of a flow that no agent holds are answered with a
	// reset without another search. They are retransmissions of a client that has
	// not received the first reset.
	lostTTL = 3 * time.Second

	// inconclusiveTTL is how long packets of a flow are dropped after an inconclusive
	// search: clients retransmit packets after 200 ms.
	inconclusiveTTL = 180 * time.Millisecond

	// questionHeaderBytes is the size of a question and its answer on a link without
	// the flows: the headers of IP and UDP, the fragment and the message, twice.
	questionHeaderBytes = 2 * 54

	// batchedKeyBytes is the size of one flow in a question and its answer.
	batchedKeyBytes = flow.KeyBytes + 1

	// nearLinkShare and otherLinkShare are the shares of the link that questions to
	// the near agents and to all others may use. They leave room for the traffic of
	// known flows.
	nearLinkShare  = 0.06
	otherLinkShare = 0.03

	// nearBurst is the time in which the link sends the questions that are allowed at
	// once, after many flows have moved to this entry instance.
	nearBurst = 200 * time.Millisecond

	// otherBurstFlows is the number of flows about which all other agents may be asked
	// at once.
	otherBurstFlows = 4

	// defaultLinkBytesPerSecond is the link rate if the configuration states none.
	defaultLinkBytesPerSecond = 1e6

	// maxNextAgents is the number of agents that are asked after the candidates for a
	// new flow. When a part of the agents of a service are replaced, those with new
	// ranks below that of a flow's agent are about as many as those that have left, so
	// its rank changes by a few. Only if the service grows several times over within
	// the lifetime of a flow is its rank likely to exceed maxCandidates + maxNextAgents.
	maxNextAgents = 24

	// maxEarlyProbes limits the unsure agents that get a packet of a flow within
	// probeWindow while an agent that has not been asked may hold it: packets of an open
	// flow must not go to other backend servers for seconds.
	maxEarlyProbes = 2
	probeWindow    = 2500 * time.Millisecond

	// maxProbes is the corresponding limit once all other agents have denied the flow.
	// After a restart of all agents everyone is unsure, and packets to each of them
	// filled the links of 2 Mbit/s.
	maxProbes = maxCandidates

	// maxSearchTime is how long a search waits for bandwidth. Clients retransmit
	// packets after 200 ms at first, so several of them are kept by then.
	maxSearchTime = time.Second

	// budgetRetryInterval is how often a search that waits for bandwidth tries again.
	budgetRetryInterval = 40 * time.Millisecond

	// maxCandidates is the number of agents of which the least loaded gets a new flow.
	maxCandidates = 8

	// coldPenalty increases the computed load of a backend server that has just
	// started by this share.
	coldPenalty = 0.3

	// crossZonePenalty increases the computed load of an agent in another availability
	// zone by this share: traffic between zones costs money and time. It is below
	// the imbalance of 1.25 that the deployments accept.
	crossZonePenalty = 0.15

	// maxAvoidedShare is the maximum share of the agents of a service that are avoided
	// because their requests fail. The other agents get at most half as much load again.
	maxAvoidedShare = 0.34

	// waitingWeight is the number of additional open flows that a flow waiting
	// for an answer counts as. Open flows are mostly idle.
	waitingWeight = 4
)

// ActionKind classifies an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Forward ActionKind = iota + 1 // send Packet to the agent at To
	Reset                         // reset the flow at its client
	Locate                        // ask the agent at To whether it holds the flows of Question
	GiveUp                        // the packets of a flow were dropped, nothing is to be sent
	Point                         // tell the agent at To that Holder holds the flow
)

// Reason is why a flow was refused, moved or reset, as it appears in logs.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonNoRoute  Reason = "no route"
	ReasonNoAgent  Reason = "no agent can take the flow"
	ReasonRefused  Reason = "the agent refused the flow"
	ReasonNoAnswer Reason = "the agent did not answer"
	ReasonNotHeld  Reason = "no agent holds the flow"
	ReasonBusy     Reason = "too many flows wait for a decision"
	ReasonOverload Reason = "clients give up on requests that wait, and this one would have to wait"

	// Reasons why a search can neither find a flow nor prove that it is lost.
	ReasonSilent    Reason = "an agent did not answer whether it holds the flow"
	ReasonBandwidth Reason = "no bandwidth to ask for the flow"
	ReasonUnsure    Reason = "an agent that has restarted may hold the flow"
	ReasonOutdated  Reason = "the list of agents is not confirmed"
)

// Action is a step that the caller of a Router has to carry out.
type Action struct {
	Kind     ActionKind
	Key      flow.Key
	To       flow.Endpoint
	Packet   []byte
	Question Question
	Sequence uint32 // of a Reset: last sequence number that the client acknowledged
	Reason   Reason
	Holder   flow.Endpoint // of a Point
	// Declinable marks the opening packet of a Forward as one that an agent without a
	// free slot hands back.
	Declinable bool
}

// Counters count what a Router has decided.
//
//   - Opened: new flows for which an agent was sought.
//   - Declined: offers of a flow to an agent without a free slot.
//   - Moved: further offers of a flow after an agent refused it or did not answer.
//   - Resets: flows reset at their client.
//   - Located: searches started.
//   - NearQuestions, OtherQuestions: agents asked about a flow.
//   - Probes: packets sent to agents that were unsure.
//   - Pointers: pointers left with agents.
//   - Lost: searches that found no agent, conclusive or not.
//   - Dropped: packets dropped, and new flows refused because too many wait.
//   - Stray: resets from clients for unknown flows.
type Counters struct {
	Opened, Declined, Moved, Resets, Located, Lost, Dropped, Stray uint64
	NearQuestions, OtherQuestions, Probes, Pointers                uint64
}

// agent is the state of one agent as known to a router.
type agent struct {
	roster.Record
	seed             uint64    // hash of its IP address, for rendezvous hashing
	flowsSinceReport int       // new flows sent to it since its last report
	suspectUntil     time.Time // until when it gets no new flows if others can take them
	missingSince     time.Time // when it was first absent from the list; zero if it is in the list
}

// Config holds the settings of a Router.
type Config struct {
	Zone               string
	Boot               time.Time
	LinkBytesPerSecond float64 // link rate of the instance in bytes per second; 0 if unknown
	// FirstQuestion precedes the IDs of questions. It is random for each start, because
	// answers to the questions of an earlier start may still arrive.
	FirstQuestion uint32
	// Suspended returns for how long the machine has been suspended: the current time
	// stands still meanwhile. Nil if it never is.
	Suspended func() time.Duration
	// ObserveOpen is called with the time that each new flow took to be accepted.
	ObserveOpen func(elapsed time.Duration)
}

// Router tracks the flows of one entry instance. It is not safe for concurrent
// use. The actions that a method returns are valid until the next call.
type Router struct {
	config         Config
	table          *route.Table
	lastConfirmed  time.Time     // last time that a controller confirmed document and agents
	suspended      time.Duration // of the machine, up to lastConfirmed
	agents         map[flow.Endpoint]*agent
	services       map[string][]*agent
	allAgents      []*agent // of all services; a slice, because searches and pointers go through all of them
	flows          map[flow.Key]*entry
	pendingFlows   map[flow.Key]*entry
	lastSweep      time.Time
	changes        membershipChanges // of the list of agents
	pointersPlaced time.Time
	questions      *questions
	nearBudget     *rate.Limiter // in bytes
	otherBudget    *rate.Limiter // in bytes
	actions        []Action
	counters       Counters
}

// New returns a router without agents and routes.
func New(config Config) *Router {
	if config.Suspended == nil {
		config.Suspended = func() time.Duration { return 0 }
	}

	if config.ObserveOpen == nil {
		config.ObserveOpen = func(time.Duration) {}
	}

	link := config.LinkBytesPerSecond
	if link <= 0 {
		link = defaultLinkBytesPerSecond
	}

	return &Router{
		nearBudget:   rate.NewLimiter(rate.Limit(nearLinkShare*link), int(nearBurst.Seconds()*link)),
		otherBudget:  rate.NewLimiter(rate.Limit(otherLinkShare*link), 0),
		questions:    newQuestions(config.FirstQuestion),
		config:       config,
		agents:       make(map[flow.Endpoint]*agent),
		services:     make(map[string][]*agent),
		flows:        make(map[flow.Key]*entry),
		pendingFlows: make(map[flow.Key]*entry),
		lastSweep:    config.Boot,
	}
}

// SetTable makes a document the current one. Older versions are ignored.
func (r *Router) SetTable(table *route.Table) {
	if table.Version() > r.table.Version() {
		r.table = table
	}
}

// Version returns the version of the current document.
func (r *Router) Version() uint64 { return r.table.Version() }

// Counters returns the counts of decisions so far.
func (r *Router) Counters() Counters { return r.counters }

// Flows returns the number of flows in the flow table.
func (r *Router) Flows() int { return len(r.flows) }

// Apply applies records of the list of agents. If complete is set they replace
// the list; otherwise they are changes. An agent that is absent from a complete
// list is kept for roster.GoneTimeout without new flows, because the controller may
// not have received its report yet.
func (r *Router) Apply(now time.Time, records []roster.Record, complete bool) {
	listed := make(map[flow.Endpoint]bool, len(records))

	regroup := false

	for _, record := range records {
		listed[record.Address] = true
		regroup = r.applyRecord(record) || regroup
	}

	if complete {
		for address, a := range r.agents {
			if !listed[address] && a.missingSince.IsZero() {
				a.missingSince, a.State = now, roster.Starting
			}
		}
	}

	if regroup {
		r.indexServices()
	}

	r.otherBudget.SetBurstAt(now, otherBurstFlows*len(r.agents)*batchedKeyBytes)
}

func (r *Router) indexServices() {
	r.services = make(map[string][]*agent, len(r.services))
	r.allAgents = r.allAgents[:0]

	for _, a := range r.agents {
		r.services[a.Service] = append(r.services[a.Service], a)
		r.allAgents = append(r.allAgents, a)
	}
}

// applyRecord reports whether the agents of a service have changed, rather than only
// the state or the load of one.
func (r *Router) applyRecord(record roster.Record) bool {
	if record.State == roster.Gone {
		delete(r.agents, record.Address)
		r.changes.add(record.Address)

		return true
	}

	known := r.agents[record.Address]
	if known == nil {
		ip := record.Address.IP
		seed := flow.Mix(uint64(ip[0])<<24 | uint64(ip[1])<<16 | uint64(ip[2])<<8 | uint64(ip[3]))
		known = &agent{seed: seed}
		r.agents[record.Address] = known
	}

	// An agent that announces itself again after a restart is no longer suspect.
	if known.Boot != record.Boot {
		known.suspectUntil = time.Time{}
		r.changes.add(record.Address)
	}

	regroup := known.Service != record.Service

	known.Record = record
	known.flowsSinceReport, known.missingSince = 0, time.Time{}

	return regroup
}

// Confirm records that a controller has just confirmed that document and agents
// are current.
func (r *Router) Confirm(now time.Time) {
	r.lastConfirmed, r.suspended = now, r.config.Suspended()
}

// Serving reports whether the router knows a document and an agent that takes
// flows.
func (r *Router) Serving() bool {
	if r.table == nil {
		return false
	}

	for _, a := range r.agents {
		if a.State == roster.Ready {
			return true
		}
	}

	return false
}

// recentlyConfirmed reports whether a controller confirmed document and agents
// recently, so that a route or agent that is not in them does not exist.
func (r *Router) recentlyConfirmed(now time.Time) bool {
	// Not added up: the time since the zero Time is the longest Duration.
	return now.Sub(r.lastConfirmed) <= freshnessWindow && r.config.Suspended()-r.suspended <= freshnessWindow
}

func (r *Router) addAction(action Action) { r.actions = append(r.actions, action) }

func (r *Router) forward(key flow.Key, to flow.Endpoint, packet []byte) {
	r.addAction(Action{Kind: Forward, Key: key, To: to, Packet: packet})
}

func (r *Router) reset(key flow.Key, sequence uint32, reason Reason) {
	r.counters.Resets++
	r.addAction(Action{Kind: Reset, Key: key, Sequence: sequence, Reason: reason})
}

// Packet decides about a packet from a client.
func (r *Router) Packet(now time.Time, header flow.Header, packet []byte) []Action {
	r.actions = r.actions[:0]
	key := header.Key()

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.refuseUnrouted(now, header)

		return r.actions
	}

	e := r.flows[key]

	switch {
	case e == nil && header.Opens():
		r.open(now, target, key, packet)
	case e == nil && header.Reset:
		r.counters.Stray++
	case e == nil:
		r.search(now, target, key, &entry{}, header, packet)
	default:
		r.handleKnown(now, target, key, e, header, packet)
	}

	return r.actions
}

// refuseUnrouted resets the flow of a packet to an address without a route. If the
// document is too old the packet is dropped instead: the route may exist.
func (r *Router) refuseUnrouted(now time.Time, header flow.Header) {
	key := header.Key()
	if !r.recentlyConfirmed(now) || r.table == nil || header.Reset {
		r.counters.Dropped++

		return
	}

	r.removeFlow(key)
	r.reset(key, header.Acknowledged, ReasonNoRoute)
}

// handleKnown decides about a packet of a flow that has an entry.
func (r *Router) handleKnown(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
) {
	e.lastPacket = now

	switch {
	case e.state == searching:
		e.addPacket(header, packet)
	case e.state == lost || e.state == inconclusive:
		r.handleNotFound(now, target, key, e, header, packet)
	case e.state == opening && header.Opens() && e.offers >= maxOffers:
		// The client has retransmitted its first packet, so one more agent is tried.
		e.offers--
		r.handleOpenTimeout(now, target, key, e)
	case r.agents[e.agent] == nil && !header.Opens():
		// The agent no longer exists; another one may hold the flow now.
		r.search(now, target, key, e, header, packet)
	default:
		r.forward(key, e.agent, packet)
	}
}

// handleNotFound decides about a packet of a flow that the last search did not find.
func (r *Router) handleNotFound(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
) {
	switch {
	case header.Opens():
		r.open(now, target, key, packet)
	case now.After(e.resultExpires):
		r.search(now, target, key, e, header, packet)
	case e.state == lost:
		r.reset(key, header.Acknowledged, ReasonNotHeld)
	default:
		r.counters.Dropped++
	}
}

func (r *Router) removeFlow(key flow.Key) {
	delete(r.flows, key)
	delete(r.pendingFlows, key)
}

// assign records which agent holds a flow.
func (r *Router) assign(now time.Time, key flow.Key, e *entry, holder flow.Endpoint) {
	e.state, e.agent, e.lastPacket, e.pending = assigned, holder, now, nil
	e.assignedAt, e.membership = now, 0
	r.flows[key] = e

	delete(r.pendingFlows, key)
}
