// Package steering decides, at an entry instance, which agent gets a packet of
// a pass-through flow. It holds no socket and no clock.
//
// # Usage
//
//	router := steering.New(steering.Config{Zone: zone, Boot: now})
//	router.Follow(table)                     // the document in force
//	router.Apply(now, records, complete)     // the agents
//	for _, action := range router.Packet(now, header, packet) { ... }
//	for _, action := range router.Tick(now) { ... }
//
// Agents answer with Accepted, Returned and Located, which are inputs too.
//
// # New flows
//
// The flow's hash picks the service by the weights of the route, and a few
// candidates among the agents of the service. The least loaded of them gets the
// packet. An agent that refuses, or does not answer within OpenTimeout, is
// passed over, and the next candidate gets the packet at once: the client's own
// repetition would come hundreds of milliseconds later. When nobody is left the
// flow is reset, which tells the client that it was not opened.
//
// # Open flows
//
// The table of flows is only a cache, because a flow may move to another entry
// instance at any time. A packet of an unknown flow is kept while the agents
// that can hold the flow are asked: the likely ones first, then all others.
// Agents know the flows of their backend servers; one that has restarted since
// may be unsure and gets the packet only if no other holds the flow. The flow is
// reset only if every agent has denied it. Searches have a budget, because after
// the loss of all instances every client asks for a flow that nobody holds.
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

	// openLifetime is how long a client waits for its flow to open. Later answers
	// are of no use to it.
	openLifetime = 1400 * time.Millisecond

	// maxOffers bounds the agents that get a flow because the one before did not
	// answer. Without it, agents that are slow under load got every flow of all
	// others too, and the entry instances of a deployment with links of
	// 4.4 Mbit/s sent nothing but first packets.
	maxOffers = 3

	// likelyTimeout is how long the likely agents may take to say whether they
	// hold a flow, in which no backend server takes part.
	likelyTimeout = 60 * time.Millisecond

	// otherTimeout is the same for all other agents. It is above the queues of
	// a full link, so that their answers are not asked for twice.
	otherTimeout = 400 * time.Millisecond

	// probeTimeout is how long an unsure agent may take to return a packet
	// that its backend server does not hold.
	probeTimeout = 60 * time.Millisecond

	// suspicion is how long an agent that did not answer gets no new flows
	// while others can take them.
	suspicion = time.Second

	// fresh is the age up to which the view counts as current, so that what it
	// lacks does not exist: three polls of a controller.
	fresh = 1500 * time.Millisecond

	// retention is how long the place of an idle flow is kept. It is above the
	// idle timeouts and flow lifetimes of the deployments; a flow that is
	// forgotten too early is located again.
	retention = 75 * time.Second

	// maxKept bounds the packets of one flow that wait for a decision: a
	// sender has at most 16 packets in flight.
	maxKept = 16

	// maxUndecided bounds the flows that wait for a decision, and with maxKept
	// the memory of a flood of packets of unknown flows.
	maxUndecided = 512

	// lostFor is how long packets of a flow that nobody holds are answered
	// without another search: the repetitions of a client that has not got the
	// reset.
	lostFor = 3 * time.Second

	// unknownFor is how long packets of a flow are dropped after a search that
	// was not conclusive: clients repeat packets after 200 ms.
	unknownFor = 180 * time.Millisecond

	// singleBytes is what a question for one flow and its answer take on a link,
	// headers included.
	singleBytes = 2 * 60

	// gatheredBytes is what one flow of a question for many takes.
	gatheredBytes = 14

	// questionShare is the share of the link that searches may take, so that
	// they leave room for the traffic of flows whose place is known.
	questionShare = 0.2

	// defaultLink is the link if the configuration does not state one, in bytes
	// a second.
	defaultLink = 1e6

	// questionBurst is 128 searches over the 65 agents of the largest deployment
	// in use, in bytes.
	questionBurst = 128 * 65 * gatheredBytes

	// choices is the number of agents among which the least loaded gets a new
	// flow.
	choices = 8

	// coldPenalty makes a backend server that has just started count as busier
	// by this share of its flows.
	coldPenalty = 0.3

	// farPenalty makes an agent of another availability zone count as busier by
	// this share: traffic between zones costs money and time. It is below the
	// imbalance of 1.25 that the deployments accept.
	farPenalty = 0.15

	// maxFailing is the share of the agents of a service that are passed over
	// because their requests fail. The rest carries at most half as much again.
	maxFailing = 0.34

	// waitingWeight is how many open flows one flow that waits for an answer
	// counts for. Open flows are mostly idle.
	waitingWeight = 4
)

