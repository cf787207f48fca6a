package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

// Orphan identifies a flow whose backend server has ended.
type Orphan struct {
	Key      flow.Key
	Sequence uint32 // last sequence number that the client acknowledged
}

// Orphans removes the flows whose backend server has ended and returns those that
// have to be reset at their clients. A client whose idle flow is reset does not
// lose its next request on it.
func (g *Gate) Orphans() []Orphan {
	var orphans []Orphan

	if !g.orphansDue {
		return nil
	}

	g.orphansDue = false

	for key, h := range g.flows {
		if !g.isLost(h) {
			continue
		}

		if h.confirmed && !h.closed() {
			orphans = append(orphans, Orphan{Key: key, Sequence: h.acked})
		}

		g.removeFlow(key, h)
	}

	g.counters.Resets += uint64(len(orphans))

	return orphans
}

// giveUp decides about a packet of a flow that the backend server no longer holds. If the
// flow was only offered to it, another one may hold the flow.
func (g *Gate) giveUp(h *trackedFlow, forwarder flow.Endpoint, reason Reason) Decision {
	if h.confirmed {
		g.counters.Resets++

		return Decision{Kind: Reset, Forwarder: forwarder, Reason: reason, InUse: true}
	}

	g.counters.Returned++

	return Decision{Kind: Return, Forwarder: forwarder, Reason: reason}
}

// Locate answers the question of an entry instance whether the backend server holds
// a flow.
func (g *Gate) Locate(now time.Time, key flow.Key) flow.Answer {
	h := g.flows[key]

	switch {
	case h != nil && g.isLost(h), h == nil && !g.mayHoldUnseenFlows(now):
		return flow.Absent
	case h != nil && h.state == open:
		return flow.Held
	default:
		return flow.Unsure
	}
}

// mayHoldUnseenFlows reports whether the backend server may hold flows that the
// gate has not seen. If there was no report within maxReportGap after the gate started,
// there is no backend server.
func (g *Gate) mayHoldUnseenFlows(now time.Time) bool {
	uptime := g.uptime(now)

	switch g.backend.state {
	case unreported:
		return uptime < g.maxReportGap()
	case ended:
		// A late announcement is of an earlier start.
		return g.backend.reports == 0 && uptime < g.maxReportGap()
	default:
		return !g.SeenFromStart() && uptime < learningWindow
	}
}
