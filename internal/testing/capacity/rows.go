package capacity

import (
	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/state/document"
)

// Quantities that several formulas use.
const (
	changesPerSecond        = viewChangesPerDay / secondsPerDay // changes of one environment's view
	serviceChangesPerSecond = changesPerDay / secondsPerDay

	agentsPerRelay   = float64(targetAgents) / targetBalancers
	flowsPerAgent    = openFlows / targetAgents
	newFlowsPerAgent = newFlowsPerSecond / targetAgents // per second
	voters           = 5
	maxKeptDeltas    = 256 // of a publisher
	maxKeptVersions  = 256
	balancerLinks    = 3 // calls, views, and the calls that a relay passes on
	// balancerLinkRatio is a balancer's own links relative to those of an instance.
	balancerLinkRatio = float64(balancerLinks) / linksPerInstance
)

var (
	coalesceSeconds   = rollout.CoalesceInterval.Seconds()
	maxViewsPerSecond = 1 / coalesceSeconds // one view in each coalescing interval
)

// deltaBytesPerSecond returns the rate of deltas to one subscriber.
func deltaBytesPerSecond(r repetition) float64 {
	bytesPerService := r.slope(ServiceBytes)

	return changesPerSecond*r.slope(TrafficChange) + serviceChangesPerSecond*bytesPerService
}

// instanceBytesPerSecond returns the rate of control traffic of an instance
// that is not a relay.
func instanceBytesPerSecond(r repetition) float64 {
	return r.slope(TrafficIdle) + deltaBytesPerSecond(r)
}

// instanceLinkTime returns the processor time per second for the links of one
// instance, both ends.
func instanceLinkTime(r repetition) float64 {
	return r.slope(LinkIdle) + changesPerSecond*r.slope(LinkChange)
}

// fullViewBytes returns the size of the encoded view at the target size.
func fullViewBytes(r repetition) float64 { return r.valueAt(ViewBytes, targetAgents) }

// balancerApplyTime returns the processor time of a balancer for one change of
// the view: it applies the delta, updates the table and publishes a delta to its
// subscribers.
func balancerApplyTime(r repetition) float64 {
	return r.valueAt(EngineApply, targetServices) + r.valueAt(PublishApply, agentsPerRelay)
}