// ActionKind tells what to do with a packet.
type ActionKind uint8

// The kinds of actions.
const (
	Forward ActionKind = iota + 1 // send Packet to the agent at To
	Reset                         // reset the flow at its client
	Locate                        // ask the agent at To whether it holds the flows of Question
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
	ReasonOverload Reason = "too many flows wait for a decision"
)

// Action is what the owner of a Router has to do.
type Action struct {
	Kind     ActionKind
	Key      flow.Key
	To       flow.Endpoint
	Packet   []byte
	Question Question
	Sequence uint32 // of a Reset: the last one that the client acknowledged
	Reason   Reason
}

// Counters count what a Router has decided.
type Counters struct {
	Opened, Moved, Resets, Located, Lost, Dropped, Stray uint64
}

// agent is what a router knows of one agent.
type agent struct {
	roster.Record
	seed    uint64
	since   int       // flows sent there since its last report
	suspect time.Time // until when it is passed over for new flows
	missing time.Time // since when the list lacks it; zero if it does not
}

// Config holds what is fixed for a Router.
type Config struct {
	Zone string
	Boot time.Time
	Link float64 // of the instance, in bytes a second; 0 if it is not known
	// Opened is called with the time that each new flow took to be accepted.
	Opened func(elapsed time.Duration)
}

// Router holds the flows of one entry instance. One goroutine at a time uses
// it; the actions that a method returns are valid until the next call.
type Router struct {
	config    Config
	table     *route.Table
	confirmed time.Time // last time that a complete list was confirmed
	agents    map[flow.Endpoint]*agent
	services  map[string][]*agent
	flows     map[flow.Key]*entry
	undecided map[flow.Key]*entry
	swept     time.Time
	questions *questions
	budget    *rate.Limiter // of questions, in bytes
	actions   []Action
	counters  Counters
}

// New returns a router without agents and routes.
func New(config Config) *Router {
	if config.Opened == nil {
		config.Opened = func(time.Duration) {}
	}

	link := config.Link
	if link <= 0 {
		link = defaultLink
	}

	return &Router{
		budget:    rate.NewLimiter(rate.Limit(questionShare*link), questionBurst),
		questions: newQuestions(),
		config:    config,
		agents:    make(map[flow.Endpoint]*agent),
		services:  make(map[string][]*agent),
		flows:     make(map[flow.Key]*entry),
		undecided: make(map[flow.Key]*entry),
		swept:     config.Boot,
	}
}

// Follow puts a document in force. Older versions are ignored.
func (r *Router) Follow(table *route.Table) {
	if table.Version() > r.table.Version() {
		r.table = table
	}
}

// Version returns the version of the document in force.
func (r *Router) Version() uint64 { return r.table.Version() }

// Counters returns the counts of decisions so far.
func (r *Router) Counters() Counters { return r.counters }

// Flows returns the number of flows whose place is known.
func (r *Router) Flows() int { return len(r.flows) }

