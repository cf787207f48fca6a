package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

// Orphan is a flow whose backend server has ended.
type Orphan struct {
	Key      flow.Key
	Sequence uint32 // the last one that the client acknowledged
}

// Orphans forgets the flows whose backend server has ended and returns those
// that their clients should be told of. A client that learns it while the flow
// is idle does not lose its next request.
func (g *Gate) Orphans() []Orphan {
	var orphans []Orphan

	for key, h := range g.flows {
		if (h.born == g.backend.born && g.backend.state != ended) || h.state == unsure {
			continue
		}

		if h.confirmed && !h.closed() {
			orphans = append(orphans, Orphan{Key: key, Sequence: h.acked})
		}

		g.forget(key, h)
	}

	g.counters.Resets += uint64(len(orphans))

	return orphans
}

// Locate tells an entry instance whether the backend server holds a flow.
func (g *Gate) Locate(now time.Time, key flow.Key) flow.Answer {
	h := g.flows[key]

	switch {
	case h != nil && h.state == open && h.born == g.backend.born && g.backend.state != ended:
		return flow.Held
	case h != nil && h.state == opening:
		return flow.Unsure
	case h == nil && !g.unsure(now):
		return flow.Absent
	case h != nil && h.state == open:
		return flow.Absent // of a backend server that has ended
	default:
		return flow.Unsure
	}
}

// unsure reports whether the backend server may hold flows that the gate has
// not seen. One that has not reported in one and a half intervals since the gate
// started is not there: it repeats a report that failed sooner.
func (g *Gate) unsure(now time.Time) bool {
	running := now.Sub(g.config.Boot)

	switch g.backend.state {
	case unheard:
		return running < g.config.ReportInterval*3/2
	case ended:
		return false
	default:
		return !g.backend.watched && running < learned
	}
}
