package gate

import (
	"bytes"
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

const (
	// maxHeld bounds the packets of a request that waits: a sender has at most
	// 16 in flight.
	maxHeld = 16

	// timeWeight is the share of a new sample in the average time of a request.
	timeWeight = 0.1

	// margin is how many average times a request must have left of its aim to
	// count as one that can still meet it. Times vary by about half.
	margin = 1.5

	// fairTurn lets every fourth request that starts come from another priority
	// than the most urgent one that waits.
	fairTurn = 4
)

// request is one that waits for a slot of the backend server.
type request struct {
	key     flow.Key
	route   *route.Route
	arrived time.Time
	packets [][]byte
	kept    []uint32 // sequence numbers of the packets
}

// keep keeps a copy of a packet, unless the client has only repeated it.
func (q *request) keep(sequence uint32, packet []byte) {
	if len(q.packets) < maxHeld && !slices.Contains(q.kept, sequence) {
		q.packets, q.kept = append(q.packets, bytes.Clone(packet)), append(q.kept, sequence)
	}
}

// rank is how well a request can still be served: 0 if it can meet the aim of its
// route, 2 if its client has probably given up. Took is what it needs.
func (q *request) rank(now time.Time, took time.Duration) int {
	switch waited := now.Sub(q.arrived); {
	case waited+took <= q.route.Aim:
		return 0
	case waited < q.route.Timeout:
		return 1
	default:
		return 2
	}
}

// queue orders the requests that wait for a slot.
//
// The order is made for bursts, and for the moment after a fault at which all
// clients send again what they have waited with. The backlog then takes seconds,
// and in the order of arrival each request would wait for all of it: every one
// would be late. So requests that can still meet the aim of their route go first, and what is late
// already takes the slots that are left. As long as anything is late, the newest
// go first (adaptive LIFO: Maurer, "Fail at Scale", 2015), because those that
// have waited longest would only just miss their aim. The request of a client
// that closes its flow meanwhile is dropped, as with the abort-on-close of other
// load balancers.
type queue struct {
	waiting    []*request
	times      map[flow.Endpoint]time.Duration // average from hand-over to answer, by route
	overloaded bool                            // something waits that cannot meet its aim any more
	turn       int
}

func newQueue() queue { return queue{times: make(map[flow.Endpoint]time.Duration)} }

// ran takes the time of a request into account.
func (q *queue) ran(service flow.Endpoint, took time.Duration) {
	known, ok := q.times[service]
	if !ok {
		q.times[service] = took

		return
	}

	q.times[service] = known + time.Duration(timeWeight*float64(took-known))
}

func (q *queue) push(r *request) { q.waiting = append(q.waiting, r) }

// remove drops the request of a flow.
func (q *queue) remove(r *request) {
	if place := slices.Index(q.waiting, r); place >= 0 {
		q.waiting = slices.Delete(q.waiting, place, place+1)
	}
}

// rank returns the rank of a request, with a margin for those that take longer.
func (q *queue) rank(now time.Time, r *request) int {
	return r.rank(now, time.Duration(margin*float64(q.times[r.key.Service])))
}

// pop returns the request that gets the next slot, or nil.
func (q *queue) pop(now time.Time) *request {
	q.overloaded = slices.ContainsFunc(q.waiting, func(r *request) bool { return q.rank(now, r) > 0 })

	best := q.best(now, func(*request) bool { return true })
	if best == nil {
		return nil
	}

	if q.turn++; q.turn >= fairTurn {
		q.turn = 0

		// Without it a flood of urgent requests would stop all others.
		other := q.best(now, func(r *request) bool { return r.route.Priority != best.route.Priority })
		if other != nil {
			best = other
		}
	}

	q.remove(best)

	return best
}

// best returns the request that goes before all others that are wanted, or nil.
func (q *queue) best(now time.Time, wanted func(r *request) bool) *request {
	var best *request

	for _, r := range q.waiting {
		if wanted(r) && (best == nil || q.before(now, r, best)) {
			best = r
		}
	}

	return best
}

// before reports whether a request goes before another one.
func (q *queue) before(now time.Time, a, b *request) bool {
	rank, other := q.rank(now, a), q.rank(now, b)

	switch {
	case rank != other:
		return rank < other
	case a.route.Priority != b.route.Priority:
		return a.route.Priority < b.route.Priority
	case q.overloaded:
		return a.arrived.After(b.arrived)
	default:
		return a.arrived.Before(b.arrived)
	}
}
