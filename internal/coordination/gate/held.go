package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

type flowState uint8

const (
	opening    flowState = iota + 1 // the opening packet was delivered and not answered yet
	unverified                      // packets were delivered, but the backend server may not hold the flow
	open                            // the backend server has sent a packet of the flow
)

// trackedFlow is a flow that the gate tracks for the backend server.
type trackedFlow struct {
	state     flowState
	confirmed bool // the flow is in use at this backend server, so no other one holds it
	accepted  bool // the backend server has accepted the flow, with acceptSequence
	// acceptSequence is the sequence number of the acceptance that was seen last.
	acceptSequence uint32
	backendStart   int64 // start of the backend server that holds it; 0 if not known
	forwarder      flow.Endpoint
	addedAt        time.Time
	lastPacket     time.Time
	acked          uint32 // last sequence number that the client acknowledged
	stored         storedProgress
	waitingSince   time.Time // when the client sent its request; zero if no answer is outstanding
	sawData        bool      // the client has sent data
	nextSequence   uint32    // sequence number after the last data of the client
	handedOverAt   time.Time // when the backend server got the current request; zero if it has none
	request        *request  // request that waits for a slot; nil if there is none
	reserved       bool      // a slot is reserved for its first request
	overdue        bool      // the opening packet was not answered within acceptTimeout
	abandoned      bool      // the client closed the flow while its request waited for a slot
	closedBy       [2]bool   // indexed by side: 0 is the client, 1 the backend server
}

// isLost reports whether the backend server that held a flow has ended.
func (g *Gate) isLost(h *trackedFlow) bool {
	switch {
	case h.state == unverified:
		return false
	case g.backend.state == ended:
		return true
	case h.backendStart == g.backend.replaced.startMillis:
		return false // zero, or a start that may still run
	default:
		return h.backendStart != 0 && h.backendStart != g.backend.startMillis
	}
}

// confirmByClient marks the flow as in use if the client's packet acknowledges that the
// backend server accepted it. Several backend servers may accept a flow whose opening
// packet was sent again; the client uses the one whose acceptance it acknowledges.
func (h *trackedFlow) confirmByClient(header flow.Header) {
	if h.accepted && header.Acks && header.Acknowledged == h.acceptSequence+1 {
		h.confirmed = true
	}
}

// hasNewData reports whether a packet has data that the client has not sent before.
// A retransmission is not a new request.
func (h *trackedFlow) hasNewData(header flow.Header) bool {
	return header.Length > 0 && (!h.sawData || int32(header.End()-h.nextSequence) > 0)
}

func (h *trackedFlow) closed() bool { return h.closedBy[0] && h.closedBy[1] }
