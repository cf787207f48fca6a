package capacity

import (
	"jayspindle/internal/protocol/control"
)

var balancerRows = []formula{
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "memory for control",
			Unit:     unitBytes,
			Limit:    maxControlMemoryBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula: "2 × (view + table, keys and limits + 12.3 × links of an instance, both ends); " +
				"2: the collector lets the heap double",
			Mechanism: "the table is bucket arrays of 2 bytes; views share unchanged items",
		},
		value: func(r repetition) float64 {
			return heapGrowthFactor * (r.valueAt(ViewMemory, targetAgents) + r.valueAt(EngineMemory, targetServices) +
				(agentsPerRelay+balancerLinkRatio)*r.slope(LinkMemory))
		},
	},
	{
		Row: Row{
			Role:      RoleBalancer,
			Resource:  "memory of the service sockets",
			Unit:      unitBytes,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "2 × 6,700 × live memory of a service socket, one worker; without buffers of the kernel",
			Mechanism: "one outbox for each worker instead of each socket would carry it",
		},
		value: func(r repetition) float64 { return heapGrowthFactor * r.valueAt(SocketMemory, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "processor for control, average",
			Unit:     unitCore,
			Limit:    maxControlCore,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "0.352/s × (apply + publish) + 12.3 × links of an instance, both ends",
		},
		value: func(r repetition) float64 {
			return changesPerSecond*balancerApplyTime(r) + (agentsPerRelay+balancerLinkRatio)*instanceLinkTime(r)
		},
	},
	{
		Row: Row{
			Role:      RoleBalancer,
			Resource:  "processor for control, burst of changes",
			Unit:      unitCore,
			Limit:     maxControlCore,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "5 views/s × (apply + publish + 12.3 × change on a link) + 12.3 × idle links",
			Mechanism: "coalescing bounds a burst to 5 views a second; an interval of 0.4 s under load would halve the term",
		},
		value: func(r repetition) float64 {
			links := agentsPerRelay + balancerLinkRatio

			return maxViewsPerSecond*(balancerApplyTime(r)+links*r.slope(LinkChange)) + links*r.slope(LinkIdle)
		},
	},
	{
		Row: Row{
			Role:      RoleBalancer,
			Resource:  "bytes for control, with relaying",
			Unit:      unitRate,
			Limit:     maxControlBytesPerSecond,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "12.3 × (idle links + deltas) of an instance",
			Mechanism: "one link instead of two, keep-alives only on links without other traffic; or dedicated relays",
		},
		value: func(r repetition) float64 { return (agentsPerRelay + balancerLinkRatio) * instanceBytesPerSecond(r) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "bytes for control, with one link for each instance",
			Unit:     unitRate,
			Limit:    maxControlBytesPerSecond,
			Source:   WorkedOut,
			Formula:  "with relaying - 12.3 × link that is only kept alive; not built",
		},
		value: func(r repetition) float64 {
			return (agentsPerRelay + balancerLinkRatio) * (instanceBytesPerSecond(r) - r.slope(TrafficLink))
		},
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "a zone is lost or returns at once: new table",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   WorkedOut,
			Formula:  "delta of 1,857 agents + table build × 1,857 / 6,700 services",
		},
		value: func(r repetition) float64 { return rebuildTime(r, targetZones) },
	},
	{
		Row: Row{
			Role:      RoleBalancer,
			Resource:  "a region is lost or returns at once: new table",
			Unit:      unitSeconds,
			Limit:     maxChangeSeconds,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "delta of 6,500 agents + table build × 6,500 / 6,700 services",
			Mechanism: "only services whose agents changed are computed",
		},
		value: func(r repetition) float64 { return rebuildTime(r, targetRegions) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "bytes for control, own share",
			Unit:     unitRate,
			Limit:    maxControlBytesPerSecond,
			Source:   WorkedOut,
			Formula:  "1.5 × (idle links + deltas) of an instance",
		},
		value: func(r repetition) float64 { return balancerLinkRatio * instanceBytesPerSecond(r) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "processor for first packets",
			Unit:     unitCore,
			Source:   Assumed,
			Formula:  "220,000 / 2,400 flows/s × 3 Initial datagrams (assumed) × first packet",
		},
		value: func(r repetition) float64 {
			return newFlowsPerSecond / targetBalancers * packetsPerFlow * r.slope(FirstPacket)
		},
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "first packets that one core carries",
			Unit:     "per s",
			Source:   WorkedOut,
			Formula:  "1 / first packet; needed: 275/s at 3 for each flow",
		},
		value: func(r repetition) float64 { return 1 / r.slope(FirstPacket) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "packets of open flows that one core carries",
			Unit:     "per s",
			Source:   WorkedOut,
			Formula:  "1 / established packet",
		},
		value: func(r repetition) float64 { return 1 / r.slope(EstablishedPacket) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "full build of table and limits",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "table build at 26,000; once at start",
		},
		value: func(r repetition) float64 { return r.valueAt(TableBuild, targetAgents) },
	},
	{
		Row: Row{
			Role:     RoleBalancer,
			Resource: "one change in force",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "delta, view and table at 6,700 services",
		},
		value: func(r repetition) float64 { return r.valueAt(EngineApply, targetServices) },
	},
}

