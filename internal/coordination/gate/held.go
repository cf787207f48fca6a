package gate

import (
	"time"

	"jayspindle/internal/state/flow"
)

type heldState uint8

const (
	opening heldState = iota + 1 // the backend server was asked to accept
	unsure                       // delivered without knowing whether the flow is held
	open                         // the backend server has sent a packet of the flow
)

// held is one flow of the backend server.
type held struct {
	state     heldState
	confirmed bool // the client uses the flow: it is not a second acceptance that nobody wants
	born      int64
	forwarder flow.Endpoint
	since     time.Time
	last      time.Time
	acked     uint32    // the last sequence number that the client acknowledged
	waiting   time.Time // since when the client waits for an answer; zero if it does not
	heard     bool      // data of the client was seen
	end       uint32    // sequence number behind the data of the client
	handed    time.Time // since when the backend server has the request; zero if it has none
	request   *request  // that waits for a slot; nil if there is none
	overdue   bool      // the backend server has not answered the opening packet in time
	abandoned bool      // the client has closed the flow while its request waited
	closing   [2]bool   // client, backend server
}

// isNew reports whether a packet has data that the client did not send before. A
// repeated packet is no new request.
func (h *held) isNew(header flow.Header) bool {
	return header.Length > 0 && (!h.heard || int32(header.End()-h.end) > 0)
}

func (h *held) closed() bool { return h.closing[0] && h.closing[1] }
