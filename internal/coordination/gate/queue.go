package gate

import (
	"bytes"
	"slices"
	"time"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/route"
)

const (
	// maxHeldPackets limits the packets kept for a waiting request. A sender has at
	// most 16 in flight.
	maxHeldPackets = 16

	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.1

	// serviceTimeMargin is multiplied with the average service time to decide
	// whether a request can still meet the target latency of its route. Service
	// times vary by about half.
	serviceTimeMargin = 1.5

	// fairnessInterval makes every fourth request that starts come from another
	// priority than the most urgent waiting one.
	fairnessInterval = 4
)

// request is a request that waits for a slot of the backend server.
type request struct {
	key       flow.Key
	route     *route.Route
	arrived   time.Time
	packets   [][]byte
	sequences []uint32 // sequence numbers of the packets
}

// addPacket stores a copy of a packet, unless it is a retransmission.
func (r *request) addPacket(sequence uint32, packet []byte) {
	if len(r.packets) < maxHeldPackets && !slices.Contains(r.sequences, sequence) {
		r.packets, r.sequences = append(r.packets, bytes.Clone(packet)), append(r.sequences, sequence)
	}
}

// rank classifies a request by whether it can still be served in time: 0 if it can
// meet the target latency of its route, 2 if its client has probably given up, 1 otherwise.
func (r *request) rank(now time.Time, serviceTime time.Duration) int {
	switch waited := now.Sub(r.arrived); {
	case waited+serviceTime <= r.route.TargetLatency:
		return 0
	case waited < r.route.Timeout:
		return 1
	default:
		return 2
	}
}

// queue orders the requests that wait for a slot.
//
// The order is designed for bursts, in particular after a fault, when all clients
// send their delayed requests at once. Such a backlog takes seconds to serve. In
// order of arrival each request would wait for the whole backlog, and all of them
// would be late. So requests that can still meet the target latency of their route
// go first, and late requests get the remaining slots. As long as any request is
// late, the newest go first (adaptive LIFO: Maurer, "Fail at Scale", 2015), because
// those that have waited longest would only just miss their target. The request of
// a client that closes its flow while waiting is dropped, like abort-on-close in
// other load balancers.
type queue struct {
	waiting          []*request
	serviceTimes     map[flow.Endpoint]time.Duration // average from handover to answer, by service address
	overloaded       bool                            // a waiting request can no longer meet its target latency
	startsSinceOther int                             // requests started since one of another priority was last looked for
}

func newQueue() queue { return queue{serviceTimes: make(map[flow.Endpoint]time.Duration)} }

// observeServiceTime adds the service time of a request to the average of its
// service address.
func (q *queue) observeServiceTime(service flow.Endpoint, serviceTime time.Duration) {
	average, ok := q.serviceTimes[service]
	if !ok {
		q.serviceTimes[service] = serviceTime

		return
	}

	q.serviceTimes[service] = average + time.Duration(serviceTimeWeight*float64(serviceTime-average))
}

func (q *queue) push(r *request) { q.waiting = append(q.waiting, r) }

// remove removes a request from the queue.
func (q *queue) remove(r *request) {
	if index := slices.Index(q.waiting, r); index >= 0 {
		q.waiting = slices.Delete(q.waiting, index, index+1)
	}
}

// rank returns the rank of a request, with a margin for slower than average ones.
func (q *queue) rank(now time.Time, r *request) int {
	return r.rank(now, time.Duration(serviceTimeMargin*float64(q.serviceTimes[r.key.Service])))
}

// serviceTime returns the average service time of a route, 0 if none is known.
func (q *queue) serviceTime(target *route.Route) time.Duration {
	address, _ := flow.NewEndpoint(target.Address) // documents have IPv4 addresses only

	return q.serviceTimes[address]
}

// inTime returns the number of waiting requests that can still meet their target.
func (q *queue) inTime(now time.Time) int {
	count := 0

	for _, r := range q.waiting {
		if q.rank(now, r) == 0 {
			count++
		}
	}

	return count
}

// pop removes and returns the request that gets the next slot, or nil.
func (q *queue) pop(now time.Time) *request {
	q.overloaded = slices.ContainsFunc(q.waiting, func(r *request) bool { return q.rank(now, r) > 0 })

	best := q.best(now, func(*request) bool { return true })
	if best == nil {
		return nil
	}

	if q.startsSinceOther++; q.startsSinceOther >= fairnessInterval {
		q.startsSinceOther = 0

		// Without this a flood of urgent requests would starve all others.
		other := q.best(now, func(r *request) bool { return r.route.Priority != best.route.Priority })
		if other != nil {
			best = other
		}
	}

	q.remove(best)

	return best
}

// best returns the first request in queue order among those that are wanted, or nil.
func (q *queue) best(now time.Time, wanted func(r *request) bool) *request {
	var best *request

	for _, r := range q.waiting {
		if wanted(r) && (best == nil || q.before(now, r, best)) {
			best = r
		}
	}

	return best
}

// before reports whether request a is served before request b.
func (q *queue) before(now time.Time, a, b *request) bool {
	rank, otherRank := q.rank(now, a), q.rank(now, b)

	switch {
	case rank != otherRank:
		return rank < otherRank
	case a.route.Priority != b.route.Priority:
		return a.route.Priority < b.route.Priority
	case q.overloaded:
		return a.arrived.After(b.arrived)
	default:
		return a.arrived.Before(b.arrived)
	}
}
