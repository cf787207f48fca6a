package gate

import (
	"time"

	"jayspindle/internal/state/checkpoint"
	"jayspindle/internal/state/flow"
)

// lasting is the age from which a flow is worth remembering. Most flows that
// carry a single request end sooner.
const lasting = time.Second

// Lasting returns the start of the backend server, and the flows that are worth
// remembering beyond the loss of the instance, with what their clients have
// acknowledged.
func (g *Gate) Lasting(now time.Time) (born int64, flows map[flow.Key]uint32) {
	flows = make(map[flow.Key]uint32, len(g.flows))

	if g.backend.state == ended {
		return g.backend.born, flows
	}

	for key, h := range g.flows {
		if h.state == open && h.confirmed && h.born == g.backend.born && !h.closing[0] && !h.closing[1] &&
			now.Sub(h.since) >= lasting {
			flows[key] = h.acked
		}
	}

	return g.backend.born, flows
}

// Recover takes over what an earlier start of the agent knew. The flows of an
// earlier start of the backend server are lost and returned; those of the
// present one are held again. It returns false as long as the backend server has
// not reported.
func (g *Gate) Recover(now time.Time, memory checkpoint.Memory) (orphans []Orphan, done bool) {
	if g.backend.born == 0 {
		return nil, false
	}

	if memory.Born > g.backend.born {
		return nil, true // the report is a late one of an earlier start
	}

	lost := memory.Born < g.backend.born || g.backend.state == ended

	for _, remembered := range memory.Flows {
		switch {
		case g.flows[remembered.Key] != nil && g.flows[remembered.Key].state != unsure:
		case lost:
			orphans = append(orphans, Orphan{Key: remembered.Key, Sequence: remembered.Acknowledged})
		default:
			g.adopt(now, remembered)
		}
	}

	g.counters.Resets += uint64(len(orphans))

	return orphans, true
}

// adopt holds a flow again. If it has ended meanwhile, the backend server
// returns the next packet of the client.
func (g *Gate) adopt(now time.Time, remembered checkpoint.Flow) {
	h := g.flows[remembered.Key]
	if h == nil {
		h = g.add(now, remembered.Key, open)
		h.acked = remembered.Acknowledged
		h.since = now.Add(-lasting) // it was remembered because it lasts
	}

	h.state, h.confirmed = open, true
}
