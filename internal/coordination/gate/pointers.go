package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

const (
	// pointerTTL is how long a pointer is kept. It exceeds the lifetime of flows in the
	// deployments.
	pointerTTL = 75 * time.Second

	// maxPointers limits the memory for pointers. An agent of the target size keeps
	// 1,800, since each flow has one.
	maxPointers = 1 << 15
)

// pointer tells which agent holds a flow.
type pointer struct {
	holder flow.Endpoint
	placed time.Time
}

// pointers are flows of other agents. Entry instances leave them with the first agent
// by rendezvous rank, so that one question finds a flow that has moved to another
// entry instance. They are hints: an agent that does not hold the flow says so.
type pointers struct{ byKey map[flow.Key]pointer }

// Point remembers which agent holds a flow.
func (g *Gate) Point(now time.Time, key flow.Key, holder flow.Endpoint) {
	p := &g.pointers

	if _, known := p.byKey[key]; !known && len(p.byKey) >= maxPointers {
		return
	}

	p.byKey[key] = pointer{holder: holder, placed: now}
}

// Pointer returns the agent that holds a flow according to an entry instance.
func (g *Gate) Pointer(key flow.Key) (holder flow.Endpoint, known bool) {
	found, known := g.pointers.byKey[key]

	return found.holder, known
}

func (p *pointers) expire(now time.Time) {
	for key, kept := range p.byKey {
		if now.Sub(kept.placed) > pointerTTL {
			delete(p.byKey, key)
		}
	}
}