// Apply applies records of the list of agents. With whole set they replace the
// list; otherwise they are changes. An agent that a whole list lacks is kept for
// a while without new flows: the controller may not have heard it yet.
func (r *Router) Apply(now time.Time, records []roster.Record, whole bool) {
	named := make(map[flow.Endpoint]bool, len(records))

	for _, record := range records {
		named[record.Address] = true
		r.applyRecord(record)
	}

	if whole {
		for address, a := range r.agents {
			if !named[address] && a.missing.IsZero() {
				a.missing, a.State = now, roster.Starting
			}
		}
	}

	r.indexServices()
}

func (r *Router) indexServices() {
	r.services = make(map[string][]*agent, len(r.services))
	for _, a := range r.agents {
		r.services[a.Service] = append(r.services[a.Service], a)
	}
}

func (r *Router) applyRecord(record roster.Record) {
	if record.State == roster.Gone {
		delete(r.agents, record.Address)

		return
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
		known.suspect = time.Time{}
	}

	known.Record = record
	known.since, known.missing = 0, time.Time{}
}

// Confirm tells that a controller has just confirmed that document and agents
// are current.
func (r *Router) Confirm(now time.Time) { r.confirmed = now }

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

// fresh reports whether what the view lacks does not exist.
func (r *Router) fresh(now time.Time) bool { return now.Sub(r.confirmed) <= fresh }

func (r *Router) act(action Action) { r.actions = append(r.actions, action) }

func (r *Router) forward(key flow.Key, to flow.Endpoint, packet []byte, reason Reason) {
	r.act(Action{Kind: Forward, Key: key, To: to, Packet: packet, Reason: reason})
}

func (r *Router) reset(key flow.Key, sequence uint32, reason Reason) {
	r.counters.Resets++
	r.act(Action{Kind: Reset, Key: key, Sequence: sequence, Reason: reason})
}

// Packet decides about a packet from a client.
func (r *Router) Packet(now time.Time, header flow.Header, packet []byte) []Action {
	r.actions = r.actions[:0]
	key := header.Key()

	target, ok := r.table.Find(key.Service)
	if !ok {
		r.withoutRoute(now, header)

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
		r.known(now, target, key, e, header, packet)
	}

	return r.actions
}

// withoutRoute refuses a packet to an address that no route has. A view that is
// too old may lack a route that exists.
func (r *Router) withoutRoute(now time.Time, header flow.Header) {
	key := header.Key()
	if !r.fresh(now) || r.table == nil || header.Reset {
		r.counters.Dropped++

		return
	}

	r.forget(key)
	r.reset(key, header.Acknowledged, ReasonNoRoute)
}

// known decides about a packet of a flow that has an entry.
func (r *Router) known(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
) {
	e.last = now

	switch {
	case e.state == searching:
		e.keep(header, packet)
	case e.state == lost || e.state == unknown:
		r.notFound(now, target, key, e, header, packet)
	case e.state == opening && header.Opens() && e.offers >= maxOffers:
		// The client has waited long enough for another try.
		e.offers--
		r.notOpened(now, target, key, e)
	case r.agents[e.agent] == nil && !header.Opens():
		// The agent is gone; another one may hold the flow by now.
		r.search(now, target, key, e, header, packet)
	default:
		r.forward(key, e.agent, packet, ReasonNone)
	}
}

// notFound decides about a packet of a flow that was searched in vain.
func (r *Router) notFound(
	now time.Time, target *route.Route, key flow.Key, e *entry, header flow.Header, packet []byte,
) {
	switch {
	case header.Opens():
		r.open(now, target, key, packet)
	case now.After(e.until):
		r.search(now, target, key, e, header, packet)
	case e.state == lost:
		r.reset(key, header.Acknowledged, ReasonNotHeld)
	default:
		r.counters.Dropped++
	}
}

func (r *Router) forget(key flow.Key) {
	delete(r.flows, key)
	delete(r.undecided, key)
}

// settle notes which agent holds a flow.
func (r *Router) settle(now time.Time, key flow.Key, e *entry, holder flow.Endpoint) {
	e.state, e.agent, e.last, e.pending = settled, holder, now, nil
	r.flows[key] = e

	delete(r.undecided, key)
}
