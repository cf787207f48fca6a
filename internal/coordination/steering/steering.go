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
// and Found, those of controllers to SetTable, Apply and Confirm.
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
// has denied holding it. The proof takes a list of agents that a controller has confirmed
// after the packet arrived: another entry instance may have learned of a new agent, and
// opened the flow there, before this one did.
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
	pauses         pauses
	lastConfirmed  time.Time     // last time that a controller confirmed document and agents
	confirmedSince time.Time     // when the poll was sent that this confirmation answers
	pollRequested  time.Time     // last request for a confirmation
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
		pauses:       pauses{lastRun: config.Boot, suspended: config.Suspended()},
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

// Confirm records that a controller has confirmed document and agents in its answer to a
// poll that was sent at the time polled. After a pause its answer may be of before.
func (r *Router) Confirm(now, polled time.Time) []Action {
	r.actions = r.actions[:0]
	suspended := r.config.Suspended()

	r.pauses.observe(now, suspended)

	if r.pauses.mayBeStale(now) {
		return r.actions
	}

	r.lastConfirmed, r.suspended = now, suspended

	if polled.After(r.confirmedSince) {
		r.confirmedSince = polled
	}

	r.continueConfirmed(now)

	return r.actions
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

	if header.Opens() {
		r.pauses.observe(now, r.config.Suspended())
	}

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.refuseUnrouted(now, header, packet)

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
// document is too old the packet is dropped instead: the route may exist. An open flow that
// is not in the flow table may be older than this instance's knowledge of its route.
func (r *Router) refuseUnrouted(now time.Time, header flow.Header, packet []byte) {
	key := header.Key()
	if !r.recentlyConfirmed(now) || r.table == nil || header.Reset {
		r.counters.Dropped++

		return
	}

	e := r.flows[key]

	switch {
	case header.Opens(), e != nil && e.state != searching:
		r.removeFlow(key)
		r.reset(key, header.Acknowledged, ReasonNoRoute)
	case e != nil:
		e.addPacket(header, packet)
	case r.startSearch(now, key, &entry{}, header, packet):
		r.searchRoute(now, key, r.flows[key])
	}
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
	case e.state == opening && !header.Opens() && !header.Reset:
		r.handleUsed(now, target, key, e, header, packet)
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
