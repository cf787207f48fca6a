package steering

import (
	"bytes"
	"slices"
	"time"

	"jayspindle/internal/state/flow"
)

// entryState is the state of a flow in the flow table.
type entryState uint8

const (
	opening      entryState = iota + 1 // an agent was offered the flow and has not accepted it yet
	assigned                           // the agent holds the flow
	searching                          // agents are being asked whether they hold the flow
	lost                               // every agent has denied holding the flow
	inconclusive                       // the last search could not prove that the flow is lost
)

// searchStage is the group of agents that a search asks next.
type searchStage uint8

const (
	askFirst      searchStage = iota // the first agent by rank, which has a pointer to a lasting flow
	askCandidates                    // the candidates for a new flow
	askNextRanks                     // the agents of the next ranks
	probeUnsure                      // a few unsure ones get a packet
	askOthers                        // all other agents, to prove that the flow is lost
	probeRest                        // the remaining unsure ones get a packet
	askNew                           // agents that a list confirmed since the search began has added
)

// entry is one flow in the flow table.
type entry struct {
	state      entryState
	agent      flow.Endpoint
	lastPacket time.Time
	// denied are the agents that do not hold the flow according to their answers.
	// An agent never acquires a flow that was opened elsewhere, so they are not asked again.
	denied        []flow.Endpoint
	resultExpires time.Time // when the result of an unsuccessful search expires
	probes        int       // packets sent to unsure agents since probesSince
	probesSince   time.Time
	assignedAt    time.Time
	pointer       pointerPlace // where other entry instances find the agent of the flow
	first         ranked       // the agent that other entry instances ask first
	membership    uint64       // changes of the list of agents that first accounts for

	*pending // nil once the flow is assigned or its search has ended
}

// pointerPlace is a start of an agent that keeps a pointer.
type pointerPlace struct {
	agent flow.Endpoint
	boot  uint64
}

// hasDenied reports whether an agent does not hold the flow according to its answer.
func (e *entry) hasDenied(agent flow.Endpoint) bool { return slices.Contains(e.denied, agent) }

// pending is the additional state of a flow whose agent is not known yet.
type pending struct {
	deadline     time.Time
	packets      [][]byte // in the order of arrival
	acknowledged uint32   // by the last packet of the client
	tried        []flow.Endpoint
	awaiting     []flow.Endpoint // agents that were asked and have not answered
	unsure       []flow.Endpoint // agents that may hold the flow, the likely ones first
	likely       int             // unsure agents of the service that a new flow would go to
	openDeadline time.Time       // when the client gives up on opening the flow
	offers       int             // agents that got the first packet and may still answer
	stale        bool            // the first packet may have waited while the router was paused
	timedOut     bool            // an agent did not answer in time, but may have accepted the flow
	declined     []flow.Endpoint // agents that had no free slot for the flow
	declinable   bool            // the last offer lets the agent decline
	stage        searchStage
	searchBegan  time.Time
	probing      bool // a packet was sent to the unsure agent in the field agent
	// incomplete is why the flow is not certain to be lost although no agent has said
	// that it holds it; empty if it is.
	incomplete Reason
}

// searchEnds returns until when the search waits for bandwidth or a confirmation.
func (p *pending) searchEnds() time.Time { return p.searchBegan.Add(maxSearchTime) }

// addUnsure adds an agent that may hold the flow. Agents of other services come last: they
// hold it only if the document has moved the route since.
func (p *pending) addUnsure(agent flow.Endpoint, likely bool) {
	switch {
	case slices.Contains(p.unsure, agent):
	case likely:
		p.unsure = slices.Insert(p.unsure, p.likely, agent)
		p.likely++
	default:
		p.unsure = append(p.unsure, agent)
	}
}

// popUnsure removes the agent that most likely holds the flow.
func (p *pending) popUnsure() flow.Endpoint {
	agent := p.unsure[0]
	p.unsure = p.unsure[1:]
	p.likely = max(0, p.likely-1)

	return agent
}

// addPacket stores a copy of a packet, because the caller reuses the buffer.
func (p *pending) addPacket(header flow.Header, packet []byte) {
	p.acknowledged = header.Acknowledged

	if len(p.packets) < maxKeptPackets {
		p.packets = append(p.packets, bytes.Clone(packet))
	}
}
