package gate

import (
	"time"

	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
)

const (
	// minCheckpointAge is the age from which a flow is included in checkpoints. Most
	// flows that carry a single request end sooner.
	minCheckpointAge = time.Second

	// maxUnstoredBytes is how many bytes a client may acknowledge after the last
	// checkpoint of its flow before another one is due. A client takes a reset for forged
	// if the sequence number is more than 76,800 bytes behind. The tracker leaves out
	// changes of up to 32 KiB, and 19 KiB can be on the way.
	maxUnstoredBytes = 24 << 10

	// maxStoredRate is the rate in bytes per second up to which a flow is included in
	// checkpoints, which are 0.5 s apart. The sequence number of a faster one would be
	// outdated. Its client is reset when it sends its next packet.
	maxStoredRate = 64 << 10
)

// storedProgress is what the last checkpoint of a flow tells about it.
type storedProgress struct {
	included bool
	acked    uint32
	at       time.Time
}

// isOutdated reports whether the client has acknowledged so much since the last
// checkpoint that another one is due.
func (p *storedProgress) isOutdated(acked uint32) bool {
	return p.included && int32(acked-p.acked) > maxUnstoredBytes
}

// update records the progress of a flow for a checkpoint. It reports whether the flow can
// be included.
func (p *storedProgress) update(now time.Time, acked uint32) bool {
	progress := max(0, int32(acked-p.acked)) // a packet may arrive late
	known := !p.at.IsZero()
	elapsed := now.Sub(p.at).Seconds()

	*p = storedProgress{included: !known || float64(progress) <= maxStoredRate*elapsed, acked: acked, at: now}

	return p.included
}

// CheckpointDue reports whether the checkpoint of a flow is outdated.
func (g *Gate) CheckpointDue() bool { return g.checkpointDue }

// LongLivedFlows returns the start time of the backend server and the flows to store in
// a checkpoint, which survives the loss of the instance. The value of each flow is
// the last sequence number that its client acknowledged.
func (g *Gate) LongLivedFlows(now time.Time) (backendStart int64, flows map[flow.Key]uint32) {
	flows = make(map[flow.Key]uint32, len(g.flows))
	g.checkpointDue = false

	if g.backend.state == ended {
		return g.backend.startMillis, flows
	}

	for key, h := range g.flows {
		if !g.isLongLived(now, h) {
			h.stored = storedProgress{}

			continue
		}

		if h.stored.update(now, h.acked) {
			flows[key] = h.acked
		}
	}

	return g.backend.startMillis, flows
}

// isLongLived reports whether a flow is certainly open at the current start of the backend
// server, and old enough for a checkpoint. One that is younger than the last report may be
// of a start that has not reported yet.
func (g *Gate) isLongLived(now time.Time, h *trackedFlow) bool {
	return h.state == open && h.confirmed && !h.closedBy[0] && !h.closedBy[1] &&
		h.backendStart == g.backend.startMillis && h.addedAt.Before(g.backend.lastReport) &&
		now.Sub(h.addedAt) >= minCheckpointAge
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
