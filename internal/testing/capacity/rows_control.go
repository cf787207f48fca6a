package capacity

import (
	"slices"

	"jayspindle/internal/state/wal"
)

// relayCalls is the number of batches of renewals a second at the leader: a
// relay with 10.8 agents has at least one renewal in nearly every interval.
const relayCalls = targetBalancers / batchInterval

// acceptedDay is the number of accepted documents a day: each passes trial
// before production.
const acceptedDay = documentsInForce * changesADay

// leaderTime returns the leader's processor time a second for leases.
func leaderTime(r repetition) float64 {
	return relayCalls*r.slope(CallTime) + targetBalancers*r.slope(LinkIdle) +
		r.at(RenewHandle, targetInstances)/renewInterval
}

// logBytes returns the bytes of the log in a day. Trial gets the documents.
func logBytes(r repetition) float64 {
	return changesADay*r.at(DocumentEntries, targetServices) + restartsDay*r.slope(RestartEntries)
}

// snapshotBytes returns the size of a snapshot: members and one document, and
// for each version kept what it adds in memory.
func snapshotBytes(r repetition) float64 {
	return r.at(SnapshotBytes, targetAgents) + versionMemory(r)
}

// versionMemory returns the memory of the versions kept in both environments.
// What a version adds grows with the services at most.
func versionMemory(r repetition) float64 {
	return documentsInForce * keptVersions * versionsPart * r.slope(VersionMemory)
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
		value: leaderTime,
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
		value: func(r repetition) float64 { return leaderTime(r) / 2 },
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

			return relays/batchInterval*r.slope(CallTime) + relays*r.slope(LinkIdle) +
				r.at(RenewHandle, targetInstances)/renewInterval
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
		value: func(r repetition) float64 { return r.at(RenewBytes, targetInstances) / renewInterval },
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
			return heapGrowth * (documentsInForce*r.at(CatalogMemory, targetAgents) +
				versionMemory(r) +
				r.at(LeaseMemory, targetInstances) + targetBalancers*r.slope(LinkMemory))
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
		value: func(r repetition) float64 { return acceptedDay / day * r.at(DocumentAccept, targetServices) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "instances reserved for control",
			Limit:    limitControllers,
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
		value: func(r repetition) float64 { return r.at(DocumentAccept, targetServices) },
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

			return changesPerSecond * (r.at(PublishApply, subscribers) + subscribers*r.slope(LinkChange))
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
		value: logBytes,
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "log, bytes a second to each follower",
			Unit:     unitRate,
			Source:   WorkedOut,
			Formula:  "log of a day / 86,400 s",
		},
		value: func(r repetition) float64 { return logBytes(r) / day },
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
		value: func(r repetition) float64 { return r.at(SnapshotEncode, targetAgents) },
	},
	{
		Row: Row{
			Role:     RoleController,
			Resource: "restoring a snapshot",
			Unit:     unitSeconds,
			Source:   Measured,
			Formula:  "at 26,000 agents, one version",
		},
		value: func(r repetition) float64 { return r.at(SnapshotRestore, targetAgents) },
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
			return (restartsDay + failuresDay) / day * 8 * r.slope(RestartApply)
		},
	},
}

var fleetRows = []formula{
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "time from acceptance until in force everywhere",
			Unit:     unitSeconds,
			Limit:    limitChange,
			Source:   Assumed,
			Summary:  true,
			Formula: "commit (2 × 0.1 s + 2 × 10 ms, assumed) + accepted document + 2 levels × 2 × 0.2 s + " +
				"2 × 0.1 s (assumed) + publish + 480 × change on a link + balancer's apply + " +
				"10.8 × change on a link + agent's apply",
			Mechanism: "coalescing at two levels",
		},
		value: changeTime,
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "the same with a lost leader and a silent update stream",
			Unit:     unitSeconds,
			Limit:    limitChange,
			Source:   Assumed,
			Summary:  true,
			Formula:  "the row above + 1 s election + 6 s silence of an update stream + 1 s dial + 0.5 s full view",
		},
		value: func(r repetition) float64 { return changeTime(r) + 1 + 6 + 1 + 0.5 },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a zone returns: bytes from controllers",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Formula:  "171 balancers × full view",
		},
		value: func(r repetition) float64 { return targetBalancers / float64(targetZones) * viewBytes(r) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a zone returns: time for all views",
			Unit:     unitSeconds,
			Limit:    limitChange,
			Source:   Assumed,
			Summary:  true,
			Formula: "transfer by 5 controllers at 1 Gbit/s (assumed) or on one core each, whichever is longer, " +
				"+ transfer by the relay + 2 × decoding + table",
		},
		value: func(r repetition) float64 { return returnTime(r, targetZones) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a region returns: bytes from controllers",
			Unit:     unitBytes,
			Source:   WorkedOut,
			Formula:  "600 balancers × full view",
		},
		value: func(r repetition) float64 { return targetBalancers / float64(targetRegions) * viewBytes(r) },
	},
	{
		Row: Row{
			Role:      RoleFleet,
			Resource:  "a region returns: time for all views",
			Unit:      unitSeconds,
			Limit:     limitChange,
			Source:    Assumed,
			Summary:   true,
			Formula:   "as for a zone, with 600 balancers",
			Mechanism: "views spread over controllers; compression, or relays that share views within the zone",
		},
		value: func(r repetition) float64 { return returnTime(r, targetRegions) },
	},
	{
		Row: Row{
			Role:     RoleFleet,
			Resource: "a region returns: leader's time for its announcements",
			Unit:     unitSeconds,
			Limit:    limitChange,
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

// changeTime returns the time from acceptance until a change is in force.
func changeTime(r repetition) float64 {
	commit := 2*assumedRegionLatency + 2*assumedFsync
	publishing := r.at(PublishApply, targetBalancers/voters) + targetBalancers/voters*r.slope(LinkChange)
	relaying := balancerApply(r) + relayed*r.slope(LinkChange)

	return commit + r.at(DocumentAccept, targetServices) + 2*2*coalesced + 2*assumedRegionLatency +
		publishing + relaying + r.at(AgentApply, targetServices)
}

// returnTime returns the time until one of the given number of equal parts of
// the fleet has its views again.
func returnTime(r repetition, parts float64) float64 {
	fromControllers := targetBalancers / parts * viewBytes(r) / voters
	fromRelay := relayed * viewBytes(r)
	transfer := func(bytes float64) float64 { return max(bytes/assumedBandwidth, bytes*r.slope(TransferTime)) }

	return r.at(ViewEncode, targetAgents) + transfer(fromControllers) + 2*r.at(ViewDecode, targetAgents) +
		r.at(TableBuild, targetAgents) + transfer(fromRelay)
}