var agentRows = []formula{
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "memory for control, without records",
			Unit:     unitBytes,
			Limit:    maxControlMemoryBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "2 × (view + links of an instance, both ends)", Mechanism: "views share unchanged items",
		},
		value: func(r repetition) float64 {
			return heapGrowthFactor * (r.valueAt(ViewMemory, targetAgents) + r.slope(LinkMemory))
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "memory with 60,000 records of 200 B",
			Unit:     unitBytes,
			Limit:    maxControlMemoryBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "memory without records + 2 × 60,000 × record",
		},
		value: func(r repetition) float64 {
			return heapGrowthFactor * (r.valueAt(ViewMemory, targetAgents) + r.slope(LinkMemory) +
				r.valueAt(ClaimMemory, maxClaimRecords))
		},
	},
	{
		Row: Row{
			Role:      RoleAgent,
			Resource:  "memory with 60,000 records of 4 KiB",
			Unit:      unitBytes,
			Limit:     maxControlMemoryBytes,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "memory with records of 200 B + 2 × 60,000 × 3,896 B",
			Mechanism: "a bound of the store in bytes instead of records",
		},
		value: func(r repetition) float64 {
			return heapGrowthFactor * (r.valueAt(ViewMemory, targetAgents) + r.slope(LinkMemory) +
				r.valueAt(ClaimMemory, maxClaimRecords) + maxClaimRecords*(claim.MaxAnswer-answerBytes))
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for control, average",
			Unit:     unitCore,
			Limit:    maxControlCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "0.352/s × apply + links of an instance, both ends",
		},
		value: func(r repetition) float64 {
			return changesPerSecond*r.valueAt(AgentApply, targetServices) + instanceLinkTime(r)
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for control, burst of changes",
			Unit:     unitCore,
			Limit:    maxControlCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "5 views/s × (apply + change on a link) + idle links",
		},
		value: func(r repetition) float64 {
			return maxViewsPerSecond*(r.valueAt(AgentApply, targetServices)+r.slope(LinkChange)) + r.slope(LinkIdle)
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "bytes for control, average",
			Unit:     unitRate,
			Limit:    maxControlBytesPerSecond,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "idle links + 0.352/s × change on a link + 0.150/s × changed service",
		},
		value: instanceBytesPerSecond,
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "full view after a restart",
			Unit:     unitBytes,
			Source:   Measured,
			Formula:  "encoded view at 26,000 agents",
		},
		value: fullViewBytes,
	},
	{
		Row: Row{
			Role:      RoleAgent,
			Resource:  "time for a full view at 4 KB/s",
			Unit:      unitSeconds,
			Limit:     maxChangeSeconds,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "full view / 4,000 B/s; nothing paces it: it takes the line rate for a moment instead",
			Mechanism: "a partial view for agents (own service, balancers, keys), or compression",
		},
		value: func(r repetition) float64 { return fullViewBytes(r) / maxControlBytesPerSecond },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "time for a compressed full view at 4 KB/s",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   WorkedOut,
			Formula:  "view after gzip / 4,000 B/s",
		},
		value: func(r repetition) float64 { return r.valueAt(ViewCompressed, targetAgents) / maxControlBytesPerSecond },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "decoding the full view",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "decode and digest at 26,000",
		},
		value: func(r repetition) float64 {
			return r.valueAt(ViewDecode, targetAgents)
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "open connections",
			Unit:     "",
			Limit:    2000,
			Source:   WorkedOut,
			Formula:  "46 million / 26,000; limit: connections of a service in the documents today",
		},
		value: func(repetition) float64 { return flowsPerAgent },
	},
	{
		Row: Row{
			Role:      RoleAgent,
			Resource:  "memory of open connections",
			Unit:      unitBytes,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "2 × 1,769 × connection at the agent (data path)",
			Mechanism: "not part of control; size the instance for it",
		},
		value: func(r repetition) float64 { return heapGrowthFactor * r.valueAt(CallerMemory, flowsPerAgent) },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for new connections",
			Unit:     unitCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "220,000 / 26,000 handshakes/s × handshake, both ends (data path)",
		},
		value: func(r repetition) float64 { return newFlowsPerAgent * r.slope(CallerHandshake) },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for keep-alives, upper bound",
			Unit:     unitCore,
			Source:   Assumed,
			Formula:  "1,769 / 5 s × request, both ends: a keep-alive costs less than a request (assumed)",
		},
		value: func(r repetition) float64 { return flowsPerAgent / callerKeepAliveSeconds * r.slope(CallerRequest) },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "first connections after a sibling is lost",
			Unit:     unitSeconds,
			Source:   WorkedOut,
			Formula:  "1,769 handshakes of the lost agent / 2.9 siblings × handshake, both ends: processor time of each",
		},
		value: func(r repetition) float64 {
			return flowsPerAgent / (float64(targetAgents)/targetServices - 1) * r.slope(CallerHandshake)
		},
	},
}

var operatorRows = []formula{
	{
		Row: Row{
			Role:      RoleOperator,
			Resource:  "document, classes written out",
			Unit:      unitBytes,
			Limit:     document.MaxBytes,
			Source:    Measured,
			Summary:   true,
			Formula:   "document of 6,700 services with 4 classes each",
			Mechanism: "YAML anchors, as below; a document in parts would carry it",
		},
		value: func(r repetition) float64 { return r.valueAt(DocumentBytes, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "document, classes shared by anchors",
			Unit:     unitBytes,
			Limit:    document.MaxBytes,
			Source:   Measured,
			Summary:  true,
			Formula:  "document of 6,700 services with one list of classes and no limits",
		},
		value: func(r repetition) float64 { return r.valueAt(DocumentCompact, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "validating the document",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "parse at 6,700 services",
		},
		value: func(r repetition) float64 { return r.valueAt(DocumentParse, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "time for each change and both signatures",
			Unit:     unitSeconds,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "86,400 s / 13,000: one change of an environment is pending at a time",
		},
		value: func(repetition) float64 { return secondsPerDay / changesPerDay },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "sending a change of one service",
			Unit:     unitBytes,
			Source:   Measured,
			Formula:  "the whole document and two signatures; trial only, production gets a digest",
		},
		value: func(r repetition) float64 { return r.valueAt(DocumentEntries, targetServices) },
	},
}
