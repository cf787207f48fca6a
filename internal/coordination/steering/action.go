package steering

import "jayspindle/internal/state/flow"

// ActionKind classifies an Action.
type ActionKind uint8

// The kinds of actions.
const (
	Forward ActionKind = iota + 1 // send Packet to the agent at To
	Reset                         // reset the flow at its client
	Locate                        // ask the agent at To whether it holds the flows of Question
	GiveUp                        // the packets of a flow were dropped, nothing is to be sent
	Point                         // tell the agent at To that Holder holds the flow
	Poll                          // ask the controllers whether document and agents are current
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
	// ReasonStale is for flows that are not reset although no agent can take them.
	ReasonStale    Reason = "no agent can take the flow, but it may have been opened through another instance"
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
//   - Polls: requests to confirm document and agents before a flow is reset.
//   - AddedLate: agents asked about a flow because they joined the list during its search.
//   - Lost: searches that found no agent, conclusive or not.
//   - Dropped: packets dropped, and new flows refused because too many wait.
//   - Stray: resets from clients for unknown flows.
type Counters struct {
	Opened, Declined, Moved, Resets, Located, Lost, Dropped, Stray    uint64
	NearQuestions, OtherQuestions, Probes, Pointers, Polls, AddedLate uint64
}
