package steering

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// OpenTimeout is how long an agent may take to accept a flow: a round trip
	// between regions, the handshake of the backend server, and most of a
	// period of 100 ms in which an instance may be out of processor time.
	OpenTimeout = 90 * time.Millisecond

	// MinPause is the time without a call from which a router counts as paused: its process
	// was frozen, or got no processor time. Within it, the copies of a first packet still
	// reach the same entry instance, which stays in rotation until it has missed two health
	// checks, 500 ms apart.
	MinPause = 500 * time.Millisecond

	// staleWindow is how long after a pause packets that have waited in the sockets may still
	// be read: an instance may have less than a tenth of a core for them.
	staleWindow = 200 * time.Millisecond

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

	// candidatesTimeout is how long the candidates for a flow may take to answer whether they
	// hold a flow. They answer without asking their backend servers.
	candidatesTimeout = 60 * time.Millisecond

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

	// maxLateProbes is the limit while there is bandwidth for questions: the agents that are
	// asked first. The backend server that holds the flow should get the packet
	// soon, once others have got it.
	maxLateProbes = maxCandidates + maxNextAgents

	// maxSearchTime is how long a search waits for bandwidth or for a confirmation of
	// document and agents. Clients retransmit packets after 200 ms at first, so several of
	// them are kept by then. A controller that is lost is replaced as their source within it.
	maxSearchTime = time.Second

	// confirmRetryInterval is how often a confirmation is requested while a search waits for
	// one: several round trips between regions.
	confirmRetryInterval = 100 * time.Millisecond

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
