package steering

import (
	"slices"
	"time"

	"jayspindle/internal/state/flow"
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
		if e.state != assigned || e.membership == r.changes.count || now.Sub(e.assignedAt) < lastingAge {
			continue
		}

		if checked++; checked > maxPointersPerInterval {
			break
		}

		r.updateFirst(key, e)
		r.placePointer(key, e)
	}
}

func (r *Router) placePointer(key flow.Key, e *entry) {
	first := r.agents[e.first.address]
	if first == nil || first.Address == e.agent {
		return
	}

	if at := (pointerPlace{agent: first.Address, boot: first.Boot}); e.pointer != at {
		e.pointer = at
		r.counters.Pointers++
		r.addAction(Action{Kind: Point, Key: key, To: first.Address, Holder: e.agent})
	}
}

// ranked is an agent with its rendezvous score for a flow.
type ranked struct {
	address flow.Endpoint
	score   uint64
}

// firstAgent returns the agent with the first rendezvous rank for a flow among those of
// all services. An open flow stays at its agent when its route gets other services, and
// an entry instance that has started since knows only the current ones.
func (r *Router) firstAgent(key flow.Key) ranked {
	var first ranked

	hash := key.Hash()

	for _, a := range r.allAgents {
		if score := flow.Mix(a.seed ^ hash); first == (ranked{}) || score < first.score {
			first = ranked{address: a.Address, score: score}
		}
	}

	return first
}

// updateFirst brings the first agent of a flow up to date. It looks only at the agents
// that have changed, if they are known: at 26,000 agents, all of them would take a
// millisecond a flow.
func (r *Router) updateFirst(key flow.Key, e *entry) {
	changes, known := r.changes.since(e.membership)
	hash := key.Hash()

	for _, address := range changes {
		a := r.agents[address]

		switch {
		case a == nil:
			known = known && e.first.address != address
		case flow.Mix(a.seed^hash) < e.first.score:
			e.first = ranked{address: address, score: flow.Mix(a.seed ^ hash)}
		}
	}

	if !known {
		e.first = r.firstAgent(key)
	}

	e.membership = r.changes.count
}

// maxKnownChanges limits the changes of the list of agents that are kept. A deployment
// of the target size has as many in an hour.
const maxKnownChanges = 256

// membershipChanges are the agents that have come, gone or restarted.
type membershipChanges struct {
	count  uint64 // so far
	latest []flow.Endpoint
}

func (m *membershipChanges) add(address flow.Endpoint) {
	m.count++
	m.latest = append(m.latest, address)

	if len(m.latest) > 2*maxKnownChanges {
		m.latest = slices.Clone(m.latest[maxKnownChanges:])
	}
}

// since returns the changes after the first count ones, and false if they are not known.
func (m *membershipChanges) since(count uint64) ([]flow.Endpoint, bool) {
	missing := m.count - count
	if count == 0 || missing > uint64(len(m.latest)) {
		return nil, false
	}

	return m.latest[uint64(len(m.latest))-missing:], true
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
