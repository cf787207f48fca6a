package report

// The names of the measures.
const (
	brokenFlowsPlanned           = "broken-flows-planned"
	brokenFlowsLoss              = "broken-flows-loss"
	imbalanceRequests            = "imbalance-requests"
	imbalanceBusy                = "imbalance-requests-busy"
	imbalanceUnequalSpeed        = "imbalance-unequal-speed"
	p99UnequalSpeed              = "p99-unequal-speed"
	imbalanceFlows               = "imbalance-flows"
	leastUrgentFloodUrgentInTime = "least-urgent-flood-urgent-in-time"
	leastUrgentFloodOthersInTime = "least-urgent-flood-others-in-time"
	mostUrgentFloodShare         = "most-urgent-flood-share"
	mostUrgentFloodOthersInTime  = "most-urgent-flood-others-in-time"
	ranTwice                     = "ran-twice"
	silentlyLost                 = "silently-lost"
	endedUnknown                 = "ended-unknown"
	claimViolations              = "claim-violations"
	keysRan                      = "keys-ran"
	repliesLost                  = "replies-lost"
	repliesLate                  = "replies-late"
	forwardingCost               = "forwarding-cost"
	forwardingTime               = "forwarding-time"
	allocations                  = "allocations"
)

// The names of the compared policies.
const (
	byConnectionID   = "connection ID"
	byConsistentHash = "consistent hash"
	byModulo         = "modulo"
	picker           = "picker"
	random           = "random"
	roundRobin       = "round robin"
	leastReported    = "least reported"
	twoChoices       = "two choices"
	boundedHash      = "bounded hash"
	unboundedHash    = "unbounded hash"
	scheduler        = "scheduler"
	firstCome        = "first come"
	strictPriority   = "strict priority"
	claims           = "claims"
	neverResend      = "never resend"
	alwaysResend     = "always resend"
	ownMemory        = "own memory"
	rotation         = "rotation"
	lastSeen         = "last seen"
	balancerPath     = "balancer"
	bareLoop         = "bare loop"
)

// policiesInUse holds the policies that the system uses. All others are baselines.
var policiesInUse = map[string]bool{
	byConnectionID: true, picker: true, boundedHash: true, scheduler: true, claims: true, rotation: true,
	balancerPath: true,
}

func atMost(limit float64) *Target { return &Target{Limit: limit} }

func atLeast(limit float64) *Target { return &Target{Limit: limit, AtLeast: true} }

// definitions returns the measures of section 2 of the design page, without
// figures. The target for late replies is from section 5.7.
func definitions() []Measure {
	return []Measure{
		{
			Name: brokenFlowsPlanned, Title: "Broken flows, planned changes", Unit: "% of flows opened",
			Target: atMost(0), decimals: 2,
		}, {
			Name: brokenFlowsLoss, Title: "Broken flows of the other agents, one agent lost without notice",
			Unit: "% of their flows", Target: atMost(0), decimals: 2,
		}, {
			Name: imbalanceRequests, Title: "Imbalance of requests at 60% load, delayed and misleading reports",
			Unit: "busiest / mean", Target: atMost(1.05), decimals: 3, axisMin: 1, axisMax: 1.08,
		}, {
			Name: imbalanceBusy, Title: "Imbalance of requests at 90% load, delayed and misleading reports",
			Unit: "busiest / mean", Target: atMost(1.05), decimals: 3, axisMin: 1, axisMax: 1.08,
		}, {
			Name: imbalanceUnequalSpeed, Title: "Imbalance of requests, every third backend server at half speed",
			Unit: "busiest / mean", decimals: 3, axisMin: 1, axisMax: 1.2,
		}, {
			Name: p99UnequalSpeed, Title: "Time to answer, 99th percentile, every third backend server at half speed",
			Unit: "ms", decimals: 0, axisMax: 1600,
		}, {
			Name: imbalanceFlows, Title: "Imbalance of flows, delayed and misleading reports",
			Unit: "busiest / mean", Target: atMost(1.25), decimals: 3, axisMin: 1, axisMax: 1.4,
		}, {
			Name: leastUrgentFloodUrgentInTime, Title: "Flood of the least urgent class: most urgent class in time",
			Unit: "% of its requests", Target: atLeast(99), decimals: 2, axisMax: 100,
		}, {
			Name: leastUrgentFloodOthersInTime, Title: "Flood of the least urgent class: all other classes in time",
			Unit: "% of their requests", decimals: 2, axisMax: 100,
		}, {
			Name: mostUrgentFloodShare, Title: "Flood of the most urgent class: minimum share of the least urgent kept",
			Unit: "% of minimum share", Target: atLeast(100), decimals: 1, axisMax: 120,
		}, {
			Name: mostUrgentFloodOthersInTime, Title: "Flood of the most urgent class: all other classes in time",
			Unit: "% of their requests", decimals: 2, axisMax: 100,
		}, {
			Name: ranTwice, Title: "Non-idempotent requests run twice", Unit: "% of requests",
			Target: atMost(0), decimals: 2,
		}, {
			Name: silentlyLost, Title: "Non-idempotent requests silently lost", Unit: "% of requests",
			Target: atMost(0), decimals: 2,
		}, {
			Name: endedUnknown, Title: "Non-idempotent requests that end as unknown", Unit: "% of requests", decimals: 2,
		}, {
			Name: claimViolations, Title: "Second runs, wrong refusals and wrong replays, a fault every 10 s",
			Unit: "count", Target: atMost(0),
		}, {
			Name: keysRan, Title: "Non-idempotent requests that ran, a fault every 10 s", Unit: "% of requests",
			decimals: 1, axisMax: 100,
		}, {
			Name: repliesLost, Title: "Replies sent through a dead balancer", Unit: "% of replies sent", decimals: 2,
		}, {
			Name: repliesLate, Title: "Replies later than 1 s with a dead balancer", Unit: "% of replies sent",
			Target: atMost(0), decimals: 2,
		}, {
			Name: forwardingCost, Title: "Forwarding cost of a datagram", Unit: "times the bare loop",
			Target: atMost(1.3), decimals: 3,
		}, {
			Name: forwardingTime, Title: "Time to forward a datagram", Unit: "ns", decimals: 0,
		}, {
			Name: allocations, Title: "Allocations per datagram", Unit: "allocations", Target: atMost(0), decimals: 4,
		},
	}
}