// rebuildTime returns a balancer's processor time after a change of all agents
// of one part, where the agents are split into equal parts. Each changed agent
// belongs to another service.
func rebuildTime(r repetition, parts float64) float64 {
	changed := targetAgents / parts

	return r.valueAt(DeltaApply, changed) + r.valueAt(TableBuild, targetAgents)*min(1, changed/targetServices)
}

var relayRows = []formula{
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "processor for its subscribers",
			Unit:     unitCore,
			Source:   WorkedOut,
			Formula:  "10.8 × links of an instance, both ends; part of the balancer's row",
		},
		value: func(r repetition) float64 { return agentsPerRelay * instanceLinkTime(r) },
	},
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "bytes for its subscribers",
			Unit:     unitRate,
			Source:   WorkedOut,
			Formula:  "10.8 × (idle links + deltas) of an instance; part of the balancer's row",
		},
		value: func(r repetition) float64 { return agentsPerRelay * instanceBytesPerSecond(r) },
	},
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "full views when its zone returns",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Formula:  "10.8 × full view",
		},
		value: func(r repetition) float64 { return agentsPerRelay * fullViewBytes(r) },
	},
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "processor for these full views",
			Unit:     unitSeconds,
			Source:   WorkedOut,
			Formula:  "encode once + 10.8 × full view × transfer of a byte, both ends",
		},
		value: func(r repetition) float64 {
			return r.valueAt(ViewEncode, targetAgents) + agentsPerRelay*fullViewBytes(r)*r.slope(TransferTime)
		},
	},
	{
		Row: Row{
			Role:      RoleRelay,
			Resource:  "absence that deltas cover, at the average rate",
			Unit:      unitSeconds,
			Source:    WorkedOut,
			Formula:   "256 deltas / 0.352 changes/s; 51 s of continuous changes",
			Mechanism: "a longer ring would carry more: a delta of one agent is some 200 B",
		},
		value: func(repetition) float64 { return maxKeptDeltas / changesPerSecond },
	},
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "changes that a region cut off for 10 minutes misses",
			Limit:    maxKeptDeltas,
			Source:   WorkedOut,
			Formula:  "600 s × 0.352/s; limit: the deltas that a publisher keeps",
		},
		value: func(repetition) float64 { return 600 * changesPerSecond },
	},
	{
		Row: Row{
			Role:     RoleRelay,
			Resource: "delta when a region announces again within one interval",
			Unit:     unitBytes,
			Limit:    control.MaxChunk,
			Source:   WorkedOut, Summary: true,
			Formula: "7,100 instances × replaced agent; limit: one delta is one update of 256 KiB, " +
				"more needs a full view for everyone",
			Mechanism: "announcements take longer than one interval; a delta in several updates would carry it",
		},
		value: func(r repetition) float64 { return r.valueAt(DeltaBytes, targetInstances/targetRegions) },
	},
}
