package gate

import (
	"time"

	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
)

// minCheckpointAge is the age from which a flow is included in checkpoints. Most
// flows that carry a single request end sooner.
const minCheckpointAge = time.Second

// LongLivedFlows returns the start time of the backend server and the flows to store in
// a checkpoint, which survives the loss of the instance. The value of each flow is
// the last sequence number that its client acknowledged.
func (g *Gate) LongLivedFlows(now time.Time) (backendStart int64, flows map[flow.Key]uint32) {
	flows = make(map[flow.Key]uint32, len(g.flows))

	if g.backend.state == ended {
		return g.backend.startMillis, flows
	}

	for key, h := range g.flows {
		// A flow that is younger than the last report may be of a start that has not
		// reported yet.
		if h.state == open && h.confirmed && h.backendStart == g.backend.startMillis && !h.closedBy[0] && !h.closedBy[1] &&
			now.Sub(h.addedAt) >= minCheckpointAge && h.addedAt.Before(g.backend.lastReport) {
			flows[key] = h.acked
		}
	}

	return g.backend.startMillis, flows
}

// RecoverFlows restores the flows of a checkpoint that an earlier start of the agent
// wrote. Flows of an earlier start of the backend server are lost and returned as
// orphans; those of its current start are tracked again. RecoverFlows returns false as
// long as it is not certain which start runs.
func (g *Gate) RecoverFlows(now time.Time, restored checkpoint.RestoredFlows) (orphans []Orphan, done bool) {
	b := &g.backend

	switch {
	case b.startMillis == 0:
		return nil, false
	case b.replaced.startMillis != 0 && restored.BackendStart == b.replaced.startMillis:
		return nil, false // it may still run
	case restored.BackendStart > b.startMillis && b.reports < maxMissedReports && b.state != ended:
		return nil, false // the reports may be delayed ones of an earlier start
	}

	lost := restored.BackendStart != b.startMillis || b.state == ended

	for _, remembered := range restored.Flows {
		switch {
		case g.flows[remembered.Key] != nil && g.flows[remembered.Key].state != unverified:
		case lost:
			orphans = append(orphans, Orphan{Key: remembered.Key, Sequence: remembered.Acknowledged})
		default:
			g.adopt(now, remembered)
		}
	}

	g.counters.Resets += uint64(len(orphans))

	return orphans, true
}

// adopt tracks a flow of a checkpoint again. If the flow has ended since the
// checkpoint, the backend server returns the client's next packet.
func (g *Gate) adopt(now time.Time, remembered checkpoint.Flow) {
	h := g.flows[remembered.Key]
	if h == nil {
		h = g.addFlow(now, remembered.Key, open)
		h.acked = remembered.Acknowledged
		h.addedAt = now.Add(-minCheckpointAge) // a flow in a checkpoint has reached this age
	}

	h.state, h.confirmed = open, true
}
