package gate

import "time"

// reservationTimeout is how long a slot is reserved for the first request of a new
// flow: the handshake of the backend server and a round trip to the client. Clients
// that do not send a request at once hold a flow open for later ones.
const reservationTimeout = 50 * time.Millisecond

// reservations are the flows whose first request is expected at any moment. Without
// them, all flows that open within a round trip to the client would get the same
// free slot.
type reservations struct {
	flows  []*trackedFlow // in the order of their opening packets
	active int            // flows with a reservation
}

func (r *reservations) add(h *trackedFlow) {
	h.reserved = true
	r.flows = append(r.flows, h)
	r.active++
}

func (r *reservations) release(h *trackedFlow) {
	if h.reserved {
		h.reserved = false
		r.active--
	}
}

// count returns the number of reservations in force.
func (r *reservations) count(now time.Time) int {
	for len(r.flows) > 0 && (!r.flows[0].reserved || now.Sub(r.flows[0].addedAt) > reservationTimeout) {
		r.release(r.flows[0])
		r.flows = r.flows[1:]
	}

	return r.active
}
