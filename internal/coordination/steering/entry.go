package steering

import (
	"bytes"
	"time"

	"jayspindle/internal/state/flow"
)

// entryState is what a router knows of the place of a flow.
type entryState uint8

const (
	opening   entryState = iota + 1 // an agent was asked to open the flow
	settled                         // the agent holds the flow
	searching                       // agents are asked who holds the flow
	lost                            // every agent has denied the flow
	unknown                         // the last search was not conclusive
)

// entry is one flow of a router.
type entry struct {
	state entryState
	agent flow.Endpoint
	last  time.Time // last packet
	// denied are the agents that have said that they do not hold the flow. A
	// flow does not come to an agent later, so they are not asked again.
	denied []flow.Endpoint
	until  time.Time // when the result of a search without success is forgotten

	*pending // nil once the flow is settled
}

// pending is what a router keeps of a flow until its place is known.
type pending struct {
	due          time.Time
	packets      [][]byte // in the order of arrival
	acknowledged uint32   // by the last packet of the client
	tried        []flow.Endpoint
	awaited      []flow.Endpoint // agents that were asked and have not answered
	unsure       []flow.Endpoint // agents that may hold the flow
	expires      time.Time       // when the client stops waiting for its flow to open
	offers       int             // agents that got the first packet and may still answer
	asked        bool            // the likely agents were asked
	probing      bool            // an unsure agent has the packets
	silent       bool            // an agent did not answer
}

// keep keeps a copy of a packet, because the buffer belongs to the caller.
func (p *pending) keep(header flow.Header, packet []byte) {
	p.acknowledged = header.Acknowledged

	if len(p.packets) < maxKept {
		p.packets = append(p.packets, bytes.Clone(packet))
	}
}
