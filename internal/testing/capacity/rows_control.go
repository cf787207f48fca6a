package capacity

import (
	"slices"

	"jayspindle/internal/state/wal"
)

// renewBatchesPerSecond is the number of batches of renewals that the leader
// receives. A relay with 10.8 agents has at least one renewal in nearly every
// interval.
const renewBatchesPerSecond = targetBalancers / batchIntervalSeconds

// acceptedDocumentsPerDay counts both environments: each document is accepted
// in trial before production.
const acceptedDocumentsPerDay = documentsInForce * changesPerDay

// leaderLeaseTime returns the processor time per second that the leader and its
// links need for leases.
func leaderLeaseTime(r repetition) float64 {
	return renewBatchesPerSecond*r.slope(CallTime) + targetBalancers*r.slope(LinkIdle) +
		r.valueAt(RenewHandle, targetInstances)/renewIntervalSeconds
}

// logBytesPerDay returns the bytes that the log grows by in a day. Only changes in
// trial contain the document; those in production refer to its digest.
func logBytesPerDay(r repetition) float64 {
	return changesPerDay*r.valueAt(DocumentEntries, targetServices) + restartsPerDay*r.slope(RestartEntries)
}

// snapshotBytes returns the size of a snapshot: the members, one document, and
// for each kept version as many bytes as it adds to the live memory.
func snapshotBytes(r repetition) float64 {
	return r.valueAt(SnapshotBytes, targetAgents) + versionMemory(r)
}

// versionMemory returns the memory of the versions kept in both environments. It
// is an upper bound: the memory of a version grows at most in proportion to the
// number of services.
func versionMemory(r repetition) float64 {
	return documentsInForce * maxKeptVersions * versionServicesDivisor * r.slope(VersionMemory)
}

var controllerRows = slices.Concat(leaderRows, replicaRows)

var leaderRows = []formula{
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: processor for leases",
			Unit:     unitCore,
			Limit:    1,
			Source:   WorkedOut,
			Summary:  true,
			Formula: "8,000 batches/s × call + 2,400 × idle links (both ends) + 28,400 renewals/s; limit: one core, " +
				"a planning value",
			Mechanism: "28 relays of zones that pass renewals on would make it 93 batches a second",
		},
		value: leaderLeaseTime,
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: processor for leases, its end alone",
			Unit:     unitCore,
			Limit:    1,
			Source:   Assumed,
			Formula:  "half of the row above: both ends of a link cost the same (assumed)",
		},
		value: func(r repetition) float64 { return leaderLeaseTime(r) / 2 },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: processor with two relays for each zone",
			Unit:     unitCore,
			Limit:    1,
			Source:   WorkedOut,
			Formula:  "28 / 0.3 s × call + 28 × idle links + 28,400 renewals/s; not built",
		},
		value: func(r repetition) float64 {
			const relays = 2 * targetZones

			return relays/batchIntervalSeconds*r.slope(CallTime) + relays*r.slope(LinkIdle) +
				r.valueAt(RenewHandle, targetInstances)/renewIntervalSeconds
		},
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: renewals without batches, for comparison",
			Unit:     unitCore,
			Source:   WorkedOut,
			Formula:  "28,400/s × call, both ends",
		},
		value: func(r repetition) float64 { return targetInstances * r.slope(CallTime) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: bytes of renewals",
			Unit:     unitRate,
			Source:   WorkedOut,
			Formula:  "28,400 × renewal in full batches; the packets of 8,000 calls come on top",
		},
		value: func(r repetition) float64 { return r.valueAt(RenewBytes, targetInstances) / renewIntervalSeconds },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "leader: memory",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "2 × (catalog + 512 versions + leases + 2,400 × links of an instance, both ends)",
		},
		value: func(r repetition) float64 {
			return heapGrowthFactor * (documentsInForce*r.valueAt(CatalogMemory, targetAgents) +
				versionMemory(r) +
				r.valueAt(LeaseMemory, targetInstances) + targetBalancers*r.slope(LinkMemory))
		},
	},
}

var replicaRows = []formula{
	{
		Row: Row{
			Role:     RoleController,
			Resource: "processor for accepted documents",
			Unit:     unitCore,
			Limit:    1,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "26,000 / day × (submit, two signatures, new view at 6,700 services), at every replica",
		},
		value: func(r repetition) float64 {
			return acceptedDocumentsPerDay / secondsPerDay * r.valueAt(DocumentAccept, targetServices)
		},
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "instances reserved for control",
			Limit:    maxControllers,
			Source:   Assumed,
			Summary:  true,
			Formula:  "5 voters survive two losses; relays are balancers",
		},
		value: func(repetition) float64 { return voters },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "one accepted document",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "submit, two signatures, new view at 6,700 services; everything else waits for it",
		},
		value: func(r repetition) float64 { return r.valueAt(DocumentAccept, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "processor for views to 480 subscribers",
			Unit:     unitCore,
			Source:   WorkedOut,
			Formula:  "0.352/s × (publish + 480 × change on a link, both ends); 5 controllers share 2,400",
		},
		value: func(r repetition) float64 {
			subscribers := float64(targetBalancers) / voters

			return changesPerSecond * (r.valueAt(PublishApply, subscribers) + subscribers*r.slope(LinkChange))
		},
	},
	{
		Row: Row{
			Role:      RoleController,
			Resource:  "log, bytes a day",
			Unit:      unitBytes,
			Source:    WorkedOut,
			Summary:   true,
			Formula:   "13,000 documents of trial + 5,700 × entries of a restart",
			Mechanism: "snapshots by bytes; a submit that carries changed chunks of at most 8 KiB would cut it to 107 MB",
		},
		value: logBytesPerDay,
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "log, bytes a second to each follower",
			Unit:     unitRate,
			Source:   WorkedOut,
			Formula:  "log of a day / 86,400 s",
		},
		value: func(r repetition) float64 { return logBytesPerDay(r) / secondsPerDay },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "snapshot",
			Unit:     unitBytes,
			Limit:    wal.MaxSnapshotBytes,
			Source:   WorkedOut,
			Summary:  true,
			Formula:  "snapshot at 26,000 agents + 512 versions",
		},
		value: snapshotBytes,
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "encoding a snapshot",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "at 26,000 agents, one version",
		},
		value: func(r repetition) float64 { return r.valueAt(SnapshotEncode, targetAgents) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "restoring a snapshot",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "at 26,000 agents, one version",
		},
		value: func(r repetition) float64 { return r.valueAt(SnapshotRestore, targetAgents) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "restarts and failures",
			Unit:     unitCore,
			Source:   WorkedOut,
			Formula:  "5,840 / day × (entries of a restart, one view at 3,250 agents, × 8)",
		},
		value: func(r repetition) float64 {
			return (restartsPerDay + failuresPerDay) / secondsPerDay * 8 * r.slope(RestartApply)
		},
	},
}

