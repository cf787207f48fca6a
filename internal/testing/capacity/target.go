package capacity

// The target size of section 2 of the design page.
const (
	targetAgents    = 26_000
	targetServices  = 6_700
	targetBalancers = 2_400
	targetInstances = targetAgents + targetBalancers

	targetRegions = 4
	targetZones   = 14

	openFlows         = 46e6
	newFlowsPerSecond = 220_000.0
	secondsPerDay     = 86_400.0
	changesPerDay     = 13_000.0
	restartsPerDay    = 5_700.0
	failuresPerDay    = 140.0
)

// The limits of the design page, for control traffic and processing.
const (
	maxControlCore           = 0.044 // of one core
	maxControlMemoryBytes    = 256e6
	maxControlBytesPerSecond = 4000
	maxControllers           = 10 // instances reserved for control
	maxChangeSeconds         = 12 // until a change is in force everywhere
)

// Values of the design that no other package exports as a constant.
const (
	documentsInForce       = 2   // trial and production
	heapGrowthFactor       = 2.0 // with the default GOGC the heap grows to twice the live memory
	renewIntervalSeconds   = 1.0
	batchIntervalSeconds   = 0.3 // between two batches of renewals that a relay passes on
	callerKeepAliveSeconds = 5.0
	maxClaimRecords        = 60000 // at-most-once records of one agent
	linksPerInstance       = 2     // one for calls, one for views
	packetsPerFlow         = 3.0   // QUIC Initial datagrams to open a flow, assumed
)

// Assumptions that no probe measures.
const (
	assumedBytesPerSecond       = 125e6 // of one instance: 1 Gbit/s
	assumedRegionLatencySeconds = 0.1   // one way between regions
	assumedFsyncSeconds         = 0.01  // on a disk with a slow write cache
)

// Log entries and delta items per day in one environment. A restart takes three:
// draining, gone and a new announcement. A failure takes two: the expiry of the
// lease and a new announcement.
const (
	memberChangesPerDay = 3*restartsPerDay + 2*failuresPerDay
	viewChangesPerDay   = changesPerDay + memberChangesPerDay
)
