package capacity

// The target size of section 2 of the design page.
const (
	targetAgents    = 26_000
	targetServices  = 6_700
	targetBalancers = 2_400
	targetInstances = targetAgents + targetBalancers

	targetRegions = 4
	targetZones   = 14

	openFlows   = 46e6
	newFlows    = 220_000.0 // a second
	day         = 86_400.0  // seconds
	changesADay = 13_000.0
	restartsDay = 5_700.0
	failuresDay = 140.0
)

// The limits of the design page.
const (
	limitCore        = 0.044 // of one core, for control
	limitMemory      = 256e6 // bytes, for control
	limitBytes       = 4000  // a second, for control
	limitControllers = 10    // instances reserved for control
	limitChange      = 12    // seconds until a change is in force everywhere
)

// What the design states without a constant that other packages export.
const (
	documentsInForce = 2     // trial and production
	heapGrowth       = 2.0   // the collector's default lets the heap double
	renewInterval    = 1.0   // seconds
	batchInterval    = 0.3   // seconds, of the renewals at a relay
	callerKeepAlive  = 5.0   // seconds
	claimRecords     = 60000 // most records of an agent
	linksOfInstance  = 2     // one for calls, one for views
	packetsPerFlow   = 3.0   // Initial datagrams of a caller, assumed
)

// Assumptions that no measurement here supports.
const (
	assumedBandwidth     = 125e6 // bytes a second of one instance: 1 Gbit/s
	assumedRegionLatency = 0.1   // seconds, one way between regions
	assumedFsync         = 0.01  // seconds, of a disk with a slow write cache
)

// Entries of the log and items of deltas a day in one environment. A restart
// drains, goes and announces again; a failure expires and announces again.
const (
	memberChangesDay = 3*restartsDay + 2*failuresDay
	viewChangesDay   = changesADay + memberChangesDay
)