var fleetRows = []formula{
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "time from acceptance until in force everywhere",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   Assumed,
			Summary:  true,
			Formula: "commit (2 × 0.1 s + 2 × 10 ms, assumed) + accepted document + 2 levels × 2 × 0.2 s + " +
				"2 × 0.1 s (assumed) + publish + 480 × change on a link + balancer's apply + " +
				"10.8 × change on a link + agent's apply",
			Mechanism: "coalescing at two levels",
		},
		value: changeLatency,
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "the same with a lost leader and a silent update stream",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   Assumed,
			Summary:  true,
			Formula:  "the row above + 1 s election + 6 s silence of an update stream + 1 s dial + 0.5 s full view",
		},
		value: func(r repetition) float64 { return changeLatency(r) + 1 + 6 + 1 + 0.5 },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a zone returns: bytes from controllers",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Formula:  "171 balancers × full view",
		},
		value: func(r repetition) float64 { return targetBalancers / float64(targetZones) * fullViewBytes(r) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a zone returns: time for all views",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   Assumed,
			Summary:  true,
			Formula: "transfer by 5 controllers at 1 Gbit/s (assumed) or on one core each, whichever is longer, " +
				"+ transfer by the relay + 2 × decoding + table",
		},
		value: func(r repetition) float64 { return viewRecoveryTime(r, targetZones) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a region returns: bytes from controllers",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Formula:  "600 balancers × full view",
		},
		value: func(r repetition) float64 { return targetBalancers / float64(targetRegions) * fullViewBytes(r) },
	},
	{
		Row: Row{
			Role:      RoleFleet,
			Resource:  "a region returns: time for all views",
			Unit:      unitSeconds,
			Limit:     maxChangeSeconds,
			Source:    Assumed,
			Summary:   true,
			Formula:   "as for a zone, with 600 balancers",
			Mechanism: "views spread over controllers; compression, or relays that share views within the zone",
		},
		value: func(r repetition) float64 { return viewRecoveryTime(r, targetRegions) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a region returns: leader's time for its announcements",
			Unit:     unitSeconds,
			Limit:    maxChangeSeconds,
			Source:   Assumed,
			Summary:  true,
			Formula: "7,100 × (entries of a restart with one view at 3,250 agents + call, both ends); " +
				"the leader coalesces views, so it computes fewer of them",
		},
		value: func(r repetition) float64 {
			return targetInstances / targetRegions * (r.slope(RestartApply) + r.slope(CallTime))
		},
	},
	{
		Row: Row{
			Role:      RoleFleet,
			Resource:  "open flows of a region that is cut off",
			Unit:      "",
			Source:    Assumed,
			Formula:   "46 million / 4, evenly spread (assumed): its leases end after 3 s",
			Mechanism: "suspended members keep their incarnation and stay reachable",
		},
		value: func(repetition) float64 { return openFlows / targetRegions },
	},
}

// changeLatency returns the time from the acceptance of a change until it is in
// force everywhere.
func changeLatency(r repetition) float64 {
	commitTime := 2*assumedRegionLatencySeconds + 2*assumedFsyncSeconds
	publishTime := r.valueAt(PublishApply, targetBalancers/voters) + targetBalancers/voters*r.slope(LinkChange)
	relayTime := balancerApplyTime(r) + agentsPerRelay*r.slope(LinkChange)

	return commitTime + r.valueAt(DocumentAccept, targetServices) + 2*2*coalesceSeconds + 2*assumedRegionLatencySeconds +
		publishTime + relayTime + r.valueAt(AgentApply, targetServices)
}

// viewRecoveryTime returns the time until all instances of one part have
// received the view, where the fleet is split into equal parts.
func viewRecoveryTime(r repetition, parts float64) float64 {
	bytesPerController := targetBalancers / parts * fullViewBytes(r) / voters
	bytesPerRelay := agentsPerRelay * fullViewBytes(r)
	transfer := func(bytes float64) float64 { return max(bytes/assumedBytesPerSecond, bytes*r.slope(TransferTime)) }

	return r.valueAt(ViewEncode, targetAgents) + transfer(bytesPerController) + 2*r.valueAt(ViewDecode, targetAgents) +
		r.valueAt(TableBuild, targetAgents) + transfer(bytesPerRelay)
}
