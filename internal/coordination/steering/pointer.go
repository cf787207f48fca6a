package steering

import (
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

const (
	// lastingAge is the age from which a flow gets a pointer. Most flows that carry a
	// single request end sooner.
	lastingAge = time.Second

	// pointerInterval is how often flows without a pointer are looked for.
	pointerInterval = 500 * time.Millisecond

	// maxPointersPerInterval limits the processor time for pointers after a change of
	// the list of agents. The remaining flows follow in the next intervals.
	maxPointersPerInterval = 256
)

// placePointers leaves a pointer to each lasting flow with the agent that other entry
// instances ask first. When agents come and go, the flows for which another agent has
// become the first one get a new pointer: one of n agents is the first for one flow
// in n.
func (r *Router) placePointers(now time.Time) {
	if now.Sub(r.pointersPlaced) < pointerInterval {
		return
	}

	r.pointersPlaced = now
	checked := 0

	for key, e := range r.flows {
		if e.state != assigned || e.membership == r.membership || now.Sub(e.assignedAt) < lastingAge {
			continue
		}

		if checked++; checked > maxPointersPerInterval {
			break
		}

		e.membership = r.membership
		r.placePointer(key, e)
	}
}

func (r *Router) placePointer(key flow.Key, e *entry) {
	first := r.firstAgent(key)
	if first == nil || first.Address == e.agent {
		return
	}

	if at := (pointerPlace{agent: first.Address, boot: first.Boot}); e.pointer != at {
		e.pointer = at
		r.counters.Pointers++
		r.addAction(Action{Kind: Point, Key: key, To: first.Address, Holder: e.agent})
	}
}

// firstAgent returns the agent with the first rendezvous rank for a flow among those of
// all services. An open flow stays at its agent when its route gets other services, and
// an entry instance that has started since knows only the current ones.
func (r *Router) firstAgent(key flow.Key) *agent {
	var first *agent

	hash := key.Hash()

	for _, a := range r.agents {
		if first == nil || flow.Mix(a.seed^hash) < flow.Mix(first.seed^hash) {
			first = a
		}
	}

	return first
}

// observeMembership notes whether a record changes which agent is the first one for
// some flows, or makes an agent lose its pointers.
func (r *Router) observeMembership(known *agent, record roster.Record) {
	if known.Service != record.Service || known.Boot != record.Boot {
		r.membership++
	}
}

// Pointed handles the message of an agent that another one holds a flow.
func (r *Router) Pointed(now time.Time, key flow.Key, holder flow.Endpoint) []Action {
	r.actions = r.actions[:0]

	e := r.flows[key]
	if e == nil || e.state != searching || r.agents[holder] == nil || e.hasDenied(holder) {
		return r.actions
	}

	r.handleFound(now, key, e, holder)

	return r.actions
}
