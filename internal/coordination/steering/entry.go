package steering

import (
	"bytes"
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

// entry is one flow in the flow table.
type entry struct {
	state      entryState
	agent      flow.Endpoint
	lastPacket time.Time
	// denied are the agents that do not hold the flow according to their answers.
	// An agent never acquires a flow that was opened elsewhere, so they are not asked again.
	denied        []flow.Endpoint
	resultExpires time.Time // when the result of an unsuccessful search expires

	*pending // nil once the flow is assigned or its search has ended
}

// pending is the additional state of a flow whose agent is not known yet.
type pending struct {
	deadline     time.Time
	packets      [][]byte // in the order of arrival
	acknowledged uint32   // by the last packet of the client
	tried        []flow.Endpoint
	awaiting     []flow.Endpoint // agents that were asked and have not answered
	unsure       []flow.Endpoint // agents that may hold the flow
	openDeadline time.Time       // when the client gives up on opening the flow
	offers       int             // agents that got the first packet and may still answer
	declined     []flow.Endpoint // agents that had no free slot for the flow
	declinable   bool            // the last offer lets the agent decline
	askedLikely  bool            // the likely agents have been asked
	probing      bool            // the packets were sent to an unsure agent
	incomplete   bool            // an agent was not asked or did not answer, so the flow is not certain to be lost
}

// addPacket stores a copy of a packet, because the caller reuses the buffer.
func (p *pending) addPacket(header flow.Header, packet []byte) {
	p.acknowledged = header.Acknowledged

	if len(p.packets) < maxKeptPackets {
		p.packets = append(p.packets, bytes.Clone(packet))
	}
}
