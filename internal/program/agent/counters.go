package agent

import (
	"expvar"

	"jayspindle/internal/coordination/claim"
)

// The counters under /debug/vars. Their keys come from fixed sets, so that the
// maps stay small whatever callers and siblings send.
var (
	outcomes        = expvar.NewMap("agent_requests")     // by class and outcome
	refusals        = expvar.NewMap("agent_refusals")     // not run, by cause
	unknowns        = expvar.NewMap("agent_unknowns")     // may have run, by cause
	retries         = expvar.NewMap("agent_retries")      // by the reason that allowed or denied one
	siblingRequests = expvar.NewMap("agent_redirections") // requests placed on siblings, by outcome
	feedEvents      = expvar.NewMap("agent_feeds")        // openings, resumptions, moves and failures
	claimResults    = expvar.NewMap("agent_claims")       // by verdict
)

// cause is the short form of a reason. It is the key of a counter.
type cause string

// The causes beside those of package admission.
const (
	causeUnhealthy          cause = "backend server unhealthy"
	causeConnect            cause = "backend server refused the connection"
	causeShed               cause = "backend server shed the request"
	causeNoResponse         cause = "backend server did not answer"
	causeSibling            cause = "sibling"
	causeSiblingUnreachable cause = "sibling not reached"
	causeNoBackend          cause = "no backend server"
	causeClaim              cause = "claim"
	causeMalformedRequest   cause = "malformed request"
)

// verdictNames are the keys of claimResults.
var verdictNames = map[claim.Verdict]string{
	claim.Pending: "pending", claim.Run: "run", claim.Replay: "replay", claim.InProgress: "in progress",
	claim.NotRun: "not run", claim.Unknown: "unknown",
}

// countFailure counts a request that was not answered.
func countFailure(outcome *result) {
	if outcome.mayHaveRun() {
		unknowns.Add(string(outcome.cause), 1)
	} else {
		refusals.Add(string(outcome.cause), 1)
	}
}
