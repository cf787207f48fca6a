package capacity

import (
	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/state/document"
)

// Numbers that several formulas use.
const (
	changesPerSecond = viewChangesDay / day // of one environment's view
	servicesChanged  = changesADay / day

	relayed          = float64(targetAgents) / targetBalancers // agents of one relay
	flowsOfAgent     = openFlows / targetAgents
	newFlowsOfAgent  = newFlows / targetAgents
	voters           = 5
	ringChanges      = 256 // deltas that a publisher keeps
	keptVersions     = 256
	balancerLinks    = 3 // calls, views, and the calls that it passes on as a relay
	balancerAsMember = float64(balancerLinks) / linksOfInstance
)

var (
	coalesced  = rollout.CoalesceInterval.Seconds()
	burstViews = 1 / coalesced // most views a second
)

// deltaTraffic returns the bytes a second of the deltas of one subscriber.
func deltaTraffic(r repetition) float64 {
	service := r.slope(ServiceBytes)

	return changesPerSecond*r.slope(TrafficChange) + servicesChanged*service
}

// instanceTraffic returns the control bytes a second of an instance that
// relays nothing.
func instanceTraffic(r repetition) float64 { return r.slope(TrafficIdle) + deltaTraffic(r) }

// instanceTime returns the processor time a second that the links of an
// instance take at both ends.
func instanceTime(r repetition) float64 {
	return r.slope(LinkIdle) + changesPerSecond*r.slope(LinkChange)
}

// viewBytes returns the size of the full view.
func viewBytes(r repetition) float64 { return r.at(ViewBytes, targetAgents) }

// balancerApply returns the processor time for one change of the view at a
// balancer: apply, table, and the delta for its own subscribers.
func balancerApply(r repetition) float64 {
	return r.at(EngineApply, targetServices) + r.at(PublishApply, relayed)
}

var agentRows = []formula{
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "memory for control, without records",
			Unit:     unitBytes,
			Limit:    limitMemory,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "2 × (view + links of an instance, both ends)", Mechanism: "views share unchanged items",
		},
		value: func(r repetition) float64 {
			return heapGrowth * (r.at(ViewMemory, targetAgents) + r.slope(LinkMemory))
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "memory with 60,000 records of 200 B",
			Unit:     unitBytes,
			Limit:    limitMemory,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "memory without records + 2 × 60,000 × record",
		},
		value: func(r repetition) float64 {
			return heapGrowth * (r.at(ViewMemory, targetAgents) + r.slope(LinkMemory) + r.at(ClaimMemory, claimRecords))
		},
	},
	{
		Row: Row{
			Role:      RoleAgent,
			Resource:  "memory with 60,000 records of 4 KiB",
			Unit:      unitBytes,
			Limit:     limitMemory,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "memory with records of 200 B + 2 × 60,000 × 3,896 B",
			Mechanism: "a bound of the store in bytes instead of records",
		},
		value: func(r repetition) float64 {
			return heapGrowth * (r.at(ViewMemory, targetAgents) + r.slope(LinkMemory) +
				r.at(ClaimMemory, claimRecords) + claimRecords*(claim.MaxAnswer-answerBytes))
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for control, average",
			Unit:     unitCore,
			Limit:    limitCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "0.352/s × apply + links of an instance, both ends",
		},
		value: func(r repetition) float64 {
			return changesPerSecond*r.at(AgentApply, targetServices) + instanceTime(r)
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for control, burst of changes",
			Unit:     unitCore,
			Limit:    limitCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "5 views/s × (apply + change on a link) + idle links",
		},
		value: func(r repetition) float64 {
			return burstViews*(r.at(AgentApply, targetServices)+r.slope(LinkChange)) + r.slope(LinkIdle)
		},
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "bytes for control, average",
			Unit:     unitRate,
			Limit:    limitBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "idle links + 0.352/s × change on a link + 0.150/s × changed service",
		},
		value: instanceTraffic,
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "full view after a restart",
			Unit:     unitBytes,
			Source:   Measured,
			Formula:  "encoded view at 26,000 agents",
		},
		value: viewBytes,
	},
	{
		Row: Row{
			Role:      RoleAgent,
			Resource:  "time for a full view at 4 KB/s",
			Unit:      unitSeconds,
			Limit:     limitChange,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "full view / 4,000 B/s; nothing paces it: it takes the line rate for a moment instead",
			Mechanism: "a partial view for agents (own service, balancers, keys), or compression",
		},
		value: func(r repetition) float64 { return viewBytes(r) / limitBytes },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "time for a compressed full view at 4 KB/s",
			Unit:     unitSeconds,
			Limit:    limitChange,
			Source:   WorkedOut,
			Formula:  "view after gzip / 4,000 B/s",
		},
		value: func(r repetition) float64 { return r.at(ViewCompressed, targetAgents) / limitBytes },
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
			return r.at(ViewDecode, targetAgents)
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
		value: func(repetition) float64 { return flowsOfAgent },
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
		value: func(r repetition) float64 { return heapGrowth * r.at(CallerMemory, flowsOfAgent) },
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
		value: func(r repetition) float64 { return newFlowsOfAgent * r.slope(CallerHandshake) },
	},
	{
		Row: Row{
			Role:     RoleAgent,
			Resource: "processor for keep-alives, upper bound",
			Unit:     unitCore,
			Source:   Assumed,
			Formula:  "1,769 / 5 s × request, both ends: a keep-alive costs less than a request (assumed)",
		},
		value: func(r repetition) float64 { return flowsOfAgent / callerKeepAlive * r.slope(CallerRequest) },
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
			return flowsOfAgent / (float64(targetAgents)/targetServices - 1) * r.slope(CallerHandshake)
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
		value: func(r repetition) float64 { return r.at(DocumentBytes, targetServices) },
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
		value: func(r repetition) float64 { return r.at(DocumentCompact, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "validating the document",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "parse at 6,700 services",
		},
		value: func(r repetition) float64 { return r.at(DocumentParse, targetServices) },
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
		value: func(repetition) float64 { return day / changesADay },
	},
	{
		Row: Row{
			Role:     RoleOperator,
			Resource: "sending a change of one service",
			Unit:     unitBytes,
			Source:   Measured,
			Formula:  "the whole document and two signatures; trial only, production gets a digest",
		},
		value: func(r repetition) float64 { return r.at(DocumentEntries, targetServices) },
	},
}
